"""Baseline policies, which grant at once and leave queueing to the engine."""

from __future__ import annotations

import random

from baobabturn.scheduler.state import EndpointState, PoolState, Reservation, Waiting
from baobabturn.settings.model import Scheduler


class LeastLoad:
    """Chooses the endpoint with the least load in its own last report."""

    def __init__(self, *, settings: Scheduler, seed: int):
        self.settings = settings
        self.saturated = False
        self.random = random.Random(seed)

    def queued(self, waiting: Waiting, now: float) -> None:
        """Do nothing; the policy keeps no state of requests."""

    def unqueued(self, waiting: Waiting) -> None:
        """Do nothing; the policy keeps no state of requests."""

    def order(self, pool: PoolState, now: float) -> list[Waiting]:
        """Return the waiting requests in order of arrival."""
        return list(pool.queue.values())

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the endpoint with the least reported load, a random one of equals."""
        usable = pool.usable(waiting.admit)
        if not usable:
            return None
        return min(
            usable, key=lambda endpoint: (reported(endpoint), self.random.random())
        )

    def may_take(self, endpoint: EndpointState, now: float) -> bool:
        """Return True: every endpoint may get new work at any time."""
        return True

    def engine_priority(self, waiting: Waiting) -> int:
        """Return the negated declared priority, as engines run smaller values first."""
        return -waiting.admit.priority

    def granted(self, endpoint: EndpointState, held: Reservation, now: float) -> None:
        """Do nothing; the policy keeps no state of reservations."""

    def progressed(
        self, endpoint: EndpointState, held: Reservation, before: int, now: float
    ) -> None:
        """Do nothing; the policy keeps no state of reservations."""

    def released(
        self, endpoint: EndpointState | None, held: Reservation, outcome: str
    ) -> None:
        """Do nothing; the policy learns nothing from outcomes."""

    def token_gap_s(self) -> float:
        """Return the configured goal, as the policy measures no token gaps."""
        return self.settings.token_gap_goal_s

    def hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Return an empty list: the policy never advises hedges."""
        return []

    def learned(self) -> bytes:
        """Return empty bytes: the policy has no learned state."""
        return b""

    def known_keys(self) -> int:
        """Return 0: the policy learns no length distributions."""
        return 0

    def take_learned(self, body: bytes) -> None:
        """Ignore learned state; the policy doesn't use any."""


class TwoChoices(LeastLoad):
    """Chooses the less loaded of two randomly drawn endpoints."""

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the one of two random endpoints with the less reported load."""
        usable = pool.usable(waiting.admit)
        if not usable:
            return None
        drawn = self.random.sample(usable, min(2, len(usable)))
        return min(drawn, key=reported)


class RoundRobin(LeastLoad):
    """Chooses the endpoints in turn."""

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


def reported(endpoint: EndpointState) -> int:
    """Return how many generations an endpoint last reported, 0 without a report."""
    report = endpoint.report
    return 0 if report is None else report.running + report.waiting
