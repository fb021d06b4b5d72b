"""Calls to plain services, with claims for those that may not be repeated."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Awaitable
from typing import Any

import aiohttp
import attrs

from baobabturn.config.declared import DRAIN_ROLE, Endpoint, Operation, Workspace
from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.answers import send_bytes, send_failure
from baobabturn.entry.node import Node
from baobabturn.entry.outcome import from_error, may_retry
from baobabturn.entry.streams import until_gone
from baobabturn.entry.workers import Workers
from baobabturn.store.acquisition import Claim
from baobabturn.store.claims import claim_name
from baobabturn.store.claimvalues import Result

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
READ_BYTES = 65_536
RECORD_WAIT_S = 1.0
BUSY_STATUSES = (429, 503)


@attrs.frozen(kw_only=True)
class ServiceCall:
    """One call of an operation; ``deadline`` is monotonic seconds."""

    request: str
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
        """Return a hash of what is asked, to tell reuse of a key apart."""
        text = f"{self.method}\n{self.path}\n{self.query}\n".encode()
        return hashlib.sha256(text + self.body).hexdigest()


class ServiceCaller:
    """Sends calls to a service's endpoints."""

    def __init__(self, *, node: Node):
        self.node = node
        self.workers = Workers()

    async def answer(self, call: ServiceCall, receive: Any, send: Any) -> None:
        """Carry out a call and send its answer.

        A call that may be repeated ends when its caller goes away, one that may
        not is carried on to its record.
        """
        if call.operation.repeatable:
            if not await until_gone(
                self.reply(call, self.attempts(call), send), receive
            ):
                self.finished(call, Failure(Code.CANCELLED, "the caller went away"))
            return
        if not call.key:
            failure = Failure(Code.KEY_REQUIRED, "send Idempotency-Key")
            await self.reply(call, failure_of(failure), send)
            return
        work = self.carried(self.claimed(call), f"call-{call.request}")
        await self.reply(call, asyncio.shield(work), send)

    async def reply(
        self, call: ServiceCall, work: Awaitable[Result | Failure], send: Any
    ) -> None:
        """Await a call's result, log it and send it."""
        result = await work
        self.finished(call, result)
        if isinstance(result, Failure):
            await send_failure(send, result, call.request)
            return
        headers = [
            (b"x-request-id", call.request.encode()),
            (b"x-baobabturn-run", result.run.value.encode()),
            (b"x-baobabturn-replayed", str(result.replayed).lower().encode()),
        ]
        await send_bytes(
            send, result.body, result.status, result.content_type.encode(), headers
        )

    def carried(self, work: Awaitable[Any], name: str) -> asyncio.Task:
        """Start work that a drain waits for, whether its caller stays or not."""

        async def counted() -> Any:
            self.node.open_requests += 1
            try:
                return await work
            finally:
                self.node.open_requests -= 1

        return self.node.program.background.start(counted(), name)

    def finished(self, call: ServiceCall, result: Result | Failure) -> None:
        """Log how a call ended."""
        if isinstance(result, Failure):
            self.node.failed(result)
            self.node.events.emit(
                Event.REQUEST_FAILED,
                request=call.request,
                code=int(result.code),
                run=result.run.value,
            )
            return
        self.node.events.emit(
            Event.REQUEST_FINISHED, request=call.request, status=result.status
        )

    async def claimed(self, call: ServiceCall) -> Result | Failure:
        """Run a call that may run at most once, under a claim."""
        name = claim_name(call.workspace.name, call.service, call.key)
        claims, events = self.node.claims, self.node.events
        while True:
            acquired = await claims.acquire(name, call.digest, call.deadline)
            if isinstance(acquired, Result):
                events.emit(Event.CLAIM_REPLAYED, request=call.request, claim=name)
            if not isinstance(acquired, Claim):
                return acquired
            events.emit(Event.CLAIM_CREATED, request=call.request, claim=name)
            failure = await claims.start(
                acquired, call.deadline, call.operation.timeout_s
            )
            if failure is None:
                break
            if failure.code is not Code.CLAIM_IN_PROGRESS:
                return failure
        result = await self.attempts(call)
        settled = self.carried(self.settle(call, acquired, result), f"settle-{name}")
        left = max(0.0, call.deadline - time.monotonic())
        await asyncio.wait({settled}, timeout=min(RECORD_WAIT_S, left))
        return result

    async def settle(
        self, call: ServiceCall, claim: Claim, result: Result | Failure
    ) -> None:
        """Record a result, or void a claim whose call provably did not run."""
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
                event, request=call.request, claim=claim.name, run=result.run.value
            )

    def endpoints(self, service: str, tried: set[str]) -> list[Endpoint]:
        """Return the endpoints of a service that may be tried, the fastest first."""
        found = [
            endpoint
            for endpoint in self.node.state.endpoints.values()
            if endpoint.service == service
            and endpoint.name not in tried
            and endpoint.name not in self.node.leaving_endpoints
            and endpoint.role != DRAIN_ROLE
        ]
        return self.workers.order(found, self.node.settings.host.failure_domain)

    async def attempts(self, call: ServiceCall) -> Result | Failure:
        """Try endpoints for as long as the outcome permits it."""
        tried: set[str] = set()
        reason = f"no endpoint serves {call.service}"
        last: Result | Failure = Failure(Code.NO_ENDPOINT, reason)
        for _ in range(self.node.settings.entry.attempt_limit):
            left = self.endpoints(call.service, tried)
            if not left:
                return last
            endpoint = left[0]
            tried.add(endpoint.name)
            last = await self.send(call, endpoint)
            if not self.again(call, last) or time.monotonic() >= call.deadline:
                return last
        return last

    def again(self, call: ServiceCall, result: Result | Failure) -> bool:
        """Return whether a call may be sent to another endpoint after a result."""
        if isinstance(result, Failure):
            return may_retry(result, call.operation.repeatable)
        return call.operation.repeatable and result.status in BUSY_STATUSES

    async def send(self, call: ServiceCall, endpoint: Endpoint) -> Result | Failure:
        """Return the answer of one attempt at an endpoint, or what is known."""
        left = call.deadline - time.monotonic()
        if left <= 0:
            return Failure(Code.DEADLINE_NOT_RUN, "the deadline passed before a send")
        self.node.events.emit(
            Event.ATTEMPT_SENT, request=call.request, endpoint=endpoint.name
        )
        self.workers.began(endpoint.name)
        began = time.monotonic()
        reached = False
        try:
            result = await self.exchange(call, endpoint, left)
            refused = isinstance(result, Failure) and result.code is Code.CONNECT_FAILED
            reached = not refused
            return result
        finally:
            self.workers.ended(endpoint.name, time.monotonic() - began, reached)

    async def exchange(
        self, call: ServiceCall, endpoint: Endpoint, left: float
    ) -> Result | Failure:
        """Send a call to an endpoint and read its answer.

        A call that may not be repeated gets a connection of its own, so that the
        client library has no stale one to send it over twice.
        """
        repeatable = call.operation.repeatable
        session = self.node.session if repeatable else self.node.once_session
        limit = min(call.operation.timeout_s, left)
        try:
            async with session.request(
                call.method,
                endpoint.url + call.path + call.query,
                data=call.body or None,
                headers={
                    "Content-Type": call.content_type,
                    "X-Request-Id": call.request,
                    "X-Baobabturn-Workspace": call.workspace.name,
                },
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=limit,
                    sock_connect=self.node.settings.entry.connect_timeout_s,
                ),
            ) as answer:
                return await read_answer(answer, call.operation)
        except aiohttp.ConnectionTimeoutError as error:
            return from_error(error)
        except TimeoutError:
            code = Code.DEADLINE_UNKNOWN if limit == left else Code.OUTCOME_UNKNOWN
            return Failure(code, f"no answer in {limit:.3g} s")
        except (aiohttp.ClientError, OSError) as error:
            return from_error(error)


async def failure_of(failure: Failure) -> Failure:
    """Return a failure, for callers that await a result."""
    return failure


async def read_answer(
    answer: aiohttp.ClientResponse, operation: Operation
) -> Result | Failure:
    """Return a service's answer, or the refusal that its status is declared to be.

    A server error proves neither that the call ran nor that it did not.
    """
    body = bytearray()
    async for data in answer.content.iter_chunked(READ_BYTES):
        body += data
        if len(body) > ANSWER_LIMIT_BYTES:
            return Failure(Code.OUTCOME_UNKNOWN, f"over {ANSWER_LIMIT_BYTES} bytes")
    if answer.status in operation.refusals:
        return Failure(Code.ENDPOINT_REFUSED, f"status {answer.status}")
    run = Run.UNKNOWN if answer.status >= 500 or answer.status == 429 else Run.RAN
    kind = answer.headers.get("Content-Type", "application/octet-stream")
    return Result(status=answer.status, content_type=kind, body=bytes(body), run=run)
