"""Spreads the times at which callers come back after they were refused for capacity.

Callers that are refused at one moment would otherwise come back at one moment too, and
be refused again.  Independent random times would leave some moments at which many come
back, so consecutive callers of a gateway get evenly spread times instead; where they
begin is random, so that gateways differ.
"""

from __future__ import annotations

import random

# Callers come back over a time that is this part of the time that they wait.
SPREAD_RATIO = 1.0
# The fractional parts of the multiples of this number fill [0, 1) evenly, however many
# of them are taken.
GOLDEN_RATIO = (5**0.5 - 1) / 2


class EvenDraws:
    """Draws numbers of [0, 1), any consecutive ones of them evenly spread.

    >>> draws = EvenDraws(first=0.5)
    >>> [round(draws.draw(), 2) for _ in range(4)]
    [0.12, 0.74, 0.35, 0.97]
    """

    def __init__(self, *, first: float):
        self.last = first

    def draw(self) -> float:
        """Return the next number."""
        self.last = (self.last + GOLDEN_RATIO) % 1.0
        return self.last


draw = EvenDraws(first=random.random()).draw


def spread_retry_s(retry_after_s: float) -> float:
    """Return a time to come back after, in seconds, not before the given one."""
    return retry_after_s * (1 + SPREAD_RATIO * draw())
