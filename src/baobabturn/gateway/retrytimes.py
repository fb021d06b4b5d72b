"""Spreads the times at which callers come back after they were refused for capacity.

Callers that are refused at one moment would otherwise come back at one moment too, and
be refused again.
"""

from __future__ import annotations

import random

# Callers come back over a time that is this part of the time that they wait.
SPREAD_RATIO = 1.0

draw = random.random


def spread_retry_s(retry_after_s: float) -> float:
    """Return a time to come back after, in seconds, not before the given one."""
    return retry_after_s * (1 + SPREAD_RATIO * draw())
