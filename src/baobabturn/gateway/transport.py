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

# A peer that went dark is noticed by these, in seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2500


def open_socket(info: Any) -> socket.socket:
    """Return a socket that notices a peer which no longer answers."""
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


HEAD_END = b"\r\n\r\n"
HEAD_LIMIT_BYTES = 65_536
LENGTH = re.compile(rb"\r\ncontent-length: *(\d{1,12}) *\r\n", re.IGNORECASE)


class SingleResponseHandler(ResponseHandler):
    """Takes just one whole answer from a connection.

    Bytes beyond a declared length belong to no request, so they are dropped; the
    library would drop the answer with them.  An answer without a length is whole
    only if its connection ended well; the library takes any end for its end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.head: bytes | None = b""
        self.left: int | None = None

    def data_received(self, data: bytes) -> None:
        """Hand on the bytes of the answer."""
        if self.left is None and self.head is not None:
            self.read_length(data)
        if self.left is not None:
            data = data[: self.left]
            self.left -= len(data)
        if data:
            super().data_received(data)

    def read_length(self, data: bytes) -> None:
        """Find out how many bytes the answer has from these on, if it says so."""
        assert self.head is not None
        before = len(self.head)
        self.head += data
        end = self.head.find(HEAD_END)
        if end < 0 and len(self.head) < HEAD_LIMIT_BYTES:
            return
        found = LENGTH.search(self.head, 0, max(0, end) + 2)
        self.head = None
        if found is not None:
            self.left = end + len(HEAD_END) + int(found[1]) - before

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was being read when the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class SingleResponseConnector(aiohttp.TCPConnector):
    """A connector whose connections are handled by ``StrictHandler``."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            SingleResponseHandler, loop=self._loop
        )


class Transport:
    """Sessions for endpoints and for the platform's store.

    A request to an endpoint gets a connection of its own.  What an endpoint
    sends beyond one answer then can't be taken for another one, and a kept
    connection that the endpoint has dropped is never used.
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
            connector=aiohttp.TCPConnector(limit=0, socket_factory=open_socket),
            middlewares=[send_once],
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.endpoint_session.close()
        await self.store_session.close()
