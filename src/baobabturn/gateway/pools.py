"""Chooses engines for this gateway's requests, with one scheduler per pool.

Each gateway runs the scheduler's code for every pool.  Reservations that other
gateways hold count like its own, as soon as they have published them.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Collection, Container, Iterable, Iterator

import attrs

from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.poolrefresh import refresh_pool
from baobabturn.gateway.remoteloads import RemoteLoads
from baobabturn.gateway.request import CallerRequest, GenerationSize
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.routes import EngineTraits, RouteKind, RouteTable
from baobabturn.gateway.streamorigins import (
    StreamOrigin,
    StreamOrigins,
    stream_digest,
)
from baobabturn.placement.homes import DomainRegions, Homes
from baobabturn.scheduler.overflowpolicy import OverflowBoundPolicy
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import (
    EndpointRateLimits,
    NoRateLimits,
    Reservation,
)
from baobabturn.wire.gatewaymessages import EngineLoad
from baobabturn.wire.messages import (
    Admit,
    Grant,
    Holding,
    Holdings,
    ProgressItem,
    Release,
)
from baobabturn.wire.words import FAILED, FINISHED

MS_PER_S = 1000
STRAGGLER_CHECK_INTERVAL_S = 0.2
# Changes of endpoints within this time are applied to the pools together: each time
# the waiting requests are looked at again, and more change in a larger deployment.
REFRESH_DELAY_S = 0.02
# The added cost of engines of other failure domains in a large fleet, where less is
# known of their load; as a share of an engine's KV cache.
OTHER_DOMAIN_COST_RATIO = 0.5
# In smaller fleets the failure domain decides between engines of about equal cost.  A
# way there and back of 2 to 3 ms takes as long as the prefill of some 40 tokens, which
# costs this much.
OTHER_DOMAIN_TIE_RATIO = 0.02
# A stream may be resumed for this long after its route's timeout, which holds for
# each attempt, has passed twice.
RESUME_MARGIN_S = 30.0
# Evacuations last for a while, so callers needn't return at once.
CLOSED_RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True, eq=False)
class HeldReservation:
    """A reservation at an engine that this gateway holds for a request."""

    pool: str
    holding: Holding
    urgent: bool = False

    @property
    def endpoint(self) -> str:
        """Return the engine's name."""
        return self.holding.endpoint


class EnginePools:
    """The schedulers of all services that have engines, and the reservations.

    ``reservations`` are this gateway's own, by name; ``peer_reservations`` holds for
    each near gateway the pool of each of its reservations, by name.
    ``remote_loads`` holds the aggregated load on engines by the gateways of each
    failure domain whose single reservations aren't known.  ``origins`` holds the
    origins of all streams that are known here.  ``preferred_own_domain`` is what
    ``prefer_own_domain`` returned at the last refresh.
    """

    def __init__(
        self, *, program: Program, endpoints: Endpoints, regions: DomainRegions
    ):
        self.program = program
        self.regions = regions
        self.endpoints = endpoints
        self.pools: dict[str, PoolScheduler] = {}
        self.traits: dict[str, EngineTraits] = {}
        self.reservations: dict[str, HeldReservation] = {}
        self.peer_reservations: dict[str, dict[str, str]] = {}
        self.remote_loads = RemoteLoads(pools=self.pools)
        self.counter = itertools.count(1)
        self.refresh_scheduled = False
        self.prefer_own_domain: Callable[[], bool] = lambda: False
        self.preferred_own_domain = False
        self.on_reserved: Callable[[str, Holding], None] = lambda pool, holding: None
        self.on_released: Callable[[Release], None] = lambda release: None
        self.rate_limits: EndpointRateLimits = NoRateLimits()
        self.origins = StreamOrigins()

    def apply_table(self, table: RouteTable) -> None:
        """Apply a configuration: add the pools that it declares."""
        for service in table.services.values():
            if service.engine is None:
                continue
            self.traits[service.name] = service.engine
            if service.name not in self.pools:
                self.pools[service.name] = self.make_pool(service.name)
        timeouts = [
            route.timeout_s
            for route in table.routes.values()
            if route.kind is RouteKind.STREAM
        ]
        self.origins.lifetime_s = RESUME_MARGIN_S + 2 * max(timeouts, default=0.0)
        self.endpoints.index.mark_all_changed()
        self.refresh_endpoints()

    def make_pool(self, name: str) -> PoolScheduler:
        """Return a scheduler for a new pool."""
        settings = self.program.settings.scheduler
        seed = self.program.identity.incarnation
        policy = POLICIES[settings.policy](settings=settings, seed=seed)
        pool = PoolScheduler(name=name, program=self.program, policy=policy)
        pool.state.rate_limits = self.rate_limits
        pool.settle()
        return pool

    def schedule_refresh(self) -> None:
        """Set the endpoints of every pool in a moment, once for many changes."""
        if not self.refresh_scheduled:
            self.refresh_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(REFRESH_DELAY_S, self.refresh_endpoints)

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Place nothing more at an engine that has begun to leave."""
        pool = self.pools.get(endpoint.record.service)
        is_current = self.endpoints.by_name.get(endpoint.name) is endpoint
        if pool is not None and is_current and endpoint.name in pool.state.endpoints:
            pool.state.endpoints[endpoint.name].leaving = True

    def refresh_endpoints(self) -> None:
        """Apply the endpoints that have changed to the pools.

        Where the fleet has become a large one, or none, all distances have changed.
        """
        self.refresh_scheduled = False
        if self.prefer_own_domain() != self.preferred_own_domain:
            self.preferred_own_domain = self.prefer_own_domain()
            self.endpoints.index.mark_all_changed()
        changed = self.endpoints.index.take_changed()
        for name, pool in self.pools.items():
            current = refresh_pool(pool, self.endpoints, self.traits[name], changed)
            self.set_software_versions(pool, current)
            self.set_distance_costs(pool, current)
            self.refuse_closed(pool)
            for endpoint in current:
                self.remote_loads.apply(name, endpoint)

    def set_software_versions(self, pool: PoolScheduler, names: Iterable[str]) -> None:
        """Set the versions of some engines, and grant what needs one of them."""
        for name in names:
            state = pool.state.endpoints[name]
            state.software_version = self.software_version_of(name)
        pool.dispatch()

    def software_version_of(self, name: str) -> str:
        """Return the version of an endpoint's software, empty if it isn't known."""
        endpoint = self.endpoints.by_name.get(name)
        return endpoint.record.software_version.key if endpoint is not None else ""

    def has_usable(self, service: str, software_version: str) -> bool:
        """Return whether any engine of a service and version takes new requests."""
        return any(
            endpoint.record.software_version.key == software_version
            for endpoint in self.endpoints.index.usable[service].values()
        )

    def own_domain_load(self) -> list[EngineLoad]:
        """Return the load on each engine by the reservations known one by one."""
        return [
            EngineLoad(
                pool=name,
                endpoint=state.name,
                tokens=max(0, int(state.growth.peak_mean_tokens())),
                requests=len(state.reservations),
            )
            for name, pool in self.pools.items()
            for state in pool.state.endpoints.values()
            if state.reservations
        ]

    def apply_domain_load(self, domain: str, loads: list[EngineLoad]) -> None:
        """Replace the aggregated load of another failure domain's gateways."""
        self.remote_loads.replace(domain, loads)
        for pool in self.pools.values():
            pool.schedule_dispatch()

    def set_distance_costs(self, pool: PoolScheduler, names: Iterable[str]) -> None:
        """Set the added cost of some engines, if of other failure domains."""
        own = self.program.settings.host.failure_domain
        ratio = (
            OTHER_DOMAIN_COST_RATIO
            if self.prefer_own_domain()
            else OTHER_DOMAIN_TIE_RATIO
        )
        for name in names:
            far = self.failure_domain_of(name) != own
            pool.state.set_distance_cost(name, ratio if far else 0.0)

    def learning_policies(self) -> Iterator[tuple[PoolScheduler, OverflowBoundPolicy]]:
        """Yield the pools whose policies learn from reservations, with them."""
        for pool in self.pools.values():
            if isinstance(pool.policy, OverflowBoundPolicy):
                yield pool, pool.policy

    def slow_engine_count(self) -> int:
        """Return how many engines are slower than the median of their pool."""
        return sum(
            slowdown > 1 and name in pool.state.endpoints
            for pool, policy in self.learning_policies()
            for name, slowdown in policy.speeds.slowdowns.items()
        )

    def urgent_reserve_tokens(self) -> float:
        """Return the memory of all engines that only urgent requests may take."""
        return sum(
            policy.reserve.ratio(name) * state.memory_tokens
            for pool, policy in self.learning_policies()
            for name, state in pool.state.endpoints.items()
            if state.takes_new_requests
        )

    async def detect_stragglers(self) -> None:
        """Look for stragglers among the engines for as long as the process runs."""
        while True:
            await asyncio.sleep(STRAGGLER_CHECK_INTERVAL_S)
            for pool in self.pools.values():
                pool.advise_hedges()

    async def admit(
        self,
        request: CallerRequest,
        *,
        queue_timeout_s: float,
        excluded: list[str],
        attempt: int,
        software_version: str = "",
    ) -> HeldReservation | Failure:
        """Wait for a reservation for a request; return it or why there is none.

        With a ``software_version`` only engines of that version may serve it; without
        any it is refused at once.
        """
        service = request.service.name
        pool = self.pools.get(service)
        size = request.generation_size
        if pool is None or size is None:
            return Failure(Code.NO_ENDPOINT, f"no engine of {service}")
        if self.endpoints.only_closed(service):
            return closed_failure(service)
        if software_version and not self.has_usable(service, software_version):
            reason = f"no engine of {service} has version {software_version}"
            return Failure(Code.NO_ENDPOINT, reason)
        admission = self.admission_of(
            request, size, queue_timeout_s, excluded, attempt, software_version
        )
        is_any_closed = bool(self.endpoints.closed_domains)
        if is_any_closed and pool.state.only_closed_could_serve(admission):
            return closed_failure(service)
        homes = request.homes
        # A home region may have few engines.  With all tried, waiting is in vain,
        # while another gateway may reach one.
        if homes is not None and not self.has_untried(service, homes, excluded):
            reason = f"no engine of {service} is left in its home regions"
            return Failure(Code.NO_ENDPOINT, reason)
        refusal = self.limit_refusal(pool, queue_timeout_s, -request.priority, homes)
        if refusal is not None:
            return refusal
        grant = await pool.admit(None, admission)
        if isinstance(grant, Failure):
            return grant
        return self.record_grant(request, pool, admission, grant)

    def admission_of(
        self,
        request: CallerRequest,
        size: GenerationSize,
        queue_timeout_s: float,
        excluded: list[str],
        attempt: int,
        software_version: str,
    ) -> Admit:
        """Return what the scheduler is asked for a request."""
        homes = request.homes
        return Admit(
            request=request.request_id,
            reservation=self.reservation_name(request),
            pool=request.service.name,
            workspace=request.workspace,
            model=size.model,
            kind=request.route.name,
            priority=-request.priority,
            prompt_tokens=size.prompt_tokens,
            max_tokens=size.max_tokens,
            estimated_tokens=size.estimated_tokens,
            deadline_ms=int(queue_timeout_s * MS_PER_S),
            excluded=excluded,
            attempt=attempt,
            software_version=software_version,
            failure_domains=[] if homes is None else self.regions.domains_of(homes),
        )

    def refuse_waiting(self, service: str) -> None:
        """End the wait of all requests for a service that can't be reached."""
        pool = self.pools.get(service)
        if pool is None:
            return
        for waiting in list(pool.state.queue.values()):
            if not waiting.future.done():
                reason = f"no engine of {service} can be reached from here"
                waiting.future.set_result(Failure(Code.CONNECT_FAILED, reason))

    def refuse_closed(self, pool: PoolScheduler) -> None:
        """End the wait of the requests that only closed engines could serve."""
        if not self.endpoints.closed_domains:
            return
        for waiting in list(pool.state.queue.values()):
            if waiting.future.done():
                continue
            if pool.state.only_closed_could_serve(waiting.admit):
                waiting.future.set_result(closed_failure(pool.state.name))

    def generation_count(self, domains: Container[str]) -> int:
        """Return how many generations of all gateways run in failure domains."""
        return sum(
            len(state.reservations)
            for pool in self.pools.values()
            for name, state in pool.state.endpoints.items()
            if self.failure_domain_of(name) in domains
        )

    def usable_in(self, service: str, homes: Homes) -> Iterator[str]:
        """Yield a service's engines in some home regions that take new requests."""
        for name, endpoint in self.endpoints.index.usable[service].items():
            if self.regions.allows(homes, endpoint.record.failure_domain):
                yield name

    def has_untried(self, service: str, homes: Homes, tried: list[str]) -> bool:
        """Return whether any engine in some home regions is left to be tried."""
        return any(name not in tried for name in self.usable_in(service, homes))

    def home_refusal(
        self, request: CallerRequest, endpoint: Endpoint
    ) -> Failure | None:
        """Return why an engine may not run a request, None if it is in a home region.

        Its entry may have changed since the engine was chosen.
        """
        if self.regions.allows(request.homes, endpoint.record.failure_domain):
            return None
        reason = f"{endpoint.name} isn't in a home region"
        return Failure(Code.NO_ENDPOINT, reason)

    def limit_refusal(
        self,
        pool: PoolScheduler,
        queue_timeout_s: float,
        priority: int,
        homes: Homes,
    ) -> Failure | None:
        """Return the refusal of a request that no engine's limit permits in time.

        Only those go ahead of it that are at least as urgent and may go to engines of
        the same failure domains.
        """
        name = pool.state.name
        limited = self.rate_limits.limited_endpoints()
        if any(each not in limited for each in self.usable_in(name, homes)):
            self.record_demand(name, homes, limited)
            return None
        usable = list(self.usable_in(name, homes))
        self.rate_limits.record_demand(usable)
        domains = [] if homes is None else self.regions.domains_of(homes)
        ahead = sum(
            waiting.admit.priority >= priority
            and share_domains(waiting.admit.failure_domains, domains)
            for waiting in pool.state.queue.values()
        )
        delay_s = self.rate_limits.queue_delay_s(usable, ahead)
        if delay_s <= queue_timeout_s:
            return None
        return Failure(
            Code.SATURATED,
            f"all engines of {name} are at their limits for {delay_s:.1f} s",
            retry_after_s=spread_retry_s(delay_s),
        )

    def record_demand(
        self, service: str, homes: Homes, limited: Collection[str]
    ) -> None:
        """Record a request that may go to some engines with a limit, or to others."""
        usable = self.endpoints.index.usable[service]
        self.rate_limits.record_demand(
            name
            for name in limited
            if name in usable
            and self.regions.allows(homes, usable[name].record.failure_domain)
        )

    def reservation_name(self, request: CallerRequest) -> str:
        """Return a new name for a reservation."""
        return f"{self.program.identity.node}/{next(self.counter)}/{request.request_id}"

    def record_grant(
        self,
        request: CallerRequest,
        pool: PoolScheduler,
        admission: Admit,
        grant: Grant,
    ) -> HeldReservation:
        """Record and publish the reservation that a grant gives to a request."""
        holding = Holding(
            reservation=admission.reservation,
            endpoint=grant.endpoint,
            workspace=admission.workspace,
            model=admission.model,
            kind=admission.kind,
            priority=admission.priority,
            prompt_tokens=admission.prompt_tokens,
            max_tokens=admission.max_tokens,
            estimated_tokens=admission.estimated_tokens,
            taken=self.program.clock.now(),
            software_version=self.software_version_of(grant.endpoint),
        )
        reservation = HeldReservation(pool=pool.state.name, holding=holding)
        reservation.urgent = pool.reservations[admission.reservation].urgent
        return self.record_reservation(reservation)

    def record_reservation(self, reservation: HeldReservation) -> HeldReservation:
        """Record a reservation and publish it."""
        self.reservations[reservation.holding.reservation] = reservation
        self.on_reserved(reservation.pool, reservation.holding)
        return reservation

    def record_software_version(
        self, reservation: HeldReservation, software_version: str
    ) -> None:
        """Record that another version than was thought has begun a generation.

        Whoever knows it under two versions joins it to none.
        """
        reservation.holding.software_version = software_version
        self.record_origin(reservation.pool, reservation.holding)
        self.on_reserved(reservation.pool, reservation.holding)

    def record_progress(self, reservation: HeldReservation, produced: int) -> None:
        """Record how many tokens a generation has produced.

        The first tokens are published at once, because prefill is complete then.
        """
        first = not reservation.holding.produced
        reservation.holding.produced = produced
        if first:
            self.record_origin(reservation.pool, reservation.holding)
            self.on_reserved(reservation.pool, reservation.holding)
        item = ProgressItem(
            reservation=reservation.holding.reservation,
            produced=produced,
            first_token_us=1,
        )
        self.pools[reservation.pool].progress(item)

    def release(self, reservation: HeldReservation, outcome: str) -> None:
        """Release a reservation and publish that."""
        if self.reservations.pop(reservation.holding.reservation, None) is None:
            return
        if outcome == FINISHED:
            self.origins.finish(digest_of(reservation.holding))
        release = Release(
            reservation=reservation.holding.reservation,
            produced=reservation.holding.produced,
            outcome=outcome,
        )
        self.pools[reservation.pool].release(release)
        self.on_released(release)

    def failure_domain_of(self, name: str) -> str:
        """Return an endpoint's failure domain, empty if it isn't known."""
        endpoint = self.endpoints.by_name.get(name)
        return endpoint.record.failure_domain if endpoint is not None else ""

    def own_holdings(self) -> list[Holdings]:
        """Return all reservations that this gateway holds, by pool."""
        by_pool: dict[str, list[Holding]] = {}
        for reservation in self.reservations.values():
            by_pool.setdefault(reservation.pool, []).append(reservation.holding)
        return [Holdings(pool=name, items=items) for name, items in by_pool.items()]

    def record_peer_reservation(self, peer: str, pool: str, holding: Holding) -> None:
        """Record a reservation that another gateway holds, or its progress."""
        scheduler = self.pools.get(pool)
        if scheduler is None:
            return
        known = scheduler.reservations.get(holding.reservation)
        if known is None:
            scheduler.hold(None, holding, watched=False)
        elif holding.produced > known.produced:
            item = ProgressItem(
                reservation=holding.reservation, produced=holding.produced
            )
            scheduler.progress(item)
        self.record_origin(pool, holding)
        self.peer_reservations.setdefault(peer, {})[holding.reservation] = pool

    def record_origin(self, pool: str, holding: Holding) -> None:
        """Record the origin of a stream that has had its first event."""
        if holding.produced and holding.software_version:
            origin = StreamOrigin(
                service=pool, software_version=holding.software_version
            )
            self.origins.record(digest_of(holding), origin)

    def release_peer_reservation(self, peer: str, release: Release) -> None:
        """Remove a reservation that another gateway released."""
        pool = self.peer_reservations.get(peer, {}).pop(release.reservation, None)
        if pool is None or pool not in self.pools:
            return
        known = self.pools[pool].reservations.get(release.reservation)
        if known is not None and release.outcome == FINISHED:
            self.origins.finish(digest_of(known))
        self.pools[pool].release(release)

    def retain_peer_reservations(self, peer: str, names: set[str]) -> None:
        """Remove a gateway's reservations that aren't named."""
        for name in self.peer_reservations.get(peer, {}).keys() - names:
            self.release_peer_reservation(
                peer, Release(reservation=name, outcome=FAILED)
            )


def closed_failure(service: str) -> Failure:
    """Return the refusal of a request that only closed endpoints could serve."""
    return Failure(
        Code.NO_ENDPOINT,
        f"the failure domains of all endpoints of {service} are evacuated",
        retry_after_s=spread_retry_s(CLOSED_RETRY_AFTER_S),
    )


def share_domains(first: list[str], second: list[str]) -> bool:
    """Return whether two requests may need engines of one failure domain.

    Each is given by the failure domains that it needs, none for any.
    """
    return not (first and second) or not set(first).isdisjoint(second)


def digest_of(reservation: Holding | Reservation) -> str:
    """Return the digest of the stream that a reservation is for."""
    name = (
        reservation.reservation
        if isinstance(reservation, Holding)
        else reservation.name
    )
    return stream_digest(reservation.workspace, request_of(name))


def request_of(reservation: str) -> str:
    """Return the id of a reservation's request, with which the name ends."""
    return reservation.split("/", 2)[-1]
