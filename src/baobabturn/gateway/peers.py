"""Signs of life between gateways, with the places at engines that each holds.

Each gateway sends all others a datagram at every heartbeat, and one more as soon
as it takes or gives back a place.  So each counts what is in flight at an engine
nearly as it is, and no two send their work to the same free place unless they do
so within one network delay.

In a large fleet only the gateways of the same failure domain hear of places at
once, and those of other domains with a heartbeat: what is told grows with the
requests times those who hear of them.  Engines near by are preferred there.
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
from baobabturn.membership.datagrams import Seal
from baobabturn.wire.codec import Envelope, pack_small, unpack_small
from baobabturn.wire.messages import GatewayState, Holding, Holdings, Release

# Changes within this are sent together.
CHANGE_BATCH_S = 0.002
# Silence after which a gateway's places are taken for free.
RESERVATION_EXPIRY_S = 3.0
# Fleets of more gateways than this send heartbeats less often.
MAX_SMALL_FLEET_SIZE = 32
# Fleets of more gateways than this don't tell all of every place at once.
MAX_BROADCAST_FLEET_SIZE = 128
# In a larger fleet one heartbeat of so many holds all places, and one of so many
# goes to other failure domains.
HEARTBEATS_PER_FULL_STATE = 4
HEARTBEATS_PER_FAR_SEND = 2
# Into so many parts a large fleet's heartbeat is split, sent one after another: all
# at once they would hold up answers on a slow link.
HEARTBEAT_PART_COUNT = 8
# Far gateways are heard of so much less often.
FAR_SILENCE_FACTOR = 1.5
# Of a heartbeat's pause, by chance, so that gateways don't all send at once.
HEARTBEAT_JITTER_RATIO = 0.1
MS_PER_S = 1000
MAX_CONTACT_AGE_MS = 3_600_000

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return an ``address:port`` text as the pair that sockets take."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Another gateway; times are monotonic seconds, ``heard`` is 0 for never.

    ``known`` is since when it is known, ``contact_at`` when the platform's store
    last answered it.
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
    """What the exchange of holdings needs of the pools."""

    def own_holdings(self) -> list[Holdings]:
        """Return all places that this gateway holds, by pool."""

    def record_peer_reservation(self, peer: str, pool: str, holding: Holding) -> None:
        """Take in a place that another gateway holds."""

    def release_peer_reservation(self, peer: str, release: Release) -> None:
        """Take in that another gateway gave a place back."""

    def retain_peer_reservations(self, peer: str, names: set[str]) -> None:
        """Drop a gateway's places that aren't among some names."""


class Peers(asyncio.DatagramProtocol):
    """The other gateways as this one hears them."""

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
        self.signer = Seal(secret=program.settings.inner.secret)
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
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take in a datagram."""
        message = self.signer.open(data)
        if message is None:
            self.program.metrics.count("datagrams_refused")
            return
        envelope = unpack_small(message)
        if isinstance(envelope, Failure):
            self.program.metrics.count("datagrams_refused")
            return
        self.program.clock.observe(envelope.hlc)
        body = envelope.body
        if isinstance(body, GatewayState):
            self.handle_state(body, addr)
            return
        handler = self.handlers.get(type(body))
        peer = self.peers.get(getattr(body, "node", ""))
        if handler is not None and peer is not None:
            handler(body, peer)

    def add_gateway(self, record: GatewayRecord) -> None:
        """Take in a gateway that the platform's store names."""
        if record.name == self.record.name:
            return
        peer = self.peers.get(record.name)
        address = parse_address(record.peers)
        if peer is None:
            peer = Peer(name=record.name, address=address, callers=record.callers)
            peer.failure_domain = record.failure_domain
            self.peers[record.name] = peer
            self.send_body(self.make_state(full=True), [peer])
        elif not self.is_alive(peer):
            peer.address = address

    def retain_gateways(self, names: set[str]) -> None:
        """Forget the silent gateways that have no record any more."""
        for peer in list(self.peers.values()):
            if peer.name not in names and not self.is_alive(peer):
                del self.peers[peer.name]

    def silence_s(self, name: str) -> float:
        """Return the seconds since a gateway was heard of, 0 for an unknown one."""
        peer = self.peers.get(name)
        if peer is None:
            return 0.0
        return time.monotonic() - max(peer.heard_at, peer.known_since)

    def handle_state(self, body: GatewayState, address: Address) -> None:
        """Take in a gateway's state."""
        if body.node == self.record.name:
            return
        peer = self.peers.get(body.node)
        if peer is None:
            peer = self.peers[body.node] = Peer(name=body.node, address=address)
        version = (body.incarnation, body.sequence)
        if version <= (peer.incarnation, peer.sequence):
            return
        if peer.incarnation != body.incarnation:
            self.reservations.retain_peer_reservations(peer.name, set())
        if not peer.heard_at or peer.silent:
            self.program.events.emit(
                Event.GATEWAY_SEEN, gateway=peer.name, address=body.callers
            )
            self.send_body(self.make_state(full=True), [peer])
        peer.incarnation, peer.sequence = version
        peer.heard_at = time.monotonic()
        peer.silent = False
        peer.address = address
        peer.callers = body.callers
        peer.failure_domain = body.failure_domain
        peer.serving = body.serving
        peer.store_contact_at = peer.heard_at - body.contact_ms / MS_PER_S
        self.apply_holdings(peer, body)

    def apply_holdings(self, peer: Peer, body: GatewayState) -> None:
        """Take in the places that a gateway holds, took or gave back."""
        for holdings in body.holdings:
            for holding in holdings.items:
                self.reservations.record_peer_reservation(
                    peer.name, holdings.pool, holding
                )
        for release in body.ended:
            self.reservations.release_peer_reservation(peer.name, release)
        if body.full:
            names = {
                holding.reservation
                for holdings in body.holdings
                for holding in holdings.items
            }
            self.reservations.retain_peer_reservations(peer.name, names)

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a gateway was heard of lately."""
        peer_silence_s = time.monotonic() - peer.heard_at
        silence_factor = 1.0 if self.is_near(peer) else FAR_SILENCE_FACTOR
        return (
            peer_silence_s
            < self.settings.silent_s * self.interval_factor() * silence_factor
        )

    def interval_factor(self) -> float:
        """Return by how much heartbeats are rarer than in a small fleet."""
        return max(1.0, len(self.peers) / MAX_SMALL_FLEET_SIZE)

    def is_large_fleet(self) -> bool:
        """Return whether the fleet is too large to tell all of every place."""
        return len(self.peers) > MAX_BROADCAST_FLEET_SIZE

    def is_near(self, peer: Peer) -> bool:
        """Return whether a gateway hears of every place at once."""
        if not self.is_large_fleet():
            return True
        return peer.failure_domain == self.record.failure_domain

    def alive(self) -> list[Peer]:
        """Return the gateways that were heard of lately."""
        return [peer for peer in self.peers.values() if self.is_alive(peer)]

    def store_silence_s(self) -> float:
        """Return how long the store has answered no gateway that is heard of."""
        now = time.monotonic()
        own = self.store_contact_age_s()
        return min([own, *(now - peer.store_contact_at for peer in self.alive())])

    def gateway_count(self) -> int:
        """Return how many gateways there are, this one counted."""
        return 1 + len(self.peers)

    def publish_reservation(self, pool: str, holding: Holding) -> None:
        """Tell the others of a place that this gateway took."""
        self.pending_reservations[pool, holding.reservation] = holding
        self.schedule_flush()

    def publish_release(self, release: Release) -> None:
        """Tell the others of a place that this gateway gave back."""
        self.pending_releases.append(release)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Send what changed a little later, together."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_later(CHANGE_BATCH_S, self.flush)

    def flush(self) -> None:
        """Send what changed to those who hear of it at once."""
        self.flush_scheduled = False
        self.flushed_at = time.monotonic()
        added, ended = self.pending_reservations, self.pending_releases
        self.pending_reservations, self.pending_releases = {}, []
        near = [peer for peer in self.alive() if self.is_near(peer)]
        self.send_body(self.state_of_changes(added, ended), near)
        if self.is_large_fleet():
            self.queue_for_far(added, ended)

    def state_of_changes(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> GatewayState:
        """Return a state that holds some changes of places."""
        body = self.make_state(full=False)
        by_pool: dict[str, list[Holding]] = {}
        for (pool, _), holding in added.items():
            by_pool.setdefault(pool, []).append(holding)
        body.holdings = [Holdings(pool=p, items=i) for p, i in by_pool.items()]
        body.ended = ended
        return body

    def queue_for_far(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> None:
        """Keep changes for the next heartbeat to other failure domains.

        A place that is given back before then is never told of.
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
        """Tell every gateway at once whether this one serves."""
        self.send_body(self.make_state(full=False), self.alive())

    def make_state(self, *, full: bool) -> GatewayState:
        """Return this gateway's state, with all that it holds or nothing."""
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

    def send_body(self, body: Any, peers: list[Peer]) -> None:
        """Send a message to some gateways."""
        if self.transport is None or not peers:
            return
        envelope = Envelope(body=body, hlc=self.program.clock.now())
        data = self.signer.close(pack_small(envelope))
        for peer in peers:
            self.transport.sendto(data, peer.address)

    def send_heartbeat(self, number: int, part: int = 0, parts: int = 1) -> None:
        """Send the heartbeat of a number to one part of those whose turn it is."""
        peers = list(self.peers.values())[part::parts]
        if part == 0:
            self.far_state = self.state_of_changes(
                self.far_pending_reservations, self.far_pending_releases
            )
            if number % HEARTBEATS_PER_FAR_SEND == 0:
                self.far_pending_reservations, self.far_pending_releases = {}, []
        if self.interval_factor() == 1.0 or number % HEARTBEATS_PER_FULL_STATE == 0:
            self.send_body(self.make_state(full=True), peers)
            return
        interval_s = self.settings.heartbeat_s * self.interval_factor()
        if time.monotonic() - self.flushed_at >= interval_s:
            # What was told of a place lately was a sign of life as well.
            near = [peer for peer in peers if self.is_near(peer)]
            self.send_body(self.make_state(full=False), near)
        if number % HEARTBEATS_PER_FAR_SEND == 0:
            far = [peer for peer in peers if not self.is_near(peer)]
            self.sequence += 1
            self.far_state.sequence = self.sequence
            self.send_body(self.far_state, far)

    async def run_heartbeats(self) -> None:
        """Send signs of life, and note who has gone silent."""
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
        """Note who has gone silent, and take its places for free after a while."""
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
