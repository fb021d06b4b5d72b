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
from baobabturn.gateway.call import Call
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.moveplan import Turn, move_plan
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

MS = 1000
JUDGE_S = 0.1
# What choosing an engine of another failure domain costs in a large fleet, where
# less is known of it, in shares of an engine's memory.
FAR_COST = 0.5
# Room that a moved run needs beyond what it holds, in tokens.
MOVE_ROOM_TOKENS = 512


@attrs.define(kw_only=True, eq=False)
class Place:
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
        self.held: dict[str, Place] = {}
        self.foreign: dict[str, dict[str, str]] = {}
        self.numbers = itertools.count(1)
        self.local_first: Callable[[], bool] = lambda: False
        self.took: Callable[[str, Holding], None] = lambda pool, holding: None
        self.gave_back: Callable[[Release], None] = lambda release: None

    def follow(self, table: RouteTable) -> None:
        """Take in a configuration."""
        for service in table.services.values():
            if service.engine is None:
                continue
            self.traits[service.name] = service.engine
            if service.name not in self.pools:
                self.pools[service.name] = self.make_pool(service.name)
        self.refresh()

    def make_pool(self, name: str) -> PoolScheduler:
        """Return the scheduler of a new pool."""
        settings = self.program.settings.scheduler
        seed = self.program.identity.incarnation
        policy = POLICIES[settings.policy](settings=settings, seed=seed)
        pool = PoolScheduler(name=name, program=self.program, policy=policy)
        pool.settle()
        return pool

    def refresh(self) -> None:
        """Take in which endpoints there are."""
        for name, pool in self.pools.items():
            traits = self.traits[name]
            found = [
                endpoint
                for endpoint in self.endpoints.by_name.values()
                if endpoint.record.service == name
            ]
            declared = [declare(endpoint, traits) for endpoint in found]
            leaving = {endpoint.name for endpoint in found if endpoint.leaving}
            pool.set_endpoints(declared, leaving)
            self.weigh_distance(pool)

    def weigh_distance(self, pool: PoolScheduler) -> None:
        """Let engines of other failure domains cost more where that is wanted."""
        own = self.program.settings.host.failure_domain
        local_first = self.local_first()
        for name, state in pool.state.endpoints.items():
            far = local_first and self.domain(name) != own
            state.distance_cost = FAR_COST if far else 0.0

    async def judge(self) -> None:
        """Look for slow engines for as long as the process runs."""
        while True:
            await asyncio.sleep(JUDGE_S)
            for pool in self.pools.values():
                pool.advise_hedges()

    async def admit(
        self, call: Call, *, patience_s: float, excluded: list[str], attempt: int
    ) -> Place | Failure:
        """Wait for a place for a call, or return why there is none."""
        pool = self.pools.get(call.service.name)
        if pool is None or call.prompt is None:
            return Failure(Code.NO_ENDPOINT, f"no engine of {call.service.name}")
        body = Admit(
            request=call.ident,
            reservation=self.reservation_name(call),
            pool=call.service.name,
            workspace=call.workspace,
            model=call.prompt.model,
            kind=call.route.name,
            priority=-call.priority,
            prompt_tokens=call.prompt.tokens,
            max_tokens=call.prompt.max_tokens,
            deadline_ms=int(patience_s * MS),
            excluded=excluded,
            attempt=attempt,
        )
        grant = await pool.admit(None, body)
        if isinstance(grant, Failure):
            return grant
        return self.placed(call, pool, body, grant)

    def reservation_name(self, call: Call) -> str:
        """Return a new name for a place."""
        return f"{self.program.identity.node}/{next(self.numbers)}/{call.ident}"

    def placed(
        self, call: Call, pool: PoolScheduler, body: Admit, grant: Grant
    ) -> Place:
        """Note a place that was granted, and tell the others of it."""
        holding = Holding(
            reservation=body.reservation,
            endpoint=grant.endpoint,
            workspace=body.workspace,
            model=body.model,
            kind=body.kind,
            priority=body.priority,
            prompt_tokens=body.prompt_tokens,
            max_tokens=body.max_tokens,
            taken=self.program.clock.now(),
        )
        place = Place(pool=pool.state.name, holding=holding)
        place.urgent = pool.reservations[body.reservation].short
        return self.hold(place)

    def hold(self, place: Place) -> Place:
        """Keep a place and tell the others of it."""
        self.held[place.holding.reservation] = place
        self.took(place.pool, place.holding)
        return place

    def progressed(self, place: Place, produced: int) -> None:
        """Take in how many tokens a run has produced.

        The others hear of the first ones at once: the prompt is read by then.
        """
        first = not place.holding.produced
        place.holding.produced = produced
        if first:
            self.took(place.pool, place.holding)
        item = ProgressItem(
            reservation=place.holding.reservation, produced=produced, first_token_us=1
        )
        self.pools[place.pool].progress(item)

    def release(self, place: Place, outcome: str) -> None:
        """Give a place back."""
        if self.held.pop(place.holding.reservation, None) is None:
            return
        release = Release(
            reservation=place.holding.reservation,
            produced=place.holding.produced,
            outcome=outcome,
        )
        self.pools[place.pool].release(release)
        self.gave_back(release)

    def move_plan(self, pool: str, endpoint: str) -> dict[str, Turn]:
        """Return when each run's move begins after a notice, by reservation."""
        scheduler = self.pools[pool]
        state = scheduler.state.endpoints.get(endpoint)
        if state is None:
            return {}
        gap_s = scheduler.policy.token_gap_s()
        return move_plan(
            state.reservations.values(),
            self.traits[pool],
            gap_s,
            near_rooms=self.near_rooms(pool, endpoint),
        )

    def near_rooms(self, pool: str, endpoint: str) -> list[int]:
        """Return the tokens free at the other engines of a failure domain."""
        domain = self.domain(endpoint)
        states = self.pools[pool].state.endpoints
        return [
            states[other.name].free_tokens - MOVE_ROOM_TOKENS
            for other in self.endpoints.usable(pool)
            if other.name != endpoint
            and other.name in states
            and other.record.failure_domain == domain
        ]

    def held_at(self, pool: str, endpoint: str) -> Container[str]:
        """Return the reservations at an engine, of all gateways."""
        state = self.pools[pool].state.endpoints.get(endpoint)
        return state.reservations if state is not None else ()

    def place_for_move(self, call: Call, place: Place, tried: set[str]) -> Place | None:
        """Take a place at another engine for a run that is to be moved there."""
        pool = self.pools[place.pool]
        target = self.move_target(pool, place, tried)
        if target is None:
            return None
        holding = attrs.evolve(
            place.holding,
            reservation=self.reservation_name(call),
            endpoint=target.name,
            taken=self.program.clock.now(),
        )
        pool.hold(None, holding)
        return self.hold(Place(pool=place.pool, holding=holding, urgent=place.urgent))

    def move_target(
        self, pool: PoolScheduler, place: Place, tried: set[str]
    ) -> EndpointState | None:
        """Return the engine with the most room, those of the same domain first."""
        needed = place.holding.prompt_tokens + place.holding.produced + MOVE_ROOM_TOKENS
        domain = self.domain(place.endpoint)
        now = time.monotonic()
        offers = []
        for name, state in pool.state.endpoints.items():
            room = state.free_tokens
            if name == place.endpoint or name in tried or state.leaving:
                continue
            if room < needed or state.in_flight >= state.concurrency:
                continue
            if not pool.policy.may_take(state, now):
                continue
            offers.append((self.domain(name) != domain, state.used_tokens, name, state))
        return min(offers)[3] if offers else None

    def domain(self, name: str) -> str:
        """Return an endpoint's failure domain, empty where it isn't known."""
        endpoint = self.endpoints.by_name.get(name)
        return endpoint.record.failure_domain if endpoint is not None else ""

    def held_here(self) -> list[Holdings]:
        """Return all places that this gateway holds, by pool."""
        by_pool: dict[str, list[Holding]] = {}
        for place in self.held.values():
            by_pool.setdefault(place.pool, []).append(place.holding)
        return [Holdings(pool=name, items=items) for name, items in by_pool.items()]

    def take_foreign(self, peer: str, pool: str, holding: Holding) -> None:
        """Take in a place that another gateway holds, or its progress."""
        found = self.pools.get(pool)
        if found is None:
            return
        known = found.reservations.get(holding.reservation)
        if known is None:
            found.hold(None, holding)
        elif holding.produced > known.produced:
            item = ProgressItem(
                reservation=holding.reservation, produced=holding.produced
            )
            found.progress(item)
        self.foreign.setdefault(peer, {})[holding.reservation] = pool

    def end_foreign(self, peer: str, release: Release) -> None:
        """Take in that another gateway gave a place back."""
        pool = self.foreign.get(peer, {}).pop(release.reservation, None)
        if pool is not None and pool in self.pools:
            self.pools[pool].release(release)

    def keep_foreign(self, peer: str, names: set[str]) -> None:
        """Drop a gateway's places that aren't among some names."""
        for name in self.foreign.get(peer, {}).keys() - names:
            self.end_foreign(peer, Release(reservation=name, outcome=FAILED))


def declare(endpoint: Endpoint, traits: EngineTraits) -> DeclaredEndpoint:
    """Return an engine in the form that the scheduler takes."""
    record = endpoint.record
    return DeclaredEndpoint(
        name=record.name,
        url=f"http://{record.address}",
        failure_domain=record.failure_domain,
        service=record.service,
        memory_tokens=traits.kv_cache_tokens,
        concurrency=traits.slots,
    )
