"""Learns how fast a pool's engines are, from the times of all reservations seen.

The time from a reservation to its first token tells an engine's prefill time, and the
time from there to its end the time per token.  Both are compared with the median of
the pool's engines: an engine with the slowdown 2 takes twice the usual time.  Engines
have slow periods of seconds, so what was seen counts less with each second.
"""

from __future__ import annotations

import math
import statistics

import attrs

# A normal token gap is taken as proportional to the batch size plus this.
BATCH_SIZE_OFFSET = 30.0
# Samples lose 1/e of their weight in this time; slow periods last for seconds.
FORGET_S = 3.0
# The first event takes some steps and a way there and back besides the prefill, about
# as long as this many prompt tokens.
FIRST_EVENT_TOKENS = 300.0
# Each engine counts as if it had been seen at the median speed for this long.
PRIOR_S = 0.2
# Prefill and decode times count as at most this much.  First tokens tell of the last
# moments, but little time; the ends of long generations tell of much time, but late.
MAX_EVIDENCE_S = 1.0
# Less work than this is what has decayed of that of an idle engine.
FORGOTTEN_UNITS = 1.0
# Engines whose times differ from the median by a smaller ratio count as alike.
ALIKE_RATIO = 1.2
MAX_SLOWDOWN = 4.0


def normalized_gap_s(token_gap_s: float, batch_size: float) -> float:
    """Return a token gap in seconds for each unit of the batch that it was seen at."""
    return token_gap_s / (BATCH_SIZE_OFFSET + batch_size)


@attrs.define(kw_only=True)
class TimedWork:
    """Seconds and the units of work that they were spent on, which decay with time."""

    seconds: float = 0.0
    units: float = 0.0
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of what was recorded before."""
        factor = math.exp(min(0.0, self.decayed_at - now) / FORGET_S)
        self.seconds *= factor
        self.units *= factor
        self.decayed_at = now

    def add(self, seconds: float, units: float, now: float) -> None:
        """Record work that has just ended; of a long time much is partly forgotten."""
        self.decay(now)
        age = max(seconds, 1e-6) / FORGET_S
        weight = -math.expm1(-age) / age
        self.seconds += weight * seconds
        self.units += weight * units


@attrs.define(kw_only=True)
class EngineTimes:
    """The prefill and decode times seen of one engine."""

    prefill: TimedWork = attrs.Factory(TimedWork)
    decode: TimedWork = attrs.Factory(TimedWork)


class EngineSpeeds:
    """The speeds of one pool's engines.

    ``slowdowns`` holds the engines whose times differ from the median, and
    ``prefill_unit_s`` the median prefill time of a token, 0 before it is known; both
    as of the last update.  Times are monotonic seconds.

    Example::

        >>> speeds = EngineSpeeds()
        >>> for name, seconds in {"e0": 0.2, "e1": 0.2, "e2": 0.6}.items():
        ...     speeds.record_prefill(name, tokens=3000, seconds=seconds, now=9.0)
        >>> speeds.update({"e0": [], "e1": [], "e2": []}, now=9.0)
        >>> speeds.slowdown("e0"), speeds.slowdown("e2") > 1.5
        (1.0, True)
    """

    def __init__(self):
        self.times: dict[str, EngineTimes] = {}
        self.slowdowns: dict[str, float] = {}
        self.prefill_unit_s = 0.0

    def times_of(self, name: str) -> EngineTimes:
        """Return what was seen of an engine."""
        return self.times.setdefault(name, EngineTimes())

    def has_learned(self, name: str) -> bool:
        """Return whether the times of an engine are still compared with others."""
        times = self.times.get(name)
        return times is not None and (
            times.prefill.units > FORGOTTEN_UNITS
            or times.decode.units > FORGOTTEN_UNITS
        )

    def slowdown(self, name: str) -> float:
        """Return an engine's time for the same work relative to the median."""
        return self.slowdowns.get(name, 1.0)

    def usual_prefill_s(self, tokens: float) -> float:
        """Return the usual time to a first token in seconds, 0 if it isn't known."""
        return self.prefill_unit_s * (tokens + FIRST_EVENT_TOKENS)

    def record_prefill(
        self, name: str, *, tokens: int, seconds: float, now: float
    ) -> None:
        """Record the time to a first token; ``tokens`` were to prefill until then.

        News of a first token that was lost comes seconds later with others, so a time
        counts as no longer than that of the slowest engine.
        """
        longest_s = MAX_SLOWDOWN * self.usual_prefill_s(tokens)
        seconds = min(seconds, longest_s or seconds)
        self.times_of(name).prefill.add(seconds, tokens + FIRST_EVENT_TOKENS, now)

    def record_decode(
        self, name: str, *, tokens: int, seconds: float, batch_size: int, now: float
    ) -> None:
        """Record the time in which one generation produced some tokens."""
        units = tokens * (BATCH_SIZE_OFFSET + batch_size)
        self.times_of(name).decode.add(seconds, units, now)

    def update(self, awaited: dict[str, list[tuple[int, float]]], now: float) -> None:
        """Compute the slowdowns of a pool's engines; others are forgotten.

        ``awaited`` has, for each engine, the tokens to prefill and the age in seconds
        of each reservation without a first token.  Those that take longer than usual
        count at once, so that an engine which has just become slow is noticed.
        """
        for name in self.times.keys() - awaited.keys():
            del self.times[name]
        for times in self.times.values():
            times.prefill.decay(now)
            times.decode.decay(now)
        self.prefill_unit_s = median_unit_s(
            [times.prefill for times in self.times.values()]
        )
        decode_unit_s = median_unit_s([times.decode for times in self.times.values()])
        ratios = {}
        for name, pending in awaited.items():
            times = self.times.get(name, EngineTimes())
            prefill_s = times.prefill.seconds
            usual_s = self.prefill_unit_s * times.prefill.units
            for tokens, age_s in pending:
                awaited_s = self.usual_prefill_s(tokens)
                if awaited_s < age_s:
                    prefill_s += min(age_s, MAX_SLOWDOWN * awaited_s)
                    usual_s += awaited_s
            ratios[name] = combined_ratio(
                (prefill_s, usual_s),
                (times.decode.seconds, decode_unit_s * times.decode.units),
            )
        self.slowdowns = {
            name: min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, ratio))
            for name, ratio in ratios.items()
            if not 1 / ALIKE_RATIO < ratio < ALIKE_RATIO
        }


def combined_ratio(*evidence: tuple[float, float]) -> float:
    """Return the ratio of actual to usual seconds, given pairs of them."""
    actual_s = usual_s = PRIOR_S
    for seen_s, usual_for_it_s in evidence:
        weight_s = min(usual_for_it_s, MAX_EVIDENCE_S)
        usual_s += weight_s
        actual_s += weight_s * seen_s / max(usual_for_it_s, 1e-9)
    return actual_s / usual_s


def median_unit_s(works: list[TimedWork]) -> float:
    """Return the median of the seconds for each unit of work, 0 without any."""
    seen = [work.seconds / work.units for work in works if work.units > FORGOTTEN_UNITS]
    return statistics.median(seen) if seen else 0.0
