"""Entry point of the gateway: prepares the process before the program is loaded."""

from __future__ import annotations

import os
import signal


def main() -> None:
    """Start the program from the command line.

    Importing the program takes some tenths of a second.  A SIGHUP in that time would
    end the process; ignoring it loses nothing, since the settings file is read
    later anyway.  The HTTP client would read the system's CA certificates when it is
    imported; the gateway's connections use no TLS.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from baobabturn.gateway.main import main as start

    start()


if __name__ == "__main__":
    main()
