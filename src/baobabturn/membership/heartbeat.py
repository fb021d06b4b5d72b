"""Membership among controllers: random probes over UDP with rumours on them.

Each interval a host probes one other member, the next in a shuffled round.  A
probe that stays unanswered is repeated and also sent through a few relays; a
member silent for ``suspect_s`` is suspected, and declared dead at ``dead_s``
unless it refutes by raising its incarnation.  What a host learns travels on
the same datagrams, so the bytes that a member sends don't grow with the fleet.
The scheme follows Das, Gupta and Motivala, "SWIM" (2002).
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.membership.domains import (
    DomainCounter,
    DomainTable,
    now_ms,
    watchers,
)
from baobabturn.membership.messenger import NEWS, Address, Messenger, address_of
from baobabturn.membership.owners import (
    ALIVE,
    DEAD,
    LEAVING,
    LIVE_STATES,
    SUSPECT,
)
from baobabturn.membership.prober import ACK, PING, RELAY, VOUCH, Prober
from baobabturn.membership.sync import MemberSyncer
from baobabturn.membership.table import MemberTable, Record, word
from baobabturn.wire.messages import Heartbeat, Member, MemberView

STATE_EVENTS = {
    ALIVE: Event.MEMBER_ALIVE,
    SUSPECT: Event.MEMBER_SUSPECT,
    LEAVING: Event.MEMBER_LEAVING,
    DEAD: Event.MEMBER_DEAD,
}
ANNOUNCE_REPEATS = 2


def nobody(member: Member, body: Any) -> Awaitable[Any]:
    """Stand for a call to a peer where there is no way to make one."""
    raise NotImplementedError


class Membership:
    """The members as this host sees them; soft state that needs no agreement.

    ``changed`` is called soon after something changed that entry and scheduler
    follow, ``newer`` when a member has a newer configuration than this host.
    ``exchange`` carries a message to a peer's controller and returns its answer.
    """

    def __init__(
        self,
        *,
        program: Program,
        changed: Callable[[], None],
        newer: Callable[[Member], None] = lambda member: None,
        exchange: Callable[[Member, Any], Awaitable[Any]] = nobody,
    ):
        self.program = program
        self.settings = program.settings.membership
        self.changed = changed
        self.newer = newer
        self.random = random.Random(program.identity.node)
        self.table = MemberTable(me=own_record(program))
        self.messenger = Messenger(
            membership=self, secret=program.settings.inner.secret
        )
        self.prober = Prober(membership=self)
        self.domains = DomainTable()
        self.counter = DomainCounter(membership=self)
        self.syncer = MemberSyncer(membership=self, exchange=exchange)
        self.leaving_endpoints: list[str] = []
        self.leaving_stamp = 0
        self.announcements = 0
        self.change_told = False
        self.watcher_cache: dict[str, tuple[int, list[Member]]] = {}
        for seed in self.settings.seeds:
            address, _, port = seed.rpartition(":")
            self.add_seed(address, int(port))

    @property
    def me(self) -> Member:
        """Return this host's own word."""
        return self.table.me

    async def start(self) -> Failure | None:
        """Listen for heartbeats and begin to send them."""
        failed = await self.messenger.start(address_of(self.me))
        if failed is None:
            self.program.background.start(self.beat(), "heartbeats")
        return failed

    def members(self) -> list[Member]:
        """Return this host and all members it knows, dead ones included."""
        return list(self.table.members())

    def alive(self) -> list[Member]:
        """Return the members that are alive."""
        return [member for member in self.table.members() if member.state == ALIVE]

    def watchers(self, domain: str) -> list[Member]:
        """Return the members that watch the platform for a failure domain."""
        version, found = self.watcher_cache.get(domain, (-1, []))
        if version != self.table.version:
            count = self.program.settings.controller.watchers_per_domain
            found = watchers(domain, self.table.members(), count)
            self.watcher_cache[domain] = (self.table.version, found)
        return found

    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its failure domain."""
        found = self.watchers(self.me.failure_domain)
        return not found or any(member.name == self.me.name for member in found)

    def newest_revision(self) -> int:
        """Return the newest revision that this host knows of anywhere."""
        known = [member.revision for member in self.table.members()]
        known += [digest.newest for digest in self.domains.held.values()]
        return max(known)

    def add_seed(self, address: str, port: int) -> None:
        """Note an address at which a member may be."""
        self.prober.seeds.add((address, port))

    async def leave(self) -> None:
        """Tell the members that this host leaves."""
        self.set_own_state(LEAVING)

    def set_own_state(self, state: str) -> None:
        """Change this host's own state and tell it at once."""
        if self.me.state == state:
            return
        self.program.events.emit(STATE_EVENTS[state], member=self.me.name)
        self.set_me(state=state)

    def set_process_down(self, role: str, down: bool) -> None:
        """Note whether one of this host's processes answers; tell the members."""
        field = f"{role}_down"
        if getattr(self.me, field) != down:
            self.set_me(**{field: down})

    def set_me(self, **fields: Any) -> None:
        """Change this host's own word, under a new incarnation, and tell it."""
        incarnation = self.me.incarnation + 1
        self.table.set_me(attrs.evolve(self.me, incarnation=incarnation, **fields))
        self.messenger.spread_now()
        self.tell_changed()

    def set_revision(self, revision: int) -> None:
        """Note the revision in force here and announce it."""
        self.table.me = attrs.evolve(self.me, revision=revision)
        self.counter.newest_since = time.monotonic()
        self.announcements = ANNOUNCE_REPEATS
        self.announce()

    def announce(self) -> None:
        """Tell a few members, and the domain's watchers, the revision in force."""
        told = {member.name: member for member in self.some(self.settings.fanout)}
        for member in self.watchers(self.me.failure_domain):
            told[member.name] = member
        told.pop(self.me.name, None)
        for member in told.values():
            self.messenger.send(NEWS, address_of(member))

    def set_leaving_endpoints(self, names: list[str]) -> None:
        """Take over the platform's list of leaving endpoints; tell the members."""
        if names != self.leaving_endpoints:
            self.leaving_endpoints = names
            self.leaving_stamp = max(self.leaving_stamp + 1, now_ms())
            self.messenger.spread_now()
            self.tell_changed()

    def some(self, count: int) -> list[Member]:
        """Return a few live members other than this host, by chance."""
        others = [
            record.member
            for record in self.table.records.values()
            if record.member.state in LIVE_STATES
        ]
        return self.random.sample(others, min(count, len(others)))

    def tell_changed(self) -> None:
        """Call ``changed`` soon, once for all that changes in a moment."""
        if not self.change_told:
            self.change_told = True
            asyncio.get_running_loop().call_soon(self.call_changed)

    def call_changed(self) -> None:
        """Call ``changed``."""
        self.change_told = False
        self.changed()

    async def beat(self) -> None:
        """Do once an interval what time brings about."""
        while True:
            pause = self.settings.interval_s * self.random.uniform(0.9, 1.1)
            before = time.monotonic()
            await asyncio.sleep(pause)
            late = time.monotonic() - before - pause
            if late > self.settings.interval_s:
                self.prober.open.clear()
                self.table.forgive(late)
            self.tick()

    def tick(self) -> None:
        """Probe, forget those dead for long, repeat announcements, count."""
        self.prober.tick()
        for member in self.table.forget():
            self.prober.remember(address_of(member))
            self.tell_changed()
        if self.announcements:
            self.announcements -= 1
            self.announce()
        self.counter.tick()

    def mark(self, record: Record, state: str) -> None:
        """Say that a member is suspect or dead."""
        self.table.set_state(record.member.name, state)
        self.note(record.member)
        self.messenger.spread()

    def take(self, beat: Heartbeat, address: Address) -> None:
        """Take in one proved datagram."""
        sender = self.table.records.get(beat.node)
        trusted = sender is not None and sender.member.state != DEAD
        fresh = [self.learn(m, trusted or m.name == beat.node) for m in beat.members]
        if any(fresh):
            self.messenger.spread()
        if self.table.heard(beat.node, beat.revision):
            self.follow_revision(self.table.records[beat.node].member)
        counted = [self.domains.take(digest) for digest in beat.domains]
        if any(counted):
            self.tell_changed()
        HANDLERS.get(beat.kind, Prober.take_news)(self.prober, beat, address)
        self.compare(beat)

    def compare(self, beat: Heartbeat) -> None:
        """Sync with a member that seems to know other words."""
        record = self.table.records.get(beat.node)
        if record is not None:
            same = beat.digest == self.table.digest
            if same:
                self.table.rumours.known_elsewhere()
            ahead = beat.leaving_stamp > self.leaving_stamp
            self.syncer.compared(record.member, same, ahead)

    def follow_revision(self, member: Member) -> None:
        """Act on a member's newer revision."""
        if member.revision > self.me.revision:
            self.newer(member)

    def learn(self, member: Member, trusted: bool) -> bool:
        """Take in a word about a member; return whether it was news.

        A word that doubts a member is believed only of one whom this host
        itself doesn't take for dead; else the member is asked.
        """
        if member.name == self.me.name:
            return self.refute(member)
        if not self.table.newer(member):
            return False
        record = self.table.records.get(member.name)
        up = record is not None and record.member.state in LIVE_STATES
        if up and member.state in (SUSPECT, DEAD) and not trusted:
            self.prober.ask(member)
            return False
        self.table.adopt(member)
        self.note(member)
        return True

    def refute(self, member: Member) -> bool:
        """Raise this host's incarnation over a word that isn't its own."""
        if word(member) <= word(self.me):
            return False
        incarnation = max(member.incarnation, self.me.incarnation)
        self.table.set_me(attrs.evolve(self.me, incarnation=incarnation))
        self.program.events.emit(
            Event.MEMBER_REFUTED, state=member.state, incarnation=incarnation + 1
        )
        self.set_me()
        return True

    def take_view(self, view: MemberView) -> None:
        """Learn what a peer answered to a sync."""
        for member in view.members:
            self.learn(member, trusted=False)
        for digest in view.domains:
            self.domains.take(digest)
        if view.leaving_stamp > self.leaving_stamp:
            self.leaving_stamp = view.leaving_stamp
            self.leaving_endpoints = list(view.leaving_endpoints)
        self.follow_revision(max(self.alive(), key=lambda member: member.revision))
        self.tell_changed()

    def note(self, member: Member) -> None:
        """Log a member's state and tell the listeners."""
        self.program.events.emit(
            STATE_EVENTS.get(member.state, Event.MEMBER_ALIVE),
            member=member.name,
            incarnation=member.incarnation,
        )
        self.tell_changed()


HANDLERS: dict[str, Callable[[Prober, Heartbeat, Address], None]] = {
    PING: Prober.take_ping,
    ACK: Prober.take_ack,
    RELAY: Prober.take_relay,
    VOUCH: Prober.take_vouch,
}


def own_record(program: Program) -> Member:
    """Return a program's host as a member."""
    host, ports = program.settings.host, program.settings.ports
    return Member(
        name=host.name,
        failure_domain=host.failure_domain,
        region=host.region,
        address=host.address,
        entry_port=ports.entry,
        scheduler_port=ports.scheduler,
        controller_port=ports.controller,
        incarnation=program.identity.incarnation,
        state=ALIVE,
    )
