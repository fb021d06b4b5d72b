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
USED_SHARE = 0.6
LEAST_GATEWAYS = 8


class Window:
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


class FleetBudget:
    """This gateway's part of the retries to each service."""

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: float,
        gateways: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack
        self.gateways = gateways
        self.clock = clock
        self.requests: dict[str, Window] = {}
        self.retries: dict[str, Window] = {}

    def set_window(self, window_s: float) -> None:
        """Count over another length of time from now on."""
        self.window_s = window_s
        for window in (*self.requests.values(), *self.retries.values()):
            window.length_s = window_s

    def window(self, windows: dict[str, Window], service: str) -> Window:
        """Return a service's window."""
        found = windows.get(service)
        if found is None:
            found = windows[service] = Window(length_s=self.window_s)
        return found

    def earn(self, service: str) -> None:
        """Count a caller's request."""
        self.window(self.requests, service).add(self.clock())

    def allowed(self, service: str) -> float:
        """Return how many retries may be made within a window now."""
        requests = self.window(self.requests, service).count(self.clock())
        part = self.slack / max(LEAST_GATEWAYS, self.gateways())
        return USED_SHARE * (self.ratio * requests + part)

    def take(self, service: str) -> bool:
        """Return whether a retry may be made, and count it."""
        now = self.clock()
        retries = self.window(self.retries, service)
        if retries.count(now) + 1 > self.allowed(service):
            return False
        retries.add(now)
        return True
