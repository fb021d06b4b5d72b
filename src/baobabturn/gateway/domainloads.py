"""Exchanges aggregates between the failure domains of a large fleet.

In a large fleet a gateway learns of single reservations only from those of its own
failure domain.  Of each other domain it gets an aggregate once in a while: the load
of its gateways on each engine, and some addresses for callers.  The domain's watcher
sends it to the watchers of the other domains, which forward it to their gateways.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import attrs

from baobabturn.core.program import Program
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.watchers import Watchers
from baobabturn.wire.gatewaymessages import DomainLimit, DomainLoad

SEND_INTERVAL_S = 1.0
SEND_JITTER_RATIO = 0.1
# How many addresses for callers an aggregate carries at most.
MAX_CALLER_ADDRESSES = 16


class DomainLoads:
    """Sends the own domain's aggregate, if this gateway watches; applies the others.

    ``tick_listeners`` are called before each time to send, at every gateway,
    ``load_listeners`` with each aggregate of another domain.  ``limits`` returns what
    is known here of endpoints that name a limit.
    """

    def __init__(
        self, *, program: Program, peers: Peers, pools: EnginePools, watchers: Watchers
    ):
        self.program = program
        self.peers = peers
        self.table = peers.table
        self.pools = pools
        self.watchers = watchers
        self.send_listeners: list[Callable[[], None]] = []
        self.tick_listeners: list[Callable[[], None]] = []
        self.load_listeners: list[Callable[[DomainLoad], None]] = []
        self.limits: Callable[[], list[DomainLimit]] = list
        peers.handlers[DomainLoad] = self.handle_load

    async def run(self) -> None:
        """Send the aggregate at intervals for as long as the process runs."""
        while True:
            await asyncio.sleep(
                SEND_INTERVAL_S
                * random.uniform(1 - SEND_JITTER_RATIO, 1 + SEND_JITTER_RATIO)
            )
            self.tick()

    def tick(self) -> None:
        """Drop old aggregates and send the own one, if this gateway watches."""
        self.expire()
        for listener in self.tick_listeners:
            listener()
        if self.table.is_large_fleet() and self.watchers.is_watcher():
            self.send()

    def send(self) -> None:
        """Send the own domain's aggregate to the watchers of the other domains."""
        load = self.own_load()
        for domain in self.table.far_domains():
            self.peers.send_message(load, self.watchers.contacts(domain))
        for listener in self.send_listeners:
            listener()

    def own_load(self) -> DomainLoad:
        """Return the aggregate of the own domain."""
        callers = self.near_callers()
        record = self.table.record
        return DomainLoad(
            node=record.name,
            failure_domain=record.failure_domain,
            stamp=self.program.clock.now(),
            serving=len(callers),
            callers=random.sample(callers, min(len(callers), MAX_CALLER_ADDRESSES)),
            engines=self.pools.own_domain_load(),
            limits=self.limits(),
        )

    def near_callers(self) -> list[str]:
        """Return the callers' addresses of the near gateways that are serving.

        Those that can't reach a service are left out unless no other is left.
        """
        serving = [
            peer for peer in self.table.near_listed() if peer.serving and peer.callers
        ]
        callers = [peer.callers for peer in serving]
        with_paths = [peer.callers for peer in serving if not peer.unreachable]
        if self.peers.serving():
            callers.append(self.table.record.callers)
            if not self.peers.unreachable():
                with_paths.append(self.table.record.callers)
        return with_paths or callers

    def handle_load(self, load: DomainLoad, author: Peer) -> None:
        """Apply another domain's aggregate and forward it within this domain."""
        if load.failure_domain == self.table.record.failure_domain:
            return
        if not self.watchers.record_load(load):
            return
        self.pools.apply_domain_load(load.failure_domain, load.engines)
        for listener in self.load_listeners:
            listener(load)
        if not load.forwarded:
            self.forward(load)

    def forward(self, load: DomainLoad) -> None:
        """Send an aggregate on to all near gateways, or to the watcher that does.

        An author that doesn't know this domain's watcher sends to other gateways.
        """
        if self.watchers.is_watcher():
            copy = attrs.evolve(load, forwarded=True)
            self.peers.send_message(copy, self.table.near_alive())
            return
        own_domain = self.table.record.failure_domain
        self.peers.send_message(load, self.watchers.contacts(own_domain))

    def expire(self) -> None:
        """Drop the aggregates of domains that have sent none for a while."""
        for domain in self.watchers.drop_expired():
            self.pools.apply_domain_load(domain, [])

    def far_serving(self) -> int:
        """Return how many gateways of the other domains callers may be sent to."""
        return sum(load.serving for load in self.far_loads())

    def far_loads(self) -> list[DomainLoad]:
        """Return the newest aggregate of each other domain."""
        return [received.load for received in self.watchers.received.values()]
