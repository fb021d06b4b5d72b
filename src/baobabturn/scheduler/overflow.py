"""The chance that an engine's memory overflows, and whether a request fits.

A generation with ``m`` tokens of memory holds ``m + t`` after ``t`` more steps
if it is still running then, else nothing.  For a few future steps the sum over
all generations of an engine has a mean and a variance; a request fits while
the mean and some standard deviations stay within the memory at each of them.
"""

from __future__ import annotations

import math

from baobabturn.scheduler.lengths import Curve

STEPS = (1, 8, 16, 32, 64, 128, 256, 512, 1024, 2048)

Terms = list[tuple[float, float]]


def terms(curve: Curve, memory_tokens: int, produced: int, max_tokens: int) -> Terms:
    """Return a generation's mean and variance of memory after each step count."""
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
    """The sums of the terms of the generations at one engine."""

    def __init__(self):
        self.means = [0.0] * len(STEPS)
        self.variances = [0.0] * len(STEPS)

    def add(self, more: Terms, sign: float = 1.0) -> None:
        """Add a generation's terms, or take them away with ``sign`` -1."""
        means, variances = self.means, self.variances
        for place, (mean, variance) in enumerate(more):
            means[place] += sign * mean
            variances[place] += sign * variance

    def peak(self) -> float:
        """Return the highest mean of the memory in use, in tokens."""
        return max(self.means)

    def fits(self, more: Terms, memory_tokens: float, deviations: float) -> bool:
        """Return whether the bound holds with one more generation."""
        for place, (mean, variance) in enumerate(more):
            total = self.means[place] + mean
            spread = math.sqrt(max(0.0, self.variances[place] + variance))
            if total + deviations * spread > memory_tokens:
                return False
        return True
