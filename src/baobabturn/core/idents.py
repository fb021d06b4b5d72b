"""Identifiers for requests, attempts, generations and writes."""

from __future__ import annotations

import secrets
import time


def nonce() -> str:
    """Return 16 random bytes as hexadecimal text."""
    return secrets.token_hex(16)


def request_id() -> str:
    """Return a new request id."""
    return "r-" + secrets.token_hex(8)


def incarnation() -> int:
    """Return a number that rises with each start of a process, in milliseconds."""
    return int(time.time() * 1000)


def generation_id(node: str, start: int, serial: int) -> str:
    """Return an id that names a generation by the entry that started it.

    Example::

        >>> generation_id("heredia-1", 1700, 7)
        'g-heredia-1-1700-7'
    """
    return f"g-{node}-{start}-{serial}"
