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

OUTAGE_FAILURE_COUNT = 2
RATE_RAMP_S = 5.0
RATE_RAMP_START_RATIO = 0.2
MAX_PAUSE_DOUBLINGS = 16


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
        self.available_calls = float(settings.burst_calls)
        self.refilled_at = time.monotonic()
        self.consecutive_failures = 0
        self.probe_count = 0
        self.next_probe_at = 0.0
        self.down_since = 0.0
        self.up_since = 0.0
        self.last_response_at = 0.0

    @property
    def is_down(self) -> bool:
        """Return whether there is an outage."""
        return self.down_since > 0

    def allowed_rate(self, now: float) -> float:
        """Return the allowed rate in calls per second."""
        if not self.up_since:
            return self.settings.calls_per_s
        ramp_ratio = (now - self.up_since) / RATE_RAMP_S
        return self.settings.calls_per_s * min(
            1.0, max(RATE_RAMP_START_RATIO, ramp_ratio)
        )

    def try_spend(self) -> Failure | None:
        """Take one call from the bucket, or return why no call may be made now."""
        now = time.monotonic()
        if self.is_down:
            return Failure(
                Code.PLATFORM_UNREACHABLE,
                "the platform does not respond",
                retry_after_s=max(0.0, self.next_probe_at - now) + self.extra_pause_s(),
            )
        allowed_rate = self.allowed_rate(now)
        refill = (now - self.refilled_at) * allowed_rate
        self.available_calls = min(
            self.available_calls + refill, float(self.settings.burst_calls)
        )
        self.refilled_at = now
        if self.available_calls < 1:
            wait = (1 - self.available_calls) / allowed_rate
            return Failure(
                Code.PLATFORM_BUDGET, "the call budget is used up", retry_after_s=wait
            )
        self.available_calls -= 1
        return None

    def extra_pause_s(self) -> float:
        """Return the pause in seconds to add after the next probe before a retry."""
        return self.settings.backoff_first_s

    def record_success(self) -> None:
        """Record a response, which ends an outage."""
        now = time.monotonic()
        self.consecutive_failures = 0
        self.last_response_at = now
        if not self.is_down:
            return
        outage_s = now - self.down_since
        self.down_since = 0.0
        self.up_since = self.refilled_at = now
        self.available_calls = 1.0
        if self.events is not None:
            self.events.emit(Event.PLATFORM_UP, after_s=f"{outage_s:.1f}")

    def record_failure(self, reason: str) -> None:
        """Record a failed call; the second in a row begins an outage."""
        self.consecutive_failures += 1
        if self.is_down or self.consecutive_failures < OUTAGE_FAILURE_COUNT:
            return
        self.down_since = time.monotonic()
        self.probe_count = 0
        self.schedule_probe()
        if self.events is not None:
            self.events.emit(Event.PLATFORM_DOWN, reason=reason)

    def schedule_probe(self) -> float:
        """Schedule the next probe and return the pause before it in seconds.

        The pause doubles with each probe, with jitter.
        """
        doublings = min(self.probe_count, MAX_PAUSE_DOUBLINGS)
        max_pause_s = self.settings.backoff_first_s * 2**doublings
        max_pause_s = min(max_pause_s, self.settings.backoff_limit_s)
        self.probe_count += 1
        pause = self.random.uniform(max_pause_s / 2, max_pause_s)
        self.next_probe_at = time.monotonic() + pause
        return pause
