"""An HTTP server on raw streams, so that tests can violate every rule of framing."""

from __future__ import annotations

import asyncio
import time

import attrs

from fakes.ports import free_port


@attrs.define(kw_only=True)
class Request:
    """A request as an endpoint received it; header names are in lower case.

    ``arrived_at`` is the time of its arrival in monotonic seconds.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = attrs.Factory(time.monotonic)

    @property
    def attempt_id(self) -> str:
        """Return the caller's id of the attempt."""
        return self.headers.get("x-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    header_pairs = [line.split(":", 1) for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, value in header_pairs}
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method=method, target=target, headers=headers, body=body)


def response_bytes(
    status: int, body: bytes, headers: dict[str, str] | None = None, length: bool = True
) -> bytes:
    """Return the bytes of an HTTP response, with Content-Length if ``length``."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def chunk_bytes(data: bytes) -> bytes:
    """Return one chunk of a response with chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class RawHttpServer:
    """A loopback listener that answers the requests of each connection in order."""

    def __init__(self):
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or after a stop on the one that it had."""
        port = int(self.address.rpartition(":")[2]) if self.address else free_port()
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", port
        )
        self.address = f"127.0.0.1:{port}"

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()
