"""An endpoint that sends bytes without end, at several places of a response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fakes.rawhttp import chunk_bytes, read_request

BLOCK_BYTES = 65_536
BLOCK_PAUSE_S = 0.002
DRIP_PAUSE_S = 0.2

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: %d\ndata: a\n\n"


def identity(request_id: str) -> bytes:
    """Return the header lines that mark a response as one to a request."""
    return f"X-Attempt-Id: {request_id}\r\nX-Response-Stamp: s.1\r\n".encode()


def repeated(data: bytes) -> bytes:
    """Return data repeated up to the size of a block."""
    return data * (BLOCK_BYTES // len(data))


# What comes first and what then follows again and again, by the place.
PLACES: dict[str, Callable[[str], tuple[bytes, bytes]]] = {
    "a status line": lambda request: (b"HTTP/1.1 200 ", repeated(b"O")),
    "one header": lambda request: (OK + b"X-A: ", repeated(b"a")),
    "many headers": lambda request: (OK, repeated(b"X-A: aaaaaaaaaaaaaaaa\r\n")),
    "early answers": lambda request: (b"", repeated(b"HTTP/1.1 103 Early\r\n\r\n")),
    "a chunk's extension": lambda request: (
        OK + identity(request) + CHUNKED + b"4;x=",
        repeated(b"e"),
    ),
    "a chunk's size": lambda request: (
        OK + identity(request) + CHUNKED,
        repeated(b"0"),
    ),
    "trailers": lambda request: (
        OK + identity(request) + CHUNKED + b"0\r\n",
        repeated(b"X-T: tttttttttttttttt\r\n"),
    ),
    "a body": lambda request: (
        OK + identity(request) + CHUNKED,
        chunk_bytes(repeated(b"b")),
    ),
    "a body without a length": lambda request: (
        OK + identity(request) + b"\r\n",
        repeated(b"b"),
    ),
    "no HTTP at all": lambda request: (b"", repeated(b"\x00\x01")),
}


class EndlessEndpoint:
    """Accepts connections and answers each request without end.

    ``place`` is a key of ``PLACES``.  ``closed_after_s`` holds for each request the
    seconds until the caller closed the connection.
    """

    def __init__(self, *, place: str):
        self.place = place
        self.closed_after_s: list[float] = []
        self.sent_bytes = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop to listen."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader, writer) -> None:
        """Read one request, then send until the caller closes."""
        request = await read_request(reader)
        if request is None:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        first, block = PLACES[self.place](request.attempt_id)
        try:
            writer.write(first)
            while not writer.is_closing():
                writer.write(block)
                self.sent_bytes += len(block)
                await writer.drain()
                await asyncio.sleep(BLOCK_PAUSE_S)
        except OSError:
            pass
        finally:
            self.closed_after_s.append(loop.time() - began)
            writer.close()
