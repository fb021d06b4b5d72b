"""What the HTTP client sessions have in common: each request is sent once.

The client library sends a request with ``PUT``, ``DELETE`` or ``GET`` again by
itself when the connection drops before the answer.  That would run a call twice
and write to the platform past the budget, so a dropped connection is turned
into an error that the library does not retry.
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
    """Send a request through the library and never a second time."""
    try:
        return await handler(request)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as error:
        raise AnswerLost(type(error).__name__) from error
