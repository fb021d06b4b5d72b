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
FLUSH_S = 0.002
# Silence after which a gateway's places are taken for free.
FORGET_S = 3.0
# Fleets of more gateways than this send heartbeats less often.
SMALL_FLEET = 32
# Fleets of more gateways than this don't tell all of every place at once.
LARGE_FLEET = 128
# In a larger fleet one heartbeat of so many holds all places, and one of so many
# goes to other failure domains.
FULL_EVERY = 4
FAR_EVERY = 2
# Into so many parts a large fleet's heartbeat is split, sent one after another: all
# at once they would hold up answers on a slow link.
PARTS = 8
# Far gateways are heard of so much less often.
FAR_PATIENCE = 1.5
# Of a heartbeat's pause, by chance, so that gateways don't all send at once.
JITTER = 0.1
MS = 1000
CONTACT_LIMIT_MS = 3_600_000

Address = tuple[str, int]


def address_of(text: str) -> Address:
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
    known: float = attrs.Factory(time.monotonic)
    heard: float = 0.0
    incarnation: int = 0
    sequence: int = 0
    callers: str = ""
    failure_domain: str = ""
    serving: bool = False
    silent: bool = False
    contact_at: float = 0.0


class Places(Protocol):
    """What the exchange of holdings needs of the pools."""

    def held_here(self) -> list[Holdings]:
        """Return all places that this gateway holds, by pool."""

    def take_foreign(self, peer: str, pool: str, holding: Holding) -> None:
        """Take in a place that another gateway holds."""

    def end_foreign(self, peer: str, release: Release) -> None:
        """Take in that another gateway gave a place back."""

    def keep_foreign(self, peer: str, names: set[str]) -> None:
        """Drop a gateway's places that aren't among some names."""


class Peers(asyncio.DatagramProtocol):
    """The other gateways as this one hears them."""

    def __init__(
        self,
        *,
        program: Program,
        record: GatewayRecord,
        places: Places,
        serving: Callable[[], bool],
        contact_s: Callable[[], float],
    ):
        self.program = program
        self.settings = program.settings.gateway
        self.record = record
        self.places = places
        self.serving = serving
        self.contact_s = contact_s
        self.seal = Seal(secret=program.settings.inner.secret)
        self.peers: dict[str, Peer] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.added: dict[tuple[str, str], Holding] = {}
        self.ended: list[Release] = []
        self.flushing = False
        self.flushed_at = 0.0
        self.far_added: dict[tuple[str, str], Holding] = {}
        self.far_ended: list[Release] = []
        self.far_news = self.state(full=False)
        self.handlers: dict[type, Callable[[Any, Peer], None]] = {}

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take in a datagram."""
        opened = self.seal.open(data)
        if opened is None:
            self.program.metrics.count("datagrams_refused")
            return
        envelope = unpack_small(opened)
        if isinstance(envelope, Failure):
            self.program.metrics.count("datagrams_refused")
            return
        self.program.clock.observe(envelope.hlc)
        body = envelope.body
        if isinstance(body, GatewayState):
            self.take(body, addr)
            return
        handler = self.handlers.get(type(body))
        peer = self.peers.get(getattr(body, "node", ""))
        if handler is not None and peer is not None:
            handler(body, peer)

    def add(self, record: GatewayRecord) -> None:
        """Take in a gateway that the platform's store names."""
        if record.name == self.record.name:
            return
        peer = self.peers.get(record.name)
        address = address_of(record.peers)
        if peer is None:
            peer = Peer(name=record.name, address=address, callers=record.callers)
            peer.failure_domain = record.failure_domain
            self.peers[record.name] = peer
            self.send_body(self.state(full=True), [peer])
        elif not self.is_alive(peer):
            peer.address = address

    def keep(self, names: set[str]) -> None:
        """Forget the silent gateways that have no record any more."""
        for peer in list(self.peers.values()):
            if peer.name not in names and not self.is_alive(peer):
                del self.peers[peer.name]

    def unheard_s(self, name: str) -> float:
        """Return the seconds since a gateway was heard of, 0 for an unknown one."""
        peer = self.peers.get(name)
        if peer is None:
            return 0.0
        return time.monotonic() - max(peer.heard, peer.known)

    def take(self, body: GatewayState, address: Address) -> None:
        """Take in a gateway's state."""
        if body.node == self.record.name:
            return
        peer = self.peers.get(body.node)
        if peer is None:
            peer = self.peers[body.node] = Peer(name=body.node, address=address)
        order = (body.incarnation, body.sequence)
        if order <= (peer.incarnation, peer.sequence):
            return
        if peer.incarnation != body.incarnation:
            self.places.keep_foreign(peer.name, set())
        if not peer.heard or peer.silent:
            self.program.events.emit(
                Event.GATEWAY_SEEN, gateway=peer.name, address=body.callers
            )
            self.send_body(self.state(full=True), [peer])
        peer.incarnation, peer.sequence = order
        peer.heard = time.monotonic()
        peer.silent = False
        peer.address = address
        peer.callers = body.callers
        peer.failure_domain = body.failure_domain
        peer.serving = body.serving
        peer.contact_at = peer.heard - body.contact_ms / MS
        self.take_places(peer, body)

    def take_places(self, peer: Peer, body: GatewayState) -> None:
        """Take in the places that a gateway holds, took or gave back."""
        for holdings in body.holdings:
            for holding in holdings.items:
                self.places.take_foreign(peer.name, holdings.pool, holding)
        for release in body.ended:
            self.places.end_foreign(peer.name, release)
        if body.full:
            names = {
                holding.reservation
                for holdings in body.holdings
                for holding in holdings.items
            }
            self.places.keep_foreign(peer.name, names)

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a gateway was heard of lately."""
        silence = time.monotonic() - peer.heard
        patience = 1.0 if self.is_near(peer) else FAR_PATIENCE
        return silence < self.settings.silent_s * self.pace() * patience

    def pace(self) -> float:
        """Return by how much heartbeats are rarer than in a small fleet."""
        return max(1.0, len(self.peers) / SMALL_FLEET)

    def is_large(self) -> bool:
        """Return whether the fleet is too large to tell all of every place."""
        return len(self.peers) > LARGE_FLEET

    def is_near(self, peer: Peer) -> bool:
        """Return whether a gateway hears of every place at once."""
        if not self.is_large():
            return True
        return peer.failure_domain == self.record.failure_domain

    def alive(self) -> list[Peer]:
        """Return the gateways that were heard of lately."""
        return [peer for peer in self.peers.values() if self.is_alive(peer)]

    def store_silent_s(self) -> float:
        """Return how long the store has answered no gateway that is heard of."""
        now = time.monotonic()
        own = self.contact_s()
        return min([own, *(now - peer.contact_at for peer in self.alive())])

    def count(self) -> int:
        """Return how many gateways there are, this one counted."""
        return 1 + len(self.peers)

    def took(self, pool: str, holding: Holding) -> None:
        """Tell the others of a place that this gateway took."""
        self.added[pool, holding.reservation] = holding
        self.flush_soon()

    def gave_back(self, release: Release) -> None:
        """Tell the others of a place that this gateway gave back."""
        self.ended.append(release)
        self.flush_soon()

    def flush_soon(self) -> None:
        """Send what changed a little later, together."""
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Send what changed to those who hear of it at once."""
        self.flushing = False
        self.flushed_at = time.monotonic()
        added, ended = self.added, self.ended
        self.added, self.ended = {}, []
        near = [peer for peer in self.alive() if self.is_near(peer)]
        self.send_body(self.changes(added, ended), near)
        if self.is_large():
            self.keep_for_far(added, ended)

    def changes(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> GatewayState:
        """Return a state that holds some changes of places."""
        body = self.state(full=False)
        by_pool: dict[str, list[Holding]] = {}
        for (pool, _), holding in added.items():
            by_pool.setdefault(pool, []).append(holding)
        body.holdings = [Holdings(pool=p, items=i) for p, i in by_pool.items()]
        body.ended = ended
        return body

    def keep_for_far(
        self, added: dict[tuple[str, str], Holding], ended: list[Release]
    ) -> None:
        """Keep changes for the next heartbeat to other failure domains.

        A place that is given back before then is never told of.
        """
        self.far_added.update(added)
        pools = {reservation: pool for pool, reservation in self.far_added}
        for release in ended:
            pool = pools.get(release.reservation)
            if pool is None:
                self.far_ended.append(release)
            else:
                del self.far_added[pool, release.reservation]

    def tell_all(self) -> None:
        """Tell every gateway at once whether this one serves."""
        self.send_body(self.state(full=False), self.alive())

    def state(self, *, full: bool) -> GatewayState:
        """Return this gateway's state, with all that it holds or nothing."""
        self.sequence += 1
        return GatewayState(
            node=self.record.name,
            failure_domain=self.record.failure_domain,
            callers=self.record.callers,
            incarnation=self.program.identity.incarnation,
            sequence=self.sequence,
            serving=self.serving(),
            contact_ms=min(CONTACT_LIMIT_MS, int(self.contact_s() * MS)),
            full=full,
            holdings=self.places.held_here() if full else [],
        )

    def send_body(self, body: Any, peers: list[Peer]) -> None:
        """Send a message to some gateways."""
        if self.transport is None or not peers:
            return
        envelope = Envelope(body=body, hlc=self.program.clock.now())
        data = self.seal.close(pack_small(envelope))
        for peer in peers:
            self.transport.sendto(data, peer.address)

    def send_heartbeat(self, number: int, part: int = 0, parts: int = 1) -> None:
        """Send the heartbeat of a number to one part of those whose turn it is."""
        peers = list(self.peers.values())[part::parts]
        if part == 0:
            self.far_news = self.changes(self.far_added, self.far_ended)
            if number % FAR_EVERY == 0:
                self.far_added, self.far_ended = {}, []
        if self.pace() == 1.0 or number % FULL_EVERY == 0:
            self.send_body(self.state(full=True), peers)
            return
        interval_s = self.settings.heartbeat_s * self.pace()
        if time.monotonic() - self.flushed_at >= interval_s:
            # What was told of a place lately was a sign of life as well.
            near = [peer for peer in peers if self.is_near(peer)]
            self.send_body(self.state(full=False), near)
        if number % FAR_EVERY == 0:
            far = [peer for peer in peers if not self.is_near(peer)]
            self.sequence += 1
            self.far_news.sequence = self.sequence
            self.send_body(self.far_news, far)

    async def beat(self) -> None:
        """Send signs of life, and note who has gone silent."""
        for number in itertools.count():
            parts = 1 if self.pace() == 1.0 else PARTS
            for part in range(parts):
                self.send_heartbeat(number, part, parts)
                interval_s = self.settings.heartbeat_s * self.pace()
                jitter = random.uniform(1 - JITTER, 1 + JITTER)
                await asyncio.sleep(interval_s * jitter / parts)
            self.note_silence()

    def note_silence(self) -> None:
        """Note who has gone silent, and take its places for free after a while."""
        now = time.monotonic()
        for peer in list(self.peers.values()):
            silence = now - peer.heard
            if peer.heard and not peer.silent and not self.is_alive(peer):
                peer.silent = True
                self.program.events.emit(Event.GATEWAY_SILENT, gateway=peer.name)
            if silence >= FORGET_S * self.pace():
                self.places.keep_foreign(peer.name, set())

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered."""
        self.program.metrics.count("datagrams_undelivered")
