"""The bound on sends to a second endpoint, shared by all gateways.

All gateways together may make a share of a service's requests as retries in any
window, and a fixed number more.  Each counts its own requests and takes an even
part of the fixed number, so that the bound holds also while they don't hear of
each other.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

# Part of the allowance that is used; gateways that start anew forget theirs.
USED_BUDGET_RATIO = 0.6
MIN_GATEWAY_COUNT = 8


class EventWindow:
    """Counts events over the last seconds."""

    def __init__(self, *, length_s: float):
        self.length_s = length_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the events within the window."""
        while self.times and self.times[0] < now - self.length_s:
            self.times.popleft()
        return len(self.times)


class FleetRetryBudget:
    """This gateway's part of the retries to each service."""

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: float,
        gateway_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.gateway_count = gateway_count
        self.clock = clock
        self.requests: dict[str, EventWindow] = {}
        self.retries: dict[str, EventWindow] = {}

    def set_window(self, window_s: float) -> None:
        """Count over another length of time from now on."""
        self.window_s = window_s
        for window in (*self.requests.values(), *self.retries.values()):
            window.length_s = window_s

    def window_of(self, windows: dict[str, EventWindow], service: str) -> EventWindow:
        """Return a service's window."""
        window = windows.get(service)
        if window is None:
            window = windows[service] = EventWindow(length_s=self.window_s)
        return window

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self.window_of(self.requests, service).add(self.clock())

    def max_retries(self, service: str) -> float:
        """Return how many retries may be made within a window now."""
        requests = self.window_of(self.requests, service).count(self.clock())
        slack_part = self.slack / max(MIN_GATEWAY_COUNT, self.gateway_count())
        return USED_BUDGET_RATIO * (self.ratio * requests + slack_part)

    def try_spend(self, service: str) -> bool:
        """Return whether a retry may be made, and count it."""
        now = self.clock()
        retries = self.window_of(self.retries, service)
        if retries.count(now) + 1 > self.max_retries(service):
            return False
        retries.add(now)
        return True
