"""Ranks a plain service's endpoints by load and latency, as measured locally."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Protocol, TypeVar

import attrs

SMOOTHING = 0.3
FIRST_LATENCY_S = 0.01
FORGET_HALF_S = 5.0
SUSPECT_S = 2.0


@attrs.define(kw_only=True)
class Seen:
    """Local measurements of one endpoint; ``updated`` and ``suspect_until`` are
    monotonic seconds.
    """

    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    updated: float = 0.0
    suspect_until: float = 0.0


class Placed(Protocol):
    """An endpoint with the attributes that the ranking needs."""

    @property
    def name(self) -> str:
        """Return the endpoint's name."""

    @property
    def failure_domain(self) -> str:
        """Return the endpoint's failure domain."""


AnEndpoint = TypeVar("AnEndpoint", bound=Placed)


class Workers:
    """Ranks endpoints by expected wait, from attempts of this process alone."""

    def __init__(self):
        self.seen: dict[str, Seen] = {}

    def of(self, name: str) -> Seen:
        """Return the measurements of an endpoint, new ones for an unknown endpoint."""
        return self.seen.setdefault(name, Seen())

    def order(self, endpoints: Iterable[AnEndpoint], near: str) -> list[AnEndpoint]:
        """Return endpoints with the shortest expected wait first.

        Suspect endpoints come last; ``near`` is the failure domain preferred at
        equal waits.
        """
        now = time.monotonic()

        def cost(endpoint: AnEndpoint) -> tuple[bool, float, bool]:
            seen = self.of(endpoint.name)
            wait = (seen.in_flight + 1) * self.latency(seen, now)
            far = endpoint.failure_domain != near
            return seen.suspect_until > now, wait, far

        return sorted(endpoints, key=cost)

    def latency(self, seen: Seen, now: float) -> float:
        """Return an endpoint's latency in seconds.

        It decays with the age of the last measurement, so that a slow endpoint
        is tried again.
        """
        age = now - seen.updated
        share = 0.5 ** (age / FORGET_HALF_S)
        return FIRST_LATENCY_S + (seen.latency_s - FIRST_LATENCY_S) * share

    def began(self, name: str) -> None:
        """Record the start of an attempt."""
        self.of(name).in_flight += 1

    def ended(self, name: str, seconds: float, reached: bool) -> None:
        """Record the end of an attempt; one that wasn't ``reached`` becomes suspect."""
        seen = self.of(name)
        seen.in_flight -= 1
        now = time.monotonic()
        if not reached:
            seen.suspect_until = now + SUSPECT_S
            return
        old = self.latency(seen, now)
        seen.latency_s = old + SMOOTHING * (seconds - old)
        seen.updated = now
