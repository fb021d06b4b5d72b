"""Detects stragglers: endpoints that are much slower than their pool's others.

An endpoint's token gap is the time for which its generations ran recently, divided
by the tokens that entries received in that time; the silence of a generation
without progress counts as time.  The gap is normalized by batch size and compared
with the median of the pool's endpoints.  A straggler gets no new requests except
periodic probes.  An endpoint that keeps to the goal for gaps is none, however fast
the others are: it only gets less work, by ``placement/enginespeed.py``.
"""

from __future__ import annotations

import math
import statistics

import attrs

from baobabturn.placement.enginespeed import normalized_gap_s
from baobabturn.settings.model import Scheduler

# Shorter silences are ordinary.
SILENCE_THRESHOLD_S = 0.35
MIN_SAMPLE_WEIGHT = 2.0
# Measurements that have decayed to less say nothing.
FORGOTTEN_WEIGHT = 0.05
# A straggler recovers below this ratio of a threshold that classified it.
RECOVERY_RATIO = 0.7


@attrs.define(kw_only=True)
class TokenGapStats:
    """The measured token gap of one endpoint, from sums that decay with time.

    ``slowdown`` is the last ratio of its normalized gap to the median of its peers.
    ``straggling_since`` is when it became a straggler, 0 if it is none; times are
    monotonic seconds.  ``seconds`` and ``tokens`` are the sums, ``sample_weight`` is
    the decayed number of samples.
    """

    seconds: float = 0.0
    tokens: float = 0.0
    sample_weight: float = 0.0
    decayed_at: float = 0.0
    slowdown: float = 1.0
    straggling_since: float = 0.0
    last_probe_at: float = 0.0

    @property
    def is_straggler(self) -> bool:
        """Return whether the endpoint is classified as a straggler."""
        return self.straggling_since > 0

    def decay(self, now: float, window_s: float) -> None:
        """Reduce the weight of older samples, by 1/e for each ``window_s``."""
        factor = (
            math.exp((self.decayed_at - now) / window_s) if self.decayed_at else 1.0
        )
        self.seconds *= factor
        self.tokens *= factor
        self.sample_weight *= factor
        self.decayed_at = now

    def token_gap_s(self, silent_s: float) -> float:
        """Return the seconds between tokens; ``silent_s`` is added to the time."""
        return (self.seconds + silent_s) / max(self.tokens, 0.5)


class StragglerDetector:
    """Classifies a pool's endpoints by their token gaps.

    ``typical_gap_s`` is the median gap at the last classification, 0 before it.
    """

    def __init__(self, *, settings: Scheduler):
        self.settings = settings
        self.stats_by_endpoint: dict[str, TokenGapStats] = {}
        self.typical_gap_s = 0.0

    def gap_stats(self, name: str) -> TokenGapStats:
        """Return the measurements of an endpoint, new ones if there are none."""
        stats = self.stats_by_endpoint.get(name)
        if stats is None:
            stats = self.stats_by_endpoint[name] = TokenGapStats()
        return stats

    def has_learned(self, name: str) -> bool:
        """Return whether the measurements of an endpoint still say something."""
        gap_stats = self.stats_by_endpoint.get(name)
        if gap_stats is None:
            return False
        is_known = max(gap_stats.sample_weight, gap_stats.tokens) > FORGOTTEN_WEIGHT
        return gap_stats.is_straggler or is_known

    def forget(self, name: str) -> None:
        """Forget an endpoint."""
        self.stats_by_endpoint.pop(name, None)

    def record_tokens(self, name: str, tokens: int, seconds: float, now: float) -> None:
        """Record that a generation got tokens within some seconds."""
        gap_stats = self.gap_stats(name)
        gap_stats.decay(now, self.settings.straggler_window_s)
        gap_stats.seconds += seconds
        gap_stats.tokens += tokens
        gap_stats.sample_weight += 1

    def classify(
        self, batch_and_silence: dict[str, tuple[int, float]], now: float
    ) -> None:
        """Classify all endpoints, given each one's batch size and silent seconds.

        Endpoints with too few samples and no silence are left out.  If requests run at
        such an endpoint, and no probe has just begun, nothing is known against it now.
        """
        normalized_gaps = {}
        gaps = {}
        for name, (batch_size, silent_s) in batch_and_silence.items():
            gap_stats = self.gap_stats(name)
            gap_stats.decay(now, self.settings.straggler_window_s)
            if (
                gap_stats.sample_weight < MIN_SAMPLE_WEIGHT
                and silent_s < SILENCE_THRESHOLD_S
            ):
                probed_s = now - gap_stats.last_probe_at
                if batch_size and probed_s > self.settings.probe_interval_s:
                    gap_stats.straggling_since = 0.0
                continue
            token_gap_s = gap_stats.token_gap_s(silent_s)
            gaps[name] = token_gap_s
            normalized_gaps[name] = normalized_gap_s(token_gap_s, batch_size)
        if not normalized_gaps:
            return
        self.typical_gap_s = statistics.median_low(gaps.values())
        typical = statistics.median_low(normalized_gaps.values())
        for name, normalized_gap in normalized_gaps.items():
            self.classify_endpoint(
                self.gap_stats(name),
                ratio=normalized_gap / max(typical, 1e-9),
                token_gap_s=gaps[name],
                now=now,
            )

    def classify_endpoint(
        self,
        gap_stats: TokenGapStats,
        *,
        ratio: float,
        token_gap_s: float,
        now: float,
    ) -> None:
        """Classify an endpoint by its gap, and its ratio to its peers' median."""
        gap_stats.slowdown = ratio
        excess = min(
            ratio / self.settings.straggler_ratio,
            token_gap_s / self.settings.token_gap_goal_s,
        )
        if not gap_stats.is_straggler and excess > 1:
            gap_stats.straggling_since = now
            gap_stats.last_probe_at = now
        elif gap_stats.is_straggler and excess < RECOVERY_RATIO:
            gap_stats.straggling_since = 0.0

    def accepts_requests(self, name: str, in_flight: int, now: float) -> bool:
        """Return whether an endpoint may get a new request, possibly as a probe.

        Only a straggler without requests in flight is probed.
        """
        gap_stats = self.stats_by_endpoint.get(name)
        if gap_stats is None or not gap_stats.is_straggler:
            return True
        since_probe_s = now - gap_stats.last_probe_at
        return in_flight == 0 and since_probe_s > self.settings.probe_interval_s

    def record_grant(self, name: str, now: float) -> None:
        """Record that an endpoint got a new request."""
        gap_stats = self.stats_by_endpoint.get(name)
        if gap_stats is not None:
            gap_stats.last_probe_at = now
