"""A caller that takes its response only as far and as fast as it is told."""

from __future__ import annotations

import asyncio
import socket

from fakes.callers import Reply, read_reply, request_bytes, request_headers

READ_BYTES = 65_536


class SlowCaller:
    """One request on a connection whose receive buffer is small.

    ``received`` holds the bytes that were read, ``was_reset`` says that the connection
    ended with a reset, ``ended`` that it has ended at all.
    """

    def __init__(self, *, receive_buffer_bytes: int = 16_384):
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes // 2
        )
        self.sock.setblocking(False)
        self.received = b""
        self.was_reset = False
        self.ended = False

    async def send(
        self, address: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> None:
        """Connect and send a request."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, (host, int(port)))
        sent = request_headers(path, headers)
        await loop.sock_sendall(self.sock, request_bytes(method, path, sent, body))

    async def read(self, size_bytes: int = READ_BYTES) -> bytes:
        """Read some bytes, none at the end of the connection."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self.sock, size_bytes)
        except ConnectionResetError:
            self.was_reset = True
            data = b""
        self.received += data
        self.ended = self.ended or not data
        return data

    def body_bytes(self) -> int:
        """Return how much was read after the response's head."""
        _, _, body = self.received.partition(b"\r\n\r\n")
        return len(body)

    async def read_to_end(self) -> None:
        """Read until the connection ends."""
        while await self.read():
            pass

    async def reply(self) -> Reply:
        """Return the response, as far as it was read."""
        reader = asyncio.StreamReader()
        reader.feed_data(self.received)
        reader.feed_eof()
        return await read_reply(reader)

    async def whole_reply(self, limit_s: float) -> Reply:
        """Read until the response is whole or ends, and return it."""
        async with asyncio.timeout(limit_s):
            while not self.ended:
                await self.read()
                if self.received.endswith(b"0\r\n\r\n"):
                    break
        return await self.reply()

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()
