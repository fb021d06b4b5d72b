"""Pauses endpoints that refuse requests, and probes them (a circuit breaker).

An engine that refuses at once looks idle, so the count of its requests in flight
alone would attract ever more requests.  After several consecutive refusals an
endpoint gets no requests for a pause, then one as a probe.  The pause doubles with
each further refusal; any token from the endpoint ends it.
"""

from __future__ import annotations

import attrs

from baobabturn.wire.words import REFUSED

# The number of consecutive refusals that starts the first pause.
REFUSALS_TO_PAUSE = 2
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 3.2


@attrs.define(kw_only=True)
class RefusalStreak:
    """An endpoint's consecutive refusals, and the end of its pause."""

    refusals: int = 0
    paused_until: float = 0.0


class RefusalTracker:
    """The refusal streaks of a pool's endpoints; times are monotonic seconds."""

    def __init__(self):
        self.streaks: dict[str, RefusalStreak] = {}

    def record_outcome(
        self, name: str, outcome: str, produced: int, now: float
    ) -> None:
        """Record how an attempt at an endpoint ended."""
        if produced:
            self.streaks.pop(name, None)
        elif outcome == REFUSED:
            streak = self.streaks.setdefault(name, RefusalStreak())
            streak.refusals += 1
            streak.paused_until = now + pause_s(streak.refusals)

    def record_token(self, name: str) -> None:
        """Record that an endpoint has sent a token."""
        self.streaks.pop(name, None)

    def accepts_requests(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get a new request, possibly as a probe."""
        streak = self.streaks.get(name)
        return streak is None or now >= streak.paused_until

    def record_grant(self, name: str, now: float) -> None:
        """Record that an endpoint got a request; a probe starts another pause."""
        streak = self.streaks.get(name)
        if streak is not None and streak.refusals >= REFUSALS_TO_PAUSE:
            streak.paused_until = now + pause_s(streak.refusals)


def pause_s(refusals: int) -> float:
    """Return the pause after a number of consecutive refusals, in seconds."""
    doublings = refusals - REFUSALS_TO_PAUSE
    if doublings < 0:
        return 0.0
    return min(MIN_PAUSE_S * 2**doublings, MAX_PAUSE_S)
