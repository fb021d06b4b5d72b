"""Decides until when an endpoint is cold, and at what rate it takes requests then.

An endpoint that has just started tolerates only a few requests a second from all
gateways together.  Its entry says for how long; one whose entry doesn't say is taken
for cold for as long as its service's endpoints take to warm up.

Example::

    warm_up = WarmUp()
    warm_up.set_services([Service(name="models", cold_start_s=1.0, cold_per_s=21.0)])
    warm_up.record_entry("engine-1", "models", left_s=None, version=version, now=10.0)
    warm_up.cold_limit("engine-1", now=10.2)  # ColdLimit(per_s=21.0, until=11.0)
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

import attrs

from baobabturn.store.version import StoreVersion


class WarmedService(Protocol):
    """How the endpoints of a service warm up; a rate of 0 means no limit."""

    @property
    def name(self) -> str:
        """Return the service's name."""

    @property
    def cold_start_s(self) -> float:
        """Return for how many seconds an endpoint is cold after its start."""

    @property
    def cold_per_s(self) -> float:
        """Return the requests a second that a cold endpoint takes from all gateways."""


@attrs.frozen(kw_only=True)
class ColdLimit:
    """The limit of a cold endpoint, of all gateways together, and its end."""

    per_s: float
    until: float


@attrs.define(kw_only=True, eq=False)
class EndpointWarmth:
    """What is known of one incarnation of an endpoint; times are monotonic seconds.

    ``version`` is that of the entry that was applied last.  ``cold_until`` is None
    while neither an entry nor an answer has said until when the endpoint is cold; it
    then counts as cold since ``unknown_since``.  ``told_until`` is what other gateways
    say.
    """

    service: str
    version: StoreVersion
    unknown_since: float
    cold_until: float | None
    told_until: float = -math.inf


class WarmUp:
    """The endpoints that are known, and which of them are cold at a given time."""

    def __init__(self) -> None:
        self.services: dict[str, WarmedService] = {}
        self.endpoints: dict[str, EndpointWarmth] = {}

    def set_services(self, services: Iterable[WarmedService]) -> None:
        """Set how the endpoints of all services warm up."""
        self.services = {each.name: each for each in services if each.cold_per_s > 0}

    def record_entry(
        self,
        endpoint: str,
        service: str,
        *,
        left_s: float | None,
        version: StoreVersion,
        now: float,
    ) -> None:
        """Record an entry, which says that its endpoint is cold for ``left_s`` seconds.

        An entry that is read again says nothing new, and one that doesn't say changes
        nothing that is known of the incarnation.
        """
        known = self.endpoints.get(endpoint)
        cold_until = None if left_s is None else now + left_s
        if known is None:
            self.endpoints[endpoint] = EndpointWarmth(
                service=service,
                version=version,
                unknown_since=now,
                cold_until=cold_until,
            )
            return
        if version <= known.version:
            return
        known.version = version
        if cold_until is not None:
            known.cold_until = cold_until
            known.told_until = -math.inf

    def record_answer(self, endpoint: str, *, left_s: float, now: float) -> None:
        """Record that an endpoint's answer says that it is cold for some seconds.

        An answer may be older than what is known, so it doesn't end the warm-up.
        """
        known = self.endpoints.get(endpoint)
        if known is not None and left_s > 0:
            known.cold_until = max(self.own_until(known), now + left_s)

    def record_told(self, endpoint: str, *, left_s: float, now: float) -> None:
        """Record that another gateway takes an endpoint for cold for some seconds.

        What is known here counts more: gateways that prolonged one another's times by
        the delay of their messages would never take the endpoint for warm.
        """
        known = self.endpoints.get(endpoint)
        if known is not None and self.until(known) <= now:
            known.told_until = now + left_s

    def restart(self, endpoints: Iterable[str], now: float) -> None:
        """Take endpoints for cold that may have become so, until their entries say.

        That is so for the endpoints of a failure domain whose evacuation has ended.
        """
        for endpoint in endpoints:
            known = self.endpoints.get(endpoint)
            if known is None or self.until(known) > now + self.start_s(known):
                continue
            known.cold_until = None
            known.unknown_since = now

    def forget(self, endpoint: str) -> None:
        """Forget an incarnation of an endpoint that is leaving."""
        self.endpoints.pop(endpoint, None)

    def start_s(self, known: EndpointWarmth) -> float:
        """Return for how long an endpoint is cold after its start."""
        service = self.services.get(known.service)
        return service.cold_start_s if service is not None else 0.0

    def own_until(self, known: EndpointWarmth) -> float:
        """Return until when an endpoint is cold by what is known here."""
        if known.cold_until is not None:
            return known.cold_until
        return known.unknown_since + self.start_s(known)

    def until(self, known: EndpointWarmth) -> float:
        """Return until when an endpoint is cold by what is known here or was told."""
        return max(self.own_until(known), known.told_until)

    def cold_limit(self, endpoint: str, now: float) -> ColdLimit | None:
        """Return the limit of an endpoint that is cold then, None if it is warm."""
        known = self.endpoints.get(endpoint)
        if known is None:
            return None
        service = self.services.get(known.service)
        until = self.until(known)
        if service is None or until <= now:
            return None
        return ColdLimit(per_s=service.cold_per_s, until=until)

    def own_left_s(self, endpoint: str, now: float) -> float:
        """Return for how long an endpoint is cold by what is known here, 0 if warm."""
        known = self.endpoints.get(endpoint)
        if known is None or known.service not in self.services:
            return 0.0
        return max(0.0, self.own_until(known) - now)

    def is_unknown(self, endpoint: str) -> bool:
        """Return whether nothing has said until when an endpoint is cold."""
        known = self.endpoints.get(endpoint)
        return known is not None and known.cold_until is None
