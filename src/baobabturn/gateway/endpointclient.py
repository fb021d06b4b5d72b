"""Sends one attempt of a request to one endpoint."""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
import yarl
from multidict import CIMultiDict

from baobabturn.core.httpclient import (
    CHUNKED,
    READ_CHUNK_BYTES,
    is_framed,
    transfer_codings,
)
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.bodies import BodyMemory
from baobabturn.entry.outcome import failure_from_exception
from baobabturn.gateway.bodyroom import BodyRoom
from baobabturn.gateway.crashwatch import CrashWatch
from baobabturn.gateway.endpointconditions import EndpointConditions
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.evacuations import EvacuationWatch
from baobabturn.gateway.heldbody import HeldBody
from baobabturn.gateway.limitnews import LimitExchange
from baobabturn.gateway.paths import Paths
from baobabturn.gateway.platforminterface import (
    Continuation,
    HeaderTranslator,
    ResponseMetadata,
)
from baobabturn.gateway.request import CallerRequest, Headers
from baobabturn.gateway.responseend import ResponseEndCheck
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.transport import Transport

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True, eq=False)
class OpenResponse:
    """An endpoint's response whose body has not been read yet.

    ``began_at`` is the monotonic time at which its head arrived.  ``release_request``
    is called once it is closed, after which the endpoint doesn't hold the request.
    """

    response: aiohttp.ClientResponse
    headers: Headers
    response_metadata: ResponseMetadata
    began_at: float = attrs.Factory(time.monotonic)
    release_request: Callable[[], None] | None = None

    @property
    def status(self) -> int:
        """Return the response's status."""
        return self.response.status

    @property
    def framed(self) -> bool:
        """Return whether the response's own bytes show where it ends."""
        return is_framed(self.response.method, self.status, self.headers)

    @property
    def chunked(self) -> bool:
        """Return whether the response comes in chunks."""
        return transfer_codings(self.headers)[-1:] == [CHUNKED]

    def close(self) -> None:
        """Close the connection, which cancels the request at most endpoints."""
        self.response.close()
        release, self.release_request = self.release_request, None
        if release is not None:
            release()


@attrs.frozen(kw_only=True)
class CompleteResponse:
    """A response with its complete body."""

    status: int
    headers: Headers
    body: HeldBody


class EndpointClient:
    """Sends requests to endpoints and reads their responses."""

    def __init__(
        self,
        *,
        transport: Transport,
        header_translator: HeaderTranslator,
        body_memory: BodyMemory,
        crash_watch: CrashWatch,
        rate_limits: LimitExchange,
        paths: Paths,
        conditions: EndpointConditions,
        end_check: ResponseEndCheck,
        evacuation_watch: EvacuationWatch | None,
        body_room: BodyRoom,
    ):
        self.transport = transport
        self.header_translator = header_translator
        self.body_memory = body_memory
        self.crash_watch = crash_watch
        self.rate_limits = rate_limits
        self.paths = paths
        self.conditions = conditions
        self.end_check = end_check
        self.evacuation_watch = evacuation_watch
        self.body_room = body_room

    async def open(
        self, request: CallerRequest, endpoint: Endpoint, **options: Any
    ) -> OpenResponse | Failure:
        """Send a request as ``send`` does, unless there is no room for its body."""
        size_bytes = len(request.body)
        if not self.body_room.fits(endpoint.name, size_bytes):
            return Failure(
                Code.NO_ENDPOINT,
                f"{endpoint.name} has no room for a body of {size_bytes} bytes",
                retry_after_s=spread_retry_s(RETRY_AFTER_S),
            )
        self.body_room.take(endpoint.name, size_bytes)
        result: OpenResponse | Failure | None = None
        try:
            result = await self.send(request, endpoint, **options)
        finally:
            if not isinstance(result, OpenResponse):
                self.body_room.release(endpoint.name, size_bytes)
        if isinstance(result, OpenResponse):
            result.release_request = functools.partial(
                self.body_room.release, endpoint.name, size_bytes
            )
        return result

    async def send(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        *,
        timeout_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> OpenResponse | Failure:
        """Send a request and return the head of the response, or a failure.

        The endpoint learns that it has ``timeout_s`` seconds to respond, after which
        the attempt ends here too.
        """
        headers = self.header_translator.outgoing_headers(
            request,
            endpoint=endpoint.name,
            remaining_s=timeout_s,
            engine_priority=engine_priority,
            continuation=continuation,
        )
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                refusal = await self.closed_refusal(endpoint)
                if refusal is not None:
                    return refusal
                response = await self.transport.endpoint_session.request(
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
            self.paths.record_failure(endpoint)
            return failure_from_exception(error)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no response in {timeout_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            failure = failure_from_exception(error)
            if failure.run is Run.NOT_RUN:
                self.paths.record_failure(endpoint)
            else:
                await self.crash_watch.record_broken(
                    request, endpoint, began_at=sent_at, event_count=0
                )
            return failure
        self.paths.record_reached(endpoint)
        return self.check_head(request, endpoint, response)

    async def closed_refusal(self, endpoint: Endpoint) -> Failure | None:
        """Return the refusal of a request whose endpoint has been closed meanwhile."""
        if self.evacuation_watch is not None:
            await self.evacuation_watch.wait_current()
        if not self.conditions.endpoints.is_closed(endpoint):
            return None
        return Failure(Code.NO_ENDPOINT, f"{endpoint.name} is evacuated")

    def check_head(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        response: aiohttp.ClientResponse,
    ) -> OpenResponse | Failure:
        """Return the open response, or the failure that its head implies."""
        headers = [(key.lower(), value) for key, value in response.raw_headers]
        response_metadata = self.header_translator.response_metadata(
            response.status, headers
        )
        failure = head_failure(request, response.status, response_metadata)
        self.record_limit(endpoint, failure, response_metadata)
        # A response to another request may be an old one.
        if response_metadata.request_id in ("", request.request_id):
            self.conditions.record(endpoint, response_metadata)
        if failure is not None:
            response.close()
            return failure
        return OpenResponse(
            response=response, headers=headers, response_metadata=response_metadata
        )

    def record_limit(
        self,
        endpoint: Endpoint,
        failure: Failure | None,
        response_metadata: ResponseMetadata,
    ) -> None:
        """Record the limit that a response names.

        A refusal may name one as well, but only a response shows that there is none.
        """
        per_s = response_metadata.rate_limit_per_s
        is_refusal = response_metadata.refused and per_s is not None
        if failure is None or is_refusal:
            self.rate_limits.record_answer(endpoint, per_s)

    async def fetch(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        *,
        timeout_s: float,
    ) -> CompleteResponse | Failure:
        """Send a request and return the complete response, or a failure."""
        open_response: OpenResponse | Failure | None = None
        body: HeldBody | Failure
        try:
            async with asyncio.timeout(timeout_s):
                open_response = await self.open(request, endpoint, timeout_s=timeout_s)
                if isinstance(open_response, Failure):
                    return open_response
                body = await self.read_body(request, endpoint, open_response)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no response in {timeout_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            body = failure_from_exception(error)
            if not isinstance(open_response, OpenResponse):
                return body
        finally:
            if isinstance(open_response, OpenResponse):
                open_response.close()
        assert isinstance(open_response, OpenResponse)
        if isinstance(body, Failure):
            await self.crash_watch.record_broken(
                request, endpoint, began_at=open_response.began_at, event_count=0
            )
            return body
        self.crash_watch.record_answer(request, began_at=open_response.began_at)
        return CompleteResponse(
            status=open_response.status, headers=open_response.headers, body=body
        )

    async def read_body(
        self, request: CallerRequest, endpoint: Endpoint, open_response: OpenResponse
    ) -> HeldBody | Failure:
        """Return a response's whole body, whose memory is held until it is released.

        Return a failure if it exceeds a limit or ended with its endpoint's process, and
        raise the errors of aiohttp.
        """
        body = HeldBody(memory=self.body_memory, workspace=request.workspace)
        request.held_bodies.append(body)
        failure: Failure | None = None
        is_whole = False
        try:
            failure = await self.read_chunks(body, open_response)
            failure = failure or await self.check_end(request, endpoint, open_response)
            is_whole = failure is None
        finally:
            if not is_whole:
                body.release()
        return failure or body

    async def read_chunks(
        self, body: HeldBody, open_response: OpenResponse
    ) -> Failure | None:
        """Read a response's body; return why it can't be held."""
        content = open_response.response.content
        async for data in content.iter_chunked(READ_CHUNK_BYTES):
            if body.size_bytes + len(data) > MAX_RESPONSE_BYTES:
                reason = f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
                return Failure(Code.OUTCOME_UNKNOWN, reason)
            failure = await body.append(data)
            if failure is not None:
                return Failure(Code.OUTCOME_UNKNOWN, failure.reason)
        return None

    async def check_end(
        self, request: CallerRequest, endpoint: Endpoint, open_response: OpenResponse
    ) -> Failure | None:
        """Return why a response that has ended isn't whole, None if it is."""
        if open_response.framed:
            return None
        is_engine = request.service.engine is not None
        return await self.end_check.failure(endpoint, is_engine=is_engine)


def to_multidict(headers: Headers) -> CIMultiDict[str]:
    """Return headers in the type that aiohttp takes, which sends text as UTF-8.

    Raise ``ValueError`` for a value in another encoding.
    """
    return CIMultiDict((k.decode("latin-1"), v.decode()) for k, v in headers)


def head_failure(
    request: CallerRequest, status: int, response_metadata: ResponseMetadata
) -> Failure | None:
    """Return why a response can't be passed on, None if it can.

    A response to another request, or one that the endpoint didn't sign, says
    nothing about this request.  A refusal may name no request.
    """
    answered = response_metadata.request_id
    if response_metadata.refused and answered in ("", request.request_id):
        return Failure(Code.ENDPOINT_REFUSED, f"status {status}")
    if answered != request.request_id:
        return Failure(Code.OUTCOME_UNKNOWN, "the response is to another request")
    if response_metadata.encoded:
        return Failure(Code.OUTCOME_UNKNOWN, "the response body is encoded")
    if not response_metadata.signed:
        return Failure(Code.OUTCOME_UNKNOWN, f"status {status}, unsigned response")
    return None
