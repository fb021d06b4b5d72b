"""What a scheduler knows of a pool: endpoints, reservations and who waits."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from baobabturn.scheduler.affinity import CachedBlocks
from baobabturn.scheduler.overflow import Growth
from baobabturn.wire.messages import Admit, EndpointReport

CACHED_BLOCK_LIMIT = 4096
CACHE_TRUST_S = 60.0


@attrs.define(kw_only=True)
class Reservation:
    """A place at an endpoint that an entry holds; times are monotonic seconds."""

    name: str
    endpoint: str
    workspace: str
    model: str
    kind: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    granted: float
    hedgeable: bool = False
    hedges: str = ""
    hedged: bool = False
    first_token_seen: bool = False
    weight: float = 1.0
    short: bool = False
    uncached_tokens: int = 0
    expected_tokens: float = 0.0
    curve: Any = None
    terms: list[tuple[float, float]] = attrs.Factory(list)
    holder: Any = None
    produced: int = 0
    updated: float = 0.0
    first_token_us: int = 0
    gap_us: int = 0
    orphaned: float = 0.0
    taken: int = 0

    @property
    def memory_tokens(self) -> int:
        """Return the engine memory that the generation holds now."""
        return self.prompt_tokens + self.produced


@attrs.define(kw_only=True)
class EndpointState:
    """One endpoint: its declared size, last report and what is in flight."""

    name: str
    url: str
    memory_tokens: int
    concurrency: int = 0
    models: tuple[str, ...] = ()
    report: EndpointReport | None = None
    report_at: float = 0.0
    leaving: bool = False
    reservations: dict[str, Reservation] = attrs.Factory(dict)
    used_tokens: int = 0
    long_count: int = 0
    reading_short: int = 0
    reading_long: int = 0
    batch_limit: float = 0.0
    distance_cost: float = 0.0
    cached: CachedBlocks = attrs.Factory(
        lambda: CachedBlocks(limit=CACHED_BLOCK_LIMIT, trust_s=CACHE_TRUST_S)
    )
    growth: Growth = attrs.Factory(Growth)
    long_growth: Growth = attrs.Factory(Growth)

    @property
    def reading(self) -> int:
        """Return the prompt tokens sent and not read in yet."""
        return self.reading_short + self.reading_long

    @property
    def free_tokens(self) -> int:
        """Return the memory that the places held leave now."""
        return self.memory_tokens - self.used_tokens

    @property
    def in_flight(self) -> int:
        """Return the number of places held."""
        return len(self.reservations)

    def read_ahead(self, held: Reservation, sign: int) -> None:
        """Count prompt tokens that were sent and not read in yet."""
        if held.short:
            self.reading_short += sign * held.uncached_tokens
        else:
            self.reading_long += sign * held.uncached_tokens

    def add(self, held: Reservation) -> None:
        """Count a place in."""
        self.reservations[held.name] = held
        self.used_tokens += held.memory_tokens

    def remove(self, held: Reservation) -> None:
        """Count a place out."""
        if self.reservations.pop(held.name, None) is not None:
            self.used_tokens -= held.memory_tokens

    def grow(self, held: Reservation, produced: int) -> None:
        """Count the tokens that a place's generation has produced."""
        more = max(0, produced - held.produced)
        held.produced += more
        if held.name in self.reservations:
            self.used_tokens += more


@attrs.define(kw_only=True, eq=False)
class Waiting:
    """A request in the queue, with the future that its grant settles."""

    admit: Admit
    holder: Any
    arrived: float
    deadline: float
    future: asyncio.Future
    weight: float = 1.0
    curve: Any = None
    short: bool = False
    chance: float = 1.0
    terms: list[tuple[float, float]] = attrs.Factory(list)


@attrs.define(kw_only=True)
class PoolState:
    """A pool's endpoints and queue, as policies see them."""

    name: str
    endpoints: dict[str, EndpointState] = attrs.Factory(dict)
    queue: dict[str, Waiting] = attrs.Factory(dict)

    def usable(self, admit: Admit) -> list[EndpointState]:
        """Return the endpoints that may take a request now."""
        found = []
        for endpoint in self.endpoints.values():
            if endpoint.leaving or endpoint.name in admit.excluded:
                continue
            report = endpoint.report
            if report is not None and (report.leaving or not report.reachable):
                continue
            found.append(endpoint)
        return found
