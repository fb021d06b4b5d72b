"""Probes members, directly and through others, and detects which are silent."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from baobabturn.membership.messenger import NEWS, Address, address_of
from baobabturn.membership.owners import ALIVE, DEAD, LIVE_STATES, SUSPECT
from baobabturn.membership.table import MemberRecord
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
    """An unanswered probe of one member, repeated until it is answered or expires."""

    name: str
    started: float
    sequence: int


@attrs.frozen(kw_only=True)
class Relayed:
    """A probe sent on behalf of another member, which waits for an indirect ack."""

    origin: Address
    sequence: int
    sent: float


class Prober:
    """Probes the members in rounds of random order, each once in a round."""

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
        """Check open probes, start another, and search for lost members."""
        now = time.monotonic()
        self.ticks += 1
        for position, probe in enumerate(list(self.open.values())):
            self.judge(probe, now, position < RELAYED_PROBES_LIMIT)
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
        """Return the name of the member to probe next, None if there is none."""
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
        """Start a probe of a member."""
        probe = Probe(name=name, started=now, sequence=self.number())
        self.open[name] = probe
        return probe

    def judge(self, probe: Probe, now: float, with_relays: bool) -> None:
        """Repeat an open probe, or suspect the member after ``suspect_s``."""
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
        if record.suspect_since is None:
            record.suspect_since = now
        if record.member.state == ALIVE:
            self.membership.mark(record, SUSPECT)

    def judge_doubt(self, record: MemberRecord, now: float) -> None:
        """Declare a member dead that was a suspect for too long."""
        if record.suspect_since is None or record.member.state == DEAD:
            return
        limit = self.settings.dead_s - self.settings.suspect_s
        if now - record.suspect_since >= limit:
            self.membership.mark(record, DEAD)

    def ping(self, probe: Probe) -> None:
        """Send one probe; a suspect is told that it is one."""
        member = self.table.records[probe.name].member
        self.send_ping(member, probe.sequence, doubts(member))

    def send_ping(self, member: Member, sequence: int, told: list[Member]) -> None:
        """Send a probe that also carries updates which the member may refute."""
        messenger = self.membership.messenger
        messenger.send(PING, address_of(member), sequence, member.name, told)

    def ask_relays(self, probe: Probe) -> None:
        """Ask a few members to probe a silent one for this host."""
        for member in self.membership.some(self.settings.fanout):
            if member.name != probe.name:
                self.membership.messenger.send(
                    RELAY, address_of(member), probe.sequence, probe.name
                )

    def ask(self, member: Member) -> None:
        """Probe a member outside the round, with an update that it may refute."""
        self.send_ping(member, self.number(), doubts(member))

    def search(self, limit: int) -> None:
        """Probe random addresses at which unknown or dead members may listen."""
        members = list(self.table.members())
        live = {address_of(m) for m in members if m.state != DEAD}
        known = {address_of(member) for member in members}
        lost = sorted({*self.seeds, *self.remembered, *known} - live)
        for address in self.random.sample(lost, min(limit, len(lost))):
            self.membership.messenger.send(PING, address, self.number())

    def remember(self, address: Address) -> None:
        """Keep the address of an expired member, in case its host comes back."""
        self.remembered[address] = None
        while len(self.remembered) > ADDRESS_LIMIT:
            self.remembered.pop(next(iter(self.remembered)))

    def expire(self, before: float) -> None:
        """Remove probes sent on behalf of others before a time."""
        for sequence, probe in list(self.relayed.items()):
            if probe.sent < before:
                del self.relayed[sequence]

    def answered(self, sequence: int) -> str | None:
        """Close the probe with a sequence number; return the name of its member."""
        for name, probe in self.open.items():
            if probe.sequence == sequence:
                del self.open[name]
                return name
        return None

    def take_ping(self, beat: Heartbeat, address: Address) -> None:
        """Answer a probe that is meant for this host."""
        if beat.target in ("", self.membership.me.name):
            required = self.told_of(beat.node)
            messenger = self.membership.messenger
            differs = beat.digest != self.table.digest
            messenger.send(ACK, address, beat.sequence, beat.node, required, differs)

    def take_ack(self, beat: Heartbeat, address: Address) -> None:
        """Close a probe, or send an indirect ack to the member that asked for it."""
        probe = self.relayed.pop(beat.sequence, None)
        if probe is None:
            if self.answered(beat.sequence) and beat.digest != self.table.digest:
                messenger = self.membership.messenger
                messenger.send(NEWS, address, lacking=True)
            return
        record = self.table.records.get(beat.node)
        required = [record.member] if record is not None else []
        self.membership.messenger.send(
            VOUCH, probe.origin, probe.sequence, beat.node, required
        )

    def take_vouch(self, beat: Heartbeat, address: Address) -> None:
        """Close a probe that was answered to another member."""
        name = self.answered(beat.sequence)
        record = self.table.records.get(name or "")
        if record is not None and name == beat.target:
            self.table.record_heartbeat(beat.target, record.member.revision)

    def take_relay(self, beat: Heartbeat, address: Address) -> None:
        """Probe a member on behalf of another."""
        record = self.table.records.get(beat.target)
        if record is None:
            return
        sequence = self.number()
        self.relayed[sequence] = Relayed(
            origin=address, sequence=beat.sequence, sent=time.monotonic()
        )
        self.send_ping(record.member, sequence, doubts(record.member))

    def take_news(self, beat: Heartbeat, address: Address) -> None:
        """Answer a sender that is suspect or dead here, so that it can refute this."""
        required = self.told_of(beat.node)
        if required:
            self.membership.messenger.send(ACK, address, 0, beat.node, required)

    def told_of(self, name: str) -> list[Member]:
        """Return the update about a sender that it may refute, as a list of 0 or 1.

        A sender whose record has expired is told of its tombstone.
        """
        record = self.table.records.get(name)
        if record is not None:
            return doubts(record.member)
        tombstone = self.table.tombstones.get(name)
        if tombstone is None:
            return []
        return [Member(name=name, incarnation=tombstone[0], state=DEAD)]


def doubts(member: Member) -> list[Member]:
    """Return a list with the member if it is suspect or dead, else an empty one."""
    return [] if member.state in LIVE_STATES else [member]
