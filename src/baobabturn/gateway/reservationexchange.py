"""Sends changes of reservations once to each other failure domain, and forwards them.

In a fleet whose heartbeats go to all near gateways, so do the changes.  In a larger one
those of the own failure domain get them directly, and of each other domain one
gateway, the forwarder, which sends them on to its domain.  Gateways that don't announce
that they forward get a ``GatewayState``, as from earlier releases.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from baobabturn.core.events import Event
from baobabturn.gateway.forwarders import Forwarders
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.reservationorder import AcceptedChanges
from baobabturn.gateway.summaryexchange import SummaryExchange
from baobabturn.wire.gatewaymessages import (
    GatewayState,
    ReservationChanges,
    ReservationNews,
    ReservationReceipt,
)
from baobabturn.wire.messages import Holding, Holdings, ProgressItem

if TYPE_CHECKING:
    from baobabturn.gateway.peers import Peers

# What a forwarder gets within this time it sends on in one message.
FORWARD_BATCH_S = 0.004
# The messages of this time are confirmed together.
RECEIPT_DELAY_S = 0.2
# Larger messages are split, so that they fit into a datagram.
MAX_NEWS_BYTES = 48_000


def call_later(delay_s: float, callback: Callable[[], None]) -> None:
    """Call a function after some seconds."""
    asyncio.get_running_loop().call_later(delay_s, callback)


class ReservationExchange:
    """Sends this gateway's changes of reservations, and forwards those of others.

    ``published`` holds the own reservations that went to forwarders, by name, with the
    software version that was sent.  ``outbox`` and ``receipts`` hold what is forwarded
    and confirmed in the next moments.
    """

    def __init__(self, *, peers: Peers):
        self.peers = peers
        self.schedule: Callable[[float, Callable[[], None]], Any] = call_later
        self.forwarders = Forwarders(
            sender=peers.record.name, failure_domain=peers.record.failure_domain
        )
        self.published: dict[str, str] = {}
        self.outbox: list[ReservationChanges] = []
        self.receipts: dict[str, ReservationReceipt] = {}
        self.summaries = SummaryExchange(peers=peers, exchange=self)
        peers.handlers[ReservationNews] = self.handle_news
        peers.handlers[ReservationReceipt] = self.handle_receipt

    def send(self, state: GatewayState) -> None:
        """Send changes of this gateway's reservations to all near gateways."""
        self.summaries.record_sent(state)
        table = self.peers.table
        near = table.near_alive()
        if table.is_mesh():
            self.peers.send_message(state, near)
            self.drop_published(state)
            return
        delivery = self.forwarders.delivery(near, table.clock())
        self.peers.send_message(state, delivery.direct)
        if delivery.forwarders:
            self.send_own(self.short_changes(state), delivery.forwarders)
        self.drop_published(state)

    def drop_published(self, state: GatewayState) -> None:
        """Drop the reservations that have ended from those published."""
        for release in state.ended:
            self.published.pop(release.reservation, None)

    def short_changes(self, state: GatewayState) -> ReservationChanges:
        """Return a state's changes; progress names only the reservation.

        A reservation goes out whole again if its software version has changed.
        """
        changes = changes_of(state)
        changes.holdings = []
        for holdings in state.holdings:
            whole = [each for each in holdings.items if self.is_unpublished(each)]
            if whole:
                changes.holdings.append(Holdings(pool=holdings.pool, items=whole))
            changes.progress += [
                ProgressItem(reservation=each.reservation, produced=each.produced)
                for each in holdings.items
                if not self.is_unpublished(each)
            ]
        for holdings in changes.holdings:
            for each in holdings.items:
                self.published[each.reservation] = each.software_version
        return changes

    def is_unpublished(self, holding: Holding) -> bool:
        """Return whether a reservation has to be sent whole."""
        return self.published.get(holding.reservation) != holding.software_version

    def send_own(self, changes: ReservationChanges, forwarders: list[Peer]) -> None:
        """Send own changes to forwarders, and await their confirmations."""
        now = self.peers.table.clock()
        for forwarder in forwarders:
            self.forwarders.record_sent(forwarder, changes.sequence, now)
        self.send_news([shortened(changes)], forwarders, forwarded=False)

    def send_news(
        self, changes: list[ReservationChanges], peers: list[Peer], *, forwarded: bool
    ) -> None:
        """Send changes in one datagram, or in several if they are too large."""
        news = ReservationNews(
            node=self.peers.record.name, forwarded=forwarded, changes=changes
        )
        data = self.peers.pack_message(news)
        parts = halves(changes) if len(data) > MAX_NEWS_BYTES else []
        if not all(parts):
            # One reservation alone is too large; the socket reports it.
            parts = []
        for part in parts:
            self.send_news(part, peers, forwarded=forwarded)
        if not parts:
            self.peers.send_data(data, news, peers)

    def handle_news(self, news: ReservationNews, sender: Peer) -> None:
        """Forward the changes of other gateways that come directly; apply all.

        Changes that can't be applied here may be sound at others.
        """
        if not news.forwarded:
            self.confirm(news, sender)
            self.forward(news)
        for changes in news.changes:
            peer = self.peers.table.peers.get(changes.node)
            if peer is not None:
                self.apply(peer, lengthened(changes))

    def apply(self, peer: Peer, changes: ReservationChanges) -> None:
        """Apply a gateway's changes, if its present incarnation has been heard.

        Otherwise they wait: the silence of a gateway that was never heard wouldn't
        be noticed, and its reservations would stay.
        """
        order = peer.reservation_order
        if changes.incarnation < order.incarnation:
            return
        if not peer.heard or peer.silent or changes.incarnation > order.incarnation:
            order.hold_back(changes)
            return
        self.record(peer, order.accept(changes))
        self.summaries.review(peer)

    def record(self, peer: Peer, accepted: AcceptedChanges) -> None:
        """Record what follows from a gateway's message."""
        table = self.peers.reservations
        for pool, holding in accepted.recorded:
            table.record_peer_reservation(peer.name, pool, holding)
        for release in accepted.released:
            table.release_peer_reservation(peer.name, release)
        if accepted.retained is not None:
            table.retain_peer_reservations(peer.name, accepted.retained)

    def apply_state(self, peer: Peer, state: GatewayState) -> None:
        """Apply a gateway's state, and the changes that came before it."""
        self.apply(peer, changes_of(state))
        for changes in peer.reservation_order.take_held_back():
            self.apply(peer, changes)
        if state.summary:
            self.summaries.handle_summary(peer, state)

    def forward(self, news: ReservationNews) -> None:
        """Send changes on to the gateways of this failure domain in a moment."""
        if not self.outbox:
            self.schedule(FORWARD_BATCH_S, self.send_outbox)
        self.outbox += news.changes

    def send_outbox(self) -> None:
        """Send what is to be forwarded to the gateways of this failure domain."""
        changes, self.outbox = self.outbox, []
        domain = self.peers.record.failure_domain
        receivers = [
            peer
            for peer in self.peers.table.near_alive()
            if peer.failure_domain == domain and peer.forwards
        ]
        if receivers:
            self.send_news(changes, receivers, forwarded=True)

    def confirm(self, news: ReservationNews, sender: Peer) -> None:
        """Confirm a message to its sender in a moment."""
        if not self.receipts:
            self.schedule(RECEIPT_DELAY_S, self.send_receipts)
        for changes in news.changes:
            receipt = self.receipts.get(sender.name)
            if receipt is None or receipt.incarnation < changes.incarnation:
                receipt = self.receipts[sender.name] = ReservationReceipt(
                    node=self.peers.record.name, incarnation=changes.incarnation
                )
            if receipt.incarnation == changes.incarnation:
                receipt.sequences.append(changes.sequence)

    def send_receipts(self) -> None:
        """Confirm the messages of the last moments to their senders."""
        receipts, self.receipts = self.receipts, {}
        for name, receipt in receipts.items():
            peer = self.peers.table.peers.get(name)
            if peer is not None:
                self.peers.send_message(receipt, [peer])

    def handle_receipt(self, receipt: ReservationReceipt, forwarder: Peer) -> None:
        """Record the confirmation of messages of this incarnation."""
        if receipt.incarnation == self.peers.program.identity.incarnation:
            self.forwarders.confirm(forwarder, receipt.sequences)

    def check_forwarders(self) -> None:
        """Send all reservations to a domain whose forwarder hasn't confirmed changes.

        They go to the domain's next forwarder.
        """
        table = self.peers.table
        now = table.clock()
        overdue = self.forwarders.avoid_overdue(now)
        if not overdue or table.is_mesh():
            return
        for domain, names in overdue.items():
            for name in sorted(names):
                self.peers.program.events.emit(
                    Event.FORWARDER_AVOIDED, gateway=name, failure_domain=domain
                )
        delivery = self.forwarders.delivery(table.near_alive(), now)
        replaced = [
            peer for peer in delivery.forwarders if peer.failure_domain in overdue
        ]
        if replaced:
            self.send_own(changes_of(self.peers.make_state(full=True)), replaced)


def changes_of(state: GatewayState) -> ReservationChanges:
    """Return what a gateway's state says of its reservations."""
    return ReservationChanges(
        node=state.node,
        incarnation=state.incarnation,
        sequence=state.sequence,
        full=state.full,
        holdings=state.holdings,
        ended=state.ended,
    )


def shortened(changes: ReservationChanges) -> ReservationChanges:
    """Return changes without the gateway's name at the start of each reservation.

    Example: gateway ``g1`` sends ``/7/r`` for its reservation ``g1/7/r``.
    """
    prefix = changes.node + "/"
    size = len(changes.node)
    return renamed(
        changes, lambda name: name[size:] if name.startswith(prefix) else name
    )


def lengthened(changes: ReservationChanges) -> ReservationChanges:
    """Return shortened changes with the reservations' whole names."""
    node = changes.node
    return renamed(changes, lambda name: node + name if name.startswith("/") else name)


def renamed(
    changes: ReservationChanges, rename: Callable[[str], str]
) -> ReservationChanges:
    """Return a copy of changes with other names of the reservations."""

    def copies(items: list[Any]) -> list[Any]:
        return [
            attrs.evolve(item, reservation=rename(item.reservation)) for item in items
        ]

    return attrs.evolve(
        changes,
        holdings=[
            Holdings(pool=holdings.pool, items=copies(holdings.items))
            for holdings in changes.holdings
        ],
        progress=copies(changes.progress),
        ended=copies(changes.ended),
    )


def halves(changes: list[ReservationChanges]) -> list[list[ReservationChanges]]:
    """Return changes in two parts, the first empty if they can't be split."""
    middle = len(changes) // 2
    if middle:
        return [changes[:middle], changes[middle:]]
    return halves_of_one(changes[0])


def halves_of_one(changes: ReservationChanges) -> list[list[ReservationChanges]]:
    """Return one gateway's changes in two parts, neither of which is a full state.

    What a full state would have ended is ended by the gateway's next one.
    """
    singles: list[tuple[str, Any]] = [
        ("holdings", Holdings(pool=holdings.pool, items=[item]))
        for holdings in changes.holdings
        for item in holdings.items
    ]
    singles += [("progress", item) for item in changes.progress]
    singles += [("ended", item) for item in changes.ended]
    middle = len(singles) // 2
    if not middle:
        return [[], [changes]]
    parts = []
    for some in (singles[:middle], singles[middle:]):
        part = attrs.evolve(changes, full=False, holdings=[], progress=[], ended=[])
        for field, item in some:
            getattr(part, field).append(item)
        parts.append([part])
    return parts
