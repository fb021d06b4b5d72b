"""Bounds the chance that an engine's KV memory overflows.

A generation whose KV cache has ``m`` tokens needs ``m + t`` tokens after ``t``
more decoding steps if it is still running then, else none.  The sum over all
generations of an engine has a mean and a variance at each of several future
steps.  A request fits if the mean plus a number of standard deviations stays
within the engine's KV memory at each of these steps.
"""

from __future__ import annotations

import math

from baobabturn.scheduler.lengths import LengthDistribution

FUTURE_STEPS = (1, 8, 16, 32, 64, 128, 256, 512, 1024, 2048)

# The mean and variance of a KV cache's tokens after each of ``FUTURE_STEPS``.
GrowthTerms = list[tuple[float, float]]


def growth_terms(
    length_distribution: LengthDistribution,
    memory_tokens: int,
    produced: int,
    max_tokens: int,
) -> GrowthTerms:
    """Return the mean and variance of a generation's KV cache, in tokens.

    There is one pair for each of ``FUTURE_STEPS``.  ``memory_tokens`` is the size
    of the KV cache now.
    """
    step_terms = []
    start_hazard = length_distribution.cumulative_hazard(produced)
    for step in FUTURE_STEPS:
        position = produced + step
        if position >= max_tokens:
            step_terms.append((0.0, 0.0))
            continue
        running_chance = math.exp(
            start_hazard - length_distribution.cumulative_hazard(position)
        )
        memory_if_running = memory_tokens + step
        mean = memory_if_running * running_chance
        step_terms.append((mean, mean * (memory_if_running - mean)))
    return step_terms


class KVCacheGrowth:
    """The summed means and variances of the KV caches at one engine, in tokens."""

    def __init__(self):
        self.means = [0.0] * len(FUTURE_STEPS)
        self.variances = [0.0] * len(FUTURE_STEPS)

    def add(self, growth_terms: GrowthTerms, sign: float = 1.0) -> None:
        """Add a generation's means and variances; remove them with ``sign`` -1."""
        means, variances = self.means, self.variances
        for index, (mean, variance) in enumerate(growth_terms):
            means[index] += sign * mean
            variances[index] += sign * variance

    def peak_mean_tokens(self) -> float:
        """Return the highest mean of the used KV memory over all steps, in tokens."""
        return max(self.means)

    def fits(
        self, growth_terms: GrowthTerms, memory_tokens: float, deviations: float
    ) -> bool:
        """Return whether one more generation fits ``memory_tokens`` of KV memory.

        ``deviations`` is the number of standard deviations added to the mean.
        """
        for index, (mean, variance) in enumerate(growth_terms):
            total = self.means[index] + mean
            deviation = math.sqrt(max(0.0, self.variances[index] + variance))
            if total + deviations * deviation > memory_tokens:
                return False
        return True
