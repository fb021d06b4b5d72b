"""A budget of retries for each endpoint, as a share of its requests."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

LEVEL_LIMIT = 20.0
FIRST_LEVEL = 3.0
REFILL_PER_S = 1.0
BACKOFF_FIRST_S = 0.05
BACKOFF_LIMIT_S = 1.0


class RetryBudget:
    """Each request earns an endpoint a share of a retry; a retry spends one.

    A spent budget also refills a little with time, so that a probe of an
    endpoint that gets no other work may be tried elsewhere.
    """

    def __init__(self, *, share: float, clock: Callable[[], float] = time.monotonic):
        self.share = share
        self.clock = clock
        self.levels: dict[str, float] = {}
        self.refilled: dict[str, float] = {}

    def earn(self, endpoint: str) -> None:
        """Note a first attempt at an endpoint."""
        level = self.levels.get(endpoint, FIRST_LEVEL)
        self.levels[endpoint] = min(level + self.share, LEVEL_LIMIT)

    def take(self, endpoint: str) -> bool:
        """Return whether a retry after a failure at an endpoint is in budget."""
        level = self.refill(endpoint)
        if level < 1:
            return False
        self.levels[endpoint] = level - 1
        return True

    def refill(self, endpoint: str) -> float:
        """Return an endpoint's level with what time has added to it."""
        now = self.clock()
        passed = now - self.refilled.get(endpoint, now)
        self.refilled[endpoint] = now
        level = self.levels.get(endpoint, FIRST_LEVEL)
        if level >= FIRST_LEVEL:
            return level
        return min(level + passed * REFILL_PER_S, FIRST_LEVEL)


def backoff_s(tries: int) -> float:
    """Return a random wait before the next try after some failed ones, from 1."""
    limit = min(BACKOFF_FIRST_S * 2 ** (tries - 1), BACKOFF_LIMIT_S)
    return random.uniform(0.0, limit)
