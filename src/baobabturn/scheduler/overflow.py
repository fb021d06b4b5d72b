"""Bounds the chance that an engine's KV memory overflows.

A generation whose KV cache has ``m`` tokens needs ``m + t`` tokens after ``t``
more decoding steps if it is still running then, else none.  The sum over all
generations of an engine has a mean and a variance at each of several future
steps.  A request fits if the mean plus a number of standard deviations stays
within the engine's KV memory at each of these steps.
"""

from __future__ import annotations

import math

from baobabturn.scheduler.lengths import Curve

STEPS = (1, 8, 16, 32, 64, 128, 256, 512, 1024, 2048)

Terms = list[tuple[float, float]]


def terms(curve: Curve, memory_tokens: int, produced: int, max_tokens: int) -> Terms:
    """Return the mean and variance of a generation's KV cache after each step count.

    ``memory_tokens`` is the size of its KV cache now.
    """
    found = []
    start = curve.passed(produced)
    for step in STEPS:
        at = produced + step
        if at >= max_tokens:
            found.append((0.0, 0.0))
            continue
        chance = math.exp(start - curve.passed(at))
        size = memory_tokens + step
        mean = size * chance
        found.append((mean, mean * (size - mean)))
    return found


class Growth:
    """The summed means and variances of the KV caches at one engine, in tokens."""

    def __init__(self):
        self.means = [0.0] * len(STEPS)
        self.variances = [0.0] * len(STEPS)

    def add(self, more: Terms, sign: float = 1.0) -> None:
        """Add a generation's means and variances; remove them with ``sign`` -1."""
        means, variances = self.means, self.variances
        for place, (mean, variance) in enumerate(more):
            means[place] += sign * mean
            variances[place] += sign * variance

    def peak(self) -> float:
        """Return the highest mean of the used KV memory over all steps, in tokens."""
        return max(self.means)

    def fits(self, more: Terms, memory_tokens: float, deviations: float) -> bool:
        """Return whether one more generation fits ``memory_tokens`` of KV memory."""
        for place, (mean, variance) in enumerate(more):
            total = self.means[place] + mean
            spread = math.sqrt(max(0.0, self.variances[place] + variance))
            if total + deviations * spread > memory_tokens:
                return False
        return True
