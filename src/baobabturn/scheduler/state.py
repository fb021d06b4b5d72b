"""What a scheduler knows of a pool: endpoints, reservations and who waits."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from baobabturn.wire.messages import Admit, EndpointReport


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
    cached: dict[int, float] = attrs.Factory(dict)

    @property
    def in_flight(self) -> int:
        """Return the number of places held."""
        return len(self.reservations)

    @property
    def used_tokens(self) -> int:
        """Return the memory that the known generations hold, in tokens."""
        return sum(held.memory_tokens for held in self.reservations.values())


@attrs.define(kw_only=True, eq=False)
class Waiting:
    """A request in the queue, with the future that its grant settles."""

    admit: Admit
    holder: Any
    arrived: float
    deadline: float
    future: asyncio.Future


@attrs.define(kw_only=True)
class PoolState:
    """A pool's endpoints and queue, as policies see them."""

    name: str
    endpoints: dict[str, EndpointState] = attrs.Factory(dict)
    queue: list[Waiting] = attrs.Factory(list)

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
