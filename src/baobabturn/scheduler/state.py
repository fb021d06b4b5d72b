"""The state of a pool: its endpoints, reservations and waiting requests."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable
from typing import Any, Protocol

import attrs

from baobabturn.scheduler.affinity import CachedBlocks
from baobabturn.scheduler.overflow import KVCacheGrowth
from baobabturn.scheduler.sampledset import SampledSet
from baobabturn.wire.messages import Admit, EndpointReport

MAX_CACHED_BLOCKS = 4096
CACHED_BLOCK_MAX_AGE_S = 60.0


@attrs.define(kw_only=True)
class Reservation:
    """Capacity of an endpoint that an entry holds for one request.

    Fields that end in ``_at`` are monotonic seconds; ``orphaned_at`` is 0 while there
    is a holder.  ``taken`` is the hybrid logical clock's time at which the holder
    took it.  ``hedges`` names the reservation that this one is a second attempt for;
    ``hedged`` says that a second attempt for this one was advised, ``hedgeable`` that
    one may start even after the first token.  ``short`` says that a short answer is
    expected, ``urgent`` that it is short or of a higher priority than most others,
    ``expected_tokens`` counts its prompt and expected answer, ``estimated_tokens`` is
    the caller's own estimate of the answer, 0 for none.
    ``uncached_tokens`` is the part of the prompt to prefill; ``prefill_ahead_tokens``
    were to prefill at its endpoint before.
    ``watched`` says that progress is reported as it happens; otherwise only the first
    token and the end are.  ``measured_at`` and ``measured_produced`` are the time and
    the tokens at which its token time was measured last, 0 before progress was seen.
    ``length_distribution`` is a ``lengths.LengthDistribution``, ``growth_terms`` are
    those of ``overflow.growth_terms``.
    """

    name: str
    endpoint: str
    workspace: str
    model: str
    kind: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    granted_at: float
    estimated_tokens: int = 0
    hedgeable: bool = False
    hedges: str = ""
    hedged: bool = False
    first_token_seen: bool = False
    weight: float = 1.0
    short: bool = False
    urgent: bool = False
    uncached_tokens: int = 0
    prefill_ahead_tokens: int = 0
    watched: bool = True
    measured_at: float = 0.0
    measured_produced: int = 0
    expected_tokens: float = 0.0
    length_distribution: Any = None
    growth_terms: list[tuple[float, float]] = attrs.Factory(list)
    holder: Any = None
    produced: int = 0
    updated_at: float = 0.0
    first_token_us: int = 0
    gap_us: int = 0
    orphaned_at: float = 0.0
    taken: int = 0

    @property
    def memory_tokens(self) -> int:
        """Return the present size of the generation's KV cache, in tokens."""
        return self.prompt_tokens + self.produced


@attrs.define(kw_only=True)
class EndpointState:
    """One endpoint: its declared capacity, last report and reservations.

    ``memory_tokens`` is the size of its KV memory, ``used_tokens`` the part that its
    reservations use.  ``normal_count`` and ``normal_growth`` cover only reservations
    that aren't urgent.  ``batch_limit`` is the adapted limit on its reservations, 0
    before the first adaptation.  ``distance_cost`` is added to the cost of choosing it.
    ``remote_tokens`` and ``remote_requests`` are the load by requests that are known
    here only in aggregate: the KV memory that they need at their peak, and their
    number.  ``closed`` says that its failure domain is evacuated: it gets no new
    requests, and what runs there goes on.  ``software_version`` is empty where
    endpoints name none to their pool, ``failure_domain`` where it isn't known.
    """

    name: str
    url: str
    memory_tokens: int
    concurrency: int = 0
    models: tuple[str, ...] = ()
    software_version: str = ""
    failure_domain: str = ""
    report: EndpointReport | None = None
    reported_at: float = 0.0
    leaving: bool = False
    closed: bool = False
    reservations: dict[str, Reservation] = attrs.Factory(dict)
    used_tokens: int = 0
    normal_count: int = 0
    urgent_prefill_tokens: int = 0
    normal_prefill_tokens: int = 0
    batch_limit: float = 0.0
    distance_cost: float = 0.0
    remote_tokens: int = 0
    remote_requests: int = 0
    cached_blocks: CachedBlocks = attrs.Factory(
        lambda: CachedBlocks(
            max_blocks=MAX_CACHED_BLOCKS, max_age_s=CACHED_BLOCK_MAX_AGE_S
        )
    )
    growth: KVCacheGrowth = attrs.Factory(KVCacheGrowth)
    normal_growth: KVCacheGrowth = attrs.Factory(KVCacheGrowth)

    @property
    def takes_new_requests(self) -> bool:
        """Return whether the endpoint is neither leaving nor closed."""
        return not (self.leaving or self.closed)

    @property
    def prefill_tokens(self) -> int:
        """Return the sent prompt tokens whose prefill isn't finished."""
        return self.urgent_prefill_tokens + self.normal_prefill_tokens

    @property
    def free_tokens(self) -> int:
        """Return the KV memory that no request uses now, in tokens."""
        return self.memory_tokens - self.used_tokens - self.remote_tokens

    @property
    def in_flight(self) -> int:
        """Return the number of requests."""
        return len(self.reservations) + self.remote_requests

    def count_prefill(self, reservation: Reservation, sign: int) -> None:
        """Add a reservation's tokens to prefill; remove them with ``sign`` -1."""
        if reservation.urgent:
            self.urgent_prefill_tokens += sign * reservation.uncached_tokens
        else:
            self.normal_prefill_tokens += sign * reservation.uncached_tokens

    def add(self, reservation: Reservation) -> None:
        """Add a reservation."""
        self.reservations[reservation.name] = reservation
        self.used_tokens += reservation.memory_tokens

    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation, if it is there."""
        if self.reservations.pop(reservation.name, None) is not None:
            self.used_tokens -= reservation.memory_tokens

    def record_produced(self, reservation: Reservation, produced: int) -> None:
        """Raise a reservation's produced tokens to ``produced``."""
        added = max(0, produced - reservation.produced)
        reservation.produced += added
        if reservation.name in self.reservations:
            self.used_tokens += added


@attrs.define(kw_only=True, eq=False)
class WaitingRequest:
    """A request in the queue.

    ``future`` gets its ``Grant`` or ``Failure``; ``arrived_at`` and ``deadline`` are
    monotonic seconds.  ``initial_finish_chance`` is the chance at arrival to finish
    in time.  ``whole_pool_at`` is when a large pool was last examined as a whole for
    it, 0 for never.
    """

    admit: Admit
    holder: Any
    arrived_at: float
    deadline: float
    future: asyncio.Future
    weight: float = 1.0
    length_distribution: Any = None
    short: bool = False
    urgent: bool = False
    initial_finish_chance: float = 1.0
    whole_pool_at: float = 0.0
    growth_terms: list[tuple[float, float]] = attrs.Factory(list)


class EndpointRateLimits(Protocol):
    """The limits on their rate of requests that endpoints name."""

    def delay_s(self, endpoint: str) -> float:
        """Return how long a request to an endpoint would have to wait, 0 for none."""

    def book(self, endpoint: str) -> None:
        """Book a request that is about to be sent to an endpoint."""

    def queue_delay_s(self, endpoints: list[str], waiting: int) -> float:
        """Return how long a request waits behind others, 0 if any has no limit."""

    def record_demand(self, endpoints: Iterable[str]) -> None:
        """Record a request that may go to any of some endpoints."""

    def limited_endpoints(self) -> Collection[str]:
        """Return the endpoints that may have a limit; no other has one."""


class NoRateLimits:
    """The limits of endpoints that name none."""

    def delay_s(self, endpoint: str) -> float:
        """Return 0."""
        return 0.0

    def book(self, endpoint: str) -> None:
        """Do nothing."""

    def queue_delay_s(self, endpoints: list[str], waiting: int) -> float:
        """Return 0."""
        return 0.0

    def record_demand(self, endpoints: Iterable[str]) -> None:
        """Do nothing."""

    def limited_endpoints(self) -> Collection[str]:
        """Return none."""
        return ()


@attrs.define(kw_only=True)
class PoolState:
    """A pool's endpoints and queue, as policies see them.

    Queued requests are keyed by the name of their future reservation.
    ``rate_limits`` holds the limits on their rate of requests that endpoints name.
    ``names`` are those of all endpoints, ``near`` those of the own failure domain where
    others cost more.
    """

    name: str
    endpoints: dict[str, EndpointState] = attrs.Factory(dict)
    names: SampledSet = attrs.Factory(SampledSet)
    near: SampledSet = attrs.Factory(SampledSet)
    queue: dict[str, WaitingRequest] = attrs.Factory(dict)
    rate_limits: EndpointRateLimits = attrs.Factory(NoRateLimits)

    def add(self, endpoint: EndpointState) -> None:
        """Add an endpoint, which replaces one of its name."""
        self.endpoints[endpoint.name] = endpoint
        self.names.add(endpoint.name)

    def remove(self, name: str) -> None:
        """Remove an endpoint, if it is there."""
        self.endpoints.pop(name, None)
        self.names.discard(name)
        self.near.discard(name)

    def set_distance_cost(self, name: str, cost: float) -> None:
        """Set the added cost of an endpoint, 0 in the own failure domain."""
        self.endpoints[name].distance_cost = cost
        if cost:
            self.near.discard(name)
        else:
            self.near.add(name)

    def limit_delay_s(self) -> float:
        """Return the shortest time until an endpoint's limit permits a request.

        It is 0 if no endpoint is at its limit.
        """
        delays = [
            self.rate_limits.delay_s(name)
            for name in self.rate_limits.limited_endpoints()
            if name in self.endpoints
        ]
        return min((delay_s for delay_s in delays if delay_s), default=0.0)

    def available_endpoints(
        self, admit: Admit, endpoints: Iterable[EndpointState] | None = None
    ) -> list[EndpointState]:
        """Return those of some endpoints, or of all, that may get a request now.

        Those aren't leaving, closed, excluded, unreachable, at a limit, or of another
        software version or failure domain than the request needs.
        """
        available = []
        for endpoint in self.endpoints.values() if endpoints is None else endpoints:
            if endpoint.closed or not allows(admit, endpoint):
                continue
            report = endpoint.report
            if report is not None and (report.leaving or not report.reachable):
                continue
            if self.rate_limits.delay_s(endpoint.name):
                continue
            available.append(endpoint)
        return available

    def only_closed_could_serve(self, admit: Admit) -> bool:
        """Return whether no endpoint but closed ones could serve a request."""
        is_any_closed = False
        for endpoint in self.endpoints.values():
            if not allows(admit, endpoint):
                continue
            if not endpoint.closed:
                return False
            is_any_closed = True
        return is_any_closed


def allows(admit: Admit, endpoint: EndpointState) -> bool:
    """Return whether a request may go to an endpoint as long as it isn't closed.

    That is one that isn't leaving or excluded, of a software version and failure domain
    that the request needs.
    """
    return (
        not endpoint.leaving
        and endpoint.name not in admit.excluded
        and admit.software_version in ("", endpoint.software_version)
        and (
            not admit.failure_domains
            or endpoint.failure_domain in admit.failure_domains
        )
    )
