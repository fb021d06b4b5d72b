"""Forwards requests to plain services: endpoint choice and further attempts."""

from __future__ import annotations

import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.endpointranking import EndpointRanking
from baobabturn.entry.outcome import AttemptState, attempt_state, may_retry
from baobabturn.gateway.bodyroom import BodyRoom
from baobabturn.gateway.budget import FleetRetryBudget
from baobabturn.gateway.crashwatch import CrashWatch
from baobabturn.gateway.endpointclient import CompleteResponse, EndpointClient
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.limitnews import LimitExchange
from baobabturn.gateway.paths import Paths
from baobabturn.gateway.pools import closed_failure
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.slotroom import SlotRoom
from baobabturn.gateway.turns import Turns
from baobabturn.placement.homes import DomainRegions

# With less time left than this, no endpoint could respond.
MIN_REMAINING_S = 0.02
# At most this many endpoints are tried for a request while none of them has run it.
MAX_ENDPOINTS_TRIED = 4
RETRY_AFTER_S = 0.3
# A request waits for an endpoint at its limit for this part of its time at most.
MAX_LIMIT_WAIT_RATIO = 0.5
SERVER_ERRORS = range(500, 600)


class PlainForwarder:
    """Forwards requests to the endpoints of plain services."""

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        endpoint_client: EndpointClient,
        budget: FleetRetryBudget,
        crash_watch: CrashWatch,
        rate_limits: LimitExchange,
        paths: Paths,
        slot_room: SlotRoom,
        body_room: BodyRoom,
        regions: DomainRegions,
    ):
        self.program = program
        self.endpoints = endpoints
        self.endpoint_client = endpoint_client
        self.budget = budget
        self.crash_watch = crash_watch
        self.rate_limits = rate_limits
        self.paths = paths
        self.slot_room = slot_room
        self.body_room = body_room
        self.turns = Turns()
        endpoints.change_listeners.append(self.end_waits_for_closed)
        self.regions = regions
        self.ranking = EndpointRanking()

    async def forward(self, request: CallerRequest) -> CompleteResponse | Failure:
        """Return the response to a request, or the most significant failure."""
        tried_endpoints: set[str] = set()
        best: CompleteResponse | Failure | None = None
        attempts_sent = 0
        self.rate_limits.record_demand(
            endpoint.name for endpoint in self.untried(request, tried_endpoints)
        )
        wait_until = time.monotonic() + MAX_LIMIT_WAIT_RATIO * request.remaining_s()
        for _ in range(MAX_ENDPOINTS_TRIED):
            refusal = await self.wait_for_room(request, tried_endpoints, wait_until)
            if refusal is not None:
                return best or refusal
            endpoint = self.choose_endpoint(request, tried_endpoints)
            if endpoint is None:
                break
            if request.remaining_s() < MIN_REMAINING_S:
                break
            refusal = await self.refusal(request, endpoint)
            if refusal is not None:
                return best or refusal
            if attempts_sent and not self.budget.try_spend(request.service.name):
                break
            if not await self.wait_for_turn(request, endpoint):
                continue
            if not self.has_room(request, endpoint):
                continue
            tried_endpoints.add(endpoint.name)
            result = await self.attempt(request, endpoint, len(tried_endpoints))
            attempts_sent += was_sent(result)
            best = result if best is None else kept_result(best, result)
            if not self.may_try_other_endpoint(request, result, attempts_sent):
                break
            if not self.paths.reaches(request.service.name):
                break
        return best or self.unsent_failure(request)

    async def refusal(
        self, request: CallerRequest, endpoint: Endpoint
    ) -> Failure | None:
        """Return why a request may not be sent to any endpoint, None if it may.

        ``endpoint`` is the one whose limit permits a request first.
        """
        delay_s = self.turns.delay_s(
            endpoint.name, request.priority, self.rate_limits.delay_s(endpoint.name)
        )
        if delay_s > MAX_LIMIT_WAIT_RATIO * request.remaining_s():
            return limit_failure(request, delay_s)
        return await self.crash_watch.admit(request)

    async def wait_for_room(
        self, request: CallerRequest, tried_endpoints: set[str], wait_until: float
    ) -> Failure | None:
        """Wait until an endpoint has room; return why none will have in time.

        ``wait_until`` is the monotonic time until which the request may wait.
        """

        def names() -> list[str]:
            """Return the names of the endpoints that may be tried."""
            return [each.name for each in self.untried(request, tried_endpoints)]

        service = request.service.name
        if not names():
            return None
        limit_s = wait_until - time.monotonic()
        refusal = await self.slot_room.wait(service, names(), limit_s)
        if refusal is not None:
            return refusal
        limit_s = wait_until - time.monotonic()
        return await self.body_room.wait(service, names, len(request.body), limit_s)

    def has_room(self, request: CallerRequest, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has room for a request and its body."""
        return self.slot_room.has_room(
            request.service.name, endpoint.name
        ) and self.body_room.fits(endpoint.name, len(request.body))

    async def wait_for_turn(self, request: CallerRequest, endpoint: Endpoint) -> bool:
        """Book a request to an endpoint and wait until its limit permits it.

        More urgent requests are sent before it.  Return whether it may still be sent
        there then.
        """
        delay_s = self.rate_limits.delay_s(endpoint.name)
        self.rate_limits.book(endpoint.name)
        if not delay_s:
            return True
        limit_s = MAX_LIMIT_WAIT_RATIO * request.remaining_s()
        if not await self.turns.wait(
            endpoint.name, request.priority, delay_s=delay_s, limit_s=limit_s
        ):
            return False
        if endpoint.leaving or self.endpoints.is_closed(endpoint):
            return False
        return self.crash_watch.refusal(request) is None

    def end_waits_for_closed(self) -> None:
        """End the waits for the turns of endpoints that are closed or leaving."""
        for name in list(self.turns.waiting):
            endpoint = self.endpoints.by_name.get(name)
            if (
                endpoint is None
                or endpoint.leaving
                or self.endpoints.is_closed(endpoint)
            ):
                self.turns.end_waits(name)

    def choose_endpoint(
        self, request: CallerRequest, tried_endpoints: set[str]
    ) -> Endpoint | None:
        """Return the endpoint with the shortest expected wait, None for none.

        Those at the limit that they name come last, by the time until it permits a
        request.
        """
        by_name = {
            endpoint.name: endpoint
            for endpoint in self.untried(request, tried_endpoints)
            if self.has_room(request, endpoint)
        }
        if not by_name:
            return None
        reached = {
            name: each
            for name, each in by_name.items()
            if not self.paths.should_avoid(name)
        }
        by_name = reached or by_name
        own_domain = self.program.settings.host.failure_domain
        delays = {name: self.rate_limits.delay_s(name) for name in by_name}
        shortest_s = min(delays.values())
        records = [
            endpoint.record
            for name, endpoint in by_name.items()
            if delays[name] <= shortest_s
        ]
        return by_name[self.ranking.rank(records, own_domain)[0].name]

    def untried(
        self, request: CallerRequest, tried_endpoints: set[str]
    ) -> list[Endpoint]:
        """Return the endpoints of a request's service that may still be tried.

        Those are in its home regions.
        """
        return [
            endpoint
            for endpoint in self.endpoints.usable(request.service.name)
            if endpoint.name not in tried_endpoints
            and self.regions.allows(request.homes, endpoint.record.failure_domain)
        ]

    def unsent_failure(self, request: CallerRequest) -> Failure:
        """Return the failure of a request that was sent to no endpoint."""
        if request.remaining_s() < MIN_REMAINING_S:
            return Failure(Code.DEADLINE_NOT_RUN, "no time was left for an attempt")
        if self.endpoints.only_closed(request.service.name):
            return closed_failure(request.service.name)
        return Failure(
            Code.NO_ENDPOINT,
            f"no usable endpoint of {request.service.name}",
            retry_after_s=spread_retry_s(RETRY_AFTER_S),
        )

    def may_try_other_endpoint(
        self,
        request: CallerRequest,
        result: CompleteResponse | Failure,
        attempts_sent: int,
    ) -> bool:
        """Return whether another endpoint may be tried after a result."""
        if isinstance(result, Failure):
            if attempt_state(result) in (AttemptState.UNSENT, AttemptState.REFUSED):
                return True
            allowed = may_retry(result, request.route.repeatable)
            if self.crash_watch.may_crash_endpoints(request):
                return False
            return allowed and attempts_sent < request.route.attempt_limit
        if result.status not in SERVER_ERRORS:
            return False
        return request.route.repeatable and attempts_sent < request.route.attempt_limit

    async def attempt(
        self, request: CallerRequest, endpoint: Endpoint, number: int
    ) -> CompleteResponse | Failure:
        """Send a request to an endpoint, and record the attempt's time and outcome.

        ``number`` counts the request's attempts from 1.
        """
        started_at = time.monotonic()
        request.sent = True
        self.ranking.record_start(endpoint.name)
        self.slot_room.take(endpoint.name)
        self.program.events.emit(
            Event.ATTEMPT_SENT,
            request=request.request_id,
            endpoint=endpoint.name,
            attempt=number,
        )
        healthy = False
        try:
            result = await self.endpoint_client.fetch(
                request, endpoint, timeout_s=request.remaining_s()
            )
            healthy = not is_error(result)
        finally:
            elapsed_s = time.monotonic() - started_at
            self.ranking.record_end(endpoint.name, elapsed_s, healthy)
            self.slot_room.release(request.service.name, endpoint.name, elapsed_s)
        self.program.metrics.record(
            "attempt_us", elapsed_s * 1_000_000, service=request.service.name
        )
        self.program.events.emit(
            Event.ATTEMPT_ENDED,
            request=request.request_id,
            endpoint=endpoint.name,
            outcome=describe(result),
            took_ms=int(elapsed_s * 1000),
        )
        return result


def limit_failure(request: CallerRequest, delay_s: float) -> Failure:
    """Return the refusal of a request that no endpoint's limit permits in time."""
    return Failure(
        Code.SATURATED,
        f"all endpoints of {request.service.name} are at their limits"
        f" for {delay_s:.1f} s",
        retry_after_s=spread_retry_s(delay_s),
    )


def more_significant(
    first: CompleteResponse | Failure, second: CompleteResponse | Failure
) -> CompleteResponse | Failure:
    """Return the result that tells the caller more about what ran.

    A success comes before an endpoint's own error, and that before a failure.  A
    failure after which the request may have run is more severe, and thus more
    significant, than one after which it has not run.
    """
    return max(first, second, key=significance)


def kept_result(
    first: CompleteResponse | Failure, second: CompleteResponse | Failure
) -> CompleteResponse | Failure:
    """Return the more significant result, and release the memory of the other one."""
    kept = more_significant(first, second)
    dropped = second if kept is first else first
    if isinstance(dropped, CompleteResponse):
        dropped.body.release()
    return kept


def significance(result: CompleteResponse | Failure) -> int:
    """Return a result's rank; the highest one is reported to the caller."""
    if isinstance(result, Failure):
        return int(result.run is not Run.NOT_RUN)
    return 2 if is_error(result) else 3


def is_error(result: CompleteResponse | Failure) -> bool:
    """Return whether a result is a failure or a server error of the endpoint."""
    return isinstance(result, Failure) or result.status in SERVER_ERRORS


def was_sent(result: CompleteResponse | Failure) -> bool:
    """Return whether a request may have reached its endpoint."""
    if isinstance(result, Failure):
        return attempt_state(result) is not AttemptState.UNSENT
    return True


def describe(result: CompleteResponse | Failure) -> str:
    """Return a result as text for the log."""
    if isinstance(result, Failure):
        return str(result)
    return f"status {result.status}"
