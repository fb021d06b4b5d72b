"""Pauses endpoints that refuse requests, and probes them (a circuit breaker).

An engine that refuses at once looks idle, so the count of its requests in flight
alone would attract ever more.  After several consecutive refusals an endpoint
gets no requests for a pause, then one as a probe.  The pause doubles with each
further refusal; any token from the endpoint ends it.
"""

from __future__ import annotations

import attrs

from baobabturn.wire.words import REFUSED

REFUSALS_IN_A_ROW = 2
PAUSE_FIRST_S = 0.2
PAUSE_LIMIT_S = 3.2


@attrs.define(kw_only=True)
class Streak:
    """An endpoint's consecutive refusals, and the end of its pause."""

    refusals: int = 0
    closed_until: float = 0.0


class Refusals:
    """The refusal streaks of a pool's endpoints; times are monotonic seconds."""

    def __init__(self):
        self.streaks: dict[str, Streak] = {}

    def ended(self, name: str, outcome: str, produced: int, now: float) -> None:
        """Record how an attempt at an endpoint ended."""
        if produced:
            self.streaks.pop(name, None)
        elif outcome == REFUSED:
            streak = self.streaks.setdefault(name, Streak())
            streak.refusals += 1
            streak.closed_until = now + pause_s(streak.refusals)

    def opened(self, name: str) -> None:
        """Record that an endpoint has sent a token."""
        self.streaks.pop(name, None)

    def may_take(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get a new request, possibly as a probe."""
        streak = self.streaks.get(name)
        return streak is None or now >= streak.closed_until

    def taken(self, name: str, now: float) -> None:
        """Record that an endpoint got a request; in a streak that is its probe."""
        streak = self.streaks.get(name)
        if streak is not None and streak.refusals >= REFUSALS_IN_A_ROW:
            streak.closed_until = now + pause_s(streak.refusals)


def pause_s(refusals: int) -> float:
    """Return the pause after a number of consecutive refusals, in seconds."""
    doublings = refusals - REFUSALS_IN_A_ROW
    if doublings < 0:
        return 0.0
    return min(PAUSE_FIRST_S * 2**doublings, PAUSE_LIMIT_S)
