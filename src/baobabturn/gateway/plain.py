"""Requests to plain services: which endpoint, and when another one is tried."""

from __future__ import annotations

import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.outcome import Attempt, attempt_state, may_retry
from baobabturn.entry.workers import Workers
from baobabturn.gateway.budget import FleetBudget
from baobabturn.gateway.endpointclient import Answer, Exchange
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.request import Call

# With less time than this left no endpoint could answer.
LEAST_LEFT_S = 0.02
# Endpoints that may be tried when none of them has run the request.
TRIES_LIMIT = 4
RETRY_AFTER_S = 0.3
SERVER_ERRORS = range(500, 600)


class PlainCaller:
    """Carries out requests of plain services."""

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        exchange: Exchange,
        budget: FleetBudget,
    ):
        self.program = program
        self.endpoints = endpoints
        self.exchange = exchange
        self.budget = budget
        self.workers = Workers()

    async def answer(self, call: Call) -> Answer | Failure:
        """Return the answer for a call, or what is known of it."""
        tried: set[str] = set()
        best: Answer | Failure | None = None
        sent = 0
        for _ in range(TRIES_LIMIT):
            endpoint = self.choose(call, tried)
            if endpoint is None:
                break
            if call.left_s() < LEAST_LEFT_S:
                break
            if sent and not self.budget.take(call.service.name):
                break
            tried.add(endpoint.name)
            result = await self.attempt(call, endpoint)
            sent += was_sent(result)
            best = result if best is None else graver(best, result)
            if not self.again(call, result, sent):
                break
        return best or self.nothing(call)

    def choose(self, call: Call, tried: set[str]) -> Endpoint | None:
        """Return the endpoint with the shortest expected wait, None for none."""
        usable = {
            endpoint.name: endpoint
            for endpoint in self.endpoints.usable(call.service.name)
            if endpoint.name not in tried
        }
        if not usable:
            return None
        near = self.program.settings.host.failure_domain
        records = [endpoint.record for endpoint in usable.values()]
        return usable[self.workers.order(records, near)[0].name]

    def nothing(self, call: Call) -> Failure:
        """Return the failure of a call that was sent nowhere."""
        if call.left_s() < LEAST_LEFT_S:
            return Failure(Code.DEADLINE_NOT_RUN, "no time was left for an endpoint")
        return Failure(
            Code.NO_ENDPOINT,
            f"no endpoint of {call.service.name}",
            retry_after_s=RETRY_AFTER_S,
        )

    def again(self, call: Call, result: Answer | Failure, sent: int) -> bool:
        """Return whether another endpoint may be tried after a result."""
        if isinstance(result, Failure):
            if attempt_state(result) in (Attempt.UNSENT, Attempt.REFUSED):
                return True
            allowed = may_retry(result, call.route.repeatable)
            return allowed and sent < call.route.attempt_limit
        if result.status not in SERVER_ERRORS:
            return False
        return call.route.repeatable and sent < call.route.attempt_limit

    async def attempt(self, call: Call, endpoint: Endpoint) -> Answer | Failure:
        """Send a call to an endpoint; note how that went."""
        began = time.monotonic()
        self.workers.began(endpoint.name)
        self.program.events.emit(
            Event.ATTEMPT_SENT, request=call.ident, endpoint=endpoint.name
        )
        healthy = False
        try:
            result = await self.exchange.whole(call, endpoint, limit_s=call.left_s())
            healthy = not is_error(result)
        finally:
            took_s = time.monotonic() - began
            self.workers.ended(endpoint.name, took_s, healthy)
        self.program.metrics.record(
            "attempt_us", took_s * 1_000_000, service=call.service.name
        )
        self.program.events.emit(
            Event.ATTEMPT_ENDED,
            request=call.ident,
            endpoint=endpoint.name,
            outcome=described(result),
            took_ms=int(took_s * 1000),
        )
        return result


def graver(one: Answer | Failure, other: Answer | Failure) -> Answer | Failure:
    """Return the result that tells the caller more of what has run.

    A success goes before an endpoint's own error, and a failure after which the
    request may have run before one after which it has not.
    """
    return max(one, other, key=weight)


def weight(result: Answer | Failure) -> int:
    """Return how much a result tells; more goes first."""
    if isinstance(result, Failure):
        return int(result.run is not Run.NOT_RUN)
    return 2 if is_error(result) else 3


def is_error(result: Answer | Failure) -> bool:
    """Return whether a result is a failure, of the endpoint's own word or not."""
    return isinstance(result, Failure) or result.status in SERVER_ERRORS


def was_sent(result: Answer | Failure) -> bool:
    """Return whether a request may have arrived at its endpoint."""
    if isinstance(result, Failure):
        return attempt_state(result) is not Attempt.UNSENT
    return True


def described(result: Answer | Failure) -> str:
    """Return a result as it stands in a log line."""
    if isinstance(result, Failure):
        return str(result)
    return f"status {result.status}"
