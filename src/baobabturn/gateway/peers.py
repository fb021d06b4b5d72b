"""Heartbeats between gateways, with the reservations at engines that each holds.

Each gateway sends all others a datagram at every heartbeat, and another one as
soon as it makes or releases a reservation.  So each gateway's count of the load on
an engine is nearly exact, and two gateways use the same free capacity only if they
choose it within one network delay.

In a large fleet only gateways of the same failure domain learn of reservations at
once; those of other domains learn of them with a heartbeat.  Otherwise the traffic
would grow with the requests times the gateways.  In such a fleet, gateways prefer
engines of their own failure domain.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.platforminterface import GatewayRecord
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.wire.codec import Envelope, pack_small, unpack_small
from baobabturn.wire.messages import GatewayState, Holding, Holdings, Release

# Changes within this time are sent in one message.
CHANGE_BATCH_S = 0.002
# A gateway silent for this long counts as holding no reservations.
RESERVATION_EXPIRY_S = 3.0
# With more gateways than this, each sends heartbeats less often.
MAX_SMALL_FLEET_SIZE = 32
# With more gateways than this, other failure domains don't get changes at once.
MAX_BROADCAST_FLEET_SIZE = 128
# In larger fleets one heartbeat in this many lists all reservations, and one in
# this many also goes to gateways of other failure domains.
HEARTBEATS_PER_FULL_STATE = 4
HEARTBEATS_PER_FAR_SEND = 2
# A heartbeat of a larger fleet is sent to this many parts of the gateways, one after
# another: sent to all at once it would delay responses on a slow link.
HEARTBEAT_PART_COUNT = 8
# Gateways of other failure domains send less often; their silence limit is longer.
FAR_SILENCE_FACTOR = 1.5
# Heartbeat intervals vary by this share, so that gateways don't all send at once.
HEARTBEAT_JITTER_RATIO = 0.1
MS_PER_S = 1000
# Longer ages are sent as this one.
MAX_CONTACT_AGE_MS = 3_600_000

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return the host and port of an ``address:port`` text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Another gateway; times are monotonic seconds, and 0 means never.

    ``known_since`` is when this gateway learned of it, ``heard_at`` when its last
    message came, ``store_contact_at`` when the platform's store last answered it.
    """

    name: str
    address: Address
    known_since: float = attrs.Factory(time.monotonic)
    heard_at: float = 0.0
    incarnation: int = 0
    sequence: int = 0
    callers: str = ""
    failure_domain: str = ""
    serving: bool = False
    silent: bool = False
    store_contact_at: float = 0.0


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
        store_contact_age_s: Callable[[], float],
    ):
        self.program = program
        self.settings = program.settings.gateway
        self.record = record
        self.reservations = reservations
        self.serving = serving
        self.store_contact_age_s = store_contact_age_s
        self.signer = DatagramSigner(secret=program.settings.inner.secret)
        self.peers: dict[str, Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.pending_reservations: dict[tuple[str, str], Holding] = {}
        self.pending_releases: list[Release] = []
        self.flush_scheduled = False
        self.flushed_at = 0.0
        self.far_pending_reservations: dict[tuple[str, str], Holding] = {}
        self.far_pending_releases: list[Release] = []
        self.far_state = self.make_state(full=False)
        self.handlers: dict[type, Callable[[Any, Peer], None]] = {}

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
        if isinstance(message, GatewayState):
            self.handle_state(message, addr)
            return
        handler = self.handlers.get(type(message))
        peer = self.peers.get(getattr(message, "node", ""))
        if handler is not None and peer is not None:
            handler(message, peer)

    def add_gateway(self, record: GatewayRecord) -> None:
        """Add a gateway from the store, or update the address of a silent one."""
        if record.name == self.record.name:
            return
        peer = self.peers.get(record.name)
        address = parse_address(record.peers)
        if peer is None:
            peer = Peer(name=record.name, address=address, callers=record.callers)
            peer.failure_domain = record.failure_domain
            self.peers[record.name] = peer
            self.send_message(self.make_state(full=True), [peer])
        elif not self.is_alive(peer):
            peer.address = address

    def retain_gateways(self, names: set[str]) -> None:
        """Remove the silent gateways that are not among those named."""
        for peer in list(self.peers.values()):
            if peer.name not in names and not self.is_alive(peer):
                del self.peers[peer.name]

    def silence_s(self, name: str) -> float:
        """Return the seconds since a gateway's last message, 0 for an unknown one."""
        peer = self.peers.get(name)
        if peer is None:
            return 0.0
        return time.monotonic() - max(peer.heard_at, peer.known_since)

    def handle_state(self, state: GatewayState, address: Address) -> None:
        """Handle a gateway's state, unless a newer one of it came before."""
        if state.node == self.record.name:
            return
        peer = self.peers.get(state.node)
        if peer is None:
            peer = self.peers[state.node] = Peer(name=state.node, address=address)
        version = (state.incarnation, state.sequence)
        if version <= (peer.incarnation, peer.sequence):
            return
        if peer.incarnation != state.incarnation:
            self.reservations.retain_peer_reservations(peer.name, set())
        if not peer.heard_at or peer.silent:
            self.program.events.emit(
                Event.GATEWAY_SEEN, gateway=peer.name, address=state.callers
            )
            self.send_message(self.make_state(full=True), [peer])
        peer.incarnation, peer.sequence = version
        peer.heard_at = time.monotonic()
        peer.silent = False
        peer.address = address
        peer.callers = state.callers
        peer.failure_domain = state.failure_domain
        peer.serving = state.serving
        peer.store_contact_at = peer.heard_at - state.contact_ms / MS_PER_S
        self.apply_holdings(peer, state)

    def apply_holdings(self, peer: Peer, state: GatewayState) -> None:
        """Apply the reservations that a gateway holds, has made or has released."""
        for holdings in state.holdings:
            for holding in holdings.items:
                self.reservations.record_peer_reservation(
                    peer.name, holdings.pool, holding
                )
        for release in state.ended:
            self.reservations.release_peer_reservation(peer.name, release)
        if state.full:
            names = {
                holding.reservation
                for holdings in state.holdings
                for holding in holdings.items
            }
            self.reservations.retain_peer_reservations(peer.name, names)

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a gateway's silence is within the limit."""
        peer_silence_s = time.monotonic() - peer.heard_at
        silence_factor = 1.0 if self.is_near(peer) else FAR_SILENCE_FACTOR
        return (
            peer_silence_s
            < self.settings.silent_s * self.interval_factor() * silence_factor
        )

    def interval_factor(self) -> float:
        """Return the heartbeat interval as a multiple of that of a small fleet."""
        return max(1.0, len(self.peers) / MAX_SMALL_FLEET_SIZE)

    def is_large_fleet(self) -> bool:
        """Return whether the fleet is too large to send all gateways every change."""
        return len(self.peers) > MAX_BROADCAST_FLEET_SIZE

    def is_near(self, peer: Peer) -> bool:
        """Return whether a gateway is sent every change of reservations at once."""
        if not self.is_large_fleet():
            return True
        return peer.failure_domain == self.record.failure_domain

    def alive(self) -> list[Peer]:
        """Return the gateways whose silence is within the limit."""
        return [peer for peer in self.peers.values() if self.is_alive(peer)]

    def fleet_contact_age_s(self) -> float:
        """Return the seconds since the store answered this gateway or a live peer."""
        now = time.monotonic()
        own = self.store_contact_age_s()
        return min([own, *(now - peer.store_contact_at for peer in self.alive())])

    def gateway_count(self) -> int:
        """Return how many gateways are known, including this one."""
        return 1 + len(self.peers)

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
        """Send the pending changes to the gateways that get them at once."""
        self.flush_scheduled = False
        self.flushed_at = time.monotonic()
        added, ended = self.pending_reservations, self.pending_releases
        self.pending_reservations, self.pending_releases = {}, []
        near = [peer for peer in self.alive() if self.is_near(peer)]
        self.send_message(self.state_of_changes(added, ended), near)
        if self.is_large_fleet():
            self.queue_for_far(added, ended)

    def state_of_changes(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> GatewayState:
        """Return a state that lists only some changes of reservations."""
        state = self.make_state(full=False)
        by_pool: dict[str, list[Holding]] = {}
        for (pool, _), holding in added.items():
            by_pool.setdefault(pool, []).append(holding)
        state.holdings = [Holdings(pool=p, items=i) for p, i in by_pool.items()]
        state.ended = ended
        return state

    def queue_for_far(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> None:
        """Keep changes for the next heartbeat to other failure domains.

        A reservation that is released before then is never sent to them.
        """
        self.far_pending_reservations.update(added)
        pools = {
            reservation: pool for pool, reservation in self.far_pending_reservations
        }
        for release in ended:
            pool = pools.get(release.reservation)
            if pool is None:
                self.far_pending_releases.append(release)
            else:
                del self.far_pending_reservations[pool, release.reservation]

    def send_state_to_all(self) -> None:
        """Send every gateway at once whether this one is serving."""
        self.send_message(self.make_state(full=False), self.alive())

    def make_state(self, *, full: bool) -> GatewayState:
        """Return this gateway's next state, listing all its reservations or none."""
        self.sequence += 1
        return GatewayState(
            node=self.record.name,
            failure_domain=self.record.failure_domain,
            callers=self.record.callers,
            incarnation=self.program.identity.incarnation,
            sequence=self.sequence,
            serving=self.serving(),
            contact_ms=min(
                MAX_CONTACT_AGE_MS, int(self.store_contact_age_s() * MS_PER_S)
            ),
            full=full,
            holdings=self.reservations.own_holdings() if full else [],
        )

    def send_message(self, message: Any, peers: list[Peer]) -> None:
        """Sign a message and send it to some gateways."""
        if self.transport is None or not peers:
            return
        envelope = Envelope(body=message, hlc=self.program.clock.now())
        data = self.signer.sign(pack_small(envelope))
        for peer in peers:
            self.transport.sendto(data, peer.address)

    def send_heartbeat(self, number: int, part: int = 0, parts: int = 1) -> None:
        """Send the heartbeat of a number to one part of the gateways.

        In a large fleet only one heartbeat in ``HEARTBEATS_PER_FULL_STATE`` holds the
        full state; between them, gateways of the same failure domain get the state
        without reservations, and those of others the pending changes.
        """
        peers = list(self.peers.values())[part::parts]
        if part == 0:
            self.far_state = self.state_of_changes(
                self.far_pending_reservations, self.far_pending_releases
            )
            if number % HEARTBEATS_PER_FAR_SEND == 0:
                self.far_pending_reservations, self.far_pending_releases = {}, []
        if self.interval_factor() == 1.0 or number % HEARTBEATS_PER_FULL_STATE == 0:
            self.send_message(self.make_state(full=True), peers)
            return
        interval_s = self.settings.heartbeat_s * self.interval_factor()
        # A recent message with changes has served as a heartbeat already.
        if time.monotonic() - self.flushed_at >= interval_s:
            near = [peer for peer in peers if self.is_near(peer)]
            self.send_message(self.make_state(full=False), near)
        if number % HEARTBEATS_PER_FAR_SEND == 0:
            far = [peer for peer in peers if not self.is_near(peer)]
            self.sequence += 1
            self.far_state.sequence = self.sequence
            self.send_message(self.far_state, far)

    async def run_heartbeats(self) -> None:
        """Send heartbeats and look for silent gateways until the process ends."""
        for number in itertools.count():
            parts = 1 if self.interval_factor() == 1.0 else HEARTBEAT_PART_COUNT
            for part in range(parts):
                self.send_heartbeat(number, part, parts)
                interval_s = self.settings.heartbeat_s * self.interval_factor()
                jitter = random.uniform(
                    1 - HEARTBEAT_JITTER_RATIO, 1 + HEARTBEAT_JITTER_RATIO
                )
                await asyncio.sleep(interval_s * jitter / parts)
            self.check_silence()

    def check_silence(self) -> None:
        """Mark silent gateways; expire the reservations of those silent for long."""
        now = time.monotonic()
        for peer in list(self.peers.values()):
            peer_silence_s = now - peer.heard_at
            if peer.heard_at and not peer.silent and not self.is_alive(peer):
                peer.silent = True
                self.program.events.emit(Event.GATEWAY_SILENT, gateway=peer.name)
            if peer_silence_s >= RESERVATION_EXPIRY_S * self.interval_factor():
                self.reservations.retain_peer_reservations(peer.name, set())

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered."""
        self.program.metrics.count("datagrams_undelivered")
