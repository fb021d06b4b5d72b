"""Identifiers for requests, attempts, generations and writes."""

from __future__ import annotations

import re
import secrets
import time

GENERATION_ID_PATTERN = re.compile(r"g-([0-9a-f]{16})-[0-9]{1,6}")


def nonce() -> str:
    """Return 16 random bytes as hexadecimal text."""
    return secrets.token_hex(16)


def request_id() -> str:
    """Return a new request id."""
    return "r-" + secrets.token_hex(8)


def incarnation() -> int:
    """Return the wall time in milliseconds, which is larger at each process start."""
    return int(time.time() * 1000)


def generation_id(request: str, attempt: int) -> str:
    """Return the id of a generation, made of its request's id and its attempt.

    Example::

        >>> generation_id("r-00000000000000ff", 2)
        'g-00000000000000ff-2'
    """
    return f"g{request[1:]}-{attempt}"


def request_of(generation: str) -> str:
    """Return the id of a generation's request, or "" for an id of another system.

    Example::

        >>> request_of("g-00000000000000ff-2")
        'r-00000000000000ff'
    """
    match = GENERATION_ID_PATTERN.fullmatch(generation)
    return f"r-{match[1]}" if match is not None else ""
