"""A retry budget for each endpoint, in proportion to its requests."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

# Balances are numbers of retries.
MAX_BALANCE = 20.0
INITIAL_BALANCE = 3.0
REFILL_PER_S = 1.0
INITIAL_MAX_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Token buckets, one per endpoint: a request adds ``share``, a retry costs 1.

    A spent budget also refills slowly with time, up to ``INITIAL_BALANCE``: an
    endpoint without other requests still gets probes, and a failed probe may be
    retried elsewhere.
    """

    def __init__(self, *, share: float, clock: Callable[[], float] = time.monotonic):
        self.share = share
        self.clock = clock
        self.balances: dict[str, float] = {}
        self.refilled_at: dict[str, float] = {}

    def record_request(self, endpoint: str) -> None:
        """Record a request's first attempt at an endpoint."""
        balance = self.balances.get(endpoint, INITIAL_BALANCE)
        self.balances[endpoint] = min(balance + self.share, MAX_BALANCE)

    def try_spend(self, endpoint: str) -> bool:
        """Spend a retry after a failure at an endpoint; return False if none left."""
        balance = self.refill(endpoint)
        if balance < 1:
            return False
        self.balances[endpoint] = balance - 1
        return True

    def refill(self, endpoint: str) -> float:
        """Return an endpoint's balance after the refill for the time passed."""
        now = self.clock()
        passed_s = now - self.refilled_at.get(endpoint, now)
        self.refilled_at[endpoint] = now
        balance = self.balances.get(endpoint, INITIAL_BALANCE)
        if balance >= INITIAL_BALANCE:
            return balance
        return min(balance + passed_s * REFILL_PER_S, INITIAL_BALANCE)


def backoff_s(failed_attempts: int) -> float:
    """Return a random wait after the given number (from 1) of failed attempts."""
    limit_s = min(INITIAL_MAX_BACKOFF_S * 2 ** (failed_attempts - 1), MAX_BACKOFF_S)
    return random.uniform(0.0, limit_s)
