"""Middleware of all HTTP client sessions: each request is sent only once.

aiohttp by itself retries a request with an idempotent method (``PUT``, ``DELETE``
or ``GET``) if the connection drops before the response.  This could run a request
twice and would call the platform outside the call budget.  So a dropped connection
is raised as an error that aiohttp does not retry.
"""

from __future__ import annotations

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ServerDisconnectedError,
)


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
