"""Chooses and reserves engines for the generations of an engine that is leaving.

Several engines may leave at once.  An engine's link takes one copy after another, so
an engine to which copies are on their way costs as much as a longer copy.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Container

import attrs

from baobabturn.gateway.migrationplan import (
    OTHER_DOMAIN_COPY_FACTOR,
    CopySchedule,
    migration_plan,
)
from baobabturn.gateway.pools import EnginePools, HeldReservation, request_of
from baobabturn.gateway.request import CallerRequest
from baobabturn.placement.homes import Homes
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import EndpointState

# Free KV cache that a migrated generation needs beyond what it uses.
MIGRATION_SPARE_TOKENS = 512


class MigrationTargets:
    """The engines of all pools, as targets of migrations."""

    def __init__(self, *, pools: EnginePools):
        self.pools = pools

    def plan(self, service: str, endpoint: str) -> dict[str, CopySchedule]:
        """Return the copy schedules for a leaving engine, by reservation."""
        scheduler = self.pools.pools[service]
        state = scheduler.state.endpoints.get(endpoint)
        if state is None:
            return {}
        gap_s = scheduler.policy.typical_token_gap_s()
        return migration_plan(
            state.reservations.values(),
            self.pools.traits[service],
            gap_s,
            nearby_free_tokens=self.nearby_free_tokens(service, endpoint),
        )

    def nearby_free_tokens(self, service: str, endpoint: str) -> list[int]:
        """Return the free tokens of the engines near an engine that may take its work.

        Those are in its failure domain and of its software version.
        """
        domain = self.pools.failure_domain_of(endpoint)
        software_version = self.pools.software_version_of(endpoint)
        states = self.pools.pools[service].state.endpoints
        return [
            states[other.name].free_tokens - MIGRATION_SPARE_TOKENS
            for other in self.pools.endpoints.usable(service)
            if other.name != endpoint
            and other.name in states
            and other.record.failure_domain == domain
            and other.record.software_version.key == software_version
        ]

    def reservations_at(self, service: str, endpoint: str) -> Container[str]:
        """Return the names of all gateways' reservations at an engine."""
        state = self.pools.pools[service].state.endpoints.get(endpoint)
        return state.reservations if state is not None else ()

    def reserve(
        self,
        request: CallerRequest,
        reservation: HeldReservation,
        tried_endpoints: set[str],
    ) -> HeldReservation | None:
        """Make a reservation at another engine for a generation to migrate there."""
        pool = self.pools.pools[reservation.pool]
        target = self.choose(pool, reservation, tried_endpoints, request.homes)
        if target is None:
            return None
        holding = attrs.evolve(
            reservation.holding,
            reservation=self.pools.reservation_name(request),
            endpoint=target.name,
            taken=self.pools.program.clock.now(),
        )
        pool.hold(None, holding)
        pool.state.rate_limits.book(target.name)
        return self.pools.record_reservation(
            HeldReservation(
                pool=reservation.pool, holding=holding, urgent=reservation.urgent
            )
        )

    def choose(
        self,
        pool: PoolScheduler,
        reservation: HeldReservation,
        tried_endpoints: set[str],
        homes: Homes,
    ) -> EndpointState | None:
        """Return the engine that has the copy first, None if none has room for it.

        Among equal ones that is one in the failure domain of the reservation's engine,
        and then the least used one.
        """
        domain = self.pools.failure_domain_of(reservation.endpoint)
        inbound = inbound_copies(pool)
        candidates = []
        for name, state in pool.state.endpoints.items():
            if name in tried_endpoints:
                continue
            if not self.is_allowed(state, reservation, homes):
                continue
            if not self.has_room(pool, state, reservation):
                continue
            is_far = self.pools.failure_domain_of(name) != domain
            copies = inbound[name] + (OTHER_DOMAIN_COPY_FACTOR if is_far else 1.0)
            candidates.append((copies, is_far, state.used_tokens, name))
        return pool.state.endpoints[min(candidates)[-1]] if candidates else None

    def is_allowed(
        self, state: EndpointState, reservation: HeldReservation, homes: Homes
    ) -> bool:
        """Return whether an engine may run a generation of another engine.

        It has that one's software version, is in a home region, and is neither leaving
        nor closed.
        """
        if state.name == reservation.endpoint or state.leaving or state.closed:
            return False
        if state.software_version != reservation.holding.software_version:
            return False
        domain = self.pools.failure_domain_of(state.name)
        return self.pools.regions.allows(homes, domain)

    def has_room(
        self, pool: PoolScheduler, state: EndpointState, reservation: HeldReservation
    ) -> bool:
        """Return whether an engine takes a generation now, and has memory for it."""
        holding = reservation.holding
        needed = holding.prompt_tokens + holding.produced + MIGRATION_SPARE_TOKENS
        if state.free_tokens < needed or state.in_flight >= state.concurrency:
            return False
        if not pool.policy.accepts_requests(state, time.monotonic()):
            return False
        return not pool.state.rate_limits.delay_s(state.name)


def inbound_copies(pool: PoolScheduler) -> Counter[str]:
    """Return how many generations are being copied to each engine.

    Such a generation has a reservation there and one at an engine that is leaving.
    """
    states = pool.state.endpoints.values()
    moving = {
        request_of(name)
        for state in states
        if state.leaving
        for name in state.reservations
    }
    return Counter(
        state.name
        for state in states
        if moving and not state.leaving
        for name in state.reservations
        if request_of(name) in moving
    )
