"""Counts how many requests would go to endpoints that name a limit, and where.

In a large fleet the failure domains divide a limit by their requests of the last
seconds, so that it is used wherever these come.  Each gateway tells its near ones what
it would have sent; a domain's sum goes to the others with its aggregate.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from baobabturn.wire.gatewaymessages import DomainLoad

# After this time a request counts half.
HALF_LIFE_S = 1.0
# What another gateway has told counts for this long.
NEWS_EXPIRY_S = 3.0
# By then the demand of all failure domains is known after a limit was first named.
EXCHANGE_TIME_S = 2.5
# This part of a limit is divided by numbers of gateways, for those whose first requests
# the others don't know of yet.
EVEN_RATIO = 0.05
# A smaller demand is none.
MIN_DEMAND = 0.05


@attrs.define(kw_only=True)
class DecayingCount:
    """A count whose older parts count less, as of a monotonic time."""

    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the count at a time."""
        return self.value * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def add(self, now: float) -> None:
        """Count one more."""
        self.value, self.at = self.read(now) + 1, now


class LimitDemand:
    """The demand for limited endpoints at this gateway, the near ones and far domains.

    ``far_loads`` returns the newest aggregates of the other failure domains of a large
    fleet, ``near_count`` the number of near gateways with this one.
    """

    def __init__(
        self,
        *,
        far_loads: Callable[[], list[DomainLoad]],
        near_count: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.far_loads = far_loads
        self.near_count = near_count
        self.clock = clock
        self.own: dict[str, DecayingCount] = {}
        self.near: dict[str, dict[str, DecayingCount]] = {}

    def record(self, endpoint: str) -> None:
        """Record a request that might go to an endpoint if its limit permits."""
        self.own.setdefault(endpoint, DecayingCount()).add(self.clock())

    def record_near(self, endpoint: str, gateway: str, requests: float) -> None:
        """Record what a near gateway would have sent to an endpoint."""
        count = DecayingCount(value=requests, at=self.clock())
        self.near.setdefault(endpoint, {})[gateway] = count

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self.own.pop(endpoint, None)
        self.near.pop(endpoint, None)

    def own_requests(self, endpoint: str) -> float:
        """Return how many requests this gateway would have sent lately."""
        count = self.own.get(endpoint)
        return count.read(self.clock()) if count is not None else 0.0

    def domain_requests(self, endpoint: str) -> float:
        """Return how many requests this and the near gateways would have sent."""
        now = self.clock()
        near = self.near.get(endpoint, {}).values()
        recent = [each.read(now) for each in near if now - each.at < NEWS_EXPIRY_S]
        return self.own_requests(endpoint) + sum(recent)

    def far_requests(self, endpoint: str) -> float:
        """Return how many requests the other failure domains would have sent."""
        return sum(
            limit.requests
            for load in self.far_loads()
            for limit in load.limits
            if limit.endpoint == endpoint
        )

    def even_share(self) -> float:
        """Return the part of the gateways that are near, this one counted."""
        near = self.near_count()
        return near / (near + sum(load.serving for load in self.far_loads()))

    def share(self, endpoint: str, known_since: float) -> float:
        """Return the part of a limit that this failure domain may use.

        It goes by the numbers of gateways until the domains know of one another's
        requests.
        """
        if not self.far_loads():
            return 1.0
        if self.clock() - known_since < EXCHANGE_TIME_S:
            return self.even_share()
        far = self.far_requests(endpoint)
        if far < MIN_DEMAND:
            return 1.0
        own = self.domain_requests(endpoint)
        by_demand = (1 - EVEN_RATIO) * own / (own + far)
        return by_demand + EVEN_RATIO * self.even_share()
