"""Holds the table of members and the rule by which one update supersedes another.

An update is an incarnation and a state of a member.  Only the member itself
raises its incarnation, so its own newest update supersedes all that others claim
about an older incarnation.  Within one incarnation the more severe state wins.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Iterator

import attrs
import xxhash

from baobabturn.core.results import Failure
from baobabturn.membership.owners import ALIVE, DEAD, LEAVING, SUSPECT
from baobabturn.wire import codec
from baobabturn.wire.messages import Member, MemberDigest

RANKS = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
FORGET_S = 60.0
GRAVE_S = 3600.0
GRAVE_LIMIT = 4096
SENDS_PER_DECADE = 4
KNOWN_SENDS = 2
RECENT_S = 60.0
RECENT_LIMIT = 16
NEWEST_LIMIT = 4
CACHE_LIMIT = 4096


def word(member: Member | MemberDigest) -> tuple[int, int]:
    """Return the key by which updates about one member are compared."""
    return member.incarnation, RANKS.get(member.state, 0)


def fingerprint(member: Member) -> int:
    """Return a hash of a member's update; the table's digest is the XOR of all."""
    text = f"{member.name}\n{member.incarnation}\n{member.state}"
    return xxhash.xxh64_intdigest(text.encode())


class Packer:
    """Caches the packed bytes of members, and the members unpacked from bytes."""

    def __init__(self):
        self.packed: dict[str, tuple[Member, bytes]] = {}
        self.read: dict[bytes, Member] = {}

    def pack(self, member: Member) -> bytes:
        """Return a member's bytes, packed again only for a new member object."""
        entry = self.packed.get(member.name)
        if entry is None or entry[0] is not member:
            entry = (member, codec.pack_item(member))
            self.packed[member.name] = entry
        return entry[1]

    def unpack(self, data: bytes) -> Member | Failure:
        """Return the member in some bytes, or why they can't be unpacked."""
        cached = self.read.get(data)
        if cached is None:
            member = codec.unpack_item(Member, data)
            if isinstance(member, Failure):
                return member
            if len(self.read) >= CACHE_LIMIT:
                self.read.clear()
            cached = self.read[data] = member
        return cached

    def forget(self, name: str) -> None:
        """Remove a member's cached bytes."""
        self.packed.pop(name, None)


@attrs.define(kw_only=True)
class Record:
    """A member, with the times of its last heartbeat and of its suspicion.

    ``last_heard`` is 0 while this host knows the member only from others.
    ``suspect_since`` is None while the member is neither suspect nor dead.  Both
    are in seconds of the table's clock.
    """

    member: Member
    heard: float
    doubted: float | None = None


class Rumours:
    """Updates to gossip, each a bounded number of times, the least sent first.

    Updates of the last ``RECENT_UPDATE_S`` are also kept for members whose digest
    shows that they miss some.
    """

    def __init__(self, *, packer: Packer, clock: Callable[[], float]):
        self.packer = packer
        self.clock = clock
        self.waiting: dict[str, tuple[int, Member]] = {}
        self.recent: dict[str, tuple[float, Member]] = {}

    def add(self, member: Member) -> None:
        """Queue an update in place of an older one about the same member."""
        self.waiting[member.name] = (0, member)
        self.recent[member.name] = (self.clock(), member)

    def take_recent(self, room_bytes: int, chance: random.Random) -> list[Member]:
        """Return recent updates that fit one datagram.

        The newest few come first, then a random sample of the others.
        """
        oldest = self.clock() - RECENT_S
        for name, (since, _) in list(self.recent.items()):
            if since < oldest:
                del self.recent[name]
        names = sorted(self.recent, key=lambda name: -self.recent[name][0])
        newest, others = names[:NEWEST_LIMIT], names[NEWEST_LIMIT:]
        others = chance.sample(others, min(len(others), RECENT_LIMIT))
        chosen = []
        for name in newest + others:
            member = self.recent[name][1]
            room_bytes -= len(self.packer.pack(member))
            if room_bytes < 0:
                break
            chosen.append(member)
        return chosen

    def take(self, room_bytes: int, members: int) -> list[Member]:
        """Return the pending updates for one datagram, and count one send of each.

        The sends of an update grow with the logarithm of the number of members.
        """
        if not self.waiting:
            return []
        limit = SENDS_PER_DECADE * math.ceil(math.log10(members + 2))
        chosen = []
        for name, (sent, member) in sorted(
            self.waiting.items(), key=lambda item: item[1][0]
        ):
            room_bytes -= len(self.packer.pack(member))
            if room_bytes < 0:
                break
            chosen.append(member)
            if sent + 1 >= limit:
                del self.waiting[name]
            else:
                self.waiting[name] = (sent + 1, member)
        return chosen

    def known_elsewhere(self) -> None:
        """Count extra sends of every update, as a peer is known to have them all."""
        for name, (sent, member) in list(self.waiting.items()):
            if sent >= KNOWN_SENDS:
                del self.waiting[name]
            else:
                self.waiting[name] = (sent + KNOWN_SENDS, member)


class MemberTable:
    """Holds one host's records of all members, and the updates to gossip."""

    def __init__(self, *, me: Member, clock: Callable[[], float] = time.monotonic):
        self.me = me
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.graves: dict[str, tuple[int, float]] = {}
        self.packer = Packer()
        self.rumours = Rumours(packer=self.packer, clock=clock)
        self.digest = fingerprint(me)
        self.version = 0

    def members(self) -> Iterator[Member]:
        """Yield this host and every member that it knows, including dead ones."""
        yield self.me
        for record in self.records.values():
            yield record.member

    def digests(self) -> list[MemberDigest]:
        """Return the digest of each record, for comparison with another host's."""
        return [
            MemberDigest(name=m.name, incarnation=m.incarnation, state=m.state)
            for m in self.members()
        ]

    def set_me(self, member: Member) -> None:
        """Replace this host's own record and gossip it."""
        self.digest ^= fingerprint(self.me) ^ fingerprint(member)
        self.me = member
        self.version += 1
        self.rumours.add(member)

    def newer(self, member: Member) -> bool:
        """Return whether an update supersedes what this table holds.

        For a member with a tombstone only a higher incarnation does.
        """
        record = self.records.get(member.name)
        if record is not None:
            return word(member) > word(record.member)
        if member.state == DEAD:
            return False
        tombstone = self.graves.get(member.name)
        return tombstone is None or member.incarnation > tombstone[0]

    def adopt(self, member: Member) -> None:
        """Store an update that supersedes the one held, and gossip it."""
        now = self.clock()
        record = self.records.get(member.name)
        if record is None:
            record = Record(member=member, heard=0.0)
            self.records[member.name] = record
            self.digest ^= fingerprint(member)
        else:
            self.digest ^= fingerprint(record.member) ^ fingerprint(member)
            if member.incarnation == record.member.incarnation:
                revision = max(member.revision, record.member.revision)
                member = attrs.evolve(member, revision=revision)
            record.member = member
        record.doubted = now if member.state in (SUSPECT, DEAD) else None
        self.graves.pop(member.name, None)
        self.version += 1
        self.rumours.add(member)

    def set_state(self, name: str, state: str) -> None:
        """Apply a more severe state to a member's present incarnation."""
        member = attrs.evolve(self.records[name].member, state=state)
        if self.newer(member):
            self.adopt(member)

    def heard(self, name: str, revision: int) -> bool:
        """Record a member's own heartbeat; return whether its revision changed."""
        record = self.records.get(name)
        if record is None:
            return False
        record.heard = self.clock()
        if record.member.state in (ALIVE, LEAVING):
            record.doubted = None
        if revision == record.member.revision:
            return False
        record.member = attrs.evolve(record.member, revision=revision)
        return True

    def forgive(self, seconds: float) -> None:
        """Give suspects more time to refute, after a pause of this process."""
        for record in self.records.values():
            if record.doubted is not None:
                record.doubted += seconds

    def forget(self) -> list[Member]:
        """Replace records of long dead members by tombstones; return the members.

        A tombstone refuses late updates about the same incarnation.
        """
        now = self.clock()
        expired = [
            record.member
            for record in self.records.values()
            if record.member.state == DEAD and now - (record.doubted or 0) > FORGET_S
        ]
        for member in expired:
            del self.records[member.name]
            self.version += 1
            self.packer.forget(member.name)
            self.digest ^= fingerprint(member)
            self.rumours.waiting.pop(member.name, None)
            self.graves[member.name] = (member.incarnation, now)
        for name, (_, since) in list(self.graves.items()):
            if now - since > GRAVE_S or len(self.graves) > GRAVE_LIMIT:
                del self.graves[name]
        return expired
