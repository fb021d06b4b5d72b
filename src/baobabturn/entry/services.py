"""Calls to plain services, with claims for those that may not be repeated."""

from __future__ import annotations

import hashlib
import time
from typing import Any

import aiohttp
import attrs

from baobabturn.config.document import Endpoint, Operation, Workspace
from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.answers import send_bytes, send_failure
from baobabturn.entry.node import Node
from baobabturn.entry.outcome import may_retry
from baobabturn.platform.claims import Claim, Result, claim_name

REFUSED_STATUSES = (429, 503)
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024


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
        self.in_flight: dict[str, int] = {}

    async def answer(self, call: ServiceCall, send: Any) -> None:
        """Carry out a call and send its answer."""
        if call.operation.repeatable:
            result = await self.attempts(call)
        elif not call.key:
            result = Failure(Code.KEY_REQUIRED, "send Idempotency-Key")
        else:
            result = await self.claimed(call)
        self.finished(call, result)
        if isinstance(result, Failure):
            await send_failure(send, result, call.request)
            return
        headers = [
            (b"x-request-id", call.request.encode()),
            (b"x-baobabturn-run", Run.RAN.value.encode()),
        ]
        await send_bytes(
            send, result.body, result.status, result.content_type.encode(), headers
        )

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
        taken = await self.node.claims.take(name, call.digest, call.deadline)
        if isinstance(taken, Failure):
            return taken
        if isinstance(taken, Result):
            self.node.events.emit(
                Event.CLAIM_REPLAYED, request=call.request, claim=name
            )
            return taken
        self.node.events.emit(Event.CLAIM_CREATED, request=call.request, claim=name)
        result = await self.attempts(call)
        await self.settle(call, taken, result)
        return result

    async def settle(
        self, call: ServiceCall, claim: Claim, result: Result | Failure
    ) -> None:
        """Record a result, or void a claim whose call provably did not run."""
        if isinstance(result, Result):
            await self.node.claims.record(claim, result)
            self.node.events.emit(Event.CLAIM_RECORDED, request=call.request)
        elif result.run is Run.NOT_RUN:
            await self.node.claims.void(claim)
            self.node.events.emit(Event.CLAIM_VOIDED, request=call.request)

    def endpoints(self, service: str, tried: set[str]) -> list[Endpoint]:
        """Return the endpoints of a service that may be tried, least busy first."""
        found = [
            endpoint
            for endpoint in self.node.state.endpoints.values()
            if endpoint.service == service
            and endpoint.name not in tried
            and endpoint.name not in self.node.leaving_endpoints
        ]
        return sorted(found, key=lambda each: self.in_flight.get(each.name, 0))

    async def attempts(self, call: ServiceCall) -> Result | Failure:
        """Try endpoints for as long as the outcome permits it."""
        tried: set[str] = set()
        failure = Failure(Code.NO_ENDPOINT, f"no endpoint serves {call.service}")
        for _ in range(self.node.settings.entry.attempt_limit):
            left = self.endpoints(call.service, tried)
            if not left:
                return failure
            endpoint = left[0]
            tried.add(endpoint.name)
            result = await self.send(call, endpoint)
            if isinstance(result, Result):
                return result
            failure = result
            if not may_retry(failure, call.operation.repeatable):
                return failure
            if time.monotonic() >= call.deadline:
                return failure
        return failure

    async def send(self, call: ServiceCall, endpoint: Endpoint) -> Result | Failure:
        """Return the answer of one attempt at an endpoint, or what is known."""
        limit = min(call.operation.timeout_s, call.deadline - time.monotonic())
        if limit <= 0:
            return Failure(Code.DEADLINE_NOT_RUN, "the deadline passed before a send")
        self.node.events.emit(
            Event.ATTEMPT_SENT, request=call.request, endpoint=endpoint.name
        )
        count = self.in_flight.get(endpoint.name, 0)
        self.in_flight[endpoint.name] = count + 1
        try:
            async with self.node.session.request(
                call.method,
                endpoint.url + call.path + call.query,
                data=call.body or None,
                headers={
                    "Content-Type": call.content_type,
                    "X-Request-Id": call.request,
                    "X-Baobabturn-Workspace": call.workspace.name,
                },
                timeout=aiohttp.ClientTimeout(total=limit),
            ) as answer:
                body = await answer.read()
                if answer.status in REFUSED_STATUSES:
                    return Failure(Code.ENDPOINT_REFUSED, f"status {answer.status}")
                kind = answer.headers.get("Content-Type", "application/octet-stream")
                return Result(status=answer.status, content_type=kind, body=body)
        except aiohttp.ClientConnectorError as error:
            return Failure(Code.CONNECT_FAILED, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Code.OUTCOME_UNKNOWN, type(error).__name__)
        finally:
            self.in_flight[endpoint.name] -= 1
