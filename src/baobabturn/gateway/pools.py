"""The pools of engines, decided for here with what all gateways hold in mind.

Each gateway runs the scheduler's own code for every pool.  The places that
others hold count like its own, as they tell of them.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable, Container

import attrs

from baobabturn.config.declared import Endpoint as DeclaredEndpoint
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.migrationplan import CopySchedule, migration_plan
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.routes import EngineTraits, RouteTable
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import EndpointState
from baobabturn.wire.messages import (
    Admit,
    Grant,
    Holding,
    Holdings,
    ProgressItem,
    Release,
)
from baobabturn.wire.words import FAILED

MS_PER_S = 1000
STRAGGLER_CHECK_S = 0.1
# What choosing an engine of another failure domain costs in a large fleet, where
# less is known of it, in shares of an engine's memory.
OTHER_DOMAIN_COST_RATIO = 0.5
# Room that a moved run needs beyond what it holds, in tokens.
MIGRATION_SPARE_TOKENS = 512


@attrs.define(kw_only=True, eq=False)
class HeldReservation:
    """A place at an engine that this gateway holds for a call."""

    pool: str
    holding: Holding
    urgent: bool = False

    @property
    def endpoint(self) -> str:
        """Return the engine's name."""
        return self.holding.endpoint


class EnginePools:
    """One scheduler for each service that has engines."""

    def __init__(self, *, program: Program, endpoints: Endpoints):
        self.program = program
        self.endpoints = endpoints
        self.pools: dict[str, PoolScheduler] = {}
        self.traits: dict[str, EngineTraits] = {}
        self.reservations: dict[str, HeldReservation] = {}
        self.peer_reservations: dict[str, dict[str, str]] = {}
        self.counter = itertools.count(1)
        self.prefer_own_domain: Callable[[], bool] = lambda: False
        self.on_reserved: Callable[[str, Holding], None] = lambda pool, holding: None
        self.on_released: Callable[[Release], None] = lambda release: None

    def apply_table(self, table: RouteTable) -> None:
        """Take in a configuration."""
        for service in table.services.values():
            if service.engine is None:
                continue
            self.traits[service.name] = service.engine
            if service.name not in self.pools:
                self.pools[service.name] = self.make_pool(service.name)
        self.refresh_endpoints()

    def make_pool(self, name: str) -> PoolScheduler:
        """Return the scheduler of a new pool."""
        settings = self.program.settings.scheduler
        seed = self.program.identity.incarnation
        policy = POLICIES[settings.policy](settings=settings, seed=seed)
        pool = PoolScheduler(name=name, program=self.program, policy=policy)
        pool.settle()
        return pool

    def refresh_endpoints(self) -> None:
        """Take in which endpoints there are."""
        for name, pool in self.pools.items():
            traits = self.traits[name]
            endpoints = [
                endpoint
                for endpoint in self.endpoints.known.values()
                if endpoint.record.service == name
            ]
            declared = [to_declared(endpoint, traits) for endpoint in endpoints]
            leaving = {endpoint.name for endpoint in endpoints if endpoint.leaving}
            pool.set_endpoints(declared, leaving)
            self.set_distance_costs(pool)

    def set_distance_costs(self, pool: PoolScheduler) -> None:
        """Let engines of other failure domains cost more where that is wanted."""
        own = self.program.settings.host.failure_domain
        prefer_own_domain = self.prefer_own_domain()
        for name, state in pool.state.endpoints.items():
            far = prefer_own_domain and self.failure_domain_of(name) != own
            state.distance_cost = OTHER_DOMAIN_COST_RATIO if far else 0.0

    async def detect_stragglers(self) -> None:
        """Look for slow engines for as long as the process runs."""
        while True:
            await asyncio.sleep(STRAGGLER_CHECK_S)
            for pool in self.pools.values():
                pool.advise_hedges()

    async def admit(
        self,
        request: CallerRequest,
        *,
        queue_timeout_s: float,
        excluded: list[str],
        attempt: int,
    ) -> HeldReservation | Failure:
        """Wait for a place for a call, or return why there is none."""
        pool = self.pools.get(request.service.name)
        if pool is None or request.generation_size is None:
            return Failure(Code.NO_ENDPOINT, f"no engine of {request.service.name}")
        admission = Admit(
            request=request.request_id,
            reservation=self.reservation_name(request),
            pool=request.service.name,
            workspace=request.workspace,
            model=request.generation_size.model,
            kind=request.route.name,
            priority=-request.priority,
            prompt_tokens=request.generation_size.prompt_tokens,
            max_tokens=request.generation_size.max_tokens,
            deadline_ms=int(queue_timeout_s * MS_PER_S),
            excluded=excluded,
            attempt=attempt,
        )
        grant = await pool.admit(None, admission)
        if isinstance(grant, Failure):
            return grant
        return self.record_grant(request, pool, admission, grant)

    def reservation_name(self, request: CallerRequest) -> str:
        """Return a new name for a place."""
        return f"{self.program.identity.node}/{next(self.counter)}/{request.request_id}"

    def record_grant(
        self,
        request: CallerRequest,
        pool: PoolScheduler,
        admission: Admit,
        grant: Grant,
    ) -> HeldReservation:
        """Note a place that was granted, and tell the others of it."""
        holding = Holding(
            reservation=admission.reservation,
            endpoint=grant.endpoint,
            workspace=admission.workspace,
            model=admission.model,
            kind=admission.kind,
            priority=admission.priority,
            prompt_tokens=admission.prompt_tokens,
            max_tokens=admission.max_tokens,
            taken=self.program.clock.now(),
        )
        reservation = HeldReservation(pool=pool.state.name, holding=holding)
        reservation.urgent = pool.reservations[admission.reservation].short
        return self.record_reservation(reservation)

    def record_reservation(self, reservation: HeldReservation) -> HeldReservation:
        """Keep a place and tell the others of it."""
        self.reservations[reservation.holding.reservation] = reservation
        self.on_reserved(reservation.pool, reservation.holding)
        return reservation

    def record_progress(self, reservation: HeldReservation, produced: int) -> None:
        """Take in how many tokens a run has produced.

        The others hear of the first ones at once: the prompt is read by then.
        """
        first = not reservation.holding.produced
        reservation.holding.produced = produced
        if first:
            self.on_reserved(reservation.pool, reservation.holding)
        item = ProgressItem(
            reservation=reservation.holding.reservation,
            produced=produced,
            first_token_us=1,
        )
        self.pools[reservation.pool].progress(item)

    def release(self, reservation: HeldReservation, outcome: str) -> None:
        """Give a place back."""
        if self.reservations.pop(reservation.holding.reservation, None) is None:
            return
        release = Release(
            reservation=reservation.holding.reservation,
            produced=reservation.holding.produced,
            outcome=outcome,
        )
        self.pools[reservation.pool].release(release)
        self.on_released(release)

    def migration_plan(self, pool: str, endpoint: str) -> dict[str, CopySchedule]:
        """Return when each run's move begins after a notice, by reservation."""
        scheduler = self.pools[pool]
        state = scheduler.state.endpoints.get(endpoint)
        if state is None:
            return {}
        gap_s = scheduler.policy.token_gap_s()
        return migration_plan(
            state.reservations.values(),
            self.traits[pool],
            gap_s,
            nearby_free_tokens=self.nearby_free_tokens(pool, endpoint),
        )

    def nearby_free_tokens(self, pool: str, endpoint: str) -> list[int]:
        """Return the tokens free at the other engines of a failure domain."""
        domain = self.failure_domain_of(endpoint)
        states = self.pools[pool].state.endpoints
        return [
            states[other.name].free_tokens - MIGRATION_SPARE_TOKENS
            for other in self.endpoints.usable(pool)
            if other.name != endpoint
            and other.name in states
            and other.record.failure_domain == domain
        ]

    def reservations_at(self, pool: str, endpoint: str) -> Container[str]:
        """Return the reservations at an engine, of all gateways."""
        state = self.pools[pool].state.endpoints.get(endpoint)
        return state.reservations if state is not None else ()

    def reserve_for_migration(
        self,
        request: CallerRequest,
        reservation: HeldReservation,
        tried_endpoints: set[str],
    ) -> HeldReservation | None:
        """Take a place at another engine for a run that is to be moved there."""
        pool = self.pools[reservation.pool]
        target = self.migration_target(pool, reservation, tried_endpoints)
        if target is None:
            return None
        holding = attrs.evolve(
            reservation.holding,
            reservation=self.reservation_name(request),
            endpoint=target.name,
            taken=self.program.clock.now(),
        )
        pool.hold(None, holding)
        return self.record_reservation(
            HeldReservation(
                pool=reservation.pool, holding=holding, urgent=reservation.urgent
            )
        )

    def migration_target(
        self,
        pool: PoolScheduler,
        reservation: HeldReservation,
        tried_endpoints: set[str],
    ) -> EndpointState | None:
        """Return the engine with the most room, those of the same domain first."""
        needed = (
            reservation.holding.prompt_tokens
            + reservation.holding.produced
            + MIGRATION_SPARE_TOKENS
        )
        domain = self.failure_domain_of(reservation.endpoint)
        now = time.monotonic()
        candidates = []
        for name, state in pool.state.endpoints.items():
            free_tokens = state.free_tokens
            if name == reservation.endpoint or name in tried_endpoints or state.leaving:
                continue
            if free_tokens < needed or state.in_flight >= state.concurrency:
                continue
            if not pool.policy.may_take(state, now):
                continue
            candidates.append(
                (self.failure_domain_of(name) != domain, state.used_tokens, name, state)
            )
        return min(candidates)[3] if candidates else None

    def failure_domain_of(self, name: str) -> str:
        """Return an endpoint's failure domain, empty where it isn't known."""
        endpoint = self.endpoints.known.get(name)
        return endpoint.record.failure_domain if endpoint is not None else ""

    def own_holdings(self) -> list[Holdings]:
        """Return all places that this gateway holds, by pool."""
        by_pool: dict[str, list[Holding]] = {}
        for reservation in self.reservations.values():
            by_pool.setdefault(reservation.pool, []).append(reservation.holding)
        return [Holdings(pool=name, items=items) for name, items in by_pool.items()]

    def record_peer_reservation(self, peer: str, pool: str, holding: Holding) -> None:
        """Take in a place that another gateway holds, or its progress."""
        scheduler = self.pools.get(pool)
        if scheduler is None:
            return
        known = scheduler.reservations.get(holding.reservation)
        if known is None:
            scheduler.hold(None, holding)
        elif holding.produced > known.produced:
            item = ProgressItem(
                reservation=holding.reservation, produced=holding.produced
            )
            scheduler.progress(item)
        self.peer_reservations.setdefault(peer, {})[holding.reservation] = pool

    def release_peer_reservation(self, peer: str, release: Release) -> None:
        """Take in that another gateway gave a place back."""
        pool = self.peer_reservations.get(peer, {}).pop(release.reservation, None)
        if pool is not None and pool in self.pools:
            self.pools[pool].release(release)

    def retain_peer_reservations(self, peer: str, names: set[str]) -> None:
        """Drop a gateway's places that aren't among some names."""
        for name in self.peer_reservations.get(peer, {}).keys() - names:
            self.release_peer_reservation(
                peer, Release(reservation=name, outcome=FAILED)
            )


def to_declared(endpoint: Endpoint, traits: EngineTraits) -> DeclaredEndpoint:
    """Return an engine in the form that the scheduler takes."""
    record = endpoint.record
    return DeclaredEndpoint(
        name=record.name,
        url=f"http://{record.address}",
        failure_domain=record.failure_domain,
        service=record.service,
        memory_tokens=traits.memory_tokens,
        concurrency=traits.slots,
    )
