"""Reads JSON in which one odd value must not cost all others.

A number with very many digits becomes an infinite one, and a value that is nested very
deeply becomes null, so that whoever decodes that value finds it unusable.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

# Integers in messages between processes have 64 bits at most.
MAX_INT_CHARACTERS = 20
MAX_DEPTH = 64
# A text, or a character that begins or ends an array or object.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
OPENING, CLOSING = frozenset((b"[", b"{")), frozenset((b"]", b"}"))


def load_bounded(data: bytes) -> Any:
    """Return what some bytes hold; raise ``ValueError`` if they aren't JSON.

    Example::

        >>> load_bounded(b'[1, 123456789012345678901234567890]')
        [1, inf]
    """
    try:
        return json.loads(data, parse_int=bounded_int)
    except RecursionError:
        return json.loads(without_deep_values(data), parse_int=bounded_int)


def bounded_int(text: str) -> int | float:
    """Return a whole number, or infinity for one with too many digits."""
    return int(text) if len(text) <= MAX_INT_CHARACTERS else math.inf


def without_deep_values(data: bytes) -> bytes:
    """Return JSON with null in place of all values nested deeper than ``MAX_DEPTH``."""
    kept: list[bytes] = []
    depth = kept_until = 0
    for token in TOKEN.finditer(data):
        if token[0] in OPENING:
            depth += 1
            if depth == MAX_DEPTH:
                kept += [data[kept_until : token.start()], b"null"]
        elif token[0] in CLOSING:
            if depth == MAX_DEPTH:
                kept_until = token.end()
            depth -= 1
    return b"".join([*kept, data[kept_until:]])
