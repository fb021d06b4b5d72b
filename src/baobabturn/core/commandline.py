"""Parses and runs command lines; the one that all long-running programs have."""

from __future__ import annotations

from typing import Annotated

import cyclopts
from cyclopts import Parameter

from baobabturn import __version__
from baobabturn.core.program import Main, complain, run_role
from baobabturn.settings.load import EXIT_USAGE


def run_app(app: cyclopts.App, arguments: list[str] | None = None) -> int:
    """Run a command line and return its exit code; print a usage error as one line."""
    try:
        return app(arguments, print_error=False, exit_on_error=False) or 0
    except cyclopts.CycloptsError as error:
        complain(str(error))
        return EXIT_USAGE


def program_app(role: str, main: Main) -> cyclopts.App:
    """Return the command line of a long-running program."""
    app = cyclopts.App(name=f"baobabturn-{role}", version=__version__)

    @app.default
    def run(
        *,
        settings: str | None = None,
        set: Annotated[list[str] | None, Parameter(negative="")] = None,
    ) -> int:
        """Run the program until it is signalled.

        Parameters
        ----------
        settings:
            A settings file, JSON with comments, laid over the packaged defaults;
            the variable BAOBABTURN_SETTINGS names it where this doesn't.
        set:
            One field as section.field=value, laid over the file; may be repeated.
        """
        return run_role(role, main, settings, set)

    return app
