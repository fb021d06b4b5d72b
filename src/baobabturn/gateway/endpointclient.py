"""One attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
import yarl
from multidict import CIMultiDict

from baobabturn.core.results import Code, Failure
from baobabturn.entry.outcome import from_error
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.platforminterface import (
    Continuation,
    HeaderTranslator,
    ResponseMetadata,
)
from baobabturn.gateway.request import CallerRequest, Headers
from baobabturn.gateway.transport import Transport

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
READ_CHUNK_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class OpenResponse:
    """An endpoint's answer whose content is still to be read."""

    response: aiohttp.ClientResponse
    headers: Headers
    response_metadata: ResponseMetadata

    @property
    def status(self) -> int:
        """Return the answer's status."""
        return self.response.status

    def close(self) -> None:
        """Close the connection, which ends the request at most endpoints."""
        self.response.close()


@attrs.frozen(kw_only=True)
class CompleteResponse:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class EndpointClient:
    """Sends requests to endpoints and reads their answers."""

    def __init__(self, *, transport: Transport, header_translator: HeaderTranslator):
        self.transport = transport
        self.header_translator = header_translator

    async def open(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        *,
        timeout_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> OpenResponse | Failure:
        """Send a request and return the head of its answer, or what is known.

        The endpoint is told how long it may work; ``limit_s`` seconds later the
        attempt ends here too.
        """
        headers = self.header_translator.outgoing_headers(
            request,
            endpoint=endpoint.name,
            remaining_s=timeout_s,
            engine_priority=engine_priority,
            continuation=continuation,
        )
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.transport.session.request(
                    request.method,
                    yarl.URL(
                        f"http://{endpoint.record.address}{request.target}",
                        encoded=True,
                    ),
                    data=request.body or None,
                    headers=to_multidict(headers),
                    skip_auto_headers=("Content-Type",),
                    allow_redirects=False,
                )
        except aiohttp.ConnectionTimeoutError as error:
            return from_error(error)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no answer in {timeout_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return from_error(error)
        return self.check_head(request, response)

    def check_head(
        self, request: CallerRequest, response: aiohttp.ClientResponse
    ) -> OpenResponse | Failure:
        """Return an answer, or the failure that its head means."""
        headers = [(key.lower(), value) for key, value in response.raw_headers]
        response_metadata = self.header_translator.response_metadata(
            response.status, headers
        )
        failure = head_failure(request, response.status, response_metadata)
        if failure is not None:
            response.close()
            return failure
        return OpenResponse(
            response=response, headers=headers, response_metadata=response_metadata
        )

    async def fetch(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        *,
        timeout_s: float,
    ) -> CompleteResponse | Failure:
        """Send a request and return its whole answer, or what is known."""
        open_response: OpenResponse | Failure | None = None
        try:
            async with asyncio.timeout(timeout_s):
                open_response = await self.open(request, endpoint, timeout_s=timeout_s)
                if isinstance(open_response, Failure):
                    return open_response
                body = await read_response_body(open_response.response)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no answer in {timeout_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return from_error(error)
        finally:
            if isinstance(open_response, OpenResponse):
                open_response.close()
        if isinstance(body, Failure):
            return body
        return CompleteResponse(
            status=open_response.status, headers=open_response.headers, body=body
        )


def to_multidict(headers: Headers) -> CIMultiDict[str]:
    """Return headers in the form that the client library takes."""
    return CIMultiDict((k.decode("latin-1"), v.decode("latin-1")) for k, v in headers)


def head_failure(
    request: CallerRequest, status: int, response_metadata: ResponseMetadata
) -> Failure | None:
    """Return why an answer can't be passed on, None where it can.

    An answer to another request, or one that the endpoint doesn't vouch for,
    says nothing of this request.
    """
    if response_metadata.refused:
        return Failure(Code.ENDPOINT_REFUSED, f"status {status}")
    if response_metadata.request_id != request.request_id:
        return Failure(Code.OUTCOME_UNKNOWN, "an answer to another request")
    if response_metadata.encoded:
        return Failure(Code.OUTCOME_UNKNOWN, "an encoded answer")
    if not response_metadata.signed:
        return Failure(Code.OUTCOME_UNKNOWN, f"status {status} without a signature")
    return None


async def read_response_body(response: aiohttp.ClientResponse) -> bytes | Failure:
    """Return an answer's content; raises what the client library does."""
    body = bytearray()
    async for data in response.content.iter_chunked(READ_CHUNK_BYTES):
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            return Failure(Code.OUTCOME_UNKNOWN, f"over {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
