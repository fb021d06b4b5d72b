"""Ranks a plain service's endpoints by expected completion, as measured locally.

A process of a large fleet sends an endpoint few requests, so each one counts much: a
slow answer, and one that hasn't come although it usually would have.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Protocol, TypeVar

import attrs

# The weight of a new measurement right after another one; it rises with the age of
# that one.
LATENCY_SMOOTHING_RATIO = 0.3
INITIAL_LATENCY_S = 0.01
# Endpoints have slow periods of seconds.
LATENCY_HALF_LIFE_S = 5.0
# What isn't known lately of an endpoint is taken as this part of the latency of the
# fastest one, so that each endpoint is tried now and then.
UNKNOWN_LATENCY_RATIO = 0.8
SUSPECT_DURATION_S = 2.0
# Endpoints that have been neither ranked nor used for this long are forgotten: names
# change with each replacement.  By then nothing that was measured counts any more.
RETENTION_S = 300.0


@attrs.define(kw_only=True)
class EndpointStats:
    """Local measurements of one endpoint.

    ``updated_at`` is when the latency was measured, 0 before it was, ``awaited_since``
    the time since which attempts have been outstanding and none has ended, and
    ``suspect_until`` the end of the time after a failed attempt, and ``used_at`` when
    the endpoint was ranked or used last, all in monotonic seconds.
    """

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    updated_at: float = 0.0
    awaited_since: float = 0.0
    suspect_until: float = 0.0
    used_at: float = 0.0

    def remembered(self, now: float) -> float:
        """Return the weight of the measured latency, which falls with its age."""
        return 0.5 ** ((now - self.updated_at) / LATENCY_HALF_LIFE_S)

    def silent_s(self, now: float) -> float:
        """Return how long attempts have been outstanding without any end."""
        return now - self.awaited_since if self.in_flight else 0.0


class RankedEndpoint(Protocol):
    """An endpoint with the attributes that the ranking needs."""

    @property
    def name(self) -> str:
        """Return the endpoint's name."""

    @property
    def failure_domain(self) -> str:
        """Return the endpoint's failure domain."""


EndpointT = TypeVar("EndpointT", bound=RankedEndpoint)


class EndpointRanking:
    """Ranks endpoints by expected completion, from attempts of this process alone."""

    def __init__(self):
        self.stats: dict[str, EndpointStats] = {}
        self.forgotten_at = 0.0

    def stats_of(self, name: str) -> EndpointStats:
        """Return the measurements of an endpoint, new ones for an unknown endpoint."""
        stats = self.stats.get(name)
        if stats is None:
            stats = self.stats[name] = EndpointStats()
        stats.used_at = time.monotonic()
        return stats

    def forget_unused(self, now: float) -> None:
        """Forget the endpoints without attempts that weren't used lately, if due."""
        if now - self.forgotten_at < RETENTION_S:
            return
        self.forgotten_at = now
        self.stats = {
            name: stats
            for name, stats in self.stats.items()
            if stats.in_flight or now - stats.used_at < RETENTION_S
        }

    def rank(
        self, endpoints: Iterable[EndpointT], preferred_domain: str
    ) -> list[EndpointT]:
        """Return endpoints with the earliest expected completion first.

        Suspect endpoints come last; ``preferred_domain`` decides between
        equal times.
        """
        now = time.monotonic()
        self.forget_unused(now)
        candidates = list(endpoints)
        unknown_s = self.unknown_latency_s(candidates)

        def sort_key(endpoint: EndpointT) -> tuple[bool, float, bool]:
            stats = self.stats_of(endpoint.name)
            latency_s = self.expected_latency_s(stats, unknown_s, now)
            expected_s = (stats.in_flight + 1) * latency_s
            other_domain = endpoint.failure_domain != preferred_domain
            return stats.suspect_until > now, expected_s, other_domain

        return sorted(candidates, key=sort_key)

    def unknown_latency_s(self, endpoints: list[EndpointT]) -> float:
        """Return the latency of endpoints of which nothing is known lately."""
        measured = [
            stats.latency_s
            for stats in (self.stats_of(endpoint.name) for endpoint in endpoints)
            if stats.updated_at
        ]
        return UNKNOWN_LATENCY_RATIO * min(measured, default=INITIAL_LATENCY_S)

    def expected_latency_s(
        self, stats: EndpointStats, unknown_s: float, now: float
    ) -> float:
        """Return an endpoint's latency in seconds, as expected now.

        It decays with the age of the last measurement, so that a slow endpoint
        is tried again, but is at least the time for which answers are outstanding.
        """
        decayed_s = unknown_s + (stats.latency_s - unknown_s) * stats.remembered(now)
        return max(decayed_s, stats.silent_s(now))

    def record_start(self, name: str) -> None:
        """Record the start of an attempt."""
        stats = self.stats_of(name)
        if not stats.in_flight:
            stats.awaited_since = time.monotonic()
        stats.in_flight += 1

    def record_end(self, name: str, duration_s: float, reached: bool) -> None:
        """Record the end of an attempt; an endpoint not ``reached`` becomes suspect."""
        stats = self.stats_of(name)
        stats.in_flight -= 1
        now = stats.awaited_since = time.monotonic()
        if not reached:
            stats.suspect_until = now + SUSPECT_DURATION_S
            return
        previous_weight = (1 - LATENCY_SMOOTHING_RATIO) * stats.remembered(now)
        stats.latency_s = duration_s + previous_weight * (stats.latency_s - duration_s)
        stats.updated_at = now
