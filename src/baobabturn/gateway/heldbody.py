"""A response's body in chunks that count as body memory until they are taken."""

from __future__ import annotations

import collections
from typing import Any

from baobabturn.core.results import Failure
from baobabturn.entry.bodies import BodyMemory

# Up to this size a body isn't counted towards the memory for bodies.
UNCOUNTED_BYTES = 65_536
MAX_CHUNK_BYTES = 65_536


class HeldBody:
    """The chunks of a body that haven't been sent yet.

    ``size_bytes`` is the size of the whole body, ``left_bytes`` that of the chunks
    which are left, ``acquired_bytes`` the body memory that is held for them.
    """

    def __init__(self, *, memory: BodyMemory, workspace: str):
        self.memory = memory
        self.workspace = workspace
        self.chunks: collections.deque[bytearray] = collections.deque()
        self.size_bytes = 0
        self.left_bytes = 0
        self.acquired_bytes = 0

    async def append(self, data: bytes) -> Failure | None:
        """Add at most ``MAX_CHUNK_BYTES``; return why there is no memory for them.

        Small pieces are joined, so that they take no more memory than their bytes.
        """
        if self.chunks and len(self.chunks[-1]) + len(data) <= MAX_CHUNK_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))
        self.size_bytes += len(data)
        self.left_bytes += len(data)
        if self.size_bytes <= UNCOUNTED_BYTES:
            return None
        failure = await self.memory.acquire(self.workspace, len(data))
        if failure is None:
            self.acquired_bytes += len(data)
        return failure

    async def send_to(self, send: Any) -> None:
        """Send all chunks over ASGI; each is released once the next one was sent."""
        while self.chunks:
            chunk = self.chunks.popleft()
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            self.shrink(self.left_bytes)
            self.left_bytes -= len(chunk)

    def shrink(self, size_bytes: int) -> None:
        """Release the memory that is held beyond a size."""
        surplus_bytes = self.acquired_bytes - size_bytes
        if surplus_bytes > 0:
            self.acquired_bytes = size_bytes
            self.memory.release(self.workspace, surplus_bytes)

    def release(self) -> None:
        """Drop what is left and release all memory."""
        self.chunks.clear()
        self.left_bytes = 0
        self.shrink(0)
