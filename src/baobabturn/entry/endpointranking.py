"""Ranks a plain service's endpoints by load and latency, as measured locally."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Protocol, TypeVar

import attrs

LATENCY_SMOOTHING_RATIO = 0.3
INITIAL_LATENCY_S = 0.01
LATENCY_HALF_LIFE_S = 5.0
SUSPECT_DURATION_S = 2.0


@attrs.define(kw_only=True)
class EndpointStats:
    """Local measurements of one endpoint.

    ``updated_at`` and ``suspect_until`` are in monotonic seconds.
    """

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    updated_at: float = 0.0
    suspect_until: float = 0.0


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
    """Ranks endpoints by expected wait, from attempts of this process alone."""

    def __init__(self):
        self.stats: dict[str, EndpointStats] = {}

    def stats_of(self, name: str) -> EndpointStats:
        """Return the measurements of an endpoint, new ones for an unknown endpoint."""
        return self.stats.setdefault(name, EndpointStats())

    def rank(
        self, endpoints: Iterable[EndpointT], preferred_domain: str
    ) -> list[EndpointT]:
        """Return endpoints with the shortest expected wait first.

        Suspect endpoints come last; ``preferred_domain`` decides between
        equal waits.
        """
        now = time.monotonic()

        def sort_key(endpoint: EndpointT) -> tuple[bool, float, bool]:
            stats = self.stats_of(endpoint.name)
            wait_s = (stats.in_flight + 1) * self.decayed_latency_s(stats, now)
            other_domain = endpoint.failure_domain != preferred_domain
            return stats.suspect_until > now, wait_s, other_domain

        return sorted(endpoints, key=sort_key)

    def decayed_latency_s(self, stats: EndpointStats, now: float) -> float:
        """Return an endpoint's latency in seconds.

        It decays with the age of the last measurement, so that a slow endpoint
        is tried again.
        """
        age_s = now - stats.updated_at
        weight = 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + (stats.latency_s - INITIAL_LATENCY_S) * weight

    def record_start(self, name: str) -> None:
        """Record the start of an attempt."""
        self.stats_of(name).in_flight += 1

    def record_end(self, name: str, duration_s: float, reached: bool) -> None:
        """Record the end of an attempt; an endpoint not ``reached`` becomes suspect."""
        stats = self.stats_of(name)
        stats.in_flight -= 1
        now = time.monotonic()
        if not reached:
            stats.suspect_until = now + SUSPECT_DURATION_S
            return
        previous_s = self.decayed_latency_s(stats, now)
        stats.latency_s = previous_s + LATENCY_SMOOTHING_RATIO * (
            duration_s - previous_s
        )
        stats.updated_at = now
