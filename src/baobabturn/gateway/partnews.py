"""Exchanges what gateways know of parts of prompts that may crash engines.

Prompts with such a part come at any gateway, so no one sees all crashes.  A gateway
sends what it learns to its near gateways at once, and twice more as datagrams get
lost.  In a large fleet the watchers of the other failure domains get it as well, and
once more with each aggregate; they pass on what is new.  A gateway that starts
gets all with the introductions of the others; one that was paused or cut off asks.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.watchers import Watchers
from baobabturn.quarantine.ledger import CrashLedger
from baobabturn.wire.gatewaymessages import PartNews

# News are sent again after these times.
REPEAT_DELAYS_S = (0.4, 1.2)
# Parts in one datagram, and in all those of one introduction.
MAX_PARTS_PER_MESSAGE = 8
MAX_PARTS_PER_INTRODUCTION = 64
# How many near gateways are asked after a pause or cut.
ASKED_PEER_COUNT = 3

Schedule = Callable[[float, Callable[[], None]], object]


def call_later(delay_s: float, callback: Callable[[], None]) -> object:
    """Call a function after a delay, in the running event loop."""
    return asyncio.get_running_loop().call_later(delay_s, callback)


class PartNewsExchange:
    """Sends this gateway's news of parts to the others, and adds theirs."""

    def __init__(
        self,
        *,
        peers: Peers,
        watchers: Watchers,
        ledger: CrashLedger,
        schedule: Schedule = call_later,
    ):
        self.peers = peers
        self.table = peers.table
        self.watchers = watchers
        self.ledger = ledger
        self.schedule = schedule
        peers.handlers[PartNews] = self.handle_news
        peers.introduction_listeners.append(self.introduce)
        peers.return_listeners.append(self.ask)

    def publish(self, parts: list[str]) -> None:
        """Send what is known of some parts to all gateways, several times."""
        if not parts:
            return
        self.send_everywhere(parts)
        for delay_s in REPEAT_DELAYS_S:
            self.schedule(delay_s, lambda: self.send_everywhere(parts))

    def send_everywhere(self, parts: list[str]) -> None:
        """Send what is known of some parts to the near gateways and other domains."""
        self.send(parts, self.table.near_alive())
        self.send_to_far_domains(parts)

    def send_to_far_domains(self, parts: list[str]) -> None:
        """Send what is known of some parts to the other domains of a large fleet."""
        if self.table.is_large_fleet():
            for domain in self.table.far_domains():
                self.send(parts, self.watchers.contacts(domain))

    def send_active_parts(self) -> None:
        """Send all that counts to the other domains; called by a domain's watcher."""
        parts = self.ledger.active_parts()[:MAX_PARTS_PER_INTRODUCTION]
        if parts:
            self.send_to_far_domains(parts)

    def introduce(self, peers: list[Peer]) -> None:
        """Send gateways that may know nothing all that counts."""
        parts = self.ledger.active_parts()[:MAX_PARTS_PER_INTRODUCTION]
        self.send(parts, peers)

    def ask(self) -> None:
        """Ask a few near gateways for all that counts."""
        near = self.table.near_alive()
        asked = random.sample(near, min(len(near), ASKED_PEER_COUNT))
        question = PartNews(node=self.peers.record.name, wanted=True)
        self.peers.send_message(question, asked)

    def send(
        self, parts: Iterable[str], peers: list[Peer], *, forwarded: bool = False
    ) -> None:
        """Send what is known of some parts to gateways."""
        items = self.ledger.evidence(parts)
        for start in range(0, len(items), MAX_PARTS_PER_MESSAGE):
            news = PartNews(
                node=self.peers.record.name,
                items=items[start : start + MAX_PARTS_PER_MESSAGE],
                forwarded=forwarded,
            )
            self.peers.send_message(news, peers)

    def handle_news(self, news: PartNews, peer: Peer) -> None:
        """Add another gateway's news, and pass on those of another domain."""
        if news.wanted:
            self.introduce([peer])
        changed = self.ledger.merge(news.items)
        own_domain = self.table.record.failure_domain
        is_far = self.table.is_large_fleet() and peer.failure_domain != own_domain
        if changed and is_far and not news.forwarded:
            self.forward(changed)

    def forward(self, parts: list[str]) -> None:
        """Send what another domain knows to all near gateways, several times."""
        send = lambda: self.send(parts, self.table.near_alive(), forwarded=True)
        send()
        for delay_s in REPEAT_DELAYS_S:
            self.schedule(delay_s, send)
