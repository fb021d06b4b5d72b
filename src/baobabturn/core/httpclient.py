"""Shared by all HTTP clients: sessions that send each request once, and limits.

aiohttp by itself retries a request with an idempotent method (``PUT``, ``DELETE``
or ``GET``) if the connection drops before the response.  This could run a request
twice and would call the platform outside the call budget.  So a dropped connection
is raised as an error that aiohttp does not retry.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ServerDisconnectedError,
    TCPConnector,
)

READ_CHUNK_BYTES = 65_536
NO_BODY_STATUSES = frozenset((204, 304))
CHUNKED = b"chunked"


def unpooled_session(**options: Any) -> ClientSession:
    """Return a session that opens a connection for each request.

    On a connection that is kept, a late second copy of one response could be taken for
    the response to the next request.
    """
    return ClientSession(
        connector=TCPConnector(limit=0, force_close=True),
        middlewares=[send_once],
        **options,
    )


def is_framed(method: str, status: int, headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Return whether a response's own bytes show where it ends.

    Any other ends with its connection, whether or not it is complete.  Source: RFC
    9112, section 6.3.

    Example::

        >>> is_framed("GET", 200, [(b"Content-Length", b"4")])
        True
    """
    if method == "HEAD" or status in NO_BODY_STATUSES:
        return True
    codings = transfer_codings(headers)
    if codings:
        return codings[-1] == CHUNKED
    return any(name.lower() == b"content-length" for name, _ in headers)


def transfer_codings(headers: Sequence[tuple[bytes, bytes]]) -> list[bytes]:
    """Return the transfer codings of a message in lower case, the outermost last."""
    values = [value for name, value in headers if name.lower() == b"transfer-encoding"]
    return [coding.strip().lower() for value in values for coding in value.split(b",")]


class ResponseTooLarge(ClientError):
    """A response's body is larger than its reader accepts."""


async def read_limited(response: ClientResponse, max_bytes: int) -> bytes:
    """Return a response's body; raise ``ResponseTooLarge`` over ``max_bytes``."""
    body = bytearray()
    async for data in response.content.iter_chunked(READ_CHUNK_BYTES):
        body += data
        if len(body) > max_bytes:
            raise ResponseTooLarge(f"over {max_bytes} bytes")
    return bytes(body)


class AnswerLost(ClientError):
    """The connection dropped after the request may have been sent."""


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request; raise ``AnswerLost`` if the connection drops after that."""
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise AnswerLost(type(error).__name__) from error
