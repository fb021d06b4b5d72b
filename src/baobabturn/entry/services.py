"""Requests to plain services, with claims for those that may run only once."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Awaitable
from typing import Any

import aiohttp
import attrs
import yarl

from baobabturn.config.declared import DRAIN_ROLE, Endpoint, Operation, Workspace
from baobabturn.core.events import Event
from baobabturn.core.httpclient import is_framed
from baobabturn.core.probe import has_ended, keeps_accepting
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.endpointranking import EndpointRanking
from baobabturn.entry.node import Node
from baobabturn.entry.outcome import failure_from_exception, may_retry
from baobabturn.entry.responses import send_bytes, send_failure
from baobabturn.entry.streams import run_until_disconnect
from baobabturn.quarantine.evidence import request_suspect
from baobabturn.store.acquisition import Claim
from baobabturn.store.claims import claim_name
from baobabturn.store.claimvalues import Result

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
READ_CHUNK_BYTES = 65_536
# A response waits at most this long until its result is recorded in the claim;
# the recording goes on afterwards.
RECORD_TIMEOUT_S = 1.0
BUSY_STATUSES = (429, 503)
HTTP_PORT = 80


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """One request to an operation of a plain service.

    ``deadline`` is in monotonic seconds, ``key`` is the idempotency key.
    """

    request_id: str
    workspace: Workspace
    service: str
    operation: Operation
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    key: str
    deadline: float

    @property
    def digest(self) -> str:
        """Return a hash of the request, to detect reuse of a key for another one."""
        head = f"{self.method}\n{self.path}\n{self.query}\n".encode()
        return hashlib.sha256(head + self.body).hexdigest()

    @property
    def suspect(self) -> str:
        """Return the suspect that stands for this request and those that are alike."""
        texts = (self.workspace.name, self.service, self.digest)
        return request_suspect(hashlib.sha256("\n".join(texts).encode()).hexdigest())


class ServiceDispatcher:
    """Sends requests to the endpoints of plain services."""

    def __init__(self, *, node: Node):
        self.node = node
        self.ranking = EndpointRanking()
        self.crash_watch = node.prompt_watch

    async def handle(self, request: ServiceRequest, receive: Any, send: Any) -> None:
        """Run a request and send its response.

        A repeatable request ends when its caller disconnects; any other runs
        on until its result is recorded.
        """
        if request.operation.repeatable:
            if not await run_until_disconnect(
                self.send_result(request, self.run_attempts(request), send), receive
            ):
                self.log_result(
                    request, Failure(Code.CANCELLED, "the caller disconnected")
                )
            return
        if not request.key:
            failure = Failure(Code.KEY_REQUIRED, "send Idempotency-Key")
            await self.send_result(request, as_awaitable(failure), send)
            return
        work = self.start_background(
            self.run_claimed(request), f"call-{request.request_id}"
        )
        await self.send_result(request, asyncio.shield(work), send)

    async def send_result(
        self, request: ServiceRequest, work: Awaitable[Result | Failure], send: Any
    ) -> None:
        """Await a request's result, log it and send it."""
        result = await work
        self.log_result(request, result)
        if isinstance(result, Failure):
            await send_failure(send, result, request.request_id)
            return
        headers = [
            (b"x-request-id", request.request_id.encode()),
            (b"x-baobabturn-run", result.run.value.encode()),
            (b"x-baobabturn-replayed", str(result.replayed).lower().encode()),
        ]
        await send_bytes(
            send, result.body, result.status, result.content_type.encode(), headers
        )

    def start_background(self, work: Awaitable[Any], name: str) -> asyncio.Task:
        """Start work that outlives its caller and that draining waits for."""

        async def run_counted() -> Any:
            self.node.open_requests += 1
            try:
                return await work
            finally:
                self.node.open_requests -= 1

        return self.node.program.background.start(run_counted(), name)

    def log_result(self, request: ServiceRequest, result: Result | Failure) -> None:
        """Log and count how a request ended."""
        if isinstance(result, Failure):
            self.node.count_failure(result)
            self.node.events.emit(
                Event.REQUEST_FAILED,
                request=request.request_id,
                code=int(result.code),
                run=result.run.value,
            )
            return
        self.node.events.emit(
            Event.REQUEST_FINISHED, request=request.request_id, status=result.status
        )

    async def run_claimed(self, request: ServiceRequest) -> Result | Failure:
        """Run a request that may run at most once, under an idempotency claim."""
        name = claim_name(request.workspace.name, request.service, request.key)
        claims, events = self.node.claims, self.node.events
        while True:
            claim = await claims.acquire(name, request.digest, request.deadline)
            if isinstance(claim, Result):
                events.emit(
                    Event.CLAIM_REPLAYED, request=request.request_id, claim=name
                )
            if not isinstance(claim, Claim):
                return claim
            events.emit(Event.CLAIM_CREATED, request=request.request_id, claim=name)
            failure = await claims.start(
                claim, request.deadline, request.operation.timeout_s
            )
            if failure is None:
                break
            if failure.code is not Code.CLAIM_IN_PROGRESS:
                return failure
        result = await self.run_attempts(request)
        settling = self.start_background(
            self.settle_claim(request, claim, result), f"settle-{name}"
        )
        remaining_s = max(0.0, request.deadline - time.monotonic())
        await asyncio.wait({settling}, timeout=min(RECORD_TIMEOUT_S, remaining_s))
        return result

    async def settle_claim(
        self, request: ServiceRequest, claim: Claim, result: Result | Failure
    ) -> None:
        """Record a result, or void the claim if the request certainly did not run."""
        claims = self.node.claims
        event = Event.CLAIM_RECORDED
        if isinstance(result, Result):
            failure = await claims.record(claim, result)
        elif result.run is Run.NOT_RUN:
            event = Event.CLAIM_VOIDED
            failure = await claims.void(claim)
        else:
            failure = await claims.record_unknown(claim)
        if failure is None:
            self.node.events.emit(
                event,
                request=request.request_id,
                claim=claim.name,
                run=result.run.value,
            )

    def untried_endpoints(self, service: str, tried_names: set[str]) -> list[Endpoint]:
        """Return a service's untried endpoints, shortest expected wait first."""
        candidates = [
            endpoint
            for endpoint in self.node.state.endpoints.values()
            if endpoint.service == service
            and endpoint.name not in tried_names
            and endpoint.name not in self.node.leaving_endpoints
            and endpoint.role != DRAIN_ROLE
        ]
        return self.ranking.rank(candidates, self.node.settings.host.failure_domain)

    async def run_attempts(self, request: ServiceRequest) -> Result | Failure:
        """Try endpoints until a result permits no further attempt."""
        tried_names: set[str] = set()
        reason = f"no endpoint serves {request.service}"
        result: Result | Failure = Failure(Code.NO_ENDPOINT, reason)
        for _ in range(self.node.settings.entry.attempt_limit):
            candidates = self.untried_endpoints(request.service, tried_names)
            if not candidates:
                return result
            refusal = self.crash_watch.refusal([request.suspect])
            if refusal is not None:
                return result if tried_names else refusal
            endpoint = candidates[0]
            tried_names.add(endpoint.name)
            result = await self.attempt(request, endpoint)
            if (
                not self.may_try_another(request, result)
                or time.monotonic() >= request.deadline
            ):
                return result
        return result

    def may_try_another(
        self, request: ServiceRequest, result: Result | Failure
    ) -> bool:
        """Return whether a request may be sent to another endpoint after a result."""
        if isinstance(result, Failure):
            may_have_run = result.run is not Run.NOT_RUN
            if may_have_run and self.crash_watch.may_crash_endpoints([request.suspect]):
                return False
            return may_retry(result, request.operation.repeatable)
        return request.operation.repeatable and result.status in BUSY_STATUSES

    async def attempt(
        self, request: ServiceRequest, endpoint: Endpoint
    ) -> Result | Failure:
        """Make one attempt at an endpoint; return its response or failure."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return Failure(
                Code.DEADLINE_NOT_RUN, "the deadline passed before an attempt"
            )
        self.node.events.emit(
            Event.ATTEMPT_SENT, request=request.request_id, endpoint=endpoint.name
        )
        self.ranking.record_start(endpoint.name)
        started_at = time.monotonic()
        reached = False
        try:
            result = await self.exchange(request, endpoint, remaining_s)
            not_connected = (
                isinstance(result, Failure) and result.code is Code.CONNECT_FAILED
            )
            reached = not not_connected
            await self.record_outcome(request, endpoint, result, started_at)
            return result
        finally:
            self.ranking.record_end(
                endpoint.name, time.monotonic() - started_at, reached
            )

    async def record_outcome(
        self,
        request: ServiceRequest,
        endpoint: Endpoint,
        result: Result | Failure,
        started_at: float,
    ) -> None:
        """Record a response, or that the endpoint has crashed under the request."""
        if isinstance(result, Result):
            cleared = self.crash_watch.record_answer([request.suspect], started_at)
            self.crash_watch.publish_everywhere(cleared)
            return
        if result.run is Run.NOT_RUN or result.code is Code.DEADLINE_UNKNOWN:
            return
        url = yarl.URL(endpoint.url)
        if not await has_ended(url.host or "", url.port or HTTP_PORT):
            return
        self.crash_watch.record_crash(
            request.request_id,
            [request.suspect],
            endpoint.name,
            began_s=time.monotonic() - started_at,
        )
        self.crash_watch.publish_everywhere([request.suspect])

    async def exchange(
        self, request: ServiceRequest, endpoint: Endpoint, remaining_s: float
    ) -> Result | Failure:
        """Send a request to an endpoint and read the response."""
        session = self.node.session
        timeout_s = min(request.operation.timeout_s, remaining_s)
        try:
            async with session.request(
                request.method,
                endpoint.url + request.path + request.query,
                data=request.body or None,
                headers={
                    "Content-Type": request.content_type,
                    "X-Request-Id": request.request_id,
                    "X-Baobabturn-Workspace": request.workspace.name,
                },
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s,
                    sock_connect=self.node.settings.entry.connect_timeout_s,
                ),
            ) as response:
                result = await read_response(response, request.operation)
                return await self.check_end(endpoint, response, result)
        except aiohttp.ConnectionTimeoutError as error:
            return failure_from_exception(error)
        except TimeoutError:
            code = (
                Code.DEADLINE_UNKNOWN
                if timeout_s == remaining_s
                else Code.OUTCOME_UNKNOWN
            )
            return Failure(code, f"no response in {timeout_s:.3g} s")
        except (aiohttp.ClientError, OSError) as error:
            return failure_from_exception(error)

    async def check_end(
        self,
        endpoint: Endpoint,
        response: aiohttp.ClientResponse,
        result: Result | Failure,
    ) -> Result | Failure:
        """Return a result, or a failure if it may have been cut short.

        A response with neither a length nor chunks ends with its connection, as does
        any other of a process that ends.
        """
        if is_framed(response.method, response.status, response.raw_headers):
            return result
        url = yarl.URL(endpoint.url)
        if await keeps_accepting(url.host or "", url.port or HTTP_PORT):
            return result
        reason = f"{endpoint.name} doesn't run any more after its response"
        return Failure(Code.OUTCOME_UNKNOWN, reason)


async def as_awaitable(failure: Failure) -> Failure:
    """Return a failure as an awaitable result."""
    return failure


async def read_response(
    response: aiohttp.ClientResponse, operation: Operation
) -> Result | Failure:
    """Return a service's response, or a failure if its status is a declared refusal.

    A server error or 429 proves neither that the request ran nor that it didn't.
    """
    body = bytearray()
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            return Failure(
                Code.OUTCOME_UNKNOWN, f"response exceeds {MAX_RESPONSE_BYTES} bytes"
            )
    if response.status in operation.refusals:
        return Failure(Code.ENDPOINT_REFUSED, f"status {response.status}")
    run = Run.UNKNOWN if response.status >= 500 or response.status == 429 else Run.RAN
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return Result(
        status=response.status, content_type=content_type, body=bytes(body), run=run
    )
