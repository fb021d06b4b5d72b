"""A retry budget for each endpoint, in proportion to its requests."""

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
    """Token buckets, one per endpoint: a request adds ``share``, a retry costs 1.

    A spent budget also refills slowly with time: an endpoint without other
    requests still gets probes, and a failed probe may be retried elsewhere.
    """

    def __init__(self, *, share: float, clock: Callable[[], float] = time.monotonic):
        self.share = share
        self.clock = clock
        self.levels: dict[str, float] = {}
        self.refilled: dict[str, float] = {}

    def earn(self, endpoint: str) -> None:
        """Record a request's first attempt at an endpoint."""
        level = self.levels.get(endpoint, FIRST_LEVEL)
        self.levels[endpoint] = min(level + self.share, LEVEL_LIMIT)

    def take(self, endpoint: str) -> bool:
        """Spend a retry after a failure at an endpoint; return False if none left."""
        level = self.refill(endpoint)
        if level < 1:
            return False
        self.levels[endpoint] = level - 1
        return True

    def refill(self, endpoint: str) -> float:
        """Return an endpoint's level after the refill for the time passed."""
        now = self.clock()
        passed = now - self.refilled.get(endpoint, now)
        self.refilled[endpoint] = now
        level = self.levels.get(endpoint, FIRST_LEVEL)
        if level >= FIRST_LEVEL:
            return level
        return min(level + passed * REFILL_PER_S, FIRST_LEVEL)


def backoff_s(tries: int) -> float:
    """Return a random wait after the given number (from 1) of failed tries."""
    limit = min(BACKOFF_FIRST_S * 2 ** (tries - 1), BACKOFF_LIMIT_S)
    return random.uniform(0.0, limit)
