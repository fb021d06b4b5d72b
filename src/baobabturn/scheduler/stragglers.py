"""Detects stragglers: endpoints that are much slower than their pool's others.

An endpoint's token gap is the recent time of its generations divided by the
tokens that entries received in it; the silence of a generation without progress
counts as time.  The gap is normalized by batch size and compared with the median
of the pool's endpoints.  A straggler gets no new requests except periodic probes.
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
    """The measured token gap of one endpoint, from sums that decay with time.

    ``slow`` is the last ratio of its normalized gap to the median of its peers.
    ``since`` is when it became a straggler, 0 if it is none; times are monotonic
    seconds.
    """

    seconds: float = 0.0
    tokens: float = 0.0
    streams: float = 0.0
    decayed: float = 0.0
    slow: float = 1.0
    since: float = 0.0
    probed: float = 0.0

    @property
    def straggles(self) -> bool:
        """Return whether the endpoint is classified as a straggler."""
        return self.since > 0

    def decay(self, now: float, window_s: float) -> None:
        """Reduce the weight of older samples, by 1/e for each ``window_s``."""
        factor = math.exp((self.decayed - now) / window_s) if self.decayed else 1.0
        self.seconds *= factor
        self.tokens *= factor
        self.streams *= factor
        self.decayed = now

    def gap(self, silent_s: float) -> float:
        """Return the seconds between tokens; ``silent_s`` is added to the time."""
        return (self.seconds + silent_s) / max(self.tokens, 0.5)


class Stragglers:
    """Classifies a pool's endpoints by their token gaps.

    ``typical_gap_s`` is the median gap at the last classification, 0 before it.
    """

    def __init__(self, *, settings: Scheduler):
        self.settings = settings
        self.paces: dict[str, Pace] = {}
        self.typical_gap_s = 0.0

    def pace(self, name: str) -> Pace:
        """Return the measurements of an endpoint, new ones if there are none."""
        found = self.paces.get(name)
        if found is None:
            found = self.paces[name] = Pace()
        return found

    def seen(self, name: str, tokens: int, seconds: float, now: float) -> None:
        """Record that a generation got tokens within some seconds."""
        pace = self.pace(name)
        pace.decay(now, self.settings.straggler_window_s)
        pace.seconds += seconds
        pace.tokens += tokens
        pace.streams += 1

    def judge(self, batches: dict[str, tuple[int, float]], now: float) -> None:
        """Classify all endpoints, given each one's batch size and silent seconds.

        Endpoints with too few samples and no silence are left out.
        """
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
        """Classify an endpoint by the ratio of its gap to its peers' median."""
        bound = self.settings.straggler_ratio
        pace.slow = ratio
        if not pace.straggles and ratio > bound:
            pace.since = now
            pace.probed = now
        elif pace.straggles and ratio < bound * RECOVERED:
            pace.since = 0.0

    def may_take(self, name: str, in_flight: int, now: float) -> bool:
        """Return whether an endpoint may get a new request, possibly as a probe.

        Only a straggler without requests in flight is probed.
        """
        pace = self.paces.get(name)
        if pace is None or not pace.straggles:
            return True
        waited = now - pace.probed
        return in_flight == 0 and waited > self.settings.probe_interval_s

    def taken(self, name: str, now: float) -> None:
        """Record that an endpoint got a new request."""
        pace = self.paces.get(name)
        if pace is not None:
            pace.probed = now
