"""A fleet of gateways in one process, on a clock and a network of its own."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Any

import attrs

from baobabturn.core.program import Program
from baobabturn.gateway.directory import Directory
from baobabturn.gateway.domainloads import SEND_INTERVAL_S, DomainLoads
from baobabturn.gateway.limitnews import LimitExchange
from baobabturn.gateway.partnews import PartNewsExchange
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.platforminterface import GatewayRecord
from baobabturn.gateway.routes import RouteTable
from baobabturn.gateway.watchers import Watchers
from baobabturn.placement.homes import DomainRegions
from baobabturn.quarantine.ledger import CrashLedger
from baobabturn.settings.load import load
from baobabturn.wire.gatewaymessages import EngineLoad
from baobabturn.wire.messages import Holding, Holdings, Release

SETTINGS = load(None, []).settings
LIMITED_ENDPOINT = "limited"


class FleetClock:
    """The time of all gateways, in seconds."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class Reservations:
    """What one gateway knows of reservations, its own and others'."""

    def __init__(self):
        self.own: dict[str, Holding] = {}
        self.by_peer: dict[str, dict[str, Holding]] = collections.defaultdict(dict)
        self.remote: dict[str, list[EngineLoad]] = {}

    def own_holdings(self) -> list[Holdings]:
        """Return the own reservations."""
        if not self.own:
            return []
        return [Holdings(pool="p", items=list(self.own.values()))]

    def record_peer_reservation(self, peer: str, pool: str, holding: Holding) -> None:
        """Keep another gateway's reservation."""
        self.by_peer[peer][holding.reservation] = holding

    def release_peer_reservation(self, peer: str, release: Release) -> None:
        """Drop another gateway's reservation."""
        self.by_peer[peer].pop(release.reservation, None)

    def retain_peer_reservations(self, peer: str, names: set[str]) -> None:
        """Drop all of another gateway's reservations that aren't named."""
        for name in self.by_peer[peer].keys() - names:
            del self.by_peer[peer][name]

    def own_domain_load(self) -> list[EngineLoad]:
        """Return the load by all reservations known one by one."""
        held = [*self.own.values()]
        held += [each for known in self.by_peer.values() for each in known.values()]
        if not held:
            return []
        tokens = sum(holding.prompt_tokens for holding in held)
        return [EngineLoad(pool="p", endpoint="e", tokens=tokens, requests=len(held))]

    def apply_domain_load(self, domain: str, loads: list[EngineLoad]) -> None:
        """Keep the aggregate of another failure domain."""
        self.remote[domain] = loads


class KnownEndpoints:
    """The endpoints that a gateway knows: one, which names a limit."""

    def __init__(self):
        self.by_name = {LIMITED_ENDPOINT: None}
        self.leaving_listeners: list[Any] = []
        self.entry_listeners: list[Any] = []
        self.opening_listeners: list[Any] = []

    def usable(self, service: str) -> list[Any]:
        """Return none, as the service has no other endpoint."""
        return []


class FleetGateway:
    """One gateway without a process: its peers, watchers and aggregates."""

    def __init__(self, *, number: int, domain: str, fleet: Fleet):
        self.name = f"g{number}"
        self.address = (f"10.0.{number // 250}.{number % 250}", 7200)
        self.domain = domain
        self.fleet = fleet
        self.alive = True
        self.deaf_to: set[tuple[str, int]] = set()
        self.received = 0
        self.received_bytes = 0
        self.sent: list[tuple[tuple[str, int], bytes]] = []
        self.serving = True
        self.start()

    def start(self) -> None:
        """Begin as a new process that knows nobody."""
        program = Program(role="gateway", settings=SETTINGS)
        self.fleet.starts += 1
        program.identity = attrs.evolve(program.identity, incarnation=self.fleet.starts)
        self.record = GatewayRecord(
            name=self.name,
            peers=f"{self.address[0]}:{self.address[1]}",
            callers=f"{self.address[0]}:8740",
            failure_domain=self.domain,
        )
        self.reservations = Reservations()
        self.peers = Peers(
            program=program,
            record=self.record,
            reservations=self.reservations,
            serving=lambda: self.serving,
        )
        self.peers.table.clock = self.fleet.clock
        self.peers.table.restart_silence()
        self.peers.transport = self
        self.peers.exchange.schedule = self.fleet.schedule
        self.watchers = Watchers(table=self.peers.table)
        self.loads = DomainLoads(
            program=program,
            peers=self.peers,
            pools=self.reservations,
            watchers=self.watchers,
        )
        self.directory = Directory(
            peers=self.peers,
            domain_loads=self.loads,
            regions=DomainRegions(by_domain=self.fleet.regions),
            table=lambda: self.fleet.table,
        )
        self.ledger = CrashLedger(clock=self.fleet.clock)
        self.part_news = PartNewsExchange(
            peers=self.peers,
            watchers=self.watchers,
            ledger=self.ledger,
            schedule=self.fleet.schedule,
        )
        self.loads.send_listeners.append(self.part_news.send_active_parts)
        self.endpoints = KnownEndpoints()
        self.limits = LimitExchange(
            program=program,
            peers=self.peers,
            far_loads=self.loads.far_loads,
            endpoints=self.endpoints,
        )
        self.limits.limits.clock = self.fleet.clock
        self.limits.demand.clock = self.fleet.clock
        self.loads.tick_listeners.append(self.limits.exchange_demand)
        self.loads.load_listeners.append(self.limits.handle_domain_load)
        self.loads.limits = self.limits.domain_limits
        self.limits.brittle.known.clock = self.fleet.clock

    def is_closing(self) -> bool:
        """Return that the socket is open."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.sent.append((address, data))
        self.fleet.datagrams.append((self.address, address, data))

    def receive(self, sender: tuple[str, int], data: bytes) -> None:
        """Take a datagram, unless this gateway is down or doesn't hear the sender."""
        if not self.alive or sender in self.deaf_to:
            return
        self.received += 1
        self.received_bytes += len(data)
        self.peers.datagram_received(data, sender)

    def take(self, name: str, tokens: int = 0) -> None:
        """Make a reservation and publish it."""
        holding = Holding(reservation=name, endpoint="e", prompt_tokens=tokens)
        self.reservations.own[name] = holding
        self.peers.flush_scheduled = True
        self.peers.publish_reservation("p", holding)
        self.peers.flush()

    def advance(self, name: str, produced: int) -> None:
        """Publish how many tokens a generation has produced."""
        holding = self.reservations.own[name]
        holding.produced = produced
        self.peers.flush_scheduled = True
        self.peers.publish_reservation("p", holding)
        self.peers.flush()

    def release(self, name: str) -> None:
        """Release a reservation and publish that."""
        del self.reservations.own[name]
        self.peers.flush_scheduled = True
        self.peers.publish_release(Release(reservation=name))
        self.peers.flush()

    def sees(self, other: FleetGateway) -> bool:
        """Return whether this gateway takes another one for alive."""
        peer = self.peers.table.peers.get(other.name)
        return peer is not None and self.peers.table.is_alive(peer)


class Fleet:
    """Gateways that exchange datagrams at once, in steps of one heartbeat."""

    def __init__(self, *, size: int, domains: int):
        self.clock = FleetClock()
        self.datagrams: collections.deque[Any] = collections.deque()
        self.starts = 0
        self.loads_due_at = self.clock.now
        self.loss_ratio = 0.0
        # Takes a datagram's sender, receiver and bytes; true for one that gets lost.
        self.is_lost: Callable[[FleetGateway, FleetGateway, bytes], bool] | None = None
        self.random = random.Random(size)
        self.scheduled: list[tuple[float, Callable[[], None]]] = []
        self.regions: dict[str, str] = {}
        self.table: RouteTable | None = None
        self.gateways = [
            FleetGateway(number=number, domain=f"z{number % domains}", fleet=self)
            for number in range(size)
        ]
        self.by_address = {each.address: each for each in self.gateways}

    def introduce(self) -> None:
        """Let every gateway that is up read the records of all."""
        records = [each.record for each in self.gateways]
        for gateway in self.running():
            gateway.peers.add_gateways(records)
        self.deliver()

    def running(self) -> list[FleetGateway]:
        """Return the gateways that are up."""
        return [each for each in self.gateways if each.alive]

    def deliver(self) -> None:
        """Deliver all datagrams, and those that they bring about."""
        while self.datagrams:
            sender, address, data = self.datagrams.popleft()
            if self.random.random() < self.loss_ratio:
                continue
            receiver = self.by_address.get(address)
            if receiver is None:
                continue
            if self.is_lost is None or not self.is_lost(
                self.by_address[sender], receiver, data
            ):
                receiver.receive(sender, data)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function once time has passed."""
        self.scheduled.append((self.clock.now + delay_s, callback))

    def settle(self, seconds: float) -> None:
        """Let a moment pass without heartbeats."""
        self.deliver()
        self.clock.now += seconds
        self.call_scheduled()

    def call_scheduled(self) -> None:
        """Call the functions that are due."""
        due = [each for each in self.scheduled if each[0] <= self.clock.now]
        self.scheduled = [each for each in self.scheduled if each[0] > self.clock.now]
        for _, callback in due:
            callback()
        self.deliver()

    def pass_time(self, seconds: float) -> None:
        """Let time pass, a heartbeat of each gateway at each step."""
        end = self.clock.now + seconds
        while self.clock.now < end - 1e-6:
            self.clock.now += SETTINGS.gateway.heartbeat_s
            for gateway in self.running():
                gateway.peers.send_heartbeat()
            self.deliver()
            for gateway in self.running():
                gateway.peers.check_silence()
            self.deliver()
            self.call_scheduled()
            self.exchange_loads()

    def exchange_loads(self) -> None:
        """Let the watchers send their domains' aggregates when these are due."""
        if self.clock.now < self.loads_due_at:
            return
        self.loads_due_at = self.clock.now + SEND_INTERVAL_S
        for gateway in self.running():
            gateway.loads.tick()
        self.deliver()
