"""Heartbeats between gateways, with the reservations at engines that each holds.

A gateway tells its near gateways as soon as it makes or releases a reservation, those
of other failure domains in a larger fleet through one gateway there
(``reservationexchange.py``).  So each gateway's count of the load on an engine is
nearly exact, and two gateways use the same free capacity only if they choose it within
one network delay.  ``peertable.py`` says which gateways are near and who gets which
heartbeat.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.ownload import OwnLoad
from baobabturn.gateway.peer import NEVER, Address, Peer, parse_address
from baobabturn.gateway.peertable import ROUND_S, PeerTable
from baobabturn.gateway.platforminterface import GatewayRecord
from baobabturn.gateway.reservationexchange import ReservationExchange
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.wire.codec import Envelope, body_name, pack_small, unpack_small
from baobabturn.wire.gatewaymessages import GatewayState, PeerSilent
from baobabturn.wire.messages import Holding, Holdings, Release

# Changes within this time are sent in one message.
CHANGE_BATCH_S = 0.002
# A gateway that has been silent for this long holds no reservations.
RESERVATION_EXPIRY_S = 1.5
# A heartbeat this late shows that the process was paused.
MIN_PAUSE_S = 0.5
# After a cut a gateway introduces itself anew at most once in this time.
REINTRODUCTION_INTERVAL_S = 1.0
# Heartbeat intervals vary by this share, so that gateways don't all send at once.
HEARTBEAT_JITTER_RATIO = 0.1
MS_PER_S = 1000
# Labels of the metrics on datagrams: a message with a whole state or a summary of it,
# and where it goes.
SUFFIXES = {"full": "Full", "summary": "Summary"}
OWN_DOMAIN, OTHER_DOMAINS = "own", "other"

log = logging.getLogger("baobabturn.gateway.peers")


class ReservationTable(Protocol):
    """The reservations in the form in which gateways exchange them."""

    def own_holdings(self) -> list[Holdings]:
        """Return all reservations that this gateway holds, by pool."""

    def record_peer_reservation(self, peer: str, pool: str, holding: Holding) -> None:
        """Record a reservation that another gateway holds, or its progress."""

    def release_peer_reservation(self, peer: str, release: Release) -> None:
        """Remove a reservation that another gateway released."""

    def retain_peer_reservations(self, peer: str, names: set[str]) -> None:
        """Remove a gateway's reservations that aren't named."""


class Peers(asyncio.DatagramProtocol):
    """Sends this gateway's state to the others and keeps what they sent."""

    def __init__(
        self,
        *,
        program: Program,
        record: GatewayRecord,
        reservations: ReservationTable,
        serving: Callable[[], bool],
    ):
        self.program = program
        self.record = record
        self.table = PeerTable(record=record, settings=program.settings.gateway)
        self.reservations = reservations
        self.serving = serving
        self.unreachable: Callable[[], set[str]] = set
        self.own_load = OwnLoad(host=program.settings.host)
        self.signer = DatagramSigner(secret=program.settings.inner.secret)
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.pending_reservations: dict[tuple[str, str], Holding] = {}
        self.pending_releases: list[Release] = []
        self.flush_scheduled = False
        self.last_monitors: list[Peer] = []
        self.reintroduced_at = NEVER
        self.introduction_listeners: list[Callable[[list[Peer]], None]] = []
        self.return_listeners: list[Callable[[], None]] = []
        self.handlers: dict[type, Callable[[Any, Peer], None]] = {
            PeerSilent: self.handle_silence_report
        }
        self.exchange = ReservationExchange(peers=self)

    def connection_made(self, transport: Any) -> None:
        """Keep the datagram transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Verify a datagram and pass its message to the handler."""
        payload = self.signer.verify(data)
        if payload is None:
            self.program.metrics.count("datagrams_refused")
            return
        envelope = unpack_small(payload)
        if isinstance(envelope, Failure):
            self.program.metrics.count("datagrams_refused")
            return
        self.program.clock.observe(envelope.hlc)
        message = envelope.body
        try:
            self.dispatch(message, addr)
        except Exception:
            # One message that can't be handled must not cost all later ones.
            log.exception("event=datagram-failed kind=%s", type(message).__name__)
            self.program.metrics.count("datagrams_refused")

    def dispatch(self, message: Any, address: Address) -> None:
        """Pass a message to its handler."""
        if isinstance(message, GatewayState):
            self.handle_state(message, address)
            return
        handler = self.handlers.get(type(message))
        peer = self.table.peers.get(getattr(message, "node", ""))
        if handler is not None and peer is not None:
            handler(message, peer)

    def add_gateways(self, records: list[GatewayRecord]) -> None:
        """Add gateways from the store, and introduce this one to new near ones.

        The address of a known gateway that is silent is updated.
        """
        for record in records:
            if record.name != self.record.name:
                self.add_gateway(record)
        self.table.records_read = True
        new = [peer for peer in self.table.near() if not peer.introduced]
        self.introduce(new)

    def add_gateway(self, record: GatewayRecord) -> None:
        """Add or update one gateway from the store."""
        address = parse_address(record.peers)
        peer = self.table.peers.get(record.name)
        if peer is None:
            peer = self.table.peers[record.name] = Peer(
                name=record.name, address=address
            )
        elif self.table.is_alive(peer):
            return
        peer.address = address
        peer.callers = record.callers
        peer.relay = record.relay
        peer.failure_domain = record.failure_domain

    def introduce(self, peers: list[Peer]) -> None:
        """Send gateways this one's whole state."""
        self.send_message(self.make_state(full=True, interval_s=ROUND_S), peers)
        for peer in peers:
            peer.introduced = True
        for listener in self.introduction_listeners:
            listener(peers)

    def reintroduce(self) -> None:
        """Send the near gateways this one's state after a cut has ended.

        The gateway that is heard again may have been cut off, or this one, whom all
        others then take for silent.
        """
        now = self.table.clock()
        if now - self.reintroduced_at >= REINTRODUCTION_INTERVAL_S:
            self.reintroduced_at = now
            self.introduce(self.table.near())
            self.notify_return()

    def resume_after_pause(self) -> None:
        """Count silence anew, and tell the near gateways that this one is back."""
        self.table.restart_silence()
        self.exchange.forwarders.restart()
        self.introduce(self.table.near())
        self.notify_return()

    def notify_return(self) -> None:
        """Tell the listeners that this gateway may have missed messages."""
        for listener in self.return_listeners:
            listener()

    def retain_gateways(self, names: set[str]) -> None:
        """Remove the silent gateways that are not among those named."""
        for peer in list(self.table.peers.values()):
            if peer.name not in names and not self.table.is_alive(peer):
                self.reservations.retain_peer_reservations(peer.name, set())
                del self.table.peers[peer.name]

    def silence_s(self, name: str) -> float:
        """Return the seconds since a gateway's last message.

        It is 0 for a gateway that sends none to this one.
        """
        peer = self.table.peers.get(name)
        if peer is None or not self.table.is_near(peer):
            return 0.0
        return self.table.unheard_s(peer)

    def handle_state(self, state: GatewayState, address: Address) -> None:
        """Handle a gateway's state, unless a newer one of it came before."""
        if state.node == self.record.name:
            return
        peer = self.table.peers.get(state.node)
        if peer is None:
            peer = self.table.peers[state.node] = Peer(name=state.node, address=address)
        version = (state.incarnation, state.sequence)
        if version <= (peer.incarnation, peer.sequence):
            return
        is_new = not peer.heard
        was_silent = peer.silent
        is_restarted = peer.heard and peer.incarnation != state.incarnation
        returned = was_silent or is_restarted
        self.update_peer(peer, state, address)
        if is_new or returned:
            self.reservations.retain_peer_reservations(peer.name, set())
            peer.reservation_order.begin(state.incarnation)
            self.program.events.emit(
                Event.GATEWAY_SEEN, gateway=peer.name, address=peer.callers
            )
        if self.table.is_near(peer) and (returned or not peer.introduced):
            self.introduce([peer])
        if was_silent and not is_restarted:
            self.reintroduce()
        self.exchange.apply_state(peer, state)

    def update_peer(self, peer: Peer, state: GatewayState, address: Address) -> None:
        """Record what a gateway says of itself."""
        peer.incarnation, peer.sequence = state.incarnation, state.sequence
        peer.heard_at = self.table.clock()
        peer.silent = False
        peer.silent_since = NEVER
        peer.address = address
        peer.serving = state.serving
        if not state.summary:
            peer.callers = state.callers
            peer.failure_domain = state.failure_domain
            peer.relay = state.relay
        peer.unreachable = frozenset(state.unreachable)
        peer.forwards, peer.compares = state.forwards, state.compares
        peer.capacity, peer.load = state.capacity, state.load
        if state.next_ms:
            peer.heartbeat_interval_s = state.next_ms / MS_PER_S

    def handle_silence_report(self, report: PeerSilent, peer: Peer) -> None:
        """Handle a monitor's report; refute it if it is about this gateway."""
        if report.gateway == self.record.name:
            if report.incarnation == self.program.identity.incarnation:
                self.send_message(self.make_state(full=True), self.table.near())
            return
        silent = self.table.apply_silence_report(report.gateway, report.incarnation)
        if silent is not None:
            self.program.events.emit(
                Event.GATEWAY_SILENT, gateway=silent.name, reported_by=peer.name
            )

    def gateway_count(self) -> int:
        """Return how many gateways are known, including this one."""
        return 1 + len(self.table.peers)

    def publish_reservation(self, pool: str, holding: Holding) -> None:
        """Publish a reservation that this gateway made, or its progress."""
        self.pending_reservations[pool, holding.reservation] = holding
        self.schedule_flush()

    def publish_release(self, release: Release) -> None:
        """Publish that this gateway released a reservation."""
        self.pending_releases.append(release)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule one message with all changes of the next moments."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_later(CHANGE_BATCH_S, self.flush)

    def flush(self) -> None:
        """Send the pending changes of reservations to the near gateways, if any."""
        self.flush_scheduled = False
        if not (self.pending_reservations or self.pending_releases):
            return
        added, ended = self.pending_reservations, self.pending_releases
        self.pending_reservations, self.pending_releases = {}, []
        by_pool: dict[str, list[Holding]] = {}
        for (pool, _), holding in added.items():
            by_pool.setdefault(pool, []).append(holding)
        state = self.make_state(full=False)
        state.holdings = [Holdings(pool=p, items=i) for p, i in by_pool.items()]
        state.ended = ended
        self.exchange.send(state)

    def send_state_to_near(self) -> None:
        """Send the near gateways at once whether this one is serving."""
        self.send_message(self.make_state(full=False), self.table.near_alive())

    def make_state(self, *, full: bool, interval_s: float = 0.0) -> GatewayState:
        """Return this gateway's next state, listing all its reservations or none.

        A heartbeat announces the interval until the next one.
        """
        self.sequence += 1
        return GatewayState(
            node=self.record.name,
            failure_domain=self.record.failure_domain,
            callers=self.record.callers,
            incarnation=self.program.identity.incarnation,
            sequence=self.sequence,
            serving=self.serving(),
            full=full,
            holdings=self.reservations.own_holdings() if full else [],
            next_ms=int(interval_s * MS_PER_S),
            relay=self.record.relay,
            unreachable=sorted(self.unreachable()),
            forwards=True,
            compares=True,
            capacity=self.own_load.capacity,
            load=self.own_load.reported(),
        )

    def send_message(self, message: Any, peers: list[Peer]) -> None:
        """Sign a message and send it to some gateways."""
        if peers:
            self.send_data(self.pack_message(message), message, peers)

    def pack_message(self, message: Any) -> bytes:
        """Return the signed datagram that carries a message."""
        envelope = Envelope(body=message, hlc=self.program.clock.now())
        return self.signer.sign(pack_small(envelope))

    def send_data(self, data: bytes, message: Any, peers: list[Peer]) -> None:
        """Send a datagram to some gateways, and count it by kind of message."""
        if self.transport is None or self.transport.is_closing():
            return
        for peer in peers:
            self.transport.sendto(data, peer.address)
        own_domain = self.record.failure_domain
        own_count = sum(peer.failure_domain == own_domain for peer in peers)
        kind = body_name(type(message))
        for field, suffix in SUFFIXES.items():
            if getattr(message, field, False):
                kind += suffix
        counts = {OWN_DOMAIN: own_count, OTHER_DOMAINS: len(peers) - own_count}
        for domain, count in counts.items():
            if count:
                labels = {"kind": kind, "domain": domain}
                self.program.metrics.count("datagrams_sent", count, **labels)
                size = count * len(data)
                self.program.metrics.count("datagram_sent_bytes", size, **labels)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the monitors and to those whose turn it is.

        Those whose turn it is, monitors among them, get the whole state or a summary of
        it.  A gateway that is no monitor any more is told so, as it would take this one
        for silent.
        """
        self.own_load.measure()
        interval_s = self.table.settings.heartbeat_s
        monitors = self.table.monitors()
        if self.table.is_mesh():
            state = self.make_state(full=True, interval_s=interval_s)
            self.send_message(state, monitors)
        else:
            due = self.table.next_of_round()
            not_due = [peer for peer in monitors if peer not in due]
            state = self.make_state(full=False, interval_s=interval_s)
            self.send_message(state, not_due)
            monitors_due = [peer for peer in monitors if peer in due]
            self.exchange.summaries.send_whole(monitors_due, interval_s)
            others = due + self.last_monitors
            others = [peer for peer in others if peer not in monitors]
            self.exchange.summaries.send_whole(others, ROUND_S)
        self.last_monitors = monitors

    async def run_heartbeats(self) -> None:
        """Send heartbeats and look for silent gateways until the process ends."""
        while True:
            self.send_heartbeat()
            pause_s = self.table.settings.heartbeat_s * random.uniform(
                1 - HEARTBEAT_JITTER_RATIO, 1 + HEARTBEAT_JITTER_RATIO
            )
            due_at = time.monotonic() + pause_s
            await asyncio.sleep(pause_s)
            if time.monotonic() - due_at > MIN_PAUSE_S:
                self.resume_after_pause()
            self.check_silence()

    def check_silence(self) -> None:
        """Mark silent gateways, report them, and expire their reservations."""
        self.table.update_monitored()
        for peer in self.table.newly_silent():
            self.program.events.emit(Event.GATEWAY_SILENT, gateway=peer.name)
            if peer.name in self.table.monitored:
                self.report_silence(peer)
        expired_before = self.table.clock() - RESERVATION_EXPIRY_S
        for peer in list(self.table.peers.values()):
            if peer.silent and peer.silent_since <= expired_before:
                peer.reservation_order.forget()
                self.reservations.retain_peer_reservations(peer.name, set())

        self.exchange.check_forwarders()

    def report_silence(self, peer: Peer) -> None:
        """Report a silent gateway to all near ones and to itself, which may object."""
        report = PeerSilent(
            node=self.record.name, gateway=peer.name, incarnation=peer.incarnation
        )
        self.send_message(report, [*self.table.near_alive(), peer])

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered."""
        self.program.metrics.count("datagrams_undelivered")
