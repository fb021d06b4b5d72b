"""Reads request bodies within limits on size, time, depth and total memory."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Entry

VALUE_BYTES = 100
WORKSPACE_SHARE = 0.5
RETRY_AFTER_S = 1.0
NO_LENGTH = -1
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")


class BodyMemory:
    """Bounds the bytes that all request bodies in progress hold together.

    One workspace may hold at most a share of them, so that it can't starve others.
    """

    def __init__(self, *, settings: Entry):
        self.settings = settings
        self.limit = settings.body_memory_bytes
        self.held = 0
        self.shares: dict[str, int] = {}
        self.freed = asyncio.Event()

    def fits(self, workspace: str, size: int) -> bool:
        """Return whether a body fits; a workspace's only body may exceed its share."""
        share = self.shares.get(workspace, 0)
        within = not share or share + size <= self.limit * WORKSPACE_SHARE
        return within and self.held + size <= self.limit

    async def take(self, workspace: str, size: int) -> Failure | None:
        """Acquire bytes for a body, waiting up to ``body_wait_s`` for their release."""
        try:
            async with asyncio.timeout(self.settings.body_wait_s):
                while not self.fits(workspace, size):
                    self.freed.clear()
                    await self.freed.wait()
        except TimeoutError:
            return Failure(
                Code.BODY_MEMORY,
                f"bodies hold all of {self.limit} bytes, or of the workspace's share",
                retry_after_s=RETRY_AFTER_S,
            )
        self.held += size
        self.shares[workspace] = self.shares.get(workspace, 0) + size
        return None

    def give(self, workspace: str, size: int) -> None:
        """Release bytes of a body."""
        self.held -= size
        self.shares[workspace] -= size
        if not self.shares[workspace]:
            del self.shares[workspace]
        self.freed.set()


class BodyReader:
    """Reads one request's body and holds memory for it until ``release``."""

    def __init__(self, *, memory: BodyMemory, workspace: str, length: int):
        self.memory = memory
        self.settings = memory.settings
        self.workspace = workspace
        self.length = length
        self.reserved = 0
        self.left_s = self.settings.body_timeout_s

    async def reserve(self, size: int) -> Failure | None:
        """Acquire more memory for this body."""
        failure = await self.memory.take(self.workspace, size)
        if failure is None:
            self.reserved += size
        return failure

    def release(self) -> None:
        """Release the memory that this body holds."""
        if self.reserved:
            self.memory.give(self.workspace, self.reserved)
            self.reserved = 0

    async def read(self, receive: Any) -> bytes | Failure:
        """Return the whole body, or a failure that names the limit it exceeds.

        Memory is acquired for a declared length before reading, otherwise for
        each chunk as it arrives.
        """
        limit = self.settings.body_limit_bytes
        if self.length > limit:
            return Failure(Code.BODY_TOO_LARGE, f"body exceeds {limit} bytes")
        if self.length > 0:
            failure = await self.reserve(self.length)
            if failure is not None:
                return failure
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self.part(receive)
            if isinstance(message, Failure):
                return message
            if message["type"] == "http.disconnect":
                return Failure(Code.CANCELLED, "the caller disconnected")
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit:
                return Failure(Code.BODY_TOO_LARGE, f"body exceeds {limit} bytes")
            if size > self.reserved:
                failure = await self.reserve(len(chunk))
                if failure is not None:
                    return failure
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    async def part(self, receive: Any) -> Any:
        """Return the next ASGI message within the time left for receiving.

        Time spent waiting for memory doesn't count as slowness of the caller.
        """
        began = time.monotonic()
        try:
            async with asyncio.timeout(self.left_s):
                return await receive()
        except TimeoutError:
            seconds = self.settings.body_timeout_s
            return Failure(
                Code.BODY_TOO_SLOW, f"body not complete within {seconds:g} s"
            )
        finally:
            self.left_s -= time.monotonic() - began

    async def read_json(self, receive: Any) -> dict[str, Any] | Failure:
        """Return the JSON object in the body, or what is wrong with it.

        Decoded values take more memory than their text, so memory for them is
        acquired before decoding.
        """
        data = await self.read(receive)
        if isinstance(data, Failure):
            return data
        count = count_values(data)
        limit = self.settings.body_values_limit
        if count > limit:
            return Failure(Code.BODY_TOO_LARGE, f"body has over {limit} JSON values")
        failure = await self.reserve(count * VALUE_BYTES)
        if failure is not None:
            return failure
        return parse_json(data, self.settings)


def body_length(headers: dict[bytes, bytes]) -> int:
    """Return the declared body length in bytes, ``NO_LENGTH`` without one."""
    text = headers.get(b"content-length", b"")
    return int(text) if text.isdigit() else NO_LENGTH


def count_values(data: bytes) -> int:
    """Return an upper bound on the number of values in a JSON text."""
    return 1 + sum(data.count(mark) for mark in (b",", b"[", b"{", b":"))


def is_deeper(values: Any, limit: int) -> bool:
    """Return whether decoded JSON is nested deeper than ``limit`` levels."""
    level = [values]
    for _ in range(limit):
        inner: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                inner.extend(v for v in value.values() if isinstance(v, dict | list))
            elif isinstance(value, list):
                inner.extend(v for v in value if isinstance(v, dict | list))
        if not inner:
            return False
        level = inner
    return True


def has_lone_surrogate(data: bytes, values: Any) -> bool:
    """Return whether a string has a lone surrogate, which UTF-8 can't encode."""
    if not SURROGATE.search(data):
        return False
    try:
        json.dumps(values, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return True
    return False


def refuse_constant(name: str) -> None:
    """Reject NaN and Infinity, which Python's parser accepts and JSON lacks."""
    raise ValueError(f"{name} is not JSON")


def parse_json(data: bytes, settings: Entry) -> dict[str, Any] | Failure:
    """Return the JSON object in a body, or what is wrong with it."""
    limit = settings.body_depth_limit
    try:
        values = json.loads(data.decode(), parse_constant=refuse_constant)
    except RecursionError:
        return Failure(Code.BODY_TOO_DEEP, f"nested deeper than {limit} levels")
    except ValueError as error:
        return Failure(Code.MALFORMED, f"not JSON: {str(error)[:120]}")
    if is_deeper(values, limit):
        return Failure(Code.BODY_TOO_DEEP, f"nested deeper than {limit} levels")
    if has_lone_surrogate(data, values):
        return Failure(Code.MALFORMED, "a string has a lone surrogate")
    if not isinstance(values, dict):
        return Failure(Code.MALFORMED, "the body is not a JSON object")
    return values
