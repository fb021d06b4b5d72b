"""Starts the gateway; a signal that comes before it is ready doesn't end it."""

from __future__ import annotations

import signal


def main() -> None:
    """Start the program from the command line.

    Loading the program takes some tenths of a second, in which a change of the
    settings may be signalled already; the file is read again in any case.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabturn.gateway.main import main as start

    start()


if __name__ == "__main__":
    main()
