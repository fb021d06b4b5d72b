"""Applies the warm-up of cold endpoints to the limits on the rate of requests.

It learns of cold endpoints from their entries and answers, and from the other gateways,
which tell it with the requests that they send there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.placement.warmup import ColdLimit, WarmedService, WarmUp
from baobabturn.scheduler.ratelimits import RateLimits
from baobabturn.store.version import StoreVersion

MS_PER_S = 1000


class ColdEndpoints:
    """Sets and ends the limits of endpoints that warm up.

    ``reach`` returns the part of all gateways that this one hears, itself included: one
    that is cut off uses no more than that part of a rate.  ``cold_since`` holds since
    when endpoints are known to be cold.
    """

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        limits: RateLimits,
        reach: Callable[[], float],
    ):
        self.program = program
        self.endpoints = endpoints
        self.limits = limits
        self.reach = reach
        self.warm_up = WarmUp()
        self.cold_since: dict[str, float] = {}
        limits.on_warm = self.handle_warm
        endpoints.entry_listeners.append(self.record_entry)
        endpoints.opening_listeners.append(self.restart_domain)
        endpoints.leaving_listeners.append(self.forget)

    def set_services(self, services: Iterable[WarmedService]) -> None:
        """Apply how the endpoints of each service warm up."""
        self.warm_up.set_services(services)
        self.apply_all(self.warm_up.endpoints)

    def record_entry(self, endpoint: Endpoint, version: StoreVersion) -> None:
        """Record what a version of an endpoint's entry says."""
        self.warm_up.record_entry(
            endpoint.name,
            endpoint.record.service,
            left_s=endpoint.record.cold_left_s,
            version=version,
            now=self.limits.clock(),
        )
        self.apply(endpoint.name)

    def record_answer(self, endpoint: str, left_s: float) -> bool:
        """Record that an answer says that its endpoint is cold; return if it's new."""
        was_cold = endpoint in self.cold_since
        now = self.limits.clock()
        self.warm_up.record_answer(endpoint, left_s=left_s, now=now)
        self.apply(endpoint)
        return not was_cold and endpoint in self.cold_since

    def record_told(self, endpoint: str, left_s: float) -> None:
        """Record that another gateway takes an endpoint for cold."""
        if self.limits.is_warming_up(endpoint):
            return
        now = self.limits.clock()
        self.warm_up.record_told(endpoint, left_s=left_s, now=now)
        self.apply(endpoint)

    def restart_domain(self, domain: str) -> None:
        """Take the endpoints of a failure domain for cold that is evacuated no more."""
        known = self.endpoints.by_name.values()
        self.restart(
            each.name for each in known if each.record.failure_domain == domain
        )

    def restart(self, endpoints: Iterable[str]) -> None:
        """Take endpoints for cold that may have become so unnoticed.

        That is so for those of a failure domain whose evacuation has ended.
        """
        names = list(endpoints)
        self.warm_up.restart(names, self.limits.clock())
        self.apply_all(names)

    def update(self) -> None:
        """End warm-ups whose time has passed; apply how many gateways are heard now."""
        self.apply_all(list(self.cold_since))

    def apply(self, endpoint: str) -> None:
        """Let the limit of an endpoint be what its warm-up permits now."""
        self.apply_all([endpoint])

    def apply_all(self, endpoints: Iterable[str]) -> None:
        """Let the limits of some endpoints be what their warm-ups permit now.

        The part of the gateways that is heard is counted once, and only if any of the
        endpoints is cold: that looks at every gateway of the fleet.
        """
        now = self.limits.clock()
        reach: float | None = None
        for endpoint in endpoints:
            limit = self.warm_up.cold_limit(endpoint, now)
            if limit is None:
                self.limits.end_warm_up(endpoint)
                continue
            if reach is None:
                reach = self.reach()
            self.limits.set_warm_up(endpoint, limit.per_s * reach, limit.until)
            self.record_cold(endpoint, limit, now)

    def record_cold(self, endpoint: str, limit: ColdLimit, now: float) -> None:
        """Record and log that an endpoint has become cold."""
        if endpoint in self.cold_since:
            return
        self.cold_since[endpoint] = now
        self.program.events.emit(
            Event.ENDPOINT_COLD,
            endpoint=endpoint,
            per_s=f"{limit.per_s:.3g}",
            for_ms=int((limit.until - now) * MS_PER_S),
            known=int(not self.warm_up.is_unknown(endpoint)),
        )

    def handle_warm(self, endpoint: str, per_s: float) -> None:
        """Log the end of a warm-up."""
        since = self.cold_since.pop(endpoint, None)
        if since is not None:
            self.program.events.emit(
                Event.ENDPOINT_WARM,
                endpoint=endpoint,
                per_s=f"{per_s:.3g}",
                cold_ms=int((self.limits.clock() - since) * MS_PER_S),
            )

    def left_ms(self, endpoint: str) -> int:
        """Return for how long an endpoint is cold by what this gateway itself knows."""
        return int(self.warm_up.own_left_s(endpoint, self.limits.clock()) * MS_PER_S)

    def count(self) -> int:
        """Return how many endpoints are cold."""
        self.update()
        return len(self.cold_since)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the warm-up of an endpoint that is leaving."""
        self.warm_up.forget(endpoint.name)
        self.cold_since.pop(endpoint.name, None)
