"""A caller's connection: what it has yet to take, waiting for it, and its reset."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Any

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

# The key of a request's ASGI scope under which its connection stands.
CONNECTION_KEY = "baobabturn.connection"
# The kernel takes at most about this much that can't be sent yet.  By default it takes
# megabytes, so that a slow caller's progress would show only every few seconds.
UNSENT_KERNEL_BYTES = 32_768
# A connection resumes once it is below this part of its limit.  Near the limit, so that
# an engine is read on as soon as its caller has taken something.
RESUME_RATIO = 15 / 16
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
INT_BYTES = 4


class CallerConnection:
    """One connection, by its HTTP protocol object.

    ``limit_bytes`` is how much may wait in this process to be sent.
    """

    def __init__(self, *, protocol: Any):
        self.transport = protocol.transport
        self.flow = protocol.flow
        self.limit_bytes = HIGH_WATER_LIMIT
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_KERNEL_BYTES
        )

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self.transport.is_closing()

    def unsent_bytes(self) -> int:
        """Return how much waits in this process to be sent."""
        return self.transport.get_write_buffer_size()

    def untaken_bytes(self) -> int:
        """Return how much the caller's host has yet to confirm, also by the kernel."""
        if self.is_closing:
            return 0
        fd = self.transport.get_extra_info("socket").fileno()
        reply = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(INT_BYTES))
        return self.unsent_bytes() + int.from_bytes(reply, "little")

    def set_limit(self, limit_bytes: int) -> None:
        """Set how much may wait in this process to be sent."""
        if limit_bytes == self.limit_bytes or self.is_closing:
            return
        self.limit_bytes = limit_bytes
        self.transport.set_write_buffer_limits(
            high=limit_bytes, low=int(limit_bytes * RESUME_RATIO)
        )

    def reset_limit(self) -> None:
        """Set the limit that every connection begins with."""
        self.set_limit(HIGH_WATER_LIMIT)

    @property
    def is_full(self) -> bool:
        """Return whether more than the limit waits, and hasn't been taken since."""
        return self.flow.write_paused and not self.is_closing

    async def wait(self, limit_s: float) -> None:
        """Wait for some time, at most until the connection isn't full any more."""
        if not self.is_full:
            await asyncio.sleep(limit_s)
            return
        try:
            async with asyncio.timeout(limit_s):
                await self.flow.drain()
        except TimeoutError:
            return

    def reset(self) -> None:
        """Reset the connection, so that the response can't look complete.

        Without lingering, the kernel drops what the caller hasn't taken at once.
        """
        if self.is_closing:
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
