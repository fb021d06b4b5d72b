"""Schedules one pool: queues requests, grants them, and tracks reservations."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from baobabturn.config.declared import DRAIN_ROLE, Endpoint, Workspace
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
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

MS = 1000
US = 1_000_000
FULL_PAUSE_S = 0.01


class PoolScheduler:
    """Admits requests to one pool for as long as this process schedules it.

    Nothing is granted before ``settled`` is set, because reservations that entries
    already hold may not be known yet.
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
        self.dispatching = False
        self.state = PoolState(name=name)
        self.reservations: dict[str, Reservation] = {}
        self.taken_over = time.monotonic()
        self.settled = False

    def set_endpoints(self, endpoints: list[Endpoint], leaving: set[str]) -> None:
        """Apply the declared endpoints and the names of those that are leaving.

        An endpoint whose URL changed counts as a new one.
        """
        held = self.state.endpoints
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in [name for name in held if name not in wanted]:
            del held[name]
        for name, endpoint in wanted.items():
            known = held.get(name)
            if known is None or known.url != endpoint.url:
                known = held[name] = EndpointState(
                    name=name, url=endpoint.url, memory_tokens=endpoint.memory_tokens
                )
            known.memory_tokens = endpoint.memory_tokens
            known.concurrency = endpoint.concurrency
            known.models = endpoint.models
            known.leaving = name in leaving or endpoint.role == DRAIN_ROLE
        self.dispatch()

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
            deadline=now + body.deadline_ms / MS,
            future=asyncio.get_running_loop().create_future(),
            weight=workspace.weight if workspace is not None else 1.0,
        )
        self.enqueue(waiting, now)
        if self.policy.saturated:
            self.dispatch_soon()
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
        """Add a request to the queue."""
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

    def dispatch_soon(self) -> None:
        """Schedule one dispatch for all messages that arrived together.

        A saturated pool waits longer, so that more messages share one pass.
        """
        if not self.dispatching:
            self.dispatching = True
            pause_s = FULL_PAUSE_S if self.policy.saturated else 0.0
            asyncio.get_running_loop().call_later(pause_s, self.dispatch)

    def dispatch(self) -> None:
        """Grant the waiting requests that the policy finds an endpoint for."""
        self.dispatching = False
        if not self.settled:
            return
        now = time.monotonic()
        for waiting in self.policy.service_order(self.state, now):
            if waiting.future.done():
                continue
            endpoint = self.policy.choose_endpoint(self.state, waiting, now)
            if endpoint is not None:
                self.grant(waiting, endpoint, now)

    def grant(
        self, waiting: WaitingRequest, endpoint: EndpointState, now: float
    ) -> None:
        """Reserve capacity of an endpoint for a waiting request, and notify it."""
        admit = waiting.admit
        held = Reservation(
            name=admit.reservation,
            endpoint=endpoint.name,
            workspace=admit.workspace,
            model=admit.model,
            kind=admit.kind,
            priority=admit.priority,
            prompt_tokens=admit.prompt_tokens,
            max_tokens=admit.max_tokens,
            granted_at=now,
            updated_at=now,
            holder=waiting.holder,
            hedgeable=admit.hedgeable,
            hedges=admit.hedges,
            weight=waiting.weight,
            short=waiting.short,
            length_distribution=waiting.length_distribution,
            growth_terms=waiting.growth_terms,
        )
        cached = endpoint.cached_blocks.cached_prefix_tokens(admit.prefixes, now)
        held.uncached_tokens = max(1, admit.prompt_tokens - cached)
        self.dequeue(waiting, granted=True)
        self.place(endpoint, held, now)
        endpoint.cached_blocks.store(admit.prefixes, now)
        queued_us = int((now - waiting.arrived_at) * US)
        self.program.metrics.record("queue_time_us", queued_us, kind=admit.kind)
        self.program.events.emit(
            Event.REQUEST_GRANTED,
            request=admit.request,
            endpoint=endpoint.name,
            queued_ms=queued_us // MS,
        )
        waiting.future.set_result(
            Grant(
                reservation=held.name,
                endpoint=endpoint.name,
                queued_us=queued_us,
                engine_priority=self.policy.engine_priority(waiting),
            )
        )

    def place(self, endpoint: EndpointState, held: Reservation, now: float) -> None:
        """Add a reservation that is held from now on."""
        self.reservations[held.name] = held
        endpoint.add(held)
        self.policy.on_granted(endpoint, held, now)

    def knows(self, reservation: str) -> bool:
        """Return whether a reservation is held or waited for."""
        if reservation in self.reservations:
            return True
        return reservation in self.state.queue

    def holder_of(self, reservation: str) -> Any:
        """Return the link of a reservation's holder, None without one."""
        held = self.reservations.get(reservation)
        return held.holder if held is not None else None

    def progress(self, item: ProgressItem) -> None:
        """Apply a generation's progress."""
        held = self.reservations.get(item.reservation)
        if held is None:
            return
        now = time.monotonic()
        before = held.produced
        endpoint = self.state.endpoints.get(held.endpoint)
        held.first_token_us = item.first_token_us
        held.gap_us = item.gap_us
        if endpoint is not None and item.produced > before:
            endpoint.record_produced(held, item.produced)
            self.policy.on_progress(endpoint, held, before, now)
            self.dispatch_soon()
        held.updated_at = now

    def release(self, body: Release) -> None:
        """Release a reservation, or withdraw its request from the queue."""
        waiting = self.state.queue.get(body.reservation)
        if waiting is not None:
            self.dequeue(waiting)
            if not waiting.future.done():
                waiting.future.set_result(Failure(Code.CANCELLED, "withdrawn"))
            return
        held = self.reservations.pop(body.reservation, None)
        if held is None:
            return
        endpoint = self.state.endpoints.get(held.endpoint)
        if endpoint is not None:
            endpoint.remove(held)
        held.produced = max(held.produced, body.produced)
        held.first_token_us = body.first_token_us or held.first_token_us
        self.policy.on_released(endpoint, held, body.outcome)
        now = time.monotonic()
        self.limits.request_ended(held.workspace, held.memory_tokens, now, held.hedges)
        self.dispatch_soon()

    def hold(self, holder: Any, item: Holding) -> None:
        """Add a reservation that an entry already holds."""
        endpoint = self.state.endpoints.get(item.endpoint)
        if endpoint is None:
            return
        known = self.reservations.get(item.reservation)
        if known is not None:
            self.hand_over(known, holder, item)
            return
        now = time.monotonic()
        held = Reservation(
            name=item.reservation,
            endpoint=item.endpoint,
            workspace=item.workspace,
            model=item.model,
            kind=item.kind,
            priority=item.priority,
            prompt_tokens=item.prompt_tokens,
            max_tokens=item.max_tokens,
            produced=item.produced,
            uncached_tokens=0 if item.produced else item.prompt_tokens,
            granted_at=now,
            updated_at=now,
            holder=holder,
            taken=item.taken,
            hedges=item.hedges,
            hedgeable=item.hedgeable,
        )
        self.limits.request_started(held.workspace, held.hedges)
        self.place(endpoint, held, now)

    def hand_over(self, held: Reservation, holder: Any, item: Holding) -> None:
        """Assign a known reservation to the entry that took it last.

        An entry that resumes a stream doesn't know the request, so the known fields
        of the reservation stay.
        """
        if held.holder is not None and item.taken < held.taken:
            return
        held.holder = holder
        held.taken = max(held.taken, item.taken)
        held.orphaned_at = 0.0
        before = held.memory_tokens
        held.produced = max(held.produced, item.produced)
        held.prompt_tokens = held.prompt_tokens or item.prompt_tokens
        endpoint = self.state.endpoints.get(held.endpoint)
        if endpoint is not None and held.name in endpoint.reservations:
            endpoint.used_tokens += held.memory_tokens - before
        held.updated_at = time.monotonic()

    def report(self, body: EndpointReport) -> None:
        """Record an endpoint's load report."""
        endpoint = self.state.endpoints.get(body.endpoint)
        if endpoint is None:
            return
        endpoint.report = body
        endpoint.reported_at = time.monotonic()
        self.dispatch()

    def cache(self, body: CacheEvents) -> None:
        """Apply an endpoint's prefix cache events."""
        endpoint = self.state.endpoints.get(body.endpoint)
        if endpoint is None:
            return
        if body.cleared:
            endpoint.cached_blocks.clear()
        endpoint.cached_blocks.store(body.stored, time.monotonic())
        endpoint.cached_blocks.remove(body.removed)

    def settle(self) -> None:
        """Start to grant, as the entries' reservations are known."""
        self.settled = True
        took_us = int((time.monotonic() - self.taken_over) * US)
        self.program.metrics.record("pool_settle_us", took_us)
        self.dispatch()

    def give_up(self) -> None:
        """Refuse all waiting requests, as the pool has another owner."""
        for waiting in list(self.state.queue.values()):
            if not waiting.future.done():
                moved = Failure(
                    Code.POOL_MOVED, f"pool {self.state.name} has a new owner"
                )
                waiting.future.set_result(moved)

    def advise_hedges(self) -> None:
        """Advise entries to start a second attempt for slow reservations."""
        for held in self.policy.choose_hedges(self.state, time.monotonic()):
            if held.holder is not None:
                held.holder.send(Hedge(reservation=held.name))
                self.program.metrics.count("hedges_advised")

    def holder_gone(self, holder: Any) -> None:
        """Remove an entry's waiting requests, and mark its reservations as orphaned."""
        now = time.monotonic()
        for waiting in list(self.state.queue.values()):
            if waiting.holder is holder:
                self.dequeue(waiting)
                if not waiting.future.done():
                    waiting.future.set_result(
                        Failure(Code.LINK_LOST, "the link to the entry closed")
                    )
        for held in self.reservations.values():
            if held.holder is holder:
                held.holder = None
                held.orphaned_at = now

    def drop_orphans(self, grace_s: float) -> None:
        """Release reservations that have had no holder for the grace time."""
        now = time.monotonic()
        for held in list(self.reservations.values()):
            if held.orphaned_at and now - held.orphaned_at > grace_s:
                self.release(Release(reservation=held.name, outcome="orphaned"))
