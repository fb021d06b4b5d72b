"""Exchanges the rate limits of endpoints, and the requests sent to those.

A limit is what an endpoint names in its answers, or that of its warm-up.

A limit is for all gateways together, so each request to a limited endpoint is told to
the near gateways at once; they are at most a few a second, or there would be no need
of a limit.  In a large fleet each failure domain uses a part of the limit, by its
demand (``limitdemand.py``).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.brittlenews import BrittleExchange
from baobabturn.gateway.coldendpoints import ColdEndpoints
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.limitdemand import MIN_DEMAND, LimitDemand
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.scheduler.ratelimits import RateLimits
from baobabturn.wire.gatewaymessages import (
    DomainLimit,
    DomainLoad,
    EndpointLimit,
    LimitNews,
)

MS_PER_S = 1000
# Limits in one datagram.
MAX_LIMITS_PER_MESSAGE = 32
# The gateways that wait for the same turn take it at different times, on average so
# far apart.  In the 5 ms that the news of a request take to reach all others, one or
# two more of them send one.
SPREAD_S_PER_GATEWAY = 0.003
# A gateway that hasn't been heard for longer isn't cut off but gone.
GONE_SILENCE_S = 600.0


class LimitExchange:
    """Keeps the rate limits of endpoints in step with the other gateways.

    ``far_loads`` returns the aggregates of other failure domains in a large fleet.
    ``paused_until`` holds, by endpoint, until when one that refused wants no request of
    this gateway; that concerns no other.  ``lately_booked`` names the endpoints that
    this gateway has sent a request since the last exchange of demand.  ``brittle``
    bounds refusals, ``cold`` the rate of endpoints that warm up.
    """

    def __init__(
        self,
        *,
        program: Program,
        peers: Peers,
        far_loads: Callable[[], list[DomainLoad]],
        endpoints: Endpoints,
    ):
        self.program = program
        self.peers = peers
        self.endpoints = endpoints
        self.demand = LimitDemand(
            far_loads=lambda: far_loads() if peers.table.is_large_fleet() else [],
            near_count=lambda: 1 + len(peers.table.near_alive()),
        )
        self.limits = RateLimits(
            share=self.demand.share, group=peers.record.failure_domain
        )
        self.brittle = BrittleExchange(
            program=program,
            peers=peers,
            share=self.demand.even_share,
            endpoints=endpoints,
        )
        self.cold = ColdEndpoints(
            program=program,
            endpoints=endpoints,
            limits=self.limits,
            reach=self.reach,
        )
        self.lately_booked: set[str] = set()
        self.paused_until: dict[str, float] = {}
        peers.handlers[LimitNews] = self.handle_news
        peers.introduction_listeners.append(self.introduce)
        endpoints.leaving_listeners.append(self.forget)

    def record_demand(self, endpoints: Iterable[str]) -> None:
        """Record a request that may go to any of some endpoints."""
        for endpoint in endpoints:
            if self.limits.limited(endpoint) is not None:
                self.demand.record(endpoint)

    def limited_endpoints(self) -> set[str]:
        """Return the endpoints that may have a limit, or be paused or brittle."""
        limited = self.limits.schedules.keys() | self.paused_until.keys()
        return limited | self.brittle.known.by_endpoint.keys()

    def reach(self) -> float:
        """Return the part of all gateways that this one hears, itself included.

        Those that it doesn't hear may be cut off from it, and send as well.
        """
        table = self.peers.table
        peers = list(table.peers.values())
        heard = 1 + len(table.near_alive())
        if table.is_large_fleet():
            heard += sum(load.serving for load in self.demand.far_loads())
        else:
            peers = [each for each in peers if table.unheard_s(each) < GONE_SILENCE_S]
        return min(1.0, heard / (1 + len(peers)))

    def update_spread(self) -> None:
        """Spread the turns of the gateways that hear of one another's requests."""
        near = 1 + len(self.peers.table.near_alive())
        self.limits.spread_s = near * SPREAD_S_PER_GATEWAY

    def exchange_demand(self) -> None:
        """Tell the near gateways of a large fleet the demand here; update shares.

        With the debt of a request of the last second they learn of it if its own news
        got lost.  The other debts aren't repeated: shares differ a little from gateway
        to gateway, and the longest of all debts would leave a part of the limit unused.
        """
        self.update_spread()
        self.cold.update()
        self.limits.update_shares()
        if not self.peers.table.is_large_fleet():
            return
        items = [
            attrs.evolve(
                self.item(name, with_debt=name in self.lately_booked),
                demand=self.demand.own_requests(name),
            )
            for name in list(self.limits.schedules)
            if self.demand.own_requests(name) >= MIN_DEMAND
        ]
        self.lately_booked.clear()
        self.send_all(self.peers.table.near_alive(), items)

    def record_answer(self, endpoint: Endpoint, per_s: float | None) -> None:
        """Record the limit that an answer of an endpoint names, None for none."""
        if per_s is None and endpoint.name not in self.limits.schedules:
            return
        stamp = self.program.clock.now()
        if self.limits.set_limit(endpoint.name, per_s, stamp=stamp):
            self.log(endpoint.name)
            self.send(self.peers.table.near_alive(), [self.item(endpoint.name)])

    def record_cold(self, endpoint: Endpoint, left_s: float) -> None:
        """Record for how long an answer says that its endpoint is cold; tell others."""
        if self.endpoints.by_name.get(endpoint.name) is not endpoint:
            return
        if self.cold.record_answer(endpoint.name, left_s):
            self.send(self.peers.table.near_alive(), [self.item(endpoint.name)])

    def book(self, endpoint: str) -> None:
        """Book a request that is about to be sent, and tell the near gateways."""
        if self.limits.book(endpoint):
            self.lately_booked.add(endpoint)
            item = self.item(endpoint, is_request=True, with_debt=True)
            self.send(self.peers.table.near_alive(), [item])

    def delay_s(self, endpoint: str) -> float:
        """Return how long a request to an endpoint would have to wait, 0 for none."""
        return max(
            self.limits.delay_s(endpoint),
            self.pause_s(endpoint),
            self.brittle.delay_s(endpoint),
        )

    def pause(self, endpoint: Endpoint, seconds: float) -> None:
        """Send an endpoint no request for a while, as it has asked this gateway."""
        until = self.limits.clock() + seconds
        self.paused_until[endpoint.name] = max(
            until, self.paused_until.get(endpoint.name, until)
        )
        self.program.events.emit(
            Event.ENDPOINT_PAUSED, endpoint=endpoint.name, for_s=f"{seconds:.3g}"
        )

    def pause_s(self, endpoint: str) -> float:
        """Return for how long an endpoint wants no request, 0 if it takes them."""
        until = self.paused_until.get(endpoint)
        return 0.0 if until is None else max(0.0, until - self.limits.clock())

    def queue_delay_s(self, endpoints: list[str], waiting: int) -> float:
        """Return how long a request waits behind others, 0 if any has no limit."""
        closed_s = (
            max(self.pause_s(each), self.brittle.delay_s(each)) for each in endpoints
        )
        return max(
            self.limits.queue_delay_s(endpoints, waiting), min(closed_s, default=0.0)
        )

    def domain_limits(self) -> list[DomainLimit]:
        """Return what this failure domain knows of limits, for the other ones."""
        return [
            DomainLimit(
                endpoint=name,
                requests=self.demand.domain_requests(name),
                limited=schedule.per_s is not None,
                per_s=schedule.per_s or 0.0,
                stamp=schedule.stamp,
            )
            for name, schedule in self.limits.schedules.items()
        ]

    def handle_domain_load(self, load: DomainLoad) -> None:
        """Add what another failure domain knows of limits."""
        for item in load.limits:
            if item.endpoint in self.endpoints.by_name:
                self.set_limit(item)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the limit of an endpoint that is leaving."""
        self.limits.forget(endpoint.name)
        self.demand.forget(endpoint.name)
        self.paused_until.pop(endpoint.name, None)
        self.lately_booked.discard(endpoint.name)

    def introduce(self, peers: list[Peer]) -> None:
        """Send gateways that may know nothing all limits."""
        known = list(self.limits.schedules)
        names = [each for each in known if self.limits.limited(each)]
        self.send_all(peers, [self.item(name, with_debt=True) for name in names])

    def send_all(self, peers: list[Peer], items: list[EndpointLimit]) -> None:
        """Send gateways any number of limits."""
        for start in range(0, len(items), MAX_LIMITS_PER_MESSAGE):
            self.send(peers, items[start : start + MAX_LIMITS_PER_MESSAGE])

    def item(
        self, endpoint: str, *, is_request: bool = False, with_debt: bool = False
    ) -> EndpointLimit:
        """Return what is known of an endpoint's limit."""
        schedule = self.limits.schedules[endpoint]
        debt_s = self.limits.debt_s(endpoint) if with_debt else 0.0
        return EndpointLimit(
            endpoint=endpoint,
            limited=schedule.per_s is not None,
            per_s=schedule.per_s or 0.0,
            stamp=schedule.stamp,
            is_request=is_request,
            debt_ms=int(debt_s * MS_PER_S),
            cold_left_ms=self.cold.left_ms(endpoint),
        )

    def send(self, peers: list[Peer], items: list[EndpointLimit]) -> None:
        """Send gateways what is known of some limits."""
        news = LimitNews(node=self.peers.record.name, items=items)
        self.peers.send_message(news, peers)

    def handle_news(self, news: LimitNews, peer: Peer) -> None:
        """Add another gateway's news.

        Of an endpoint that isn't known here yet only the debt is kept.
        """
        for item in news.items:
            if item.endpoint not in self.endpoints.by_name:
                self.limits.add_debt(item.endpoint, item.debt_ms / MS_PER_S)
                continue
            self.add(item)
            if item.demand:
                self.demand.record_near(item.endpoint, peer.name, item.demand)

    def add(self, item: EndpointLimit) -> None:
        """Add what another gateway knows of a limit, and book the request it sends.

        With its debt, a gateway that has missed requests doesn't run ahead of others.
        An older peer says nothing of a warm-up, which is no reason to end one.
        """
        if item.cold_left_ms:
            self.cold.record_told(item.endpoint, item.cold_left_ms / MS_PER_S)
        self.set_limit(item)
        if item.is_request:
            self.limits.book(item.endpoint)
        self.limits.add_debt(item.endpoint, item.debt_ms / MS_PER_S)

    def set_limit(self, item: EndpointLimit | DomainLimit) -> None:
        """Set a limit that other gateways know, unless a newer answer is known here."""
        per_s = item.per_s if item.limited else None
        if self.limits.set_limit(item.endpoint, per_s, stamp=item.stamp):
            self.log(item.endpoint)

    def log(self, endpoint: str) -> None:
        """Log the limit of an endpoint, or its end."""
        per_s = self.limits.schedules[endpoint].per_s
        if per_s is None:
            self.program.events.emit(Event.ENDPOINT_UNLIMITED, endpoint=endpoint)
            return
        self.program.events.emit(
            Event.ENDPOINT_LIMITED, endpoint=endpoint, per_s=f"{per_s:.3g}"
        )
