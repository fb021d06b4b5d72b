"""Baseline policies, which grant at once and leave queueing to the engine."""

from __future__ import annotations

import random

from baobabturn.scheduler.state import (
    EndpointState,
    PoolState,
    Reservation,
    WaitingRequest,
)
from baobabturn.settings.model import Scheduler


class LeastLoad:
    """Chooses the endpoint with the least load in its own last report."""

    def __init__(self, *, settings: Scheduler, seed: int):
        self.settings = settings
        self.saturated = False
        self.random = random.Random(seed)

    def on_queued(self, waiting: WaitingRequest, now: float) -> None:
        """Do nothing; the policy keeps no state of requests."""

    def on_dequeued(self, waiting: WaitingRequest) -> None:
        """Do nothing; the policy keeps no state of requests."""

    def service_order(self, pool: PoolState, now: float) -> list[WaitingRequest]:
        """Return the waiting requests in order of arrival."""
        return list(pool.queue.values())

    def choose_endpoint(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> EndpointState | None:
        """Return the endpoint with the least reported load, a random one of equals."""
        usable = pool.available_endpoints(waiting.admit)
        if not usable:
            return None
        return min(
            usable, key=lambda endpoint: (reported_load(endpoint), self.random.random())
        )

    def accepts_requests(self, endpoint: EndpointState, now: float) -> bool:
        """Return True: every endpoint may get new work at any time."""
        return True

    def engine_priority(self, waiting: WaitingRequest) -> int:
        """Return the negated declared priority, as engines run smaller values first."""
        return -waiting.admit.priority

    def on_granted(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Do nothing; the policy keeps no state of reservations."""

    def on_progress(
        self, endpoint: EndpointState, reservation: Reservation, before: int, now: float
    ) -> None:
        """Do nothing; the policy keeps no state of reservations."""

    def on_released(
        self, endpoint: EndpointState | None, reservation: Reservation, outcome: str
    ) -> None:
        """Do nothing; the policy learns nothing from outcomes."""

    def typical_token_gap_s(self) -> float:
        """Return the configured goal, as the policy measures no token gaps."""
        return self.settings.token_gap_goal_s

    def choose_hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Return an empty list: the policy never advises hedges."""
        return []

    def export_learned(self) -> bytes:
        """Return empty bytes: the policy has no learned state."""
        return b""

    def learned_key_count(self) -> int:
        """Return 0: the policy learns no length distributions."""
        return 0

    def merge_learned(self, body: bytes) -> None:
        """Ignore learned state; the policy doesn't use any."""


class TwoChoices(LeastLoad):
    """Chooses the less loaded of two randomly drawn endpoints."""

    def choose_endpoint(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> EndpointState | None:
        """Return the less loaded of two random endpoints, by their last reports."""
        usable = pool.available_endpoints(waiting.admit)
        if not usable:
            return None
        sample = self.random.sample(usable, min(2, len(usable)))
        return min(sample, key=reported_load)


class RoundRobin(LeastLoad):
    """Chooses the endpoints in turn."""

    def __init__(self, *, settings: Scheduler, seed: int):
        super().__init__(settings=settings, seed=seed)
        self.choice_count = 0

    def choose_endpoint(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> EndpointState | None:
        """Return the next endpoint in turn."""
        usable = pool.available_endpoints(waiting.admit)
        if not usable:
            return None
        self.choice_count += 1
        return usable[self.choice_count % len(usable)]


def reported_load(endpoint: EndpointState) -> int:
    """Return how many generations an endpoint last reported, 0 without a report."""
    report = endpoint.report
    return 0 if report is None else report.running + report.waiting
