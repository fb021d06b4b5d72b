"""Probes single members, directly and through relays, and judges their silence."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from baobabturn.membership.messenger import NEWS, Address, address_of
from baobabturn.membership.owners import ALIVE, DEAD, LIVE_STATES, SUSPECT
from baobabturn.membership.table import Record
from baobabturn.wire.messages import Heartbeat, Member

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

PING, ACK, RELAY, VOUCH = "ping", "ack", "relay", "vouch"
SEARCH_EVERY_TICKS = 4
SEARCH_LIMIT = 8
RELAYED_PROBES_LIMIT = 2
ADDRESS_LIMIT = 2048


@attrs.define(kw_only=True)
class Probe:
    """An unanswered probe of one member, repeated until it is settled."""

    name: str
    started: float
    sequence: int


@attrs.frozen(kw_only=True)
class Relayed:
    """A probe that was sent for another member, and who waits for its answer."""

    origin: Address
    sequence: int
    sent: float


class Prober:
    """Goes round the members in random order; each is probed once in a round."""

    def __init__(self, *, membership: Membership):
        self.membership = membership
        self.table = membership.table
        self.settings = membership.settings
        self.random = random.Random(membership.me.name)
        self.open: dict[str, Probe] = {}
        self.relayed: dict[int, Relayed] = {}
        self.round: list[str] = []
        self.seeds: set[Address] = set()
        self.remembered: dict[Address, None] = {}
        self.sequence = 0
        self.ticks = 0

    def number(self) -> int:
        """Return the next sequence number."""
        self.sequence += 1
        return self.sequence

    def tick(self) -> None:
        """Judge open probes, begin another, and look for lost members."""
        now = time.monotonic()
        self.ticks += 1
        for place, probe in enumerate(list(self.open.values())):
            self.judge(probe, now, place < RELAYED_PROBES_LIMIT)
        for record in list(self.table.records.values()):
            self.judge_doubt(record, now)
        self.expire(now - self.settings.suspect_s)
        name = self.next_name()
        if name is not None:
            self.ping(self.begin(name, now))
        alone = name is None and not self.open
        if alone or self.ticks % SEARCH_EVERY_TICKS == 0:
            self.search(SEARCH_LIMIT if alone else 1)

    def next_name(self) -> str | None:
        """Return the member to probe next, None where there is none."""
        for _ in range(len(self.round) + 1):
            if not self.round:
                self.round = [
                    name
                    for name, record in self.table.records.items()
                    if record.member.state != DEAD
                ]
                self.random.shuffle(self.round)
            if not self.round:
                return None
            name = self.round.pop()
            record = self.table.records.get(name)
            known = record is not None and record.member.state != DEAD
            if known and name not in self.open:
                return name
        return None

    def begin(self, name: str, now: float) -> Probe:
        """Open a probe."""
        probe = Probe(name=name, started=now, sequence=self.number())
        self.open[name] = probe
        return probe

    def judge(self, probe: Probe, now: float, with_relays: bool) -> None:
        """Repeat an open probe, or doubt the member after long silence."""
        record = self.table.records.get(probe.name)
        if record is None or record.member.state == DEAD:
            del self.open[probe.name]
            return
        if now - probe.started < self.settings.suspect_s:
            self.ping(probe)
            if with_relays and record.member.state != SUSPECT:
                self.ask_relays(probe)
            return
        del self.open[probe.name]
        if record.doubted is None:
            record.doubted = now
        if record.member.state == ALIVE:
            self.membership.mark(record, SUSPECT)

    def judge_doubt(self, record: Record, now: float) -> None:
        """Declare a member dead that has been in doubt for long."""
        if record.doubted is None or record.member.state == DEAD:
            return
        limit = self.settings.dead_s - self.settings.suspect_s
        if now - record.doubted >= limit:
            self.membership.mark(record, DEAD)

    def ping(self, probe: Probe) -> None:
        """Send one probe; a member in doubt is told so."""
        member = self.table.records[probe.name].member
        self.send_ping(member, probe.sequence, doubts(member))

    def send_ping(self, member: Member, sequence: int, told: list[Member]) -> None:
        """Send a probe to a member with what it may want to refute."""
        messenger = self.membership.messenger
        messenger.send(PING, address_of(member), sequence, member.name, told)

    def ask_relays(self, probe: Probe) -> None:
        """Ask a few members to probe a silent one."""
        for member in self.membership.some(self.settings.fanout):
            if member.name != probe.name:
                self.membership.messenger.send(
                    RELAY, address_of(member), probe.sequence, probe.name
                )

    def ask(self, member: Member) -> None:
        """Probe a member out of turn, telling it what is said of it."""
        self.send_ping(member, self.number(), doubts(member))

    def search(self, limit: int) -> None:
        """Probe addresses at which unknown or dead members may be."""
        members = list(self.table.members())
        live = {address_of(m) for m in members if m.state != DEAD}
        known = {address_of(member) for member in members}
        lost = sorted({*self.seeds, *self.remembered, *known} - live)
        for address in self.random.sample(lost, min(limit, len(lost))):
            self.membership.messenger.send(PING, address, self.number())

    def remember(self, address: Address) -> None:
        """Keep an address to look at again, should its host come back."""
        self.remembered[address] = None
        while len(self.remembered) > ADDRESS_LIMIT:
            self.remembered.pop(next(iter(self.remembered)))

    def expire(self, before: float) -> None:
        """Forget probes sent for others before a time."""
        for number, relayed in list(self.relayed.items()):
            if relayed.sent < before:
                del self.relayed[number]

    def answered(self, sequence: int) -> str | None:
        """Settle the probe with a sequence number; return whose it was."""
        for name, probe in self.open.items():
            if probe.sequence == sequence:
                del self.open[name]
                return name
        return None

    def take_ping(self, beat: Heartbeat, address: Address) -> None:
        """Answer a probe that is meant for this host."""
        if beat.target in ("", self.membership.me.name):
            told = self.told_of(beat.node)
            messenger = self.membership.messenger
            lacking = beat.digest != self.table.digest
            messenger.send(ACK, address, beat.sequence, beat.node, told, lacking)

    def take_ack(self, beat: Heartbeat, address: Address) -> None:
        """Settle a probe, or hand the answer to the member that it was for."""
        relayed = self.relayed.pop(beat.sequence, None)
        if relayed is None:
            if self.answered(beat.sequence) and beat.digest != self.table.digest:
                messenger = self.membership.messenger
                messenger.send(NEWS, address, lacking=True)
            return
        record = self.table.records.get(beat.node)
        about = [record.member] if record is not None else []
        self.membership.messenger.send(
            VOUCH, relayed.origin, relayed.sequence, beat.node, about
        )

    def take_vouch(self, beat: Heartbeat, address: Address) -> None:
        """Settle a probe that another member saw answered."""
        name = self.answered(beat.sequence)
        record = self.table.records.get(name or "")
        if record is not None and name == beat.target:
            self.table.heard(beat.target, record.member.revision)

    def take_relay(self, beat: Heartbeat, address: Address) -> None:
        """Probe a member on another's behalf."""
        record = self.table.records.get(beat.target)
        if record is None:
            return
        number = self.number()
        self.relayed[number] = Relayed(
            origin=address, sequence=beat.sequence, sent=time.monotonic()
        )
        self.send_ping(record.member, number, doubts(record.member))

    def take_news(self, beat: Heartbeat, address: Address) -> None:
        """Tell a sender that is in doubt here, so that it may refute."""
        told = self.told_of(beat.node)
        if told:
            self.membership.messenger.send(ACK, address, 0, beat.node, told)

    def told_of(self, name: str) -> list[Member]:
        """Return what a sender must know that is held of itself."""
        record = self.table.records.get(name)
        if record is not None:
            return doubts(record.member)
        grave = self.table.graves.get(name)
        if grave is None:
            return []
        return [Member(name=name, incarnation=grave[0], state=DEAD)]


def doubts(member: Member) -> list[Member]:
    """Return what is to be said to a member that it may want to refute."""
    return [] if member.state in LIVE_STATES else [member]
