"""The table of members, and which word about a member wins.

A word is an incarnation and a state.  Only the member itself raises its
incarnation, so its own newest word beats whatever others say of an older one;
within one incarnation the graver state wins.
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
    """Return what the words about one member are compared by."""
    return member.incarnation, RANKS.get(member.state, 0)


def fingerprint(member: Member) -> int:
    """Return a hash of a word; those of all members are combined by XOR."""
    text = f"{member.name}\n{member.incarnation}\n{member.state}"
    return xxhash.xxh64_intdigest(text.encode())


class Packer:
    """Packs members once for as long as they stay the same, and reads them back."""

    def __init__(self):
        self.packed: dict[str, tuple[Member, bytes]] = {}
        self.read: dict[bytes, Member] = {}

    def pack(self, member: Member) -> bytes:
        """Return a member's bytes."""
        held = self.packed.get(member.name)
        if held is None or held[0] is not member:
            held = (member, codec.pack_item(member))
            self.packed[member.name] = held
        return held[1]

    def unpack(self, data: bytes) -> Member | Failure:
        """Return the member in some bytes."""
        found = self.read.get(data)
        if found is None:
            member = codec.unpack_item(Member, data)
            if isinstance(member, Failure):
                return member
            if len(self.read) >= CACHE_LIMIT:
                self.read.clear()
            found = self.read[data] = member
        return found

    def forget(self, name: str) -> None:
        """Drop a member's bytes."""
        self.packed.pop(name, None)


@attrs.define(kw_only=True)
class Record:
    """A member, when it was last heard itself, and since when it is in doubt.

    ``heard`` is 0 while only others have spoken of it.
    """

    member: Member
    heard: float
    doubted: float | None = None


class Rumours:
    """Words to pass on; each goes out a bounded number of times, new ones first.

    The words of the last while are also kept for members whose digest shows
    that they lack something.
    """

    def __init__(self, *, packer: Packer, clock: Callable[[], float]):
        self.packer = packer
        self.clock = clock
        self.waiting: dict[str, tuple[int, Member]] = {}
        self.recent: dict[str, tuple[float, Member]] = {}

    def add(self, member: Member) -> None:
        """Pass a word on from now on, in place of an older one."""
        self.waiting[member.name] = (0, member)
        self.recent[member.name] = (self.clock(), member)

    def take_recent(self, room_bytes: int, chance: random.Random) -> list[Member]:
        """Return words of the last while that fit one datagram.

        The newest few come first, the others by chance.
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
        """Return the words for one datagram of a fleet with so many members."""
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
        """Take in that a peer knows every word; they need fewer sends then."""
        for name, (sent, member) in list(self.waiting.items()):
            if sent >= KNOWN_SENDS:
                del self.waiting[name]
            else:
                self.waiting[name] = (sent + KNOWN_SENDS, member)


class MemberTable:
    """What one host knows of the others."""

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
        """Yield this host and every member it knows, dead ones included."""
        yield self.me
        for record in self.records.values():
            yield record.member

    def digests(self) -> list[MemberDigest]:
        """Return the words held, for comparison with another host's."""
        return [
            MemberDigest(name=m.name, incarnation=m.incarnation, state=m.state)
            for m in self.members()
        ]

    def set_me(self, member: Member) -> None:
        """Replace this host's own word and pass it on."""
        self.digest ^= fingerprint(self.me) ^ fingerprint(member)
        self.me = member
        self.version += 1
        self.rumours.add(member)

    def newer(self, member: Member) -> bool:
        """Return whether a word beats the one held."""
        record = self.records.get(member.name)
        if record is not None:
            return word(member) > word(record.member)
        if member.state == DEAD:
            return False
        grave = self.graves.get(member.name)
        return grave is None or member.incarnation > grave[0]

    def adopt(self, member: Member) -> None:
        """Hold a word that beats the one held, and pass it on."""
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
        """Say of a member, in its present incarnation, that its state is graver."""
        member = attrs.evolve(self.records[name].member, state=state)
        if self.newer(member):
            self.adopt(member)

    def heard(self, name: str, revision: int) -> bool:
        """Note a member's own sign of life; return whether its revision rose."""
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
        """Give members in doubt more time, after this process stood still."""
        for record in self.records.values():
            if record.doubted is not None:
                record.doubted += seconds

    def forget(self) -> list[Member]:
        """Forget members dead for long; what was said of them stays refused."""
        now = self.clock()
        gone = [
            record.member
            for record in self.records.values()
            if record.member.state == DEAD and now - (record.doubted or 0) > FORGET_S
        ]
        for member in gone:
            del self.records[member.name]
            self.version += 1
            self.packer.forget(member.name)
            self.digest ^= fingerprint(member)
            self.rumours.waiting.pop(member.name, None)
            self.graves[member.name] = (member.incarnation, now)
        for name, (_, since) in list(self.graves.items()):
            if now - since > GRAVE_S or len(self.graves) > GRAVE_LIMIT:
                del self.graves[name]
        return gone
