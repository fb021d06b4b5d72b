"""Exchanges which endpoints are brittle, and which requests they have refused.

What an endpoint bears is for all gateways together, so each refusal by a brittle one is
told to the near gateways at once; there are only a few a second.  In a large fleet each
failure domain uses its part of the bound.
"""

from __future__ import annotations

from collections.abc import Callable

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.scheduler.brittle import BrittleEndpoints
from baobabturn.wire.gatewaymessages import BrittleEndpoint, BrittleNews

# Endpoints in one datagram.
MAX_ENDPOINTS_PER_MESSAGE = 32


class BrittleExchange:
    """Keeps what brittle endpoints bear in step with the other gateways."""

    def __init__(
        self,
        *,
        program: Program,
        peers: Peers,
        share: Callable[[], float],
        endpoints: Endpoints,
    ):
        self.program = program
        self.peers = peers
        self.endpoints = endpoints
        self.known = BrittleEndpoints(share=share)
        peers.handlers[BrittleNews] = self.handle_news
        peers.introduction_listeners.append(self.introduce)
        endpoints.leaving_listeners.append(self.forget)

    def record_answer(
        self, endpoint: Endpoint, refusals_per_s: float | None, *, refused: bool
    ) -> None:
        """Record what an answer of an endpoint says; None if it isn't brittle.

        The other endpoints of its service that haven't said anything yet count as
        brittle too, as they mostly are so together.
        """
        if refusals_per_s is None and not self.known.is_brittle(endpoint.name):
            return
        stamp = self.program.clock.now()
        changed = self.known.set_bound(endpoint.name, refusals_per_s, stamp=stamp)
        if changed:
            self.log(endpoint.name)
        if changed and refusals_per_s is not None:
            self.assume_siblings(endpoint, refusals_per_s)
        is_refusal = refused and refusals_per_s is not None
        if is_refusal:
            self.known.record_refusal(endpoint.name)
        if changed or is_refusal:
            item = self.item(endpoint.name, refused=is_refusal)
            self.send(self.peers.table.near_alive(), [item])

    def assume_siblings(self, endpoint: Endpoint, refusals_per_s: float) -> None:
        """Let the endpoints of a service count as brittle that nothing is known of."""
        for sibling in self.endpoints.usable(endpoint.record.service):
            if sibling.name not in self.known.by_endpoint:
                self.known.set_bound(sibling.name, refusals_per_s, stamp=0)

    def is_brittle(self, endpoint: str) -> bool:
        """Return whether an endpoint is brittle, as far as is known."""
        return self.known.is_brittle(endpoint)

    def delay_s(self, endpoint: str) -> float:
        """Return how long a request to an endpoint has to wait, 0 for none."""
        return self.known.delay_s(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Forget an endpoint that is leaving."""
        self.known.forget(endpoint.name)

    def introduce(self, peers: list[Peer]) -> None:
        """Send gateways that may know nothing all brittle endpoints."""
        items = [
            self.item(name)
            for name in self.known.by_endpoint
            if self.known.is_brittle(name)
        ]
        for start in range(0, len(items), MAX_ENDPOINTS_PER_MESSAGE):
            self.send(peers, items[start : start + MAX_ENDPOINTS_PER_MESSAGE])

    def item(self, endpoint: str, *, refused: bool = False) -> BrittleEndpoint:
        """Return what is known of an endpoint."""
        known = self.known.by_endpoint[endpoint]
        return BrittleEndpoint(
            endpoint=endpoint,
            brittle=known.refusals_per_s is not None,
            refusals_per_s=known.refusals_per_s or 0.0,
            stamp=known.stamp,
            refused=refused,
        )

    def send(self, peers: list[Peer], items: list[BrittleEndpoint]) -> None:
        """Send gateways what is known of some endpoints."""
        news = BrittleNews(node=self.peers.record.name, items=items)
        self.peers.send_message(news, peers)

    def handle_news(self, news: BrittleNews, peer: Peer) -> None:
        """Add another gateway's news."""
        for item in news.items:
            endpoint = self.endpoints.by_name.get(item.endpoint)
            if item.endpoint in self.endpoints.by_name:
                self.add(item, endpoint)

    def add(self, item: BrittleEndpoint, endpoint: Endpoint | None) -> None:
        """Add what another gateway knows of an endpoint."""
        bound = item.refusals_per_s if item.brittle else None
        if self.known.set_bound(item.endpoint, bound, stamp=item.stamp):
            self.log(item.endpoint)
            if endpoint is not None and bound is not None:
                self.assume_siblings(endpoint, bound)
        if item.refused:
            self.known.record_refusal(item.endpoint)

    def log(self, endpoint: str) -> None:
        """Log that an endpoint is brittle, or that it isn't any more."""
        bound = self.known.bound(endpoint)
        if bound is None:
            self.program.events.emit(Event.ENDPOINT_NOT_BRITTLE, endpoint=endpoint)
            return
        self.program.events.emit(
            Event.ENDPOINT_BRITTLE, endpoint=endpoint, refusals_per_s=f"{bound:.3g}"
        )
