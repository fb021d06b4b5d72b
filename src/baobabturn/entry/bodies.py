"""Reads request bodies within limits on size, time, depth and total memory."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Entry

STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"')
BRACKETS = re.compile(rb"[\[\]{}]")


class BodyMemory:
    """The bound on the memory that all bodies in progress hold together."""

    def __init__(self, *, settings: Entry):
        self.settings = settings
        self.held = 0
        self.freed = asyncio.Event()

    async def take(self, size: int) -> Failure | None:
        """Reserve room for a body, waiting a while for it; a failure if none."""
        limit = self.settings.body_memory_bytes
        try:
            async with asyncio.timeout(self.settings.body_wait_s):
                while self.held + size > limit:
                    self.freed.clear()
                    await self.freed.wait()
        except TimeoutError:
            return Failure(
                Code.BODY_MEMORY, f"bodies fill {limit} bytes", retry_after_s=1.0
            )
        self.held += size
        return None

    def give(self, size: int) -> None:
        """Give room back."""
        self.held -= size
        self.freed.set()


async def read_body(receive: Any, settings: Entry) -> bytes | Failure:
    """Return a request's whole body, or the limit that it broke."""
    limit = settings.body_limit_bytes
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return Failure(Code.CANCELLED, "the caller went away")
                chunk = message.get("body", b"")
                size += len(chunk)
                if size > limit:
                    return Failure(Code.BODY_TOO_LARGE, f"over {limit} bytes")
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return b"".join(chunks)
    except TimeoutError:
        seconds = settings.body_timeout_s
        return Failure(Code.BODY_TOO_SLOW, f"not whole within {seconds:g} s")


def depth(data: bytes) -> int:
    """Return how deep the brackets of a JSON text are nested."""
    level = deepest = 0
    for bracket in BRACKETS.findall(STRINGS.sub(b"", data)):
        level += 1 if bracket in b"[{" else -1
        deepest = max(deepest, level)
    return deepest


def parse_json(data: bytes, settings: Entry) -> dict[str, Any] | Failure:
    """Return the JSON object in a body, or what is wrong with it."""
    limit = settings.body_depth_limit
    if depth(data) > limit:
        return Failure(Code.BODY_TOO_DEEP, f"nested deeper than {limit}")
    try:
        values = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Failure(Code.MALFORMED, f"not JSON: {str(error)[:120]}")
    if not isinstance(values, dict):
        return Failure(Code.MALFORMED, "the body is not a JSON object")
    return values
