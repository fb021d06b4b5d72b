"""Learned distributions of output lengths, by workspace, model and kind.

Lengths fall into bins whose width grows with the length.  For each bin a hazard
is learned: the share of the generations that reached the bin and ended in it.
A generation that was cut off is a censored sample: it counts only in the bins
that it passed, so that it doesn't make the lengths look short.  A key with few
samples is smoothed towards the next coarser key, the coarsest one towards a
prior.

Example: ``Lengths(...).curve("w", "m", "chat").survival(10, 50)`` is the
chance that a generation with 10 tokens produces at least 50 more.
"""

from __future__ import annotations

import bisect
import math
from array import array
from collections import OrderedDict

import attrs

BINS_PER_OCTAVE = 4
OCTAVES = 17
PRIOR_MEDIAN_TOKENS = 100.0
PRIOR_SIGMA = 1.6
PSEUDO_SAMPLES = 8.0
REBUILD_SAMPLES = 8
WEIGHT_LIMIT = 1e6
HAZARD_LIMIT = 0.999
MEANS_KEPT = 64

Key = tuple[str, str, str]


def make_edges() -> list[int]:
    """Return the lower edges of the bins, in tokens."""
    raw = (2 ** (n / BINS_PER_OCTAVE) for n in range(OCTAVES * BINS_PER_OCTAVE + 1))
    return sorted({math.ceil(value) for value in raw})


EDGES = make_edges()
BINS = len(EDGES) - 1


def bin_of(tokens: int) -> int:
    """Return the index of the bin of a length."""
    place = bisect.bisect_right(EDGES, max(1, tokens)) - 1
    return min(place, BINS - 1)


def prior_hazards() -> list[float]:
    """Return the hazards of a broad lognormal distribution."""

    def below(tokens: float) -> float:
        score = (math.log(tokens) - math.log(PRIOR_MEDIAN_TOKENS)) / PRIOR_SIGMA
        return 0.5 * (1 + math.erf(score / math.sqrt(2)))

    hazards = []
    for low, high in zip(EDGES, EDGES[1:], strict=False):
        start = 0.0 if low == 1 else below(low)
        hazards.append((below(high) - start) / max(1e-9, 1 - start))
    return [min(HAZARD_LIMIT, hazard) for hazard in hazards]


@attrs.define(kw_only=True)
class Counts:
    """The weighted counts of generations that reached each bin, and ended in it.

    Newer samples weigh more.  Instead of scaling down all older samples each
    time, the weight of the next sample grows; all counts are scaled down only
    when it exceeds a limit.
    """

    reached: array
    ended: array
    weight: float = 1.0
    fresh: int = 0

    @classmethod
    def empty(cls) -> Counts:
        """Return counts without samples."""
        return cls(reached=array("d", [0.0] * BINS), ended=array("d", [0.0] * BINS))

    def add(self, tokens: int, finished: bool, growth: float) -> None:
        """Count one generation; a cut-off one only in the bins that it passed."""
        self.weight *= growth
        if self.weight > WEIGHT_LIMIT:
            self.scale(1 / self.weight)
        last = bin_of(tokens)
        reached = self.reached
        for place in range(last):
            reached[place] += self.weight
        if finished:
            reached[last] += self.weight
            self.ended[last] += self.weight
        self.fresh += 1

    def scale(self, factor: float) -> None:
        """Multiply all counts and the sample weight by a factor."""
        for place in range(BINS):
            self.reached[place] *= factor
            self.ended[place] *= factor
        self.weight *= factor

    def hazards(self, parent: array) -> list[float]:
        """Return the hazards, smoothed towards the coarser key's if samples are few."""
        pseudo = PSEUDO_SAMPLES * self.weight
        return [
            min(HAZARD_LIMIT, (ended + pseudo * coarse) / (reached + pseudo))
            for reached, ended, coarse in zip(
                self.reached, self.ended, parent, strict=True
            )
        ]


class Curve:
    """A length distribution, prepared for queries.

    ``parent`` is the coarser distribution that it is smoothed towards, None for
    the prior.
    """

    def __init__(self, *, hazards: list[float], parent: Curve | None = None):
        self.parent = parent
        self.hazards = array("d", hazards)
        self.cumulative = array("d", [0.0])
        for hazard in hazards:
            self.cumulative.append(self.cumulative[-1] - math.log1p(-hazard))
        self.means: dict[int, float] = {}

    def passed(self, tokens: float) -> float:
        """Return the cumulative hazard up to a length, interpolated within bins."""
        if tokens <= 1:
            return 0.0
        place = bisect.bisect_right(EDGES, tokens) - 1
        if place >= BINS:
            return self.cumulative[-1]
        low = EDGES[place]
        share = (tokens - low) / (EDGES[place + 1] - low)
        start = self.cumulative[place]
        return start + share * (self.cumulative[place + 1] - start)

    def survival(self, produced: int, more: float) -> float:
        """Return the chance of at least ``more`` tokens after those produced."""
        return math.exp(self.passed(produced) - self.passed(produced + more))

    def mean(self, limit: int) -> float:
        """Return the expected length of a generation with a token limit."""
        found = self.means.get(limit)
        if found is None:
            if len(self.means) >= MEANS_KEPT:
                self.means.clear()
            found = self.means[limit] = self.mean_left(0, limit)
        return found

    def mean_left(self, produced: int, limit: int) -> float:
        """Return the expected remaining tokens, at least 1.

        ``limit`` bounds the tokens of the whole generation.
        """
        start = self.passed(max(1, produced))
        total = 0.0
        at = float(max(1, produced))
        chance = 1.0
        for place in range(bin_of(max(1, produced)), BINS):
            end = min(EDGES[place + 1], limit)
            if end <= at:
                break
            after = math.exp(start - self.passed(end))
            total += (end - at) * (chance + after) / 2
            at, chance = end, after
            if chance < 0.001:
                break
        return max(1.0, total)


class Lengths:
    """The learned distributions of one pool; the least recently updated go first."""

    def __init__(self, *, half_life_samples: float, key_limit: int):
        self.growth = 2 ** (1 / half_life_samples)
        self.key_limit = key_limit
        self.counts: OrderedDict[Key, Counts] = OrderedDict()
        self.curves: dict[Key, Curve] = {}
        self.prior = Curve(hazards=prior_hazards())

    def observe(
        self, workspace: str, model: str, kind: str, tokens: int, finished: bool
    ) -> None:
        """Learn from one generation that finished or was cut off."""
        for key in levels(workspace, model, kind):
            counts = self.counts.get(key)
            if counts is None:
                counts = self.counts[key] = Counts.empty()
            self.counts.move_to_end(key)
            counts.add(tokens, finished, self.growth)
            if counts.fresh >= REBUILD_SAMPLES:
                counts.fresh = 0
                self.curves.pop(key, None)
        while len(self.counts) > self.key_limit:
            old, _ = self.counts.popitem(last=False)
            self.curves.pop(old, None)

    def curve(self, workspace: str, model: str, kind: str) -> Curve:
        """Return the distribution for a key.

        It is rebuilt when its coarser distribution has changed.  Otherwise a
        workspace with few samples would keep an outdated distribution.
        """
        parent = self.prior
        for key in reversed(levels(workspace, model, kind)):
            counts = self.counts.get(key)
            if counts is None:
                continue
            found = self.curves.get(key)
            if found is None or found.parent is not parent:
                hazards = counts.hazards(parent.hazards)
                found = self.curves[key] = Curve(hazards=hazards, parent=parent)
            parent = found
        return parent


def levels(workspace: str, model: str, kind: str) -> tuple[Key, Key, Key]:
    """Return a key and the coarser keys it is smoothed towards, finest first."""
    return (workspace, model, kind), ("", model, kind), ("", model, "")
