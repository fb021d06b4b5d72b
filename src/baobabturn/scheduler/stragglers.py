"""Finds endpoints that are slow now, by the gaps between tokens entries see.

An endpoint's gap is the time its generations spent over the tokens they got,
over the last moment; a generation of which nothing is heard counts with its
silence.  The gap is set against the median of the pool's endpoints at a like
batch size.  A slow endpoint gets no new work but a probe from time to time.
"""

from __future__ import annotations

import math
import statistics

import attrs

from baobabturn.settings.model import Scheduler

BATCH_SCALE = 30.0
SILENCE_S = 0.35
LEAST_WEIGHT = 2.0
RECOVERED = 0.7


@attrs.define(kw_only=True)
class Pace:
    """What is seen of one endpoint's speed; sums decay with time."""

    seconds: float = 0.0
    tokens: float = 0.0
    streams: float = 0.0
    decayed: float = 0.0
    slow: float = 1.0
    since: float = 0.0
    probed: float = 0.0

    @property
    def straggles(self) -> bool:
        """Return whether the endpoint is held to be slow."""
        return self.since > 0

    def decay(self, now: float, window_s: float) -> None:
        """Let older sums count less."""
        factor = math.exp((self.decayed - now) / window_s) if self.decayed else 1.0
        self.seconds *= factor
        self.tokens *= factor
        self.streams *= factor
        self.decayed = now

    def gap(self, silent_s: float) -> float:
        """Return the seconds between tokens, with the silence of some added."""
        return (self.seconds + silent_s) / max(self.tokens, 0.5)


class Stragglers:
    """The paces of a pool's endpoints."""

    def __init__(self, *, settings: Scheduler):
        self.settings = settings
        self.paces: dict[str, Pace] = {}
        self.typical_gap_s = 0.0

    def pace(self, name: str) -> Pace:
        """Return an endpoint's pace."""
        found = self.paces.get(name)
        if found is None:
            found = self.paces[name] = Pace()
        return found

    def seen(self, name: str, tokens: int, seconds: float, now: float) -> None:
        """Take in that a generation got tokens over some seconds."""
        pace = self.pace(name)
        pace.decay(now, self.settings.straggler_window_s)
        pace.seconds += seconds
        pace.tokens += tokens
        pace.streams += 1

    def judge(self, batches: dict[str, tuple[int, float]], now: float) -> None:
        """Judge all endpoints, given each one's batch size and silent seconds."""
        levels = {}
        gaps = []
        for name, (batch, silent_s) in batches.items():
            pace = self.pace(name)
            pace.decay(now, self.settings.straggler_window_s)
            if pace.streams < LEAST_WEIGHT and silent_s < SILENCE_S:
                continue
            gap = pace.gap(silent_s)
            gaps.append(gap)
            levels[name] = gap / (BATCH_SCALE + batch)
        if not levels:
            return
        self.typical_gap_s = statistics.median_low(gaps)
        typical = statistics.median_low(levels.values())
        for name, level in levels.items():
            self.mark(self.pace(name), level / max(typical, 1e-9), now)

    def mark(self, pace: Pace, ratio: float, now: float) -> None:
        """Follow an endpoint's ratio to its peers."""
        bound = self.settings.straggler_ratio
        pace.slow = ratio
        if not pace.straggles and ratio > bound:
            pace.since = now
            pace.probed = now
        elif pace.straggles and ratio < bound * RECOVERED:
            pace.since = 0.0

    def may_take(self, name: str, in_flight: int, now: float) -> bool:
        """Return whether an endpoint may get new work, if only as a probe."""
        pace = self.paces.get(name)
        if pace is None or not pace.straggles:
            return True
        waited = now - pace.probed
        return in_flight == 0 and waited > self.settings.probe_interval_s

    def taken(self, name: str, now: float) -> None:
        """Note that an endpoint got new work."""
        pace = self.paces.get(name)
        if pace is not None:
            pace.probed = now
