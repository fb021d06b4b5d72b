"""Decides when a scheduler may use capacity of an engine that was freed a moment ago.

Several gateways schedule the same engines.  A release, a first token or a new engine
lets all of them find capacity at the same moment, before any hears what another has
granted: an engine with room for one request then gets one of each, preempts most of
them, and they wait there for seconds.  So each scheduler leaves freed capacity to
others for a delay of its own, and knows by then what those before it have granted.

The delay grows with the logarithm of a uniform draw, so few schedulers come first
however many wait, and with each ``news_delay_s`` that nobody takes the capacity, half
as many again may.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from baobabturn.scheduler.state import EndpointState

# Per news delay, this many times as many schedulers may use freed capacity.
GROWTH_RATIO = 1.5
# Urgent requests have their turn after this part of the delay of others.
URGENT_DELAY_RATIO = 0.25


class CapacityTurns:
    """The turns of one scheduler at engines with freed capacity.

    ``others`` counts the schedulers with the same engines, ``news_delay_s`` is how long
    a grant takes to become known to them.  ``pending`` holds the engines whose freed
    capacity may still be left to others, by name.  Times are monotonic seconds.
    """

    def __init__(self, *, rng: random.Random):
        self.random = rng
        self.others: Callable[[], int] = lambda: 0
        self.news_delay_s: Callable[[], float] = lambda: 0.0
        self.pending: dict[str, EndpointState] = {}

    def draw_delay_s(self) -> float:
        """Return the delay until a turn at an engine, in seconds.

        >>> turns = CapacityTurns(rng=random.Random(1))
        >>> turns.others, turns.news_delay_s = (lambda: 62), (lambda: 0.025)
        >>> 0 <= turns.draw_delay_s() <= 0.26
        True
        """
        others = self.others()
        if not others:
            return 0.0
        rank = (1 + others) * self.random.random()
        return self.news_delay_s() * math.log(1 + rank, GROWTH_RATIO)

    def record_freed(self, endpoint: EndpointState, now: float) -> None:
        """Record that capacity of an engine was freed; draw the turn there.

        A turn that is still to come stays, else it would never come at a busy engine.
        """
        if self.left_s(endpoint, False, now):
            return
        endpoint.freed_at = now
        endpoint.turn_delay_s = self.draw_delay_s()
        if endpoint.turn_delay_s:
            self.pending[endpoint.name] = endpoint

    def left_s(self, endpoint: EndpointState, urgent: bool, now: float) -> float:
        """Return the time until the turn at an engine, 0 if it has come."""
        ratio = URGENT_DELAY_RATIO if urgent else 1.0
        return max(0.0, endpoint.freed_at + ratio * endpoint.turn_delay_s - now)

    def next_turn_s(self, urgent: bool, now: float) -> float:
        """Return the time until the next turn at any engine, 0 if none is to come."""
        ended = [
            name
            for name, endpoint in self.pending.items()
            if not self.left_s(endpoint, False, now)
        ]
        for name in ended:
            del self.pending[name]
        left = (self.left_s(each, urgent, now) for each in self.pending.values())
        return min(filter(None, left), default=0.0)
