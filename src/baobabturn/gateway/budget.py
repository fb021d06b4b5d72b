"""Limits retries at other endpoints for all gateways together.

In any window, all gateways together may send a share of a service's requests as
retries, and a fixed number more.  Each gateway counts its own requests and uses an
even part of the fixed number, so the limit holds even while gateways can't
communicate.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

# Only this share of the budget is used, because a gateway that restarts loses its
# count of the retries already made.
USED_BUDGET_RATIO = 0.6
# The fixed number is divided by at least this, as some gateways may be unknown here.
MIN_GATEWAY_COUNT = 8


class EventWindow:
    """Counts the events of the last ``length_s`` seconds."""

    def __init__(self, *, length_s: float):
        self.length_s = length_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Record one event."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events within the window."""
        while self.times and self.times[0] < now - self.length_s:
            self.times.popleft()
        return len(self.times)


class FleetRetryBudget:
    """This gateway's share of the retry budget of each service.

    ``ratio`` is the share of requests that may be sent as retries, ``slack`` the
    fixed number of further retries of all gateways together.
    """

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
        """Change the window's length from now on."""
        self.window_s = window_s
        for window in (*self.requests.values(), *self.retries.values()):
            window.length_s = window_s

    def window_of(self, windows: dict[str, EventWindow], service: str) -> EventWindow:
        """Return a service's window, creating it if needed."""
        window = windows.get(service)
        if window is None:
            window = windows[service] = EventWindow(length_s=self.window_s)
        return window

    def record_request(self, service: str) -> None:
        """Count a caller's request, which adds to the budget."""
        self.window_of(self.requests, service).add(self.clock())

    def max_retries(self, service: str) -> float:
        """Return how many retries the current window allows."""
        requests = self.window_of(self.requests, service).count(self.clock())
        slack_part = self.slack / max(MIN_GATEWAY_COUNT, self.gateway_count())
        return USED_BUDGET_RATIO * (self.ratio * requests + slack_part)

    def try_spend(self, service: str) -> bool:
        """Return whether a retry is allowed; count it if so."""
        now = self.clock()
        retries = self.window_of(self.retries, service)
        if retries.count(now) + 1 > self.max_retries(service):
            return False
        retries.add(now)
        return True
