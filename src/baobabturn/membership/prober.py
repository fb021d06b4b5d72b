"""Probes members, directly and through others, and detects which are silent."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from baobabturn.membership.messenger import GOSSIP, Address, address_of
from baobabturn.membership.owners import ALIVE, DEAD, LIVE_STATES, SUSPECT
from baobabturn.membership.table import MemberRecord
from baobabturn.wire.messages import Heartbeat, Member

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

# Kinds of heartbeats, as they are sent.
PING, ACK, INDIRECT_PROBE, INDIRECT_ACK = "ping", "ack", "relay", "vouch"
SEARCH_INTERVAL_TICKS = 4  # between searches for lost members
MAX_SEARCH_PROBES = 8  # in each tick while no member can be probed, else 1
MAX_INDIRECTLY_PROBED_MEMBERS = 2  # in each tick
MAX_LOST_ADDRESSES = 2048


@attrs.define(kw_only=True)
class Probe:
    """A ping of one member, repeated in each tick until it is answered or expires."""

    name: str
    started: float
    sequence: int


@attrs.frozen(kw_only=True)
class IndirectProbe:
    """A probe sent on behalf of another member, which waits for an indirect ack."""

    requester: Address
    sequence: int
    sent: float


class Prober:
    """Probes the members in rounds of random order, each once in a round."""

    def __init__(self, *, membership: Membership):
        self.membership = membership
        self.table = membership.table
        self.settings = membership.settings
        self.random = random.Random(membership.me.name)
        self.open_probes: dict[str, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.remaining_names: list[str] = []
        self.seeds: set[Address] = set()
        self.lost_addresses: dict[Address, None] = {}
        self.sequence = 0
        self.ticks = 0

    def next_sequence(self) -> int:
        """Return the next sequence number."""
        self.sequence += 1
        return self.sequence

    def tick(self) -> None:
        """Check open probes, start another, and search for lost members."""
        now = time.monotonic()
        self.ticks += 1
        for position, probe in enumerate(list(self.open_probes.values())):
            self.check_probe(probe, now, position < MAX_INDIRECTLY_PROBED_MEMBERS)
        for record in list(self.table.records.values()):
            self.check_suspicion(record, now)
        self.expire_indirect_probes(now - self.settings.suspect_s)
        name = self.next_name()
        if name is not None:
            self.ping(self.start_probe(name, now))
        alone = name is None and not self.open_probes
        if alone or self.ticks % SEARCH_INTERVAL_TICKS == 0:
            self.search_lost(MAX_SEARCH_PROBES if alone else 1)

    def next_name(self) -> str | None:
        """Return the name of the member to probe next, None if there is none."""
        for _ in range(len(self.remaining_names) + 1):
            if not self.remaining_names:
                self.remaining_names = [
                    name
                    for name, record in self.table.records.items()
                    if record.member.state != DEAD
                ]
                self.random.shuffle(self.remaining_names)
            if not self.remaining_names:
                return None
            name = self.remaining_names.pop()
            record = self.table.records.get(name)
            known = record is not None and record.member.state != DEAD
            if known and name not in self.open_probes:
                return name
        return None

    def start_probe(self, name: str, now: float) -> Probe:
        """Start a probe of a member."""
        probe = Probe(name=name, started=now, sequence=self.next_sequence())
        self.open_probes[name] = probe
        return probe

    def check_probe(self, probe: Probe, now: float, indirectly: bool) -> None:
        """Repeat an open probe, or suspect the member after ``suspect_s``."""
        record = self.table.records.get(probe.name)
        if record is None or record.member.state == DEAD:
            del self.open_probes[probe.name]
            return
        if now - probe.started < self.settings.suspect_s:
            self.ping(probe)
            if indirectly and record.member.state != SUSPECT:
                self.send_indirect_probes(probe)
            return
        del self.open_probes[probe.name]
        if record.suspect_since is None:
            record.suspect_since = now
        if record.member.state == ALIVE:
            self.membership.declare_state(record, SUSPECT)

    def check_suspicion(self, record: MemberRecord, now: float) -> None:
        """Declare a member dead ``dead_s - suspect_s`` after its suspicion began."""
        if record.suspect_since is None or record.member.state == DEAD:
            return
        limit = self.settings.dead_s - self.settings.suspect_s
        if now - record.suspect_since >= limit:
            self.membership.declare_state(record, DEAD)

    def ping(self, probe: Probe) -> None:
        """Send the ping of a probe; to a suspect, with the update that says so."""
        member = self.table.records[probe.name].member
        self.send_ping(member, probe.sequence, refutable(member))

    def send_ping(self, member: Member, sequence: int, required: list[Member]) -> None:
        """Send a ping that also carries updates which the member may refute."""
        messenger = self.membership.messenger
        messenger.send(PING, address_of(member), sequence, member.name, required)

    def send_indirect_probes(self, probe: Probe) -> None:
        """Ask a few members to probe a silent one for this host."""
        for member in self.membership.random_peers(self.settings.fanout):
            if member.name != probe.name:
                self.membership.messenger.send(
                    INDIRECT_PROBE, address_of(member), probe.sequence, probe.name
                )

    def probe_now(self, member: Member) -> None:
        """Send a ping outside the round, with an update that the member may refute."""
        self.send_ping(member, self.next_sequence(), refutable(member))

    def search_lost(self, limit: int) -> None:
        """Probe random addresses at which unknown or dead members may listen."""
        members = list(self.table.members())
        not_dead = {address_of(m) for m in members if m.state != DEAD}
        known = {address_of(member) for member in members}
        lost = sorted({*self.seeds, *self.lost_addresses, *known} - not_dead)
        for address in self.random.sample(lost, min(limit, len(lost))):
            self.membership.messenger.send(PING, address, self.next_sequence())

    def remember_address(self, address: Address) -> None:
        """Keep the address of an expired member, in case its host comes back."""
        self.lost_addresses[address] = None
        while len(self.lost_addresses) > MAX_LOST_ADDRESSES:
            self.lost_addresses.pop(next(iter(self.lost_addresses)))

    def expire_indirect_probes(self, before: float) -> None:
        """Remove probes sent on behalf of others before a time."""
        for sequence, probe in list(self.indirect_probes.items()):
            if probe.sent < before:
                del self.indirect_probes[sequence]

    def close_probe(self, sequence: int) -> str | None:
        """Close the probe with a sequence number; return the name of its member."""
        for name, probe in self.open_probes.items():
            if probe.sequence == sequence:
                del self.open_probes[name]
                return name
        return None

    def handle_ping(self, heartbeat: Heartbeat, address: Address) -> None:
        """Answer a ping to this host, or to whoever listens at its address."""
        if heartbeat.target in ("", self.membership.me.name):
            required = self.refutable_by(heartbeat.node)
            messenger = self.membership.messenger
            digest_differs = heartbeat.digest != self.table.digest
            messenger.send(
                ACK,
                address,
                heartbeat.sequence,
                heartbeat.node,
                required,
                digest_differs,
            )

    def handle_ack(self, heartbeat: Heartbeat, address: Address) -> None:
        """Close a probe, or send an indirect ack to the member that asked for it."""
        probe = self.indirect_probes.pop(heartbeat.sequence, None)
        if probe is None:
            if (
                self.close_probe(heartbeat.sequence)
                and heartbeat.digest != self.table.digest
            ):
                messenger = self.membership.messenger
                messenger.send(GOSSIP, address, digest_differs=True)
            return
        record = self.table.records.get(heartbeat.node)
        required = [record.member] if record is not None else []
        self.membership.messenger.send(
            INDIRECT_ACK, probe.requester, probe.sequence, heartbeat.node, required
        )

    def handle_indirect_ack(self, heartbeat: Heartbeat, address: Address) -> None:
        """Close a probe that was answered to another member."""
        name = self.close_probe(heartbeat.sequence)
        record = self.table.records.get(name or "")
        if record is not None and name == heartbeat.target:
            self.table.record_heartbeat(heartbeat.target, record.member.revision)

    def handle_indirect_probe(self, heartbeat: Heartbeat, address: Address) -> None:
        """Probe a member on behalf of another."""
        record = self.table.records.get(heartbeat.target)
        if record is None:
            return
        sequence = self.next_sequence()
        self.indirect_probes[sequence] = IndirectProbe(
            requester=address, sequence=heartbeat.sequence, sent=time.monotonic()
        )
        self.send_ping(record.member, sequence, refutable(record.member))

    def handle_gossip(self, heartbeat: Heartbeat, address: Address) -> None:
        """Answer a sender that is suspect or dead here, so that it can refute this."""
        required = self.refutable_by(heartbeat.node)
        if required:
            self.membership.messenger.send(ACK, address, 0, heartbeat.node, required)

    def refutable_by(self, name: str) -> list[Member]:
        """Return the update about a sender that it may refute, as a list of 0 or 1.

        If the sender's record has expired, the update is made from its tombstone.
        """
        record = self.table.records.get(name)
        if record is not None:
            return refutable(record.member)
        tombstone = self.table.tombstones.get(name)
        if tombstone is None:
            return []
        return [Member(name=name, incarnation=tombstone[0], state=DEAD)]


def refutable(member: Member) -> list[Member]:
    """Return a list with the member if it is suspect or dead, else an empty one."""
    return [] if member.state in LIVE_STATES else [member]
