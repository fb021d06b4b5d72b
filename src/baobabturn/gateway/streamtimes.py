"""Counts a stream's events, and measures when they were sent to the caller."""

from __future__ import annotations

import time

from baobabturn.core.metrics import Metrics

US_PER_S = 1_000_000
US_PER_MS = 1000


class StreamTimes:
    """The events of one stream; ``last_event_at`` is in monotonic seconds.

    ``longest_gap_at`` names the engine and the number of the event after the longest
    pause.
    """

    def __init__(self, *, metrics: Metrics, route: str, arrived_at: float):
        self.metrics = metrics
        self.route = route
        self.arrived_at = arrived_at
        self.event_count = 0
        self.last_event_at = 0.0
        self.first_event_us = 0.0
        self.longest_gap_us = 0.0
        self.longest_gap_at = ""

    @property
    def first_event_ms(self) -> int:
        """Return the time from the request's arrival to its first event."""
        return int(self.first_event_us / US_PER_MS)

    @property
    def longest_gap_ms(self) -> int:
        """Return the longest pause between two events."""
        return int(self.longest_gap_us / US_PER_MS)

    def record_event(self, endpoint: str) -> None:
        """Record that an event of an endpoint has been sent to the caller."""
        now = time.monotonic()
        if self.event_count:
            self.record_gap((now - self.last_event_at) * US_PER_S, endpoint)
        else:
            self.first_event_us = (now - self.arrived_at) * US_PER_S
            self.metrics.record(
                "time_to_first_event_us", self.first_event_us, route=self.route
            )
        self.event_count += 1
        self.last_event_at = now

    def record_gap(self, gap_us: float, endpoint: str) -> None:
        """Record the pause before an event."""
        if gap_us > self.longest_gap_us:
            self.longest_gap_us = gap_us
            self.longest_gap_at = f"{endpoint}/{self.event_count}"
        self.metrics.record("time_between_events_us", gap_us, route=self.route)
