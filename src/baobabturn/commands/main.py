"""The operators' command line."""

from __future__ import annotations

import os
import sys

import cyclopts

from baobabturn import __version__
from baobabturn.commands import (
    apply,
    check,
    completion,
    diff,
    drain,
    explain,
    settings,
    status,
    timeline,
    traffic,
)
from baobabturn.commands.common import CommandError, end
from baobabturn.core.commandline import run_app

EXIT_INTERRUPTED = 130
STDIN = "/dev/stdin"

app = cyclopts.App(
    name="baobabturn",
    version=__version__,
    help="Declares, applies and watches the configuration of a baobabturn system.",
)
MODULES = (
    check,
    diff,
    apply,
    status,
    traffic,
    drain,
    timeline,
    explain,
    settings,
    completion,
)
for module in MODULES:
    app.command(module.run, name=module.__name__.rpartition(".")[2])


def arguments(given: list[str]) -> list[str]:
    """Return the arguments with ``-`` as a path, since the parser takes no ``-``."""
    return [STDIN if text == "-" else text for text in given]


def main() -> None:
    """Run the command that the arguments name."""
    try:
        code = run_app(app, arguments(sys.argv[1:]))
        sys.stdout.flush()
    except CommandError as error:
        code = end(error)
    except KeyboardInterrupt:
        code = EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe is gone; the interpreter shall not flush to it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = 1
    sys.exit(code)


if __name__ == "__main__":
    main()
