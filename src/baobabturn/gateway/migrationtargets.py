"""Chooses and reserves engines for the generations of an engine that is leaving."""

from __future__ import annotations

import time
from collections.abc import Container

import attrs

from baobabturn.gateway.migrationplan import CopySchedule, migration_plan
from baobabturn.gateway.pools import EnginePools, HeldReservation
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
        """Return the least used engine with enough free KV cache, None without one.

        It is preferably in the failure domain of the reservation's engine.
        """
        domain = self.pools.failure_domain_of(reservation.endpoint)
        candidates = [
            (self.pools.failure_domain_of(name) != domain, state.used_tokens, name)
            for name, state in pool.state.endpoints.items()
            if name not in tried_endpoints
            and self.is_allowed(state, reservation, homes)
            and self.has_room(pool, state, reservation)
        ]
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
