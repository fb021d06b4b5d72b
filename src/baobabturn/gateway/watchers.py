"""Elects the gateways that watch the platform's store and share what they read.

Each failure domain has a watcher, and one of the watchers is the root: it alone
watches the store as long as it can, and the other watchers ask it.  All gateways
choose the same ones, by rendezvous hashing over those that are alive.  In a large
fleet a gateway hears only those of its own failure domain.  It knows the watcher of
another domain by the aggregate that this one sends, and before the first of them
tries the likely ones.
"""

from __future__ import annotations

import functools

import attrs
import xxhash

from baobabturn.gateway.peer import NEVER, Peer
from baobabturn.gateway.peertable import PeerTable
from baobabturn.wire.gatewaymessages import DomainLoad

# An aggregate, and the watcher that wrote it, count for this long.
LOAD_EXPIRY_S = 4.0
# An election holds for this long.
ELECTION_INTERVAL_S = 0.1
# Stands for the fleet in the rendezvous hashing that elects the root.
ROOT_KEY = "root"
# Among how many gateways a watcher that isn't known is looked for at a time.
LIKELY_WATCHER_COUNT = 3


@attrs.frozen(kw_only=True)
class ReceivedLoad:
    """A domain's newest aggregate, and the monotonic time at which it came."""

    load: DomainLoad
    received_at: float


class Watchers:
    """Names the watcher of each failure domain.

    ``received`` holds the newest aggregate of each other domain.
    """

    def __init__(self, *, table: PeerTable):
        self.table = table
        self.elected: dict[str, str] = {}
        self.elected_at = NEVER
        self.received: dict[str, ReceivedLoad] = {}
        self.attempts: dict[str, int] = {}

    def watcher_of(self, domain: str) -> str:
        """Return the name of a domain's watcher, empty if it isn't known."""
        return self.election().get(domain, "")

    def election(self) -> dict[str, str]:
        """Return the watcher of each failure domain whose watcher is known."""
        if self.table.clock() - self.elected_at >= ELECTION_INTERVAL_S:
            self.elected = self.elect()
            self.elected_at = self.table.clock()
        return self.elected

    def elect(self) -> dict[str, str]:
        """Elect the watchers among the gateways that live.

        In a large fleet, those of other domains are taken from their aggregates.
        """
        record = self.table.record
        elected = {record.failure_domain: record.name}
        for peer in self.table.near_alive():
            domain = peer.failure_domain
            best = elected.get(domain)
            if best is None or rank(domain, peer.name) > rank(domain, best):
                elected[domain] = peer.name
        if self.table.is_large_fleet():
            for domain, received in self.received.items():
                if self.is_recent(received):
                    elected.setdefault(domain, received.load.node)
        return elected

    def is_watcher(self) -> bool:
        """Return whether this gateway is the watcher of its failure domain."""
        record = self.table.record
        return self.watcher_of(record.failure_domain) == record.name

    def root_domain(self) -> str:
        """Return the failure domain whose watcher is the root."""
        return max(self.election(), key=lambda domain: rank(ROOT_KEY, domain))

    def is_root(self) -> bool:
        """Return whether this gateway is the root."""
        return self.root() == self.table.record.name

    def root(self) -> str:
        """Return the name of the root."""
        return self.watcher_of(self.root_domain())

    def record_load(self, load: DomainLoad) -> bool:
        """Keep a domain's aggregate; return whether it is newer than the one before."""
        known = self.received.get(load.failure_domain)
        if known is not None and load.stamp <= known.load.stamp:
            return False
        self.received[load.failure_domain] = ReceivedLoad(
            load=load, received_at=self.table.clock()
        )
        return True

    def is_recent(self, received: ReceivedLoad) -> bool:
        """Return whether an aggregate is recent enough to be acted on."""
        return self.table.clock() - received.received_at < LOAD_EXPIRY_S

    def drop_expired(self) -> list[str]:
        """Drop the aggregates that aren't recent; return their failure domains."""
        expired = [
            domain
            for domain, received in self.received.items()
            if not self.is_recent(received)
        ]
        for domain in expired:
            del self.received[domain]
        return expired

    def contacts(self, domain: str) -> list[Peer]:
        """Return the gateways to send a message to that is meant for a watcher.

        Without a known watcher of another domain in a large fleet, return a few
        gateways, others at each call, the likeliest first.
        """
        name = self.watcher_of(domain)
        if name:
            peer = self.table.peers.get(name)
            return [peer] if peer is not None else []
        if not self.table.is_large_fleet():
            return []
        ranked = sorted(
            (p for p in self.table.peers.values() if p.failure_domain == domain),
            key=lambda peer: rank(domain, peer.name),
            reverse=True,
        )
        start = self.attempts.get(domain, 0)
        self.attempts[domain] = (start + LIKELY_WATCHER_COUNT) % max(1, len(ranked))
        return [*ranked[start:], *ranked[:start]][:LIKELY_WATCHER_COUNT]


@functools.lru_cache(maxsize=4096)
def rank(domain: str, name: str) -> int:
    """Return the rank of a name in the rendezvous hashing for a domain."""
    return xxhash.xxh64_intdigest(f"{domain}/{name}".encode())
