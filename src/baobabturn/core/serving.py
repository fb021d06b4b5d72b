"""What all HTTP servers of the system need around their applications."""

from __future__ import annotations

import gc
import socket
from typing import Any

from baobabturn.core.results import Code, Failure

BACKLOG = 2048


def listen(address: str, port: int) -> socket.socket | Failure:
    """Return a listening socket, or the failure where the address is in use."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as error:
        listener.close()
        return Failure(Code.ADDRESS_IN_USE, f"{address}:{port}: {error.strerror}")
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def spare_collector() -> None:
    """Take what the start has made out of later collections.

    A full collection over the imported modules stops all streams for
    milliseconds.
    """
    gc.collect()
    gc.freeze()


async def gone(receive: Any) -> None:
    """Return when the caller has gone away."""
    while (await receive())["type"] != "http.disconnect":
        pass
