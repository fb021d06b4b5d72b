"""Spreads what a few gateways read from the platform's store to the others.

In each failure domain one gateway watches the store.  It passes changes on to the
others of its domain at once.  They ask it, and a watcher of another domain, twice
a second what is known there; an answer proves that nothing newer existed when they
asked, less the age that it states, and brings the changes that they missed.  A
gateway that hears of no watcher for a while watches the store itself, and a watcher
that the store doesn't answer asks those of other domains.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections import deque

import attrs
import xxhash

from baobabturn.gateway.mirror import Mirror, StoreContact, boot_time_s
from baobabturn.gateway.peers import Peer, Peers
from baobabturn.store.interface import Change, Changes
from baobabturn.wire.messages import (
    StoreAsk,
    StoreChange,
    StoreNews,
    StoreState,
    StoreVouch,
)

US = 1_000_000
MS = 1000
ASK_S = 0.5
# Without an answer for this long a gateway watches the store itself.
ALONE_S = 1.3
# Larger news don't fit a datagram; they are read from the store instead.
NEWS_LIMIT_BYTES = 48_000
VALUE_LIMIT_BYTES = 8_000_000
# News that are kept for gateways which missed them, for each kind.
KEPT_LIMIT = 64
KEPT_LIMIT_BYTES = 262_144
# How many other domains' watchers are asked, and by a watcher without the store.
OTHERS, OTHERS_CUT_OFF = 1, 2
# How long after an outage the news of a watcher say so.
RETURN_S = 2.0
AGE_LIMIT_MS = 3_600_000


class StoreUpdates:
    """Who watches the store, and what watchers tell the others."""

    def __init__(self, *, peers: Peers, contact: StoreContact, mirrors: list[Mirror]):
        self.peers = peers
        self.contact = contact
        self.mirrors = {mirror.kind: mirror for mirror in mirrors}
        self.confirmed_at = 0.0
        self.kept: dict[str, deque[StoreNews]] = {}
        for mirror in mirrors:
            mirror.is_active = self.should_watch
            mirror.on_watch_changes = self.publish
        peers.handlers[StoreNews] = self.handle_update
        peers.handlers[StoreAsk] = self.handle_ask
        peers.handlers[StoreVouch] = self.handle_confirmation

    def should_watch(self) -> bool:
        """Return whether this gateway is to watch the store."""
        return self.is_watcher() or boot_time_s() - self.confirmed_at > ALONE_S

    def is_watcher(self) -> bool:
        """Return whether this gateway watches for its failure domain."""
        record = self.peers.record
        return self.watcher_of(record.failure_domain) == record.name

    def watcher_of(self, domain: str) -> str:
        """Return the gateway that watches for a domain, empty where none lives."""
        record = self.peers.record
        names = [
            peer.name for peer in self.peers.alive() if peer.failure_domain == domain
        ]
        if record.failure_domain == domain:
            names.append(record.name)
        return max(names, key=lambda name: rank(domain, name), default="")

    def watchers_to_ask(self) -> list[Peer]:
        """Return the watchers to ask: the own domain's and one of another."""
        own = self.peers.record.failure_domain
        domains = {peer.failure_domain for peer in self.peers.alive()} - {own}
        others = sorted(domains, key=lambda domain: rank(own, domain))
        count = OTHERS_CUT_OFF if self.is_cut_off() else OTHERS
        names = [self.watcher_of(domain) for domain in (own, *others[:count])]
        found = [self.peers.peers.get(name) for name in names]
        return [peer for peer in found if peer is not None]

    def is_cut_off(self) -> bool:
        """Return whether the store doesn't answer this gateway's own calls."""
        if self.contact.failing_since:
            return True
        waits = [mirror.wait_s for mirror in self.mirrors.values()]
        return self.contact.age_s() > min(waits) + ASK_S

    async def run(self) -> None:
        """Ask watchers for as long as the process runs."""
        while True:
            await asyncio.sleep(ASK_S)
            if not self.is_watcher() or self.is_cut_off():
                self.ask()

    def ask(self) -> None:
        """Ask watchers what is known, and for what was missed here."""
        known = [
            StoreState(kind=mirror.kind, version=mirror.complete_version)
            for mirror in self.mirrors.values()
        ]
        stamp = int(boot_time_s() * US)
        ask = StoreAsk(node=self.peers.record.name, stamp=stamp, known=known)
        self.peers.send_body(ask, self.watchers_to_ask())

    def publish(self, mirror: Mirror, before: int, found: Changes) -> None:
        """Tell the others of this domain what a watch has brought."""
        if not self.is_watcher():
            return
        news = StoreNews(
            node=self.peers.record.name,
            kind=mirror.kind,
            before=before,
            version=mirror.last_change_version,
            changes=[encode_change(change) for change in found.changes],
            returning=self.returning(),
        )
        if value_bytes(news) > NEWS_LIMIT_BYTES:
            news.changes = []
            news.before = news.version
        self.keep_update(news)
        domain = self.peers.record.failure_domain
        near = [peer for peer in self.peers.alive() if peer.failure_domain == domain]
        self.peers.send_body(news, near)

    def returning(self) -> bool:
        """Return whether the store has just come back from an outage."""
        return boot_time_s() - self.contact.outage_ended_at < RETURN_S

    def keep_update(self, news: StoreNews) -> None:
        """Keep news for gateways that miss them."""
        kept = self.kept.setdefault(news.kind, deque(maxlen=KEPT_LIMIT))
        kept.append(news)
        while sum(value_bytes(each) for each in kept) > KEPT_LIMIT_BYTES:
            kept.popleft()

    def missed_updates(self, known: StoreState) -> list[StoreNews]:
        """Return the kept news that bring an asker up to date, none if they can't."""
        newer = [
            news
            for news in self.kept.get(known.kind, ())
            if news.version > known.version
        ]
        whole = bool(newer) and newer[0].before <= known.version
        return newer if whole else []

    def handle_update(self, body: StoreNews, peer: Peer) -> None:
        """Take in news of a watcher; what was missed is read from the store."""
        mirror = self.mirrors.get(body.kind)
        if mirror is None:
            return
        if body.returning:
            self.contact.outage_ended_at = boot_time_s()
        if body.version <= mirror.last_change_version:
            return
        changes = [decode_change(change) for change in body.changes]
        if mirror.apply_update(body.before, body.version, changes):
            self.keep_update(body)
        else:
            mirror.invalidate()

    def handle_ask(self, body: StoreAsk, peer: Peer) -> None:
        """Tell an asker what is known here, if this gateway watches the store."""
        if not self.should_watch():
            return
        for known in body.known:
            for news in self.missed_updates(known):
                again = attrs.evolve(
                    news, node=self.peers.record.name, returning=self.returning()
                )
                self.peers.send_body(again, [peer])
        now = boot_time_s()
        items = [
            StoreState(
                kind=mirror.kind,
                version=mirror.last_change_version,
                age_ms=min(AGE_LIMIT_MS, int((now - mirror.confirmed_at) * MS) + 1),
            )
            for mirror in self.mirrors.values()
            if mirror.confirmed_at
        ]
        vouch = StoreVouch(node=self.peers.record.name, stamp=body.stamp, items=items)
        self.peers.send_body(vouch, [peer])

    def handle_confirmation(self, body: StoreVouch, peer: Peer) -> None:
        """Take in what a watcher knew at some time after it was asked."""
        asked = body.stamp / US
        fresh = False
        for item in body.items:
            mirror = self.mirrors.get(item.kind)
            if mirror is None:
                continue
            if item.version > mirror.complete_version:
                mirror.invalidate()
            else:
                at = asked - item.age_ms / MS
                mirror.confirm(at)
                fresh = fresh or boot_time_s() - at < ALONE_S + ASK_S
        if fresh:
            self.confirmed_at = max(self.confirmed_at, asked)


def rank(domain: str, name: str) -> int:
    """Return a name's place in the order of a domain."""
    return xxhash.xxh64_intdigest(f"{domain}/{name}".encode())


def value_bytes(news: StoreNews) -> int:
    """Return the bytes of the values in some news."""
    return sum(len(change.value) for change in news.changes)


def encode_change(change: Change) -> StoreChange:
    """Return a change as it travels."""
    value = b""
    if change.value is not None:
        value = zlib.compress(json.dumps(change.value).encode())
    return StoreChange(name=change.name, version=change.version, value=value)


def decode_change(change: StoreChange) -> Change:
    """Return a change that has travelled."""
    value = None
    if change.value:
        data = zlib.decompressobj().decompress(change.value, VALUE_LIMIT_BYTES)
        value = json.loads(data)
    return Change(name=change.name, version=change.version, value=value)
