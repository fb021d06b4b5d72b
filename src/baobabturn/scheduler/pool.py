"""Schedules one pool: queues requests, grants them, and tracks reservations."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from typing import Any

from baobabturn.config.declared import DRAIN_ROLE, Endpoint, Workspace
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.scheduler.candidates import WHOLE_POOL_INTERVAL_S, is_small
from baobabturn.scheduler.fairness import WorkspaceLimits
from baobabturn.scheduler.policy import Policy
from baobabturn.scheduler.state import (
    EndpointState,
    PoolState,
    Reservation,
    WaitingRequest,
)
from baobabturn.wire.messages import (
    Admit,
    CacheEvents,
    EndpointReport,
    Grant,
    Hedge,
    Holding,
    ProgressItem,
    Release,
)

MS_PER_S = 1000
US_PER_S = 1_000_000
SATURATED_DISPATCH_DELAY_S = 0.01


class PoolScheduler:
    """Admits requests to one pool for as long as this process schedules it.

    Nothing is granted before ``settled`` is set, because reservations that entries
    already hold may not be known yet.  ``workspaces`` returns the declared workspaces
    by name.
    """

    def __init__(
        self,
        *,
        name: str,
        program: Program,
        policy: Policy,
        workspaces: Callable[[], dict[str, Workspace]] = dict,
    ):
        self.program = program
        self.policy = policy
        self.workspaces = workspaces
        self.limits = WorkspaceLimits()
        self.dispatch_scheduled = False
        self.limited_dispatch: asyncio.TimerHandle | None = None
        self.whole_dispatch: asyncio.TimerHandle | None = None
        self.state = PoolState(name=name)
        self.reservations: dict[str, Reservation] = {}
        self.owned_since = time.monotonic()
        self.settled = False

    def set_endpoints(self, endpoints: list[Endpoint], leaving: set[str]) -> None:
        """Apply all declared endpoints, and the names of those that are leaving."""
        declared = {endpoint.name for endpoint in endpoints}
        removed = [name for name in self.state.endpoints if name not in declared]
        self.update_endpoints(endpoints, removed, leaving=leaving)

    def update_endpoints(
        self,
        changed: list[Endpoint],
        removed: list[str],
        *,
        leaving: Collection[str] = (),
        closed: Collection[str] = (),
    ) -> None:
        """Apply endpoints that were declared anew, and the names of removed ones.

        ``leaving`` and ``closed`` name those of the changed ones that are so.
        """
        for name in removed:
            self.state.remove(name)
        for endpoint in changed:
            state = self.declared_state(endpoint)
            state.leaving = endpoint.name in leaving or endpoint.role == DRAIN_ROLE
            state.closed = endpoint.name in closed
        self.dispatch()

    def declared_state(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of a declared endpoint, as it is declared.

        An endpoint whose URL changed counts as a new one.
        """
        state = self.state.endpoints.get(endpoint.name)
        if state is None or state.url != endpoint.url:
            state = EndpointState(
                name=endpoint.name,
                url=endpoint.url,
                memory_tokens=endpoint.memory_tokens,
            )
            self.state.add(state)
        state.memory_tokens = endpoint.memory_tokens
        state.concurrency = endpoint.concurrency
        state.models = endpoint.models
        state.failure_domain = endpoint.failure_domain
        return state

    async def admit(self, holder: Any, body: Admit) -> Grant | Failure:
        """Queue a request; return its grant, or why it is refused."""
        if len(self.state.queue) >= self.program.settings.scheduler.queue_limit:
            limit = self.program.settings.scheduler.queue_limit
            return Failure(Code.QUEUE_LIMIT, f"{limit} requests are waiting")
        now = time.monotonic()
        workspace = self.workspaces().get(body.workspace)
        refusal = self.limits.refusal(workspace, now)
        if refusal is not None and not body.hedges:
            return refusal
        if body.deadline_ms <= 0:
            return Failure(
                Code.DEADLINE_NOT_RUN, "the deadline passed before admission"
            )
        waiting = WaitingRequest(
            admit=body,
            holder=holder,
            arrived_at=now,
            deadline=now + body.deadline_ms / MS_PER_S,
            future=asyncio.get_running_loop().create_future(),
            weight=workspace.weight if workspace is not None else 1.0,
        )
        self.enqueue(waiting, now)
        if self.policy.saturated:
            self.schedule_dispatch()
        else:
            self.dispatch()
        if not waiting.future.done():
            self.program.events.emit(
                Event.REQUEST_QUEUED, request=body.request, pool=self.state.name
            )
        try:
            async with asyncio.timeout(max(0.0, waiting.deadline - now)):
                return await waiting.future
        except TimeoutError:
            return Failure(
                Code.DEADLINE_NOT_RUN, "the deadline passed while the request waited"
            )
        finally:
            self.dequeue(waiting)

    def enqueue(self, waiting: WaitingRequest, now: float) -> None:
        """Add a request to the queue, and count it in its workspace's usage."""
        self.state.queue[waiting.admit.reservation] = waiting
        self.limits.request_started(waiting.admit.workspace, waiting.admit.hedges)
        self.policy.on_queued(waiting, now)

    def dequeue(self, waiting: WaitingRequest, granted: bool = False) -> None:
        """Remove a request from the queue, if it is still there."""
        if self.state.queue.pop(waiting.admit.reservation, None) is None:
            return
        self.policy.on_dequeued(waiting)
        if not granted:
            admit = waiting.admit
            self.limits.request_ended(
                admit.workspace, 0, time.monotonic(), admit.hedges
            )

    def schedule_dispatch(self) -> None:
        """Schedule one dispatch for all messages that arrived together.

        A saturated pool waits longer, so that more messages share one pass.
        """
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            delay_s = SATURATED_DISPATCH_DELAY_S if self.policy.saturated else 0.0
            asyncio.get_running_loop().call_later(delay_s, self.dispatch)

    def dispatch(self) -> None:
        """Grant the waiting requests that the policy finds an endpoint for."""
        self.dispatch_scheduled = False
        if not self.settled:
            return
        now = time.monotonic()
        for waiting in self.policy.service_order(self.state, now):
            if waiting.future.done():
                continue
            endpoint = self.policy.choose_endpoint(self.state, waiting, now)
            if endpoint is not None:
                self.state.rate_limits.book(endpoint.name)
                self.grant(waiting, endpoint, now)
        self.schedule_limited_dispatch()
        self.schedule_whole_dispatch()

    def schedule_whole_dispatch(self) -> None:
        """Dispatch again when a large pool may be examined as a whole again."""
        if self.whole_dispatch is not None:
            self.whole_dispatch.cancel()
            self.whole_dispatch = None
        if self.state.queue and not is_small(self.state):
            loop = asyncio.get_running_loop()
            self.whole_dispatch = loop.call_later(WHOLE_POOL_INTERVAL_S, self.dispatch)

    def schedule_limited_dispatch(self) -> None:
        """Dispatch again as soon as the limit of an endpoint permits a request.

        This doesn't delay a dispatch for what other endpoints have released.
        """
        if self.limited_dispatch is not None:
            self.limited_dispatch.cancel()
            self.limited_dispatch = None
        delay_s = self.state.limit_delay_s() if self.state.queue else 0.0
        if delay_s:
            loop = asyncio.get_running_loop()
            self.limited_dispatch = loop.call_later(delay_s, self.dispatch)

    def grant(
        self, waiting: WaitingRequest, endpoint: EndpointState, now: float
    ) -> None:
        """Reserve capacity of an endpoint for a waiting request; resolve its future."""
        admit = waiting.admit
        reservation = Reservation(
            name=admit.reservation,
            endpoint=endpoint.name,
            workspace=admit.workspace,
            model=admit.model,
            kind=admit.kind,
            priority=admit.priority,
            prompt_tokens=admit.prompt_tokens,
            max_tokens=admit.max_tokens,
            estimated_tokens=admit.estimated_tokens,
            granted_at=now,
            updated_at=now,
            holder=waiting.holder,
            hedgeable=admit.hedgeable,
            hedges=admit.hedges,
            weight=waiting.weight,
            short=waiting.short,
            urgent=waiting.urgent,
            length_distribution=waiting.length_distribution,
            growth_terms=waiting.growth_terms,
        )
        cached_tokens = endpoint.cached_blocks.cached_prefix_tokens(admit.prefixes, now)
        reservation.uncached_tokens = max(1, admit.prompt_tokens - cached_tokens)
        self.dequeue(waiting, granted=True)
        self.add_reservation(endpoint, reservation, now)
        endpoint.cached_blocks.store(admit.prefixes, now)
        queued_us = int((now - waiting.arrived_at) * US_PER_S)
        self.program.metrics.record("queue_time_us", queued_us, kind=admit.kind)
        self.program.events.emit(
            Event.REQUEST_GRANTED,
            request=admit.request,
            endpoint=endpoint.name,
            queued_ms=queued_us // MS_PER_S,
        )
        waiting.future.set_result(
            Grant(
                reservation=reservation.name,
                endpoint=endpoint.name,
                queued_us=queued_us,
                engine_priority=self.policy.engine_priority(waiting),
            )
        )

    def add_reservation(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Add a reservation that is held from now on."""
        self.reservations[reservation.name] = reservation
        endpoint.add(reservation)
        self.policy.on_granted(endpoint, reservation, now)

    def is_known(self, name: str) -> bool:
        """Return whether a reservation is held or waited for."""
        if name in self.reservations:
            return True
        return name in self.state.queue

    def holder_of(self, name: str) -> Any:
        """Return the link of a reservation's holder, None without one."""
        reservation = self.reservations.get(name)
        return reservation.holder if reservation is not None else None

    def progress(self, item: ProgressItem) -> None:
        """Apply a generation's progress."""
        reservation = self.reservations.get(item.reservation)
        if reservation is None:
            return
        now = time.monotonic()
        before = reservation.produced
        endpoint = self.state.endpoints.get(reservation.endpoint)
        reservation.first_token_us = item.first_token_us
        reservation.gap_us = item.gap_us
        if endpoint is not None and item.produced > before:
            endpoint.record_produced(reservation, item.produced)
            self.policy.on_progress(endpoint, reservation, before, now)
            self.schedule_dispatch()
        reservation.updated_at = now

    def release(self, body: Release) -> None:
        """Release a reservation, or withdraw its request from the queue."""
        waiting = self.state.queue.get(body.reservation)
        if waiting is not None:
            self.dequeue(waiting)
            if not waiting.future.done():
                waiting.future.set_result(Failure(Code.CANCELLED, "withdrawn"))
            return
        reservation = self.reservations.pop(body.reservation, None)
        if reservation is None:
            return
        endpoint = self.state.endpoints.get(reservation.endpoint)
        if endpoint is not None:
            endpoint.remove(reservation)
        reservation.produced = max(reservation.produced, body.produced)
        reservation.first_token_us = body.first_token_us or reservation.first_token_us
        self.policy.on_released(endpoint, reservation, body.outcome)
        now = time.monotonic()
        self.limits.request_ended(
            reservation.workspace, reservation.memory_tokens, now, reservation.hedges
        )
        self.schedule_dispatch()

    def hold(self, holder: Any, item: Holding, *, watched: bool = True) -> None:
        """Add a reservation that an entry already holds.

        ``watched`` says whether its progress is reported as it happens.
        """
        endpoint = self.state.endpoints.get(item.endpoint)
        if endpoint is None:
            return
        existing = self.reservations.get(item.reservation)
        if existing is not None:
            self.reassign(existing, holder, item)
            return
        now = time.monotonic()
        workspace = self.workspaces().get(item.workspace)
        reservation = Reservation(
            name=item.reservation,
            endpoint=item.endpoint,
            workspace=item.workspace,
            model=item.model,
            kind=item.kind,
            priority=item.priority,
            prompt_tokens=item.prompt_tokens,
            max_tokens=item.max_tokens,
            estimated_tokens=item.estimated_tokens,
            produced=item.produced,
            uncached_tokens=0 if item.produced else item.prompt_tokens,
            granted_at=now,
            updated_at=now,
            holder=holder,
            taken=item.taken,
            hedges=item.hedges,
            hedgeable=item.hedgeable,
            weight=workspace.weight if workspace is not None else 1.0,
            watched=watched,
        )
        self.limits.request_started(reservation.workspace, reservation.hedges)
        self.add_reservation(endpoint, reservation, now)

    def reassign(self, reservation: Reservation, holder: Any, item: Holding) -> None:
        """Assign a known reservation to the entry that took it last.

        An entry that resumes a stream knows only the fields of the resume token, so
        the reservation keeps the known fields of its request.
        """
        if reservation.holder is not None and item.taken < reservation.taken:
            return
        reservation.holder = holder
        reservation.taken = max(reservation.taken, item.taken)
        reservation.orphaned_at = 0.0
        before = reservation.memory_tokens
        reservation.produced = max(reservation.produced, item.produced)
        reservation.prompt_tokens = reservation.prompt_tokens or item.prompt_tokens
        endpoint = self.state.endpoints.get(reservation.endpoint)
        if endpoint is not None and reservation.name in endpoint.reservations:
            endpoint.used_tokens += reservation.memory_tokens - before
        reservation.updated_at = time.monotonic()

    def apply_report(self, body: EndpointReport) -> None:
        """Record an endpoint's load report, and grant what it permits."""
        endpoint = self.state.endpoints.get(body.endpoint)
        if endpoint is None:
            return
        endpoint.report = body
        endpoint.reported_at = time.monotonic()
        self.dispatch()

    def apply_cache_events(self, body: CacheEvents) -> None:
        """Apply an endpoint's prefix cache events."""
        endpoint = self.state.endpoints.get(body.endpoint)
        if endpoint is None:
            return
        if body.cleared:
            endpoint.cached_blocks.clear()
        endpoint.cached_blocks.store(body.stored, time.monotonic())
        endpoint.cached_blocks.remove(body.removed)

    def settle(self) -> None:
        """Start to grant: all entries have reported, or ``settle_s`` has passed."""
        self.settled = True
        took_us = int((time.monotonic() - self.owned_since) * US_PER_S)
        self.program.metrics.record("pool_settle_us", took_us)
        self.dispatch()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, as the pool has another owner."""
        for waiting in list(self.state.queue.values()):
            if not waiting.future.done():
                failure = Failure(
                    Code.POOL_MOVED, f"pool {self.state.name} has a new owner"
                )
                waiting.future.set_result(failure)

    def advise_hedges(self) -> None:
        """Advise entries to start a second attempt for slow generations."""
        for reservation in self.policy.choose_hedges(self.state, time.monotonic()):
            if reservation.holder is not None:
                reservation.holder.send(Hedge(reservation=reservation.name))
                self.program.metrics.count("hedges_advised")

    def remove_holder(self, holder: Any) -> None:
        """Remove an entry's waiting requests, and mark its reservations as orphaned."""
        now = time.monotonic()
        for waiting in list(self.state.queue.values()):
            if waiting.holder is holder:
                self.dequeue(waiting)
                if not waiting.future.done():
                    waiting.future.set_result(
                        Failure(Code.LINK_LOST, "the link to the entry closed")
                    )
        for reservation in self.reservations.values():
            if reservation.holder is holder:
                reservation.holder = None
                reservation.orphaned_at = now

    def release_orphans(self, grace_s: float) -> None:
        """Release reservations that have had no holder for the grace time."""
        now = time.monotonic()
        for reservation in list(self.reservations.values()):
            if reservation.orphaned_at and now - reservation.orphaned_at > grace_s:
                self.release(Release(reservation=reservation.name, outcome="orphaned"))
