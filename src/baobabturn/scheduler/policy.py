"""Policies: which waiting request is next, and which endpoint takes it."""

from __future__ import annotations

import random
from typing import Protocol

from baobabturn.scheduler.state import EndpointState, PoolState, Reservation, Waiting
from baobabturn.settings.model import Scheduler


class Policy(Protocol):
    """A way to decide; holds what it learns."""

    def order(self, pool: PoolState, now: float) -> list[Waiting]:
        """Return the waiting requests, the next one first."""

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, None to let it wait."""

    def engine_priority(self, waiting: Waiting) -> int:
        """Return the priority to give the engine; smaller goes first."""

    def released(self, held: Reservation, outcome: str, now: float) -> None:
        """Learn from a generation that ended."""


class LeastLoad:
    """Baseline: the endpoint with the least load by its own last report."""

    def __init__(self, *, settings: Scheduler, seed: int):
        self.settings = settings
        self.random = random.Random(seed)

    def order(self, pool: PoolState, now: float) -> list[Waiting]:
        """Return the waiting requests in order of arrival."""
        return list(pool.queue)

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the endpoint with the least reported load; ties at random."""
        usable = pool.usable(waiting.admit)
        if not usable:
            return None
        return min(
            usable, key=lambda endpoint: (reported(endpoint), self.random.random())
        )

    def engine_priority(self, waiting: Waiting) -> int:
        """Return the declared priority, turned so that smaller goes first."""
        return -waiting.admit.priority

    def released(self, held: Reservation, outcome: str, now: float) -> None:
        """Learn nothing."""


class TwoChoices(LeastLoad):
    """Baseline: the less loaded of two endpoints drawn at random."""

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the less loaded of two by their last reports."""
        usable = pool.usable(waiting.admit)
        if not usable:
            return None
        drawn = self.random.sample(usable, min(2, len(usable)))
        return min(drawn, key=reported)


class RoundRobin(LeastLoad):
    """Baseline: each endpoint in turn."""

    def __init__(self, *, settings: Scheduler, seed: int):
        super().__init__(settings=settings, seed=seed)
        self.turn = 0

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the next endpoint in turn."""
        usable = pool.usable(waiting.admit)
        if not usable:
            return None
        self.turn += 1
        return usable[self.turn % len(usable)]


class Accounting(LeastLoad):
    """The product's policy: exact counts of what is in flight at each endpoint."""

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the endpoint whose memory is least used, None if all are full."""
        need = waiting.admit.prompt_tokens
        fitting = [
            endpoint
            for endpoint in pool.usable(waiting.admit)
            if endpoint.used_tokens + need < endpoint.memory_tokens
        ]
        if not fitting:
            return None
        return min(fitting, key=lambda e: (e.used_tokens, e.in_flight))


def reported(endpoint: EndpointState) -> int:
    """Return the number of generations in an endpoint's last report."""
    report = endpoint.report
    return 0 if report is None else report.running + report.waiting


POLICIES: dict[str, type] = {
    "baobabturn": Accounting,
    "least-load": LeastLoad,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
}
