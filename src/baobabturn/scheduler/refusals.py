"""Keeps new work away from endpoints that refuse it, and probes them again.

An engine that refuses at once looks idle, so counts of what is in flight alone
would send it ever more.  After a few refusals in a row an endpoint gets no work
for a while that doubles, then one request as a probe; any token opens it.
"""

from __future__ import annotations

import attrs

from baobabturn.wire.words import REFUSED

REFUSALS_IN_A_ROW = 2
PAUSE_FIRST_S = 0.2
PAUSE_LIMIT_S = 3.2


@attrs.define(kw_only=True)
class Streak:
    """An endpoint's refusals in a row, and until when it gets no work."""

    refusals: int = 0
    closed_until: float = 0.0


class Refusals:
    """The streaks of a pool's endpoints."""

    def __init__(self):
        self.streaks: dict[str, Streak] = {}

    def ended(self, name: str, outcome: str, produced: int, now: float) -> None:
        """Take in how an attempt at an endpoint ended."""
        if produced:
            self.streaks.pop(name, None)
        elif outcome == REFUSED:
            streak = self.streaks.setdefault(name, Streak())
            streak.refusals += 1
            streak.closed_until = now + pause_s(streak.refusals)

    def opened(self, name: str) -> None:
        """Note that an endpoint has sent a token."""
        self.streaks.pop(name, None)

    def may_take(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get new work, if only as a probe."""
        streak = self.streaks.get(name)
        return streak is None or now >= streak.closed_until

    def taken(self, name: str, now: float) -> None:
        """Note that an endpoint got work; in a streak that is its probe."""
        streak = self.streaks.get(name)
        if streak is not None and streak.refusals >= REFUSALS_IN_A_ROW:
            streak.closed_until = now + pause_s(streak.refusals)


def pause_s(refusals: int) -> float:
    """Return how long an endpoint gets no work after refusals in a row."""
    doublings = refusals - REFUSALS_IN_A_ROW
    if doublings < 0:
        return 0.0
    return min(PAUSE_FIRST_S * 2**doublings, PAUSE_LIMIT_S)
