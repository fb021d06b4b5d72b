"""``baobabturn completion``: prints or installs completion for a shell."""

from __future__ import annotations

import pathlib
from typing import Literal

from baobabturn.commands.common import CommandError, print_json
from baobabturn.core.results import Code, Failure

Shell = Literal["bash", "zsh", "fish"]


def run(shell: Shell, *, install: bool = False, json: bool = False) -> int:
    """Print the completion script of a shell.

    Parameters
    ----------
    shell:
        The shell.
    install:
        Write the script to the user's completion folder instead.
    json:
        Print the result as JSON.
    """
    from baobabturn.commands.main import app

    if not install:
        script = app.generate_completion(shell=shell)
        if json:
            print_json({"shell": shell, "script": script})
        else:
            print(script)
        return 0
    try:
        path: pathlib.Path = app.install_completion(shell=shell)
    except OSError as error:
        failure = Failure(Code.BAD_FIELD, f"{error.filename}: {error.strerror}")
        raise CommandError(failure) from None
    if json:
        print_json({"shell": shell, "path": str(path)})
    else:
        print(f"installed {path}")
    return 0
