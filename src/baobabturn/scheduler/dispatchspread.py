"""Spreads the moments at which several schedulers grant capacity that is freed.

Each gateway schedules the same engines.  A release, a first token or a new engine lets
all of them find capacity at the same moment, before any hears what another has granted:
an engine with room for one request then gets one of each, preempts most of them, and
they wait there for seconds.  So a scheduler with waiting requests looks for capacity
after a random part of a spread, and knows by then what those before it have granted.
"""

from __future__ import annotations

import random
from collections.abc import Callable

# What a scheduler grants is known to the others within a few milliseconds: changes are
# forwarded in batches of 4 ms, and the way to another failure domain takes 1 to 2 ms.
SPREAD_PER_SCHEDULER_S = 0.003
# The longest spread; callers of urgent requests expect an answer within a second or so.
MAX_SPREAD_S = 0.2
# The first part of the spread belongs to schedulers with urgent requests.
URGENT_SPREAD_RATIO = 0.25


class DispatchSpread:
    """The delays of one scheduler; ``others`` counts those with the same engines."""

    def __init__(self, *, rng: random.Random):
        self.random = rng
        self.others: Callable[[], int] = lambda: 0

    def delay_s(self, is_urgent: bool) -> float:
        """Return the delay before the next pass over the queue, in seconds.

        ``is_urgent`` says that an urgent request waits.

        >>> spread = DispatchSpread(rng=random.Random(1))
        >>> spread.delay_s(is_urgent=False)
        0.0
        >>> spread.others = lambda: 62
        >>> 0 <= spread.delay_s(is_urgent=True) <= 0.05
        True
        """
        others = self.others()
        if not others:
            return 0.0
        spread_s = min(MAX_SPREAD_S, SPREAD_PER_SCHEDULER_S * (1 + others))
        urgent_s = URGENT_SPREAD_RATIO * spread_s
        if is_urgent:
            return urgent_s * self.random.random()
        return urgent_s + (spread_s - urgent_s) * self.random.random()
