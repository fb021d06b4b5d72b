"""Rate limit and circuit breaker for one process's calls to the platform.

Two failed calls in a row are an outage.  During an outage only a cheap probe is
sent, after exponentially growing pauses with jitter; every other call fails at
once with the time after which to retry.  The first response ends the outage, and
the allowed rate then grows over some seconds, so that the processes of a fleet
don't all return to their full rate at the same moment.
"""

from __future__ import annotations

import random
import time

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Platform

DOWN_AFTER_FAILURES = 2
RAMP_S = 5.0
RAMP_FIRST_SHARE = 0.2
DOUBLINGS_LIMIT = 16


class CallBudget:
    """A token bucket for calls that refuses all of them during an outage.

    Probes don't spend from the bucket.
    """

    def __init__(
        self,
        *,
        settings: Platform,
        seed: int | None = None,
        events: EventLog | None = None,
    ):
        self.settings = settings
        self.events = events
        self.random = random.Random(seed)
        self.level = float(settings.burst_calls)
        self.updated = time.monotonic()
        self.failures = 0
        self.probes = 0
        self.next_probe = 0.0
        self.down_since = 0.0
        self.up_since = 0.0
        self.last_answer = 0.0

    @property
    def is_down(self) -> bool:
        """Return whether there is an outage."""
        return self.down_since > 0

    def rate(self, now: float) -> float:
        """Return the allowed rate in calls per second."""
        if not self.up_since:
            return self.settings.calls_per_s
        share = (now - self.up_since) / RAMP_S
        return self.settings.calls_per_s * min(1.0, max(RAMP_FIRST_SHARE, share))

    def refuse(self) -> Failure | None:
        """Take one call from the bucket, or return why no call may be made now."""
        now = time.monotonic()
        if self.is_down:
            return Failure(
                Code.PLATFORM_UNREACHABLE,
                "the platform does not respond",
                retry_after_s=max(0.0, self.next_probe - now) + self.pause_floor(),
            )
        rate = self.rate(now)
        earned = (now - self.updated) * rate
        self.level = min(self.level + earned, float(self.settings.burst_calls))
        self.updated = now
        if self.level < 1:
            wait = (1 - self.level) / rate
            return Failure(
                Code.PLATFORM_BUDGET, "the call budget is used up", retry_after_s=wait
            )
        self.level -= 1
        return None

    def pause_floor(self) -> float:
        """Return the pause in seconds to add after the next probe before a retry."""
        return self.settings.backoff_first_s

    def succeeded(self) -> None:
        """Record a response, which ends an outage."""
        now = time.monotonic()
        self.failures = 0
        self.last_answer = now
        if not self.is_down:
            return
        lasted = now - self.down_since
        self.down_since = 0.0
        self.up_since = self.updated = now
        self.level = 1.0
        if self.events is not None:
            self.events.emit(Event.PLATFORM_UP, after_s=f"{lasted:.1f}")

    def failed(self, reason: str) -> None:
        """Record a failed call; the second in a row begins an outage."""
        self.failures += 1
        if self.is_down or self.failures < DOWN_AFTER_FAILURES:
            return
        self.down_since = time.monotonic()
        self.probes = 0
        self.plan_probe()
        if self.events is not None:
            self.events.emit(Event.PLATFORM_DOWN, reason=reason)

    def plan_probe(self) -> float:
        """Schedule the next probe and return the pause before it in seconds.

        The pause doubles with each probe, with jitter.
        """
        doublings = min(self.probes, DOUBLINGS_LIMIT)
        ceiling = self.settings.backoff_first_s * 2**doublings
        ceiling = min(ceiling, self.settings.backoff_limit_s)
        self.probes += 1
        pause = self.random.uniform(ceiling / 2, ceiling)
        self.next_probe = time.monotonic() + pause
        return pause
