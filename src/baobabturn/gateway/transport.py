"""The gateway's HTTP client sessions."""

from __future__ import annotations

import asyncio
import functools
import re
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from baobabturn.core.httpclient import send_once

# TCP options that detect a host which vanished without closing its connections.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
USER_TIMEOUT_MS = 2500


def open_socket(address_info: Any) -> socket.socket:
    """Return a non-blocking socket that detects a vanished host within seconds."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 65_536
# Bytes outside the body that a response may have for each byte of it, besides its
# head: a chunk of one byte has five more for its size.
MAX_FRAMING_RATIO = 16
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d{1,12}) *\r\n", re.IGNORECASE)


class SingleResponseHandler(ResponseHandler):
    """Accepts exactly one complete response from a connection.

    Bytes beyond the declared length belong to no request and are dropped; aiohttp
    would discard the whole response because of them.  A response without a declared
    length is complete only if the endpoint closed the connection cleanly; aiohttp would
    accept a reset, or this gateway's own close, as its end.  Bytes that never become
    part of a body, as endless early responses or chunk sizes, end the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.head: bytes | None = b""
        self.bytes_left: int | None = None
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Pass on the bytes that belong to the response."""
        self.received_bytes += len(data)
        if self.bytes_left is None and self.head is not None:
            self.parse_length(data)
        if self.bytes_left is not None:
            data = data[: self.bytes_left]
            self.bytes_left -= len(data)
        if data:
            super().data_received(data)
        if self.received_bytes > self.max_received_bytes():
            self.fail("too many bytes outside the body")

    def max_received_bytes(self) -> int:
        """Return how many bytes may have come for the body that came with them."""
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        return MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes

    def fail(self, reason: str) -> None:
        """Fail the response and reset the connection."""
        error = aiohttp.ClientPayloadError(reason)
        self.fail_payload(reason)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def parse_length(self, data: bytes) -> None:
        """Set ``bytes_left``, counted from ``data`` on, once the head is complete.

        It stays None for a response that declares no length.
        """
        assert self.head is not None
        received = len(self.head)
        self.head += data
        end = self.head.find(HEAD_END)
        if end < 0 and len(self.head) < MAX_HEAD_BYTES:
            return
        match = CONTENT_LENGTH.search(self.head, 0, max(0, end) + 2)
        self.head = None
        if match is not None:
            self.bytes_left = end + len(HEAD_END) + int(match[1]) - received

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response being read if the connection was reset."""
        if exc is not None:
            self.fail_payload("connection reset")
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; a response that is being read fails."""
        self.fail_payload("closed by this gateway")
        super().close()

    def abort(self) -> None:
        """Reset the connection; a response that is being read fails."""
        self.fail_payload("reset by this gateway")
        super().abort()

    def fail_payload(self, reason: str) -> None:
        """Fail the body that is being read, unless all of it has come."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(reason))


class SingleResponseConnector(aiohttp.TCPConnector):
    """A connector whose connections use ``SingleResponseHandler``."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            SingleResponseHandler, loop=self._loop
        )


class Transport:
    """The client sessions for endpoints and for the platform's store.

    Each request gets a new connection.  So surplus bytes or a late second copy of a
    response can't be taken for the next response, and no request is sent on a
    connection that the server has already closed.
    """

    def __init__(self, *, connect_timeout_s: float):
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s)
        self.endpoint_session = aiohttp.ClientSession(
            connector=SingleResponseConnector(
                limit=0, force_close=True, socket_factory=open_socket
            ),
            middlewares=[send_once],
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        self.store_session = aiohttp.ClientSession(
            connector=SingleResponseConnector(
                limit=0, force_close=True, socket_factory=open_socket
            ),
            middlewares=[send_once],
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.endpoint_session.close()
        await self.store_session.close()
