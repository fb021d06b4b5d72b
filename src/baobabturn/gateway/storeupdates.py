"""Shares what a few gateways read from the platform's store with all others.

In each failure domain one gateway, the watcher, watches the store and sends changes
to the others of its domain at once.  Each of these asks it, and the watcher of one
other domain, twice a second for the versions that it has.  An answer confirms that
nothing newer existed when it was asked for, less the age that the answer states,
and brings the changes that the asking gateway missed.

A gateway without a confirmation for a while watches the store itself.  A watcher
that the store doesn't answer asks the watchers of other domains.
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
ASK_INTERVAL_S = 0.5
# Without a confirmation for this long a gateway watches the store itself.
CONFIRMATION_TIMEOUT_S = 1.3
# Larger updates don't fit into a datagram; receivers list the store instead.
MAX_UPDATE_BYTES = 48_000
MAX_VALUE_BYTES = 8_000_000
# Limits for the updates of one kind that are kept for gateways that missed them.
MAX_KEPT_UPDATES = 64
MAX_KEPT_BYTES = 262_144
# How many watchers of other domains are asked: usually, and by a watcher that the
# store doesn't answer.
FAR_WATCHER_COUNT, FAR_WATCHER_COUNT_CUT_OFF = 1, 2
# For this long after an outage a watcher's updates say that the store has returned.
OUTAGE_RECOVERY_S = 2.0
MAX_AGE_MS = 3_600_000


class StoreUpdates:
    """Decides who watches the store; exchanges updates and confirmations."""

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
        """Return whether this gateway should watch the store."""
        return (
            self.is_watcher()
            or boot_time_s() - self.confirmed_at > CONFIRMATION_TIMEOUT_S
        )

    def is_watcher(self) -> bool:
        """Return whether this gateway is the watcher of its failure domain."""
        record = self.peers.record
        return self.watcher_of(record.failure_domain) == record.name

    def watcher_of(self, domain: str) -> str:
        """Return the name of a domain's watcher, empty if no gateway is alive there.

        All gateways choose the same one by rendezvous hashing.
        """
        record = self.peers.record
        names = [
            peer.name for peer in self.peers.alive() if peer.failure_domain == domain
        ]
        if record.failure_domain == domain:
            names.append(record.name)
        return max(names, key=lambda name: rank(domain, name), default="")

    def watchers_to_ask(self) -> list[Peer]:
        """Return the watchers of this domain and of one other, two if cut off."""
        own = self.peers.record.failure_domain
        domains = {peer.failure_domain for peer in self.peers.alive()} - {own}
        far = sorted(domains, key=lambda domain: rank(own, domain))
        count = FAR_WATCHER_COUNT_CUT_OFF if self.is_cut_off() else FAR_WATCHER_COUNT
        names = [self.watcher_of(domain) for domain in (own, *far[:count])]
        watchers = [self.peers.peers.get(name) for name in names]
        return [peer for peer in watchers if peer is not None]

    def is_cut_off(self) -> bool:
        """Return whether the store doesn't answer this gateway's own calls."""
        if self.contact.failing_since:
            return True
        waits = [mirror.wait_s for mirror in self.mirrors.values()]
        return self.contact.age_s() > min(waits) + ASK_INTERVAL_S

    async def run(self) -> None:
        """Ask watchers at intervals unless this gateway is one and has the store."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            if not self.is_watcher() or self.is_cut_off():
                self.ask()

    def ask(self) -> None:
        """Ask watchers for a confirmation and for the updates missed here."""
        known = [
            StoreState(kind=mirror.kind, version=mirror.complete_version)
            for mirror in self.mirrors.values()
        ]
        stamp = int(boot_time_s() * US)
        ask = StoreAsk(node=self.peers.record.name, stamp=stamp, known=known)
        self.peers.send_body(ask, self.watchers_to_ask())

    def publish(self, mirror: Mirror, before: int, result: Changes) -> None:
        """Send the changes of a watch to the other gateways of this domain.

        Changes too large for a datagram are replaced by an update without changes
        whose ``before`` is its own version, which makes the others list the store.
        """
        if not self.is_watcher():
            return
        update = StoreNews(
            node=self.peers.record.name,
            kind=mirror.kind,
            before=before,
            version=mirror.last_change_version,
            changes=[encode_change(change) for change in result.changes],
            returning=self.is_after_outage(),
        )
        if value_bytes(update) > MAX_UPDATE_BYTES:
            update.changes = []
            update.before = update.version
        self.keep_update(update)
        domain = self.peers.record.failure_domain
        near = [peer for peer in self.peers.alive() if peer.failure_domain == domain]
        self.peers.send_body(update, near)

    def is_after_outage(self) -> bool:
        """Return whether an outage of the store has just ended."""
        return boot_time_s() - self.contact.outage_ended_at < OUTAGE_RECOVERY_S

    def keep_update(self, update: StoreNews) -> None:
        """Keep an update for gateways that missed it; drop the oldest over a limit."""
        kept = self.kept.setdefault(update.kind, deque(maxlen=MAX_KEPT_UPDATES))
        kept.append(update)
        while sum(value_bytes(item) for item in kept) > MAX_KEPT_BYTES:
            kept.popleft()

    def missed_updates(self, known: StoreState) -> list[StoreNews]:
        """Return the kept updates since a version, none if they leave a gap."""
        newer = [
            update
            for update in self.kept.get(known.kind, ())
            if update.version > known.version
        ]
        complete = bool(newer) and newer[0].before <= known.version
        return newer if complete else []

    def handle_update(self, body: StoreNews, peer: Peer) -> None:
        """Apply a watcher's update; list the store if an earlier one was missed."""
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
        """Send missed updates and a confirmation, if this gateway watches the store."""
        if not self.should_watch():
            return
        for known in body.known:
            for update in self.missed_updates(known):
                copy = attrs.evolve(
                    update,
                    node=self.peers.record.name,
                    returning=self.is_after_outage(),
                )
                self.peers.send_body(copy, [peer])
        now = boot_time_s()
        items = [
            StoreState(
                kind=mirror.kind,
                version=mirror.last_change_version,
                age_ms=min(MAX_AGE_MS, int((now - mirror.confirmed_at) * MS) + 1),
            )
            for mirror in self.mirrors.values()
            if mirror.confirmed_at
        ]
        confirmation = StoreVouch(
            node=self.peers.record.name, stamp=body.stamp, items=items
        )
        self.peers.send_body(confirmation, [peer])

    def handle_confirmation(self, body: StoreVouch, peer: Peer) -> None:
        """Apply a watcher's confirmation.

        Ages count from the time at which this gateway asked, which is certainly not
        after the watcher's answer.
        """
        asked_at = body.stamp / US
        is_recent = False
        for item in body.items:
            mirror = self.mirrors.get(item.kind)
            if mirror is None:
                continue
            if item.version > mirror.complete_version:
                mirror.invalidate()
            else:
                at = asked_at - item.age_ms / MS
                mirror.confirm(at)
                is_recent = (
                    is_recent
                    or boot_time_s() - at < CONFIRMATION_TIMEOUT_S + ASK_INTERVAL_S
                )
        if is_recent:
            self.confirmed_at = max(self.confirmed_at, asked_at)


def rank(domain: str, name: str) -> int:
    """Return the rank of a name in the rendezvous hashing for a domain."""
    return xxhash.xxh64_intdigest(f"{domain}/{name}".encode())


def value_bytes(update: StoreNews) -> int:
    """Return the size of an update's compressed values in bytes."""
    return sum(len(change.value) for change in update.changes)


def encode_change(change: Change) -> StoreChange:
    """Return a change as it is sent; the value of a deletion is empty."""
    value = b""
    if change.value is not None:
        value = zlib.compress(json.dumps(change.value).encode())
    return StoreChange(name=change.name, version=change.version, value=value)


def decode_change(change: StoreChange) -> Change:
    """Return a received change; the value is None for a deletion."""
    value = None
    if change.value:
        data = zlib.decompressobj().decompress(change.value, MAX_VALUE_BYTES)
        value = json.loads(data)
    return Change(name=change.name, version=change.version, value=value)
