"""Shared by all HTTP servers: listening, garbage collection and disconnects."""

from __future__ import annotations

import gc
import socket
from typing import Any

from baobabturn.core.results import Code, Failure

LISTEN_BACKLOG = 2048


def listen(address: str, port: int) -> socket.socket | Failure:
    """Return a non-blocking listening socket, or a failure if it can't be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as error:
        listener.close()
        return Failure(Code.ADDRESS_IN_USE, f"{address}:{port}: {error.strerror}")
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def freeze_startup_objects() -> None:
    """Exempt all objects that exist now from later garbage collections.

    A full collection over the imported modules would pause all streams for
    milliseconds.
    """
    gc.collect()
    gc.freeze()


async def wait_for_disconnect(receive: Any) -> None:
    """Wait until the caller disconnects, reading from an ASGI ``receive``."""
    while (await receive())["type"] != "http.disconnect":
        pass
