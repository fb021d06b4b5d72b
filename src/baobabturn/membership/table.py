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

STATE_SEVERITY = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}
DEAD_RETENTION_S = 60.0
TOMBSTONE_LIFETIME_S = 3600.0
MAX_TOMBSTONE_COUNT = 4096
SENDS_PER_LOG10_MEMBERS = 4
MATCHING_DIGEST_SENDS = 2  # sends saved by each peer that already has all updates
RECENT_UPDATE_S = 60.0
MAX_SAMPLED_UPDATES = 16  # in a batch of recent updates, besides the newest
MAX_NEWEST_UPDATES = 4  # in a batch of recent updates
MAX_CACHED_MEMBERS = 4096


def precedence(member: Member | MemberDigest) -> tuple[int, int]:
    """Return the key by which updates about one member are compared."""
    return member.incarnation, STATE_SEVERITY.get(member.state, 0)


def fingerprint(member: Member) -> int:
    """Return a hash of a member's update; the table's digest is the XOR of all."""
    text = f"{member.name}\n{member.incarnation}\n{member.state}"
    return xxhash.xxh64_intdigest(text.encode())


class MemberPacker:
    """Caches the packed bytes of members, and the members unpacked from bytes."""

    def __init__(self):
        self.packed: dict[str, tuple[Member, bytes]] = {}
        self.unpacked: dict[bytes, Member] = {}

    def pack(self, member: Member) -> bytes:
        """Return a member's bytes, packed again only for a new member object."""
        entry = self.packed.get(member.name)
        if entry is None or entry[0] is not member:
            entry = (member, codec.pack_item(member))
            self.packed[member.name] = entry
        return entry[1]

    def unpack(self, data: bytes) -> Member | Failure:
        """Return the member in some bytes, or why they can't be unpacked."""
        cached = self.unpacked.get(data)
        if cached is None:
            member = codec.unpack_item(Member, data)
            if isinstance(member, Failure):
                return member
            if len(self.unpacked) >= MAX_CACHED_MEMBERS:
                self.unpacked.clear()
            cached = self.unpacked[data] = member
        return cached

    def discard(self, name: str) -> None:
        """Remove a member's cached bytes."""
        self.packed.pop(name, None)


@attrs.define(kw_only=True)
class MemberRecord:
    """A member, with the times of its last heartbeat and of its suspicion.

    ``last_heard`` is 0 while this host knows the member only from others.
    ``suspect_since`` is set while the member is suspect, dead, or leaving and
    silent.  Both are in seconds of the table's clock.
    """

    member: Member
    last_heard: float
    suspect_since: float | None = None


class UpdateQueue:
    """Updates to gossip, each a bounded number of times, the least sent first.

    Updates of the last ``RECENT_UPDATE_S`` are also kept for members whose digest
    shows that they miss some.
    """

    def __init__(self, *, packer: MemberPacker, clock: Callable[[], float]):
        self.packer = packer
        self.clock = clock
        self.pending: dict[str, tuple[int, Member]] = {}
        self.recent: dict[str, tuple[float, Member]] = {}

    def add(self, member: Member) -> None:
        """Queue an update in place of an older one about the same member."""
        self.pending[member.name] = (0, member)
        self.recent[member.name] = (self.clock(), member)

    def recent_batch(self, remaining_bytes: int, rng: random.Random) -> list[Member]:
        """Return recent updates that fit one datagram.

        The newest few come first, then a random sample of the others.
        """
        oldest = self.clock() - RECENT_UPDATE_S
        for name, (since, _) in list(self.recent.items()):
            if since < oldest:
                del self.recent[name]
        names = sorted(self.recent, key=lambda name: -self.recent[name][0])
        newest, others = names[:MAX_NEWEST_UPDATES], names[MAX_NEWEST_UPDATES:]
        others = rng.sample(others, min(len(others), MAX_SAMPLED_UPDATES))
        chosen = []
        for name in newest + others:
            member = self.recent[name][1]
            remaining_bytes -= len(self.packer.pack(member))
            if remaining_bytes < 0:
                break
            chosen.append(member)
        return chosen

    def next_batch(self, remaining_bytes: int, member_count: int) -> list[Member]:
        """Return the pending updates for one datagram, and count one send of each.

        The sends of an update grow with the logarithm of the number of members.
        """
        if not self.pending:
            return []
        limit = SENDS_PER_LOG10_MEMBERS * math.ceil(math.log10(member_count + 2))
        chosen = []
        for name, (sent, member) in sorted(
            self.pending.items(), key=lambda item: item[1][0]
        ):
            remaining_bytes -= len(self.packer.pack(member))
            if remaining_bytes < 0:
                break
            chosen.append(member)
            if sent + 1 >= limit:
                del self.pending[name]
            else:
                self.pending[name] = (sent + 1, member)
        return chosen

    def record_matching_digest(self) -> None:
        """Count extra sends of every update, as a peer is known to have them all."""
        for name, (sent, member) in list(self.pending.items()):
            if sent >= MATCHING_DIGEST_SENDS:
                del self.pending[name]
            else:
                self.pending[name] = (sent + MATCHING_DIGEST_SENDS, member)


class MemberTable:
    """Holds one host's records of all members, and the updates to gossip.

    ``tombstones`` has the incarnation and the time of expiry of each expired
    member.  ``version`` counts all changes other than of revisions.
    """

    def __init__(self, *, me: Member, clock: Callable[[], float] = time.monotonic):
        self.me = me
        self.clock = clock
        self.records: dict[str, MemberRecord] = {}
        self.tombstones: dict[str, tuple[int, float]] = {}
        self.packer = MemberPacker()
        self.updates = UpdateQueue(packer=self.packer, clock=clock)
        self.digest = fingerprint(me)
        self.version = 0

    def members(self) -> Iterator[Member]:
        """Yield this host and every member that it knows, including dead ones."""
        yield self.me
        for record in self.records.values():
            yield record.member

    def digests(self) -> list[MemberDigest]:
        """Return the digest of each member, for comparison with another host's."""
        return [
            MemberDigest(name=m.name, incarnation=m.incarnation, state=m.state)
            for m in self.members()
        ]

    def set_own_member(self, member: Member) -> None:
        """Replace this host's own member and gossip it."""
        self.digest ^= fingerprint(self.me) ^ fingerprint(member)
        self.me = member
        self.version += 1
        self.updates.add(member)

    def is_superseded_by(self, member: Member) -> bool:
        """Return whether an update supersedes what this table holds.

        For a member with a tombstone only a higher incarnation does.  An update that
        an unknown member is dead does not.
        """
        record = self.records.get(member.name)
        if record is not None:
            return precedence(member) > precedence(record.member)
        if member.state == DEAD:
            return False
        tombstone = self.tombstones.get(member.name)
        return tombstone is None or member.incarnation > tombstone[0]

    def apply(self, member: Member) -> None:
        """Store an update that supersedes the one held, and gossip it."""
        now = self.clock()
        record = self.records.get(member.name)
        if record is None:
            record = MemberRecord(member=member, last_heard=0.0)
            self.records[member.name] = record
            self.digest ^= fingerprint(member)
        else:
            self.digest ^= fingerprint(record.member) ^ fingerprint(member)
            if member.incarnation == record.member.incarnation:
                revision = max(member.revision, record.member.revision)
                member = attrs.evolve(member, revision=revision)
            record.member = member
        record.suspect_since = now if member.state in (SUSPECT, DEAD) else None
        self.tombstones.pop(member.name, None)
        self.version += 1
        self.updates.add(member)

    def set_state(self, name: str, state: str) -> None:
        """Apply a more severe state to a member's present incarnation."""
        member = attrs.evolve(self.records[name].member, state=state)
        if self.is_superseded_by(member):
            self.apply(member)

    def record_heartbeat(self, name: str, revision: int) -> bool:
        """Record a member's own heartbeat; return whether its revision changed."""
        record = self.records.get(name)
        if record is None:
            return False
        record.last_heard = self.clock()
        if record.member.state in (ALIVE, LEAVING):
            record.suspect_since = None
        if revision == record.member.revision:
            return False
        record.member = attrs.evolve(record.member, revision=revision)
        return True

    def extend_suspicion(self, seconds: float) -> None:
        """Give suspects more time to refute, after a pause of this process."""
        for record in self.records.values():
            if record.suspect_since is not None:
                record.suspect_since += seconds

    def expire_dead(self) -> list[Member]:
        """Replace records of long dead members by tombstones; return the members.

        Late updates about the incarnation in a tombstone aren't applied.
        """
        now = self.clock()
        expired = [
            record.member
            for record in self.records.values()
            if record.member.state == DEAD
            and now - (record.suspect_since or 0) > DEAD_RETENTION_S
        ]
        for member in expired:
            del self.records[member.name]
            self.version += 1
            self.packer.discard(member.name)
            self.digest ^= fingerprint(member)
            self.updates.pending.pop(member.name, None)
            self.tombstones[member.name] = (member.incarnation, now)
        for name, (_, since) in list(self.tombstones.items()):
            if (
                now - since > TOMBSTONE_LIFETIME_S
                or len(self.tombstones) > MAX_TOMBSTONE_COUNT
            ):
                del self.tombstones[name]
        return expired
