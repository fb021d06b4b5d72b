"""The operators' command line."""

from __future__ import annotations

import sys

import cyclopts

from baobabturn import __version__
from baobabturn.commands import apply, check, diff, drain, settings, status, timeline
from baobabturn.commands.common import CommandError, end

app = cyclopts.App(
    name="baobabturn",
    version=__version__,
    help="Declares, applies and watches the configuration of a baobabturn system.",
)
for module in (check, diff, apply, status, drain, timeline, settings):
    app.command(module.run, name=module.__name__.rpartition(".")[2])


def main() -> None:
    """Run the command that the arguments name."""
    try:
        sys.exit(app())
    except CommandError as error:
        sys.exit(end(error))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
