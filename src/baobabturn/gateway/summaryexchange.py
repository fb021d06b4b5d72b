"""Sends summaries of this gateway's reservations, and asks where a replica differs.

Where changes go through forwarders, gateways of other failure domains get a summary in
the turns in which others get a full state (``reservationsummary.py``).  Those whose
replica differs ask for the full state.  Gateways that don't announce that they compare
summaries get full states, as from earlier releases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from baobabturn.core.events import Event
from baobabturn.gateway.peer import NEVER, Peer
from baobabturn.gateway.reservationsummary import (
    MAX_TRANSIT_S,
    Step,
    Summary,
    SummaryCheck,
    digest_of_holdings,
    produced_by_name,
)
from baobabturn.wire.gatewaymessages import GatewayState, ReservationAsk

if TYPE_CHECKING:
    from baobabturn.gateway.peers import Peers
    from baobabturn.gateway.reservationexchange import ReservationExchange

MS_PER_S = 1000


class SummaryExchange:
    """Summarizes the own reservations, and compares replicas with summaries.

    ``changed`` is the number of the last message with own changes, ``changed_at`` its
    time.  The steps of a comparison are counted by ``reservation_summaries``.
    """

    def __init__(self, *, peers: Peers, exchange: ReservationExchange):
        self.peers = peers
        self.exchange = exchange
        self.changed = 0
        self.changed_at = NEVER
        peers.handlers[ReservationAsk] = self.handle_ask

    def record_sent(self, state: GatewayState) -> None:
        """Record that changes of this gateway's reservations are being sent."""
        self.changed = state.sequence
        self.changed_at = self.peers.table.clock()

    def takes_summary(self, peer: Peer) -> bool:
        """Return whether a gateway gets summaries in place of full states."""
        own_domain = self.peers.record.failure_domain
        return peer.compares and peer.failure_domain not in ("", own_domain)

    def send_whole(self, peers: list[Peer], interval_s: float) -> None:
        """Send gateways a heartbeat with the whole state, or with a summary of it."""
        takers = [peer for peer in peers if self.takes_summary(peer)]
        others = [peer for peer in peers if not self.takes_summary(peer)]
        if takers:
            self.peers.send_message(self.make_summary(interval_s), takers)
        if others:
            state = self.peers.make_state(full=True, interval_s=interval_s)
            self.peers.send_message(state, others)

    def make_summary(self, interval_s: float) -> GatewayState:
        """Return a heartbeat with a summary of all reservations.

        Pending changes are sent first, so that the summary covers what was sent.
        """
        self.peers.flush()
        holdings = self.peers.reservations.own_holdings()
        age_s = min(MAX_TRANSIT_S, self.peers.table.clock() - self.changed_at)
        return attrs.evolve(
            self.peers.make_state(full=False, interval_s=interval_s),
            failure_domain="",
            callers="",
            relay="",
            summary=True,
            digest=digest_of_holdings(holdings),
            changed=self.changed,
            changed_ms=int(age_s * MS_PER_S),
            produced=produced_by_name(holdings),
        )

    def handle_summary(self, peer: Peer, state: GatewayState) -> None:
        """Compare the replica of a gateway's reservations with its summary."""
        summary = Summary(
            sequence=state.sequence,
            digest=state.digest,
            changed=state.changed,
            changed_s=state.changed_ms / MS_PER_S,
            produced=state.produced,
        )
        now = self.peers.table.clock()
        peer.reservation_order.compare(summary, now)
        self.review(peer)
        check = peer.reservation_order.check
        if check is not None:
            self.count(Step.WAIT)
            self.exchange.schedule(
                check.deadline - now, lambda: self.end_wait(peer, check)
            )

    def review(self, peer: Peer) -> None:
        """Confirm a replica that agrees with the newest summary, or ask if it differs.

        A change on its way may still settle the difference.
        """
        order = peer.reservation_order
        check = order.check
        if check is None:
            return
        step = check.step(is_whole=order.is_whole, now=self.peers.table.clock())
        if step is Step.CONFIRM:
            self.confirm(peer, check)
        elif step is Step.ASK:
            self.ask(peer, check)

    def confirm(self, peer: Peer, check: SummaryCheck) -> None:
        """Record that a replica agrees with a summary."""
        self.count(Step.CONFIRM)
        self.exchange.record(peer, peer.reservation_order.confirm(check.summary))

    def end_wait(self, peer: Peer, check: SummaryCheck) -> None:
        """Ask if a replica still differs from a summary after the longest wait."""
        if peer.reservation_order.check is check:
            self.ask(peer, check)

    def ask(self, peer: Peer, check: SummaryCheck) -> None:
        """Ask a gateway for its full state, once for each summary."""
        peer.reservation_order.check = None
        self.count(Step.ASK)
        self.peers.program.events.emit(
            Event.RESERVATIONS_DIFFER,
            gateway=peer.name,
            sequence=check.summary.sequence,
        )
        self.peers.send_message(ReservationAsk(node=self.peers.record.name), [peer])

    def count(self, step: Step) -> None:
        """Count what was done about a summary."""
        self.peers.program.metrics.count("reservation_summaries", step=step.value)

    def handle_ask(self, ask: ReservationAsk, peer: Peer) -> None:
        """Send a gateway whose replica differs the full state."""
        self.peers.send_message(self.peers.make_state(full=True), [peer])
