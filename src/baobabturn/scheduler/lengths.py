"""Learned distributions of output lengths, by workspace, model and kind.

Lengths fall into bins whose width grows with the length.  For each bin a hazard
is learned: the share of the generations that reached the bin and ended in it.
A generation that was cut off is a censored sample: it counts only in the bins
that it passed, so that it doesn't make the lengths look short.  A key with few
samples is smoothed towards the next coarser key, the coarsest one towards a
prior.  Where a caller estimates its output, requests with estimates of the same
octave are a finer key: an estimate is often far off, so lengths are learned from
it rather than taken from it.

Example: ``LengthModel(...).length_distribution("w", "m", "chat").survival(10, 50)``
is the chance that a generation with 10 tokens produces at least 50 more.
"""

from __future__ import annotations

import bisect
import math
from array import array
from collections import OrderedDict

import attrs

# The bins cover lengths up to 2**17 tokens; over an octave the length doubles.
BINS_PER_OCTAVE = 4
OCTAVE_COUNT = 17
# The median and the sigma of the lognormal prior.
PRIOR_MEDIAN_TOKENS = 100.0
PRIOR_LOG_SIGMA = 1.6
# The weight of the coarser key's distribution, in samples.
PARENT_PSEUDO_SAMPLES = 8.0
REBUILD_INTERVAL_SAMPLES = 8
MAX_SAMPLE_WEIGHT = 1e6
# The cumulative hazard of a bin with hazard 1 would be infinite.
MAX_HAZARD = 0.999
MAX_CACHED_EXPECTATIONS = 64

# Separates a kind from the size class of its requests; no route's name has it.
SIZE_SEPARATOR = "\x1f"

LengthKey = tuple[str, str, str]


def make_bin_edges() -> list[int]:
    """Return the lower edges of the bins, in tokens."""
    edges = (
        2 ** (step / BINS_PER_OCTAVE)
        for step in range(OCTAVE_COUNT * BINS_PER_OCTAVE + 1)
    )
    return sorted({math.ceil(value) for value in edges})


BIN_EDGES_TOKENS = make_bin_edges()
BIN_COUNT = len(BIN_EDGES_TOKENS) - 1


def bin_index(tokens: int) -> int:
    """Return the index of the bin of a length."""
    index = bisect.bisect_right(BIN_EDGES_TOKENS, max(1, tokens)) - 1
    return min(index, BIN_COUNT - 1)


def prior_hazards() -> list[float]:
    """Return the hazards of a broad lognormal distribution."""

    def lognormal_cdf(tokens: float) -> float:
        score = (math.log(tokens) - math.log(PRIOR_MEDIAN_TOKENS)) / PRIOR_LOG_SIGMA
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))

    hazards = []
    for low, high in zip(BIN_EDGES_TOKENS, BIN_EDGES_TOKENS[1:], strict=False):
        start = 0.0 if low == 1 else lognormal_cdf(low)
        hazards.append((lognormal_cdf(high) - start) / max(1e-9, 1 - start))
    return [min(MAX_HAZARD, hazard) for hazard in hazards]


@attrs.define(kw_only=True)
class LengthCounts:
    """The weighted counts of generations that reached each bin, and ended in it.

    Newer samples weigh more.  Instead of scaling down all older samples each
    time, the weight of the next sample grows; all counts are scaled down only
    when it exceeds ``MAX_SAMPLE_WEIGHT``.
    """

    reached: array
    ended: array
    weight: float = 1.0
    samples_since_rebuild: int = 0

    @classmethod
    def empty(cls) -> LengthCounts:
        """Return counts without samples."""
        return cls(
            reached=array("d", [0.0] * BIN_COUNT), ended=array("d", [0.0] * BIN_COUNT)
        )

    def add(self, tokens: int, finished: bool, weight_growth: float) -> None:
        """Count one generation; a cut-off one only in the bins that it passed."""
        self.weight *= weight_growth
        if self.weight > MAX_SAMPLE_WEIGHT:
            self.scale(1 / self.weight)
        last_bin = bin_index(tokens)
        reached = self.reached
        for index in range(last_bin):
            reached[index] += self.weight
        if finished:
            reached[last_bin] += self.weight
            self.ended[last_bin] += self.weight
        self.samples_since_rebuild += 1

    def scale(self, factor: float) -> None:
        """Multiply all counts and the sample weight by a factor."""
        for index in range(BIN_COUNT):
            self.reached[index] *= factor
            self.ended[index] *= factor
        self.weight *= factor

    def hazards(self, parent_hazards: array) -> list[float]:
        """Return the hazards, smoothed towards the coarser key's if samples are few."""
        pseudo = PARENT_PSEUDO_SAMPLES * self.weight
        return [
            min(MAX_HAZARD, (ended + pseudo * parent_hazard) / (reached + pseudo))
            for reached, ended, parent_hazard in zip(
                self.reached, self.ended, parent_hazards, strict=True
            )
        ]


class LengthDistribution:
    """A length distribution, prepared for queries.

    ``parent`` is the coarser distribution that it is smoothed towards, None for
    the prior.
    """

    def __init__(
        self, *, hazards: list[float], parent: LengthDistribution | None = None
    ):
        self.parent = parent
        self.hazards = array("d", hazards)
        self.cumulative_hazards = array("d", [0.0])
        for hazard in hazards:
            self.cumulative_hazards.append(
                self.cumulative_hazards[-1] - math.log1p(-hazard)
            )
        self.expected_by_limit: dict[int, float] = {}

    def cumulative_hazard(self, tokens: float) -> float:
        """Return the cumulative hazard up to a length, interpolated within bins."""
        if tokens <= 1:
            return 0.0
        index = bisect.bisect_right(BIN_EDGES_TOKENS, tokens) - 1
        if index >= BIN_COUNT:
            return self.cumulative_hazards[-1]
        low = BIN_EDGES_TOKENS[index]
        fraction = (tokens - low) / (BIN_EDGES_TOKENS[index + 1] - low)
        start = self.cumulative_hazards[index]
        return start + fraction * (self.cumulative_hazards[index + 1] - start)

    def survival(self, produced: int, more: float) -> float:
        """Return the chance of at least ``more`` tokens after those produced."""
        return math.exp(
            self.cumulative_hazard(produced) - self.cumulative_hazard(produced + more)
        )

    def expected_length(self, limit: int) -> float:
        """Return the expected length of a generation with a token limit."""
        expected = self.expected_by_limit.get(limit)
        if expected is None:
            if len(self.expected_by_limit) >= MAX_CACHED_EXPECTATIONS:
                self.expected_by_limit.clear()
            expected = self.expected_by_limit[limit] = self.expected_remaining(0, limit)
        return expected

    def expected_remaining(self, produced: int, limit: int) -> float:
        """Return the expected remaining tokens, at least 1.

        ``limit`` bounds the tokens of the whole generation.  Lengths that are
        reached with a chance below 0.001 are ignored.
        """
        start = self.cumulative_hazard(max(1, produced))
        expected = 0.0
        position = float(max(1, produced))
        chance = 1.0
        for index in range(bin_index(max(1, produced)), BIN_COUNT):
            end = min(BIN_EDGES_TOKENS[index + 1], limit)
            if end <= position:
                break
            next_chance = math.exp(start - self.cumulative_hazard(end))
            expected += (end - position) * (chance + next_chance) / 2
            position, chance = end, next_chance
            if chance < 0.001:
                break
        return max(1.0, expected)


class LengthModel:
    """The learned distributions of one pool, for at most ``key_limit`` keys.

    The least recently updated ones are evicted.
    """

    def __init__(self, *, half_life_samples: float, key_limit: int):
        self.weight_growth = 2 ** (1 / half_life_samples)
        self.key_limit = key_limit
        self.counts: OrderedDict[LengthKey, LengthCounts] = OrderedDict()
        self.distributions: dict[LengthKey, LengthDistribution] = {}
        self.prior = LengthDistribution(hazards=prior_hazards())

    def observe(
        self,
        workspace: str,
        model: str,
        kind: str,
        tokens: int,
        finished: bool,
        estimated_tokens: int = 0,
    ) -> None:
        """Learn from one generation that finished or was cut off.

        It also counts for the requests of its kind that have no estimate.
        """
        keys = key_levels(workspace, model, kind)
        if estimated_tokens:
            sized = key_levels(workspace, model, sized_kind(kind, estimated_tokens))
            keys = (*sized[:-1], *keys)
        for key in keys:
            counts = self.counts.get(key)
            if counts is None:
                counts = self.counts[key] = LengthCounts.empty()
            self.counts.move_to_end(key)
            counts.add(tokens, finished, self.weight_growth)
            if counts.samples_since_rebuild >= REBUILD_INTERVAL_SAMPLES:
                counts.samples_since_rebuild = 0
                self.distributions.pop(key, None)
        while len(self.counts) > self.key_limit:
            evicted_key, _ = self.counts.popitem(last=False)
            self.distributions.pop(evicted_key, None)

    def length_distribution(
        self, workspace: str, model: str, kind: str, estimated_tokens: int = 0
    ) -> LengthDistribution:
        """Return the distribution for a key, and for the caller's estimate if any.

        It is rebuilt when its coarser distribution has changed.  Otherwise a
        workspace with few samples would keep an outdated distribution.
        """
        keys = key_levels(workspace, model, kind)
        if estimated_tokens:
            sized = key_levels(workspace, model, sized_kind(kind, estimated_tokens))
            keys = (*sized[:-1], *keys[1:])
        parent = self.prior
        for key in reversed(keys):
            counts = self.counts.get(key)
            if counts is None:
                continue
            distribution = self.distributions.get(key)
            if distribution is None or distribution.parent is not parent:
                hazards = counts.hazards(parent.hazards)
                distribution = self.distributions[key] = LengthDistribution(
                    hazards=hazards, parent=parent
                )
            parent = distribution
        return parent


def sized_kind(kind: str, estimated_tokens: int) -> str:
    """Return a kind of requests whose estimates are within the same octave.

    >>> sized_kind("chat", 700) == sized_kind("chat", 1000)
    True
    """
    return f"{kind}{SIZE_SEPARATOR}{estimated_tokens.bit_length()}"


def key_levels(workspace: str, model: str, kind: str) -> tuple[LengthKey, ...]:
    """Return a key and the coarser keys it is smoothed towards, finest first."""
    return (workspace, model, kind), ("", model, kind), ("", model, "")
