"""Shares what a few gateways read from the platform's store with all others.

Each failure domain has a watcher, and one of the watchers is the root.  The root
watches the store and sends changes at once to its domain and to the other watchers,
which forward them.  Twice a second each gateway asks its watcher which versions that
has, the watchers ask the root, and all of them the watcher of one other domain; in a
fleet whose heartbeats go through monitors this one only if a confirmation is late.  A
watcher that is asked sends the updates which the asking gateway missed, and a
confirmation.  That states an age for each version: nothing newer existed that long
before the question.

A gateway whose knowledge has been confirmed too long ago watches the store itself,
however many gateways repeat what they knew then; a watcher does so first.  A watcher
that the store doesn't answer asks the watchers of other domains.

Gateways of an older build don't know each kind, and the watch of a kind may wait for
longer than those of the others.  Such a kind is judged by itself: a gateway watches it
if nobody has confirmed it lately, whatever is confirmed of the others.

When the store returns from a copy, updates of its last era say nothing of the new one.
A watcher then sends all objects to the gateways that ask with a version of the last.
"""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from collections.abc import Sequence

import attrs

from baobabturn.core.events import Event
from baobabturn.gateway.mirror import Mirror, StoreContact, boot_time_s
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.storechanges import decode_change, encode_change
from baobabturn.gateway.updateparts import EncodedObjects, update_parts, value_bytes
from baobabturn.gateway.watchers import Watchers, rank
from baobabturn.store.interface import Changes
from baobabturn.store.version import StoreVersion
from baobabturn.wire.gatewaymessages import (
    StoreAsk,
    StoreNews,
    StoreState,
    StoreVouch,
)

US_PER_S = 1_000_000
MS_PER_S = 1000
ASK_INTERVAL_S = 0.5
# For this long after its start a gateway waits to hear the others of its domain before
# it watches the store, whose objects it has just listed.
START_DELAY_S = 0.5
# After a question of the root, which the store doesn't answer then, a watcher watches
# the store itself for this long.
ROOT_OUTAGE_S = 2.0
# A gateway watches the store itself once what it knows was confirmed longer ago than
# this.  From a store that works, a watcher's knowledge is at most as old as a watch and
# a pause between questions together, that of others a pause more.
WATCHER_AGE_LIMIT_S = 1.5
AGE_LIMIT_S = 1.9
# A kind of its own is watched here once its newest confirmation is older than a watch
# of the store and this together: a dead root is noticed within 2 s, the next one
# confirms at once, and two questions pass that on.
OWN_AGE_MARGIN_S = 3.5
# Limits for the updates of one kind that are kept for gateways that missed them.
MAX_KEPT_UPDATES = 64
MAX_KEPT_BYTES = 262_144
# How many watchers of other domains are asked: usually, and by a watcher that the
# store doesn't answer.
FAR_WATCHER_COUNT, CUT_OFF_FAR_WATCHER_COUNT = 1, 2
# For this long after an outage a watcher's updates say that the store has returned.
OUTAGE_END_PUBLISHED_S = 2.0
# A watcher that is asked for a missed change answers within this time; otherwise the
# store is listed.
GAP_REPLY_S = 0.2
# Longer ages are sent as this one.
MAX_AGE_MS = 3_600_000


@attrs.define(kw_only=True)
class KindConfirmation:
    """What others have confirmed of one kind, as in ``StoreUpdates``."""

    confirmed_at: float = 0.0
    answered_at: float = 0.0


@attrs.frozen(kw_only=True)
class Gap:
    """The version up to which a change is missed, and whom it is asked of.

    ``asked_from`` is the version that was known here when it was asked for.
    """

    version: StoreVersion
    asked_from: StoreVersion
    peer: Peer


class StoreUpdates:
    """Decides who watches the store; exchanges updates and confirmations.

    Times are boot times: ``confirmed_at`` is the newest at which others say that the
    store had nothing newer than is known here, ``answered_at`` that of the newest
    question that they have answered so.  ``own_kinds`` holds both for each kind that is
    judged by itself, ``gaps`` the missed changes of each kind that were asked for,
    ``encoded`` the objects of each kind as they are sent.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        watchers: Watchers,
        contact: StoreContact,
        mirrors: list[Mirror],
        own_mirrors: Sequence[Mirror] = (),
    ):
        self.peers = peers
        self.watchers = watchers
        self.started_at = boot_time_s()
        self.contact = contact
        self.mirrors = {mirror.kind: mirror for mirror in (*mirrors, *own_mirrors)}
        self.own_kinds = {mirror.kind: KindConfirmation() for mirror in own_mirrors}
        self.confirmed_at = 0.0
        self.answered_at = 0.0
        self.root_asked_at = 0.0
        self.encoded = {kind: EncodedObjects() for kind in self.mirrors}
        self.kept: dict[str, deque[StoreNews]] = {}
        self.gaps: dict[str, Gap] = {}
        for mirror in self.mirrors.values():
            mirror.is_active = functools.partial(self.should_watch_kind, mirror)
            mirror.is_follower = self.is_follower
            mirror.on_watch_changes = self.publish
            mirror.on_gap_listed = self.publish_all
        peers.handlers[StoreNews] = self.handle_update
        peers.handlers[StoreAsk] = self.handle_ask
        peers.handlers[StoreVouch] = self.handle_confirmation

    def should_watch(self) -> bool:
        """Return whether this gateway should watch the store."""
        now = boot_time_s()
        is_watcher = self.watchers.is_watcher()
        limit_s = WATCHER_AGE_LIMIT_S if is_watcher else AGE_LIMIT_S
        if now - max(self.confirmed_at, self.started_at) > limit_s:
            return True
        return self.is_in_charge()

    def is_follower(self) -> bool:
        """Return whether the watcher of this failure domain is another gateway."""
        return not self.watchers.is_watcher()

    def is_in_charge(self) -> bool:
        """Return whether this gateway should watch the store for others.

        Just after its start, it first finds out which gateway of its domain does.
        """
        now = boot_time_s()
        if now - self.root_asked_at < ROOT_OUTAGE_S and self.watchers.is_watcher():
            return True
        is_starting = now - self.started_at < START_DELAY_S
        if is_starting and not self.peers.table.all_heard_in_domain():
            return False
        return self.watchers.is_root()

    def should_watch_kind(self, mirror: Mirror) -> bool:
        """Return whether this gateway should watch a kind of objects in the store."""
        known = self.own_kinds.get(mirror.kind)
        if known is None:
            return self.should_watch()
        now = boot_time_s()
        is_watcher = self.watchers.is_watcher()
        limit_s = WATCHER_AGE_LIMIT_S if is_watcher else AGE_LIMIT_S
        if now - max(known.answered_at, self.started_at) > limit_s:
            return True
        age_s = now - max(known.confirmed_at, self.started_at)
        if age_s > mirror.wait_s + OWN_AGE_MARGIN_S:
            return True
        return self.is_in_charge()

    def watchers_to_ask(self) -> list[Peer]:
        """Return the watcher of this domain, or the root, and that of one other domain.

        Return those of two others if the store doesn't answer this gateway.
        """
        own = self.peers.record.failure_domain
        asked = self.watchers.root_domain() if self.watchers.is_watcher() else own
        watchers = self.watchers.contacts(asked)
        table = self.peers.table
        is_small = table.is_mesh() and not table.is_large_fleet()
        if not is_small and not self.is_confirmation_late():
            return watchers
        count = CUT_OFF_FAR_WATCHER_COUNT if self.is_cut_off() else FAR_WATCHER_COUNT
        domains = set(table.far_domains()) - {asked}
        for domain in sorted(domains, key=lambda domain: rank(own, domain)):
            contacts = self.watchers.contacts(domain) if count else []
            watchers += contacts
            count -= bool(contacts)
        return watchers

    def is_confirmation_late(self) -> bool:
        """Return whether the last questions got no confirmation."""
        return boot_time_s() - self.answered_at > 2 * ASK_INTERVAL_S

    def is_cut_off(self) -> bool:
        """Return whether the store doesn't answer the calls of this gateway.

        A gateway that leaves the calls to others isn't cut off.
        """
        if not self.should_watch():
            return False
        if self.contact.failing_since:
            return True
        waits = [mirror.wait_s for mirror in self.mirrors.values()]
        return self.contact.age_s() > min(waits) + ASK_INTERVAL_S

    async def run(self) -> None:
        """Ask watchers at intervals, except as the root that the store answers."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            if not self.watchers.is_root() or self.is_cut_off():
                self.ask_watchers()

    def staleness_s(self) -> float:
        """Return the seconds since the store was last known to have nothing newer."""
        newest = max(mirror.confirmed_at for mirror in self.mirrors.values())
        return boot_time_s() - newest

    def is_confirmed_since(self, kind: str, at: float) -> bool:
        """Return whether others or the store have confirmed a kind after a time.

        A watcher that answers sends the updates that were missed before.
        """
        known = self.own_kinds.get(kind, self)
        return max(known.answered_at, self.mirrors[kind].confirmed_at) >= at

    def ask_watchers(self) -> None:
        """Ask the usual watchers for a confirmation and for the updates missed here."""
        self.ask(self.watchers_to_ask())

    def ask(self, peers: list[Peer]) -> None:
        """Ask some watchers for a confirmation and for the updates missed here."""
        known = [
            StoreState(kind=mirror.kind, version=mirror.last_change_version)
            for mirror in self.mirrors.values()
        ]
        stamp = int(boot_time_s() * US_PER_S)
        ask = StoreAsk(node=self.peers.record.name, stamp=stamp, known=known)
        self.peers.send_message(ask, peers)

    def publish(self, mirror: Mirror, before: StoreVersion, result: Changes) -> None:
        """Send the changes of a watch to the gateways that rely on this one."""
        if not self.watchers.is_watcher():
            return
        update = StoreNews(
            node=self.peers.record.name,
            kind=mirror.kind,
            before=before,
            version=mirror.last_change_version,
            changes=[encode_change(change) for change in result.changes],
            returning=self.is_after_outage(),
        )
        for part in update_parts(update):
            self.publish_part(part)

    def publish_part(self, update: StoreNews) -> None:
        """Keep an update that fits into a datagram, and send it."""
        self.keep_update(update)
        self.peers.send_message(update, self.domain_peers())
        if self.watchers.is_root():
            for domain in self.peers.table.far_domains():
                self.peers.send_message(update, self.watchers.contacts(domain))

    def publish_all(self, mirror: Mirror) -> None:
        """Send all objects of a kind, listed after a gap, to those that rely on this.

        Among them may be gateways that the store turns away.
        """
        if not self.watchers.is_watcher():
            return
        for update in self.full_updates(mirror):
            self.peers.send_message(update, self.domain_peers())

    def domain_peers(self) -> list[Peer]:
        """Return the live gateways of the own failure domain."""
        domain = self.peers.record.failure_domain
        alive = self.peers.table.alive()
        return [peer for peer in alive if peer.failure_domain == domain]

    def forward(self, update: StoreNews) -> None:
        """Send an update of the root on to the gateways of this domain."""
        copy = attrs.evolve(update, node=self.peers.record.name)
        self.peers.send_message(copy, self.domain_peers())

    def is_after_outage(self) -> bool:
        """Return whether an outage of the store has just ended."""
        return boot_time_s() - self.contact.outage_ended_at < OUTAGE_END_PUBLISHED_S

    def keep_update(self, update: StoreNews) -> None:
        """Keep an update for gateways that missed it; drop the oldest over a limit."""
        kept = self.kept.setdefault(update.kind, deque(maxlen=MAX_KEPT_UPDATES))
        kept.append(update)
        while sum(value_bytes(item.changes) for item in kept) > MAX_KEPT_BYTES:
            kept.popleft()

    def missed_updates(self, known: StoreState) -> list[StoreNews]:
        """Return the updates since a version, all objects if they leave a gap.

        The store may turn the asking gateway away, so it can't be left to list them.
        """
        mirror = self.mirrors.get(known.kind)
        if mirror is None:
            return []
        if known.version.era < mirror.complete_version.era:
            return self.full_updates(mirror)
        newer = [
            update
            for update in self.kept.get(known.kind, ())
            if update.version > known.version
        ]
        if newer and newer[0].before <= known.version:
            return newer
        # The store's version, up to which a mirror is complete, rises with the changes
        # of other kinds as well; those aren't missed.
        is_behind = known.version < mirror.last_change_version
        return self.full_updates(mirror) if is_behind else []

    def full_updates(self, mirror: Mirror) -> list[StoreNews]:
        """Return an update with all objects of a kind, none if it is too large."""
        encoded = self.encoded[mirror.kind].encode(mirror.objects.values())
        if encoded is None:
            # The asking gateway lists the store instead.
            return []
        update = StoreNews(
            node=self.peers.record.name,
            kind=mirror.kind,
            version=mirror.last_change_version,
            changes=encoded,
            full=True,
        )
        return [update]

    def handle_update(self, update: StoreNews, peer: Peer) -> None:
        """Apply a watcher's update; ask for an earlier one that was missed.

        A watcher forwards the updates that come from another domain.
        """
        mirror = self.mirrors.get(update.kind)
        if mirror is None:
            return
        if update.returning:
            self.contact.outage_ended_at = boot_time_s()
        if update.version <= mirror.last_change_version:
            self.log_old_update(update, mirror)
            return
        if (
            peer.failure_domain != self.peers.record.failure_domain
            and self.watchers.is_watcher()
        ):
            self.forward(update)
        changes = tuple(decode_change(change) for change in update.changes)
        if update.full:
            mirror.apply_snapshot(Changes(changes=changes, version=update.version))
        elif mirror.apply_update(update.before, update.version, changes):
            self.keep_update(update)
        elif update.before == update.version:
            # Its changes were too large to send.
            mirror.invalidate()
        else:
            self.repair_gap(mirror, update.version, peer)

    def repair_gap(self, mirror: Mirror, version: StoreVersion, peer: Peer) -> None:
        """Ask a watcher for the changes missed before a version.

        If they don't come, the store is listed.  One lost datagram of the root would
        otherwise make all gateways of a failure domain list it at once.  The root lists
        the store itself: its questions say that the store doesn't answer it.
        """
        if self.watchers.is_root():
            mirror.invalidate()
            return
        known = self.gaps.get(mirror.kind)
        gap = Gap(
            version=version if known is None else max(version, known.version),
            asked_from=mirror.last_change_version
            if known is None
            else known.asked_from,
            peer=peer,
        )
        self.gaps[mirror.kind] = gap
        if known is None:
            self.ask([peer])
            loop = asyncio.get_running_loop()
            loop.call_later(GAP_REPLY_S, self.close_gap, mirror)

    def close_gap(self, mirror: Mirror) -> None:
        """List the store if the changes that were asked for haven't come.

        What a list that is under way lacks shows afterwards.  If one has ended since,
        the changes after it are asked for first.
        """
        gap = self.gaps.pop(mirror.kind)
        if mirror.is_listing or mirror.last_change_version >= gap.version:
            return
        if mirror.last_change_version > gap.asked_from:
            self.repair_gap(mirror, gap.version, gap.peer)
        else:
            mirror.invalidate()

    def log_old_update(self, update: StoreNews, mirror: Mirror) -> None:
        """Log an update that is older than what is known; equal ones are repeats."""
        if update.version < mirror.last_change_version:
            self.contact.events.emit(
                Event.STORE_UPDATE_OLD,
                kind=update.kind,
                version=update.version,
                known=mirror.last_change_version,
                sender=update.node,
            )

    def handle_ask(self, ask: StoreAsk, peer: Peer) -> None:
        """Send missed updates and a confirmation, if this gateway is a watcher.

        The root asks only when the store doesn't answer it.
        """
        if peer.name == self.watchers.root():
            self.root_asked_at = boot_time_s()
        if not (self.watchers.is_watcher() or self.should_watch()):
            return
        for known in ask.known:
            for update in self.missed_updates(known):
                copy = attrs.evolve(
                    update,
                    node=self.peers.record.name,
                    returning=self.is_after_outage(),
                )
                self.peers.send_message(copy, [peer])
        if self.is_cut_off() and self.staleness_s() > ASK_INTERVAL_S:
            # Without a confirmation the asking gateway soon watches the store itself.
            return
        now = boot_time_s()
        items = [
            StoreState(
                kind=mirror.kind,
                version=mirror.last_change_version,
                age_ms=min(MAX_AGE_MS, int((now - mirror.confirmed_at) * MS_PER_S) + 1),
            )
            for mirror in self.mirrors.values()
            if mirror.confirmed_at
        ]
        confirmation = StoreVouch(
            node=self.peers.record.name, stamp=ask.stamp, items=items
        )
        self.peers.send_message(confirmation, [peer])

    def handle_confirmation(self, confirmation: StoreVouch, peer: Peer) -> None:
        """Apply a watcher's confirmation.

        Ages count from the time at which this gateway asked, which is certainly not
        after the watcher's answer.
        """
        asked_at = confirmation.stamp / US_PER_S
        for item in confirmation.items:
            mirror = self.mirrors.get(item.kind)
            if mirror is None:
                continue
            # A watch may pass over a change that the store has dropped from its
            # history, so what counts is the newest change that was applied.
            if item.version > mirror.last_change_version:
                self.repair_gap(mirror, item.version, peer)
            elif item.version.era == mirror.complete_version.era:
                at = asked_at - item.age_ms / MS_PER_S
                mirror.confirm(at)
                known = self.own_kinds.get(item.kind, self)
                known.confirmed_at = max(known.confirmed_at, at)
                known.answered_at = max(known.answered_at, asked_at)
