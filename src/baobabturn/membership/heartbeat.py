"""SWIM membership among controllers: random probes over UDP that carry gossip.

In each interval a host probes one other member; a round probes each member once, in
random order.  An unanswered probe is repeated and also sent indirectly, through a
few other members.  A member silent for ``suspect_s`` is suspect, and after
``dead_s`` of silence it is declared dead unless it refutes this by raising its
incarnation.  Updates travel on the same datagrams, so the bytes that a member sends
don't grow with the fleet.
The protocol follows Das, Gupta and Motivala, "SWIM" (2002).
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
    DomainSummarizer,
    DomainTable,
    choose_watchers,
    now_ms,
)
from baobabturn.membership.messenger import GOSSIP, Address, Messenger, address_of
from baobabturn.membership.owners import (
    ALIVE,
    DEAD,
    LEAVING,
    LIVE_STATES,
    SUSPECT,
)
from baobabturn.membership.prober import ACK, INDIRECT_ACK, INDIRECT_PROBE, PING, Prober
from baobabturn.membership.sync import MemberSyncer
from baobabturn.membership.table import MemberRecord, MemberTable, precedence
from baobabturn.wire.messages import Heartbeat, Member, MemberView

STATE_EVENTS = {
    ALIVE: Event.MEMBER_ALIVE,
    SUSPECT: Event.MEMBER_SUSPECT,
    LEAVING: Event.MEMBER_LEAVING,
    DEAD: Event.MEMBER_DEAD,
}
ANNOUNCE_REPEATS = 2  # of a new revision, one in each tick


def no_exchange(member: Member, body: Any) -> Awaitable[Any]:
    """Raise ``NotImplementedError``: the default where peers can't be called."""
    raise NotImplementedError


class Membership:
    """Holds the members as this host sees them: soft state without consensus.

    ``on_change`` is called soon after a change that matters to this host's entry
    and scheduler, ``on_newer_revision`` when a member has a newer configuration
    than this host.  ``exchange`` sends a message to a peer's controller and
    returns its answer.  ``leaving_stamp`` is the wall-clock time in ms of the list
    of leaving endpoints, 0 before the first.
    """

    def __init__(
        self,
        *,
        program: Program,
        on_change: Callable[[], None],
        on_newer_revision: Callable[[Member], None] = lambda member: None,
        exchange: Callable[[Member, Any], Awaitable[Any]] = no_exchange,
    ):
        self.program = program
        self.settings = program.settings.membership
        self.on_change = on_change
        self.on_newer_revision = on_newer_revision
        self.random = random.Random(program.identity.node)
        self.table = MemberTable(me=own_member(program))
        self.messenger = Messenger(
            membership=self, secret=program.settings.inner.secret
        )
        self.prober = Prober(membership=self)
        self.domains = DomainTable()
        self.summarizer = DomainSummarizer(membership=self)
        self.syncer = MemberSyncer(membership=self, exchange=exchange)
        self.leaving_endpoints: list[str] = []
        self.leaving_stamp = 0
        self.announcements_left = 0
        self.on_change_scheduled = False
        self.watcher_cache: dict[str, tuple[int, list[Member]]] = {}
        for seed in self.settings.seeds:
            address, _, port = seed.rpartition(":")
            self.add_seed(address, int(port))

    @property
    def me(self) -> Member:
        """Return this host as a member."""
        return self.table.me

    async def start(self) -> Failure | None:
        """Listen for heartbeats and start to send them."""
        failed = await self.messenger.start(address_of(self.me))
        if failed is None:
            self.program.background.start(self.run(), "heartbeats")
        return failed

    def members(self) -> list[Member]:
        """Return this host and all members that it knows, including dead ones."""
        return list(self.table.members())

    def alive(self) -> list[Member]:
        """Return the members that are alive."""
        return [member for member in self.table.members() if member.state == ALIVE]

    def watchers(self, domain: str) -> list[Member]:
        """Return the members that watch the platform for a failure domain."""
        version, chosen = self.watcher_cache.get(domain, (-1, []))
        if version != self.table.version:
            count = self.program.settings.controller.watchers_per_domain
            chosen = choose_watchers(domain, self.table.members(), count)
            self.watcher_cache[domain] = (self.table.version, chosen)
        return chosen

    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its failure domain.

        It does too while no member of the domain is alive.
        """
        chosen = self.watchers(self.me.failure_domain)
        return not chosen or any(member.name == self.me.name for member in chosen)

    def newest_revision(self) -> int:
        """Return the newest revision that this host knows any member to have."""
        revisions = [member.revision for member in self.table.members()]
        revisions += [digest.newest for digest in self.domains.digests.values()]
        return max(revisions)

    def add_seed(self, address: str, port: int) -> None:
        """Add an address at which a member may listen."""
        self.prober.seeds.add((address, port))

    async def leave(self) -> None:
        """Publish that this host is leaving."""
        self.set_own_state(LEAVING)

    def set_own_state(self, state: str) -> None:
        """Change this host's own state and publish it at once."""
        if self.me.state == state:
            return
        self.program.events.emit(STATE_EVENTS[state], member=self.me.name)
        self.set_own_member(state=state)

    def set_process_down(self, role: str, down: bool) -> None:
        """Publish whether one of this host's processes fails to answer."""
        field = f"{role}_down"
        if getattr(self.me, field) != down:
            self.set_own_member(**{field: down})

    def set_own_member(self, **fields: Any) -> None:
        """Change this host's own member under a new incarnation, and publish it."""
        incarnation = self.me.incarnation + 1
        self.table.set_own_member(
            attrs.evolve(self.me, incarnation=incarnation, **fields)
        )
        self.messenger.gossip_now()
        self.schedule_on_change()

    def set_revision(self, revision: int) -> None:
        """Store the configuration revision in force here and announce it.

        The incarnation isn't raised: each heartbeat carries its sender's revision.
        """
        self.table.me = attrs.evolve(self.me, revision=revision)
        self.summarizer.revision_set_at = time.monotonic()
        self.announcements_left = ANNOUNCE_REPEATS
        self.announce()

    def announce(self) -> None:
        """Send the revision in force to random members and the domain's watchers."""
        targets = {
            member.name: member for member in self.random_peers(self.settings.fanout)
        }
        for member in self.watchers(self.me.failure_domain):
            targets[member.name] = member
        targets.pop(self.me.name, None)
        for member in targets.values():
            self.messenger.send(GOSSIP, address_of(member))

    def set_leaving_endpoints(self, names: list[str]) -> None:
        """Store the platform's list of leaving endpoints and publish it."""
        if names != self.leaving_endpoints:
            self.leaving_endpoints = names
            self.leaving_stamp = max(self.leaving_stamp + 1, now_ms())
            self.messenger.gossip_now()
            self.schedule_on_change()

    def random_peers(self, count: int) -> list[Member]:
        """Return up to ``count`` random live members other than this host."""
        peers = [
            record.member
            for record in self.table.records.values()
            if record.member.state in LIVE_STATES
        ]
        return self.random.sample(peers, min(count, len(peers)))

    def schedule_on_change(self) -> None:
        """Schedule one ``on_change`` call for all changes of this loop iteration."""
        if not self.on_change_scheduled:
            self.on_change_scheduled = True
            asyncio.get_running_loop().call_soon(self.call_on_change)

    def call_on_change(self) -> None:
        """Call ``on_change``."""
        self.on_change_scheduled = False
        self.on_change()

    async def run(self) -> None:
        """Run the periodic work for ever, once an interval with 10 % jitter.

        If the process was paused for longer than an interval, open probes are
        dropped and suspects get more time: their answers may have come meanwhile.
        """
        while True:
            pause_s = self.settings.interval_s * self.random.uniform(0.9, 1.1)
            started = time.monotonic()
            await asyncio.sleep(pause_s)
            late_s = time.monotonic() - started - pause_s
            if late_s > self.settings.interval_s:
                self.prober.open_probes.clear()
                self.table.extend_suspicion(late_s)
            self.tick()

    def tick(self) -> None:
        """Probe, expire dead members, repeat announcements, update the digest."""
        self.prober.tick()
        for member in self.table.expire_dead():
            self.prober.remember_address(address_of(member))
            self.schedule_on_change()
        if self.announcements_left:
            self.announcements_left -= 1
            self.announce()
        self.summarizer.tick()

    def declare_state(self, record: MemberRecord, state: str) -> None:
        """Declare a member suspect or dead, and gossip it."""
        self.table.set_state(record.member.name, state)
        self.report_state(record.member)
        self.messenger.schedule_gossip()

    def handle_heartbeat(self, heartbeat: Heartbeat, address: Address) -> None:
        """Handle the heartbeat in one verified datagram.

        A heartbeat that neither is a probe nor answers one is handled as gossip.
        """
        sender = self.table.records.get(heartbeat.node)
        trusted = sender is not None and sender.member.state != DEAD
        applied = [
            self.apply_update(m, trusted or m.name == heartbeat.node)
            for m in heartbeat.members
        ]
        if any(applied):
            self.messenger.schedule_gossip()
        if self.table.record_heartbeat(heartbeat.node, heartbeat.revision):
            self.check_revision(self.table.records[heartbeat.node].member)
        domains_applied = [self.domains.apply(digest) for digest in heartbeat.domains]
        if any(domains_applied):
            self.schedule_on_change()
        HANDLERS.get(heartbeat.kind, Prober.handle_gossip)(
            self.prober, heartbeat, address
        )
        self.compare_digests(heartbeat)

    def compare_digests(self, heartbeat: Heartbeat) -> None:
        """Compare a member's digest and leaving list with ours; sync if needed."""
        record = self.table.records.get(heartbeat.node)
        if record is not None:
            same_digest = heartbeat.digest == self.table.digest
            if same_digest:
                self.table.updates.record_matching_digest()
            newer_leaving_list = heartbeat.leaving_stamp > self.leaving_stamp
            self.syncer.record_comparison(
                record.member, same_digest, newer_leaving_list
            )

    def check_revision(self, member: Member) -> None:
        """Call ``on_newer_revision`` if a member's revision is newer than ours."""
        if member.revision > self.me.revision:
            self.on_newer_revision(member)

    def apply_update(self, member: Member, trusted: bool) -> bool:
        """Apply an update about a member; return whether it changed the table.

        An update that a live member is suspect or dead is applied only if it is
        ``trusted``: its sender is the member itself, or known here and not dead.
        Otherwise the member is probed.  Updates of a sync aren't trusted.
        """
        if member.name == self.me.name:
            return self.refute(member)
        if not self.table.is_superseded_by(member):
            return False
        record = self.table.records.get(member.name)
        up = record is not None and record.member.state in LIVE_STATES
        if up and member.state in (SUSPECT, DEAD) and not trusted:
            self.prober.probe_now(member)
            return False
        self.table.apply(member)
        self.report_state(member)
        return True

    def refute(self, member: Member) -> bool:
        """Raise this host's incarnation if an update about it supersedes its own."""
        if precedence(member) <= precedence(self.me):
            return False
        incarnation = max(member.incarnation, self.me.incarnation)
        self.table.set_own_member(attrs.evolve(self.me, incarnation=incarnation))
        self.program.events.emit(
            Event.MEMBER_REFUTED, state=member.state, incarnation=incarnation + 1
        )
        self.set_own_member()  # raises the incarnation by 1
        return True

    def apply_view(self, view: MemberView) -> None:
        """Apply a peer's answer to a sync."""
        for member in view.members:
            self.apply_update(member, trusted=False)
        for digest in view.domains:
            self.domains.apply(digest)
        if view.leaving_stamp > self.leaving_stamp:
            self.leaving_stamp = view.leaving_stamp
            self.leaving_endpoints = list(view.leaving_endpoints)
        self.check_revision(max(self.alive(), key=lambda member: member.revision))
        self.schedule_on_change()

    def report_state(self, member: Member) -> None:
        """Emit the event of a member's state and schedule ``on_change``."""
        self.program.events.emit(
            STATE_EVENTS.get(member.state, Event.MEMBER_ALIVE),
            member=member.name,
            incarnation=member.incarnation,
        )
        self.schedule_on_change()


HANDLERS: dict[str, Callable[[Prober, Heartbeat, Address], None]] = {
    PING: Prober.handle_ping,
    ACK: Prober.handle_ack,
    INDIRECT_PROBE: Prober.handle_indirect_probe,
    INDIRECT_ACK: Prober.handle_indirect_ack,
}


def own_member(program: Program) -> Member:
    """Return a program's own host as a member."""
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
