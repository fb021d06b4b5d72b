"""Entry point of the gateway; ignores SIGHUP until the program has loaded."""

from __future__ import annotations

import signal


def main() -> None:
    """Start the program from the command line.

    Importing the program takes some tenths of a second.  A SIGHUP in that time would
    end the process; ignoring it loses nothing, since the settings file is read
    later anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabturn.gateway.main import main as start

    start()


if __name__ == "__main__":
    main()
