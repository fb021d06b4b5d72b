"""Reads request bodies within limits on size, time, depth and total memory."""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Entry

# The memory that a decoded JSON value is assumed to take.
BYTES_PER_VALUE = 100
# The share of the memory for bodies that one workspace may hold.
MAX_WORKSPACE_RATIO = 0.5
RETRY_AFTER_S = 1.0
UNKNOWN_LENGTH = -1
SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")


class BodyMemory:
    """Bounds the bytes that all bodies in progress hold together.

    A body waits up to ``wait_s`` seconds for memory that others release.  One
    workspace may hold at most ``MAX_WORKSPACE_RATIO`` of the limit, so that it can't
    starve others.
    """

    def __init__(self, *, limit_bytes: int, wait_s: float):
        self.limit_bytes = limit_bytes
        self.wait_s = wait_s
        self.held_bytes = 0
        self.workspace_bytes: dict[str, int] = {}
        self.released = asyncio.Event()
        self.waiting: list[tuple[str, int]] = []

    def fits(self, workspace: str, size_bytes: int) -> bool:
        """Return whether a body fits; a workspace's only body may exceed its share."""
        held_by_workspace = self.workspace_bytes.get(workspace, 0)
        within_share = (
            not held_by_workspace
            or held_by_workspace + size_bytes <= self.limit_bytes * MAX_WORKSPACE_RATIO
        )
        return within_share and self.held_bytes + size_bytes <= self.limit_bytes

    async def acquire(self, workspace: str, size_bytes: int) -> Failure | None:
        """Acquire bytes for a body, waiting up to ``wait_s`` for their release."""
        need = (workspace, size_bytes)
        self.waiting.append(need)
        try:
            async with asyncio.timeout(self.wait_s):
                while not self.fits(workspace, size_bytes):
                    self.released.clear()
                    await self.released.wait()
        except TimeoutError:
            return Failure(
                Code.BODY_MEMORY,
                f"bodies hold the limit of {self.limit_bytes} bytes,"
                " or the workspace its share of it",
                retry_after_s=RETRY_AFTER_S,
            )
        finally:
            self.waiting.remove(need)
        self.hold(workspace, size_bytes)
        return None

    def try_acquire(self, workspace: str, size_bytes: int) -> bool:
        """Acquire bytes if they fit and nobody waits for them; return whether."""
        if self.is_short(workspace) or not self.fits(workspace, size_bytes):
            return False
        self.hold(workspace, size_bytes)
        return True

    def hold(self, workspace: str, size_bytes: int) -> None:
        """Count bytes as held."""
        self.held_bytes += size_bytes
        self.workspace_bytes[workspace] = (
            self.workspace_bytes.get(workspace, 0) + size_bytes
        )

    def is_short(self, workspace: str) -> bool:
        """Return whether a body waits for bytes that a workspace could release.

        A body for which its own workspace's share is used up gains nothing from others.
        """
        return any(
            waiting_workspace == workspace
            or self.held_bytes + size_bytes > self.limit_bytes
            for waiting_workspace, size_bytes in self.waiting
            if not self.fits(waiting_workspace, size_bytes)
        )

    def release(self, workspace: str, size_bytes: int) -> None:
        """Release bytes of a body."""
        self.held_bytes -= size_bytes
        self.workspace_bytes[workspace] -= size_bytes
        if not self.workspace_bytes[workspace]:
            del self.workspace_bytes[workspace]
        self.released.set()


class BodyReader:
    """Reads one request's body and holds memory for it until ``release``.

    ``length`` is the declared length, ``limit_bytes`` the largest that is accepted.
    """

    def __init__(
        self,
        *,
        memory: BodyMemory,
        settings: Entry,
        workspace: str,
        length: int,
        limit_bytes: int,
    ):
        self.memory = memory
        self.settings = settings
        self.workspace = workspace
        self.length = length
        self.limit_bytes = limit_bytes
        self.acquired_bytes = 0
        self.remaining_s = self.settings.body_timeout_s

    async def acquire(self, size_bytes: int) -> Failure | None:
        """Acquire more memory for this body."""
        failure = await self.memory.acquire(self.workspace, size_bytes)
        if failure is None:
            self.acquired_bytes += size_bytes
        return failure

    def release(self) -> None:
        """Release the memory that this body holds."""
        if self.acquired_bytes:
            self.memory.release(self.workspace, self.acquired_bytes)
            self.acquired_bytes = 0

    async def read(self, receive: Any) -> bytes | Failure:
        """Return the whole body, or a failure that names the limit it exceeds.

        Memory is acquired for a declared length before reading, otherwise for
        each chunk as it arrives.
        """
        limit = self.limit_bytes
        if self.length > limit:
            return Failure(Code.BODY_TOO_LARGE, f"body exceeds {limit} bytes")
        if self.length > 0:
            failure = await self.acquire(self.length)
            if failure is not None:
                return failure
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            message = await self.receive_message(receive)
            if isinstance(message, Failure):
                return message
            if message["type"] == "http.disconnect":
                return Failure(Code.CANCELLED, "the caller disconnected")
            chunk = message.get("body", b"")
            size_bytes += len(chunk)
            if size_bytes > limit:
                return Failure(Code.BODY_TOO_LARGE, f"body exceeds {limit} bytes")
            if size_bytes > self.acquired_bytes:
                failure = await self.acquire(len(chunk))
                if failure is not None:
                    return failure
            chunks.append(chunk)
            if not message.get("more_body", False):
                if self.length >= 0 and size_bytes != self.length:
                    reason = f"{size_bytes} bytes of a body of {self.length}"
                    return Failure(Code.MALFORMED, reason)
                return b"".join(chunks)

    async def receive_message(self, receive: Any) -> Any:
        """Return the next ASGI message within the time left for receiving.

        Time spent waiting for memory doesn't count as slowness of the caller.
        """
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(self.remaining_s):
                return await receive()
        except TimeoutError:
            timeout_s = self.settings.body_timeout_s
            return Failure(
                Code.BODY_TOO_SLOW, f"body not complete within {timeout_s:g} s"
            )
        finally:
            self.remaining_s -= time.monotonic() - started_at

    async def read_json(self, receive: Any) -> dict[str, Any] | Failure:
        """Return the JSON object in the body, or what is wrong with it.

        Decoded values take more memory than their text, so memory for them is
        acquired before decoding.
        """
        data = await self.read(receive)
        if isinstance(data, Failure):
            return data
        value_count = count_values(data)
        limit = self.settings.body_values_limit
        if value_count > limit:
            return Failure(Code.BODY_TOO_LARGE, f"body has over {limit} JSON values")
        failure = await self.acquire(value_count * BYTES_PER_VALUE)
        if failure is not None:
            return failure
        return parse_json(data, self.settings)


def body_length(headers: dict[bytes, bytes]) -> int:
    """Return the declared body length in bytes, ``UNKNOWN_LENGTH`` without one."""
    text = headers.get(b"content-length", b"")
    return int(text) if text.isdigit() else UNKNOWN_LENGTH


def count_values(data: bytes) -> int:
    """Return an upper bound on the number of values in a JSON text."""
    return 1 + sum(data.count(separator) for separator in (b",", b"[", b"{", b":"))


def exceeds_depth(decoded: Any, limit: int) -> bool:
    """Return whether decoded JSON is nested deeper than ``limit`` levels."""
    level = [decoded]
    for _ in range(limit):
        children: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                children.extend(
                    child for child in value.values() if isinstance(child, dict | list)
                )
            elif isinstance(value, list):
                children.extend(
                    child for child in value if isinstance(child, dict | list)
                )
        if not children:
            return False
        level = children
    return True


def has_lone_surrogate(data: bytes, decoded: Any) -> bool:
    """Return whether a string has a lone surrogate, which UTF-8 can't encode."""
    if not SURROGATE_ESCAPE.search(data):
        return False
    try:
        json.dumps(decoded, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return True
    return False


def reject_constant(name: str) -> None:
    """Reject NaN and Infinity, which Python's parser accepts and JSON lacks."""
    raise ValueError(f"{name} is not JSON")


def parse_json(data: bytes, settings: Entry) -> dict[str, Any] | Failure:
    """Return the JSON object in a body, or what is wrong with it."""
    limit = settings.body_depth_limit
    try:
        decoded = json.loads(data.decode(), parse_constant=reject_constant)
    except RecursionError:
        return Failure(Code.BODY_TOO_DEEP, f"nested deeper than {limit} levels")
    except ValueError as error:
        return Failure(Code.MALFORMED, f"not JSON: {str(error)[:120]}")
    if exceeds_depth(decoded, limit):
        return Failure(Code.BODY_TOO_DEEP, f"nested deeper than {limit} levels")
    if has_lone_surrogate(data, decoded):
        return Failure(Code.MALFORMED, "a string has a lone surrogate")
    if not isinstance(decoded, dict):
        return Failure(Code.MALFORMED, "the body is not a JSON object")
    return decoded
