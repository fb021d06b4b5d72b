"""Heartbeats between controllers over UDP, and the table they keep."""

from __future__ import annotations

import asyncio
import hmac
import random
import time
from collections.abc import Callable

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.membership.owners import ALIVE, DEAD, LEAVING, SUSPECT
from baobabturn.wire import codec
from baobabturn.wire.link import proof
from baobabturn.wire.messages import Heartbeat, Member

STATE_EVENTS = {
    ALIVE: Event.MEMBER_ALIVE,
    SUSPECT: Event.MEMBER_SUSPECT,
    LEAVING: Event.MEMBER_LEAVING,
    DEAD: Event.MEMBER_DEAD,
}
FORGET_S = 60.0


@attrs.define(kw_only=True)
class Known:
    """A member with the time at which it was last heard of."""

    member: Member
    heard: float


class Membership:
    """The members as this host sees them; soft state that needs no agreement."""

    def __init__(self, *, program: Program, changed: Callable[[], None]):
        self.program = program
        self.settings = program.settings.membership
        self.secret = program.settings.inner.secret
        self.changed = changed
        self.random = random.Random(program.identity.node)
        host, ports = program.settings.host, program.settings.ports
        self.me = Member(
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
        self.known: dict[str, Known] = {}
        self.seeds: set[tuple[str, int]] = set()
        for seed in self.settings.seeds:
            address, _, port = seed.rpartition(":")
            self.seeds.add((address, int(port)))
        self.transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0

    async def start(self) -> Failure | None:
        """Listen for heartbeats and begin to send them."""
        host, port = self.me.address, self.me.controller_port
        loop = asyncio.get_running_loop()
        try:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: Receiver(membership=self), local_addr=(host, port)
            )
        except OSError as error:
            return Failure(Code.ADDRESS_IN_USE, f"{host}:{port}/udp: {error.strerror}")
        self.program.background.start(self.beat(), "heartbeats")
        return None

    def members(self) -> list[Member]:
        """Return this host and all members it knows, dead ones included."""
        return [self.me, *(known.member for known in self.known.values())]

    def alive(self) -> list[Member]:
        """Return the members that are alive."""
        return [member for member in self.members() if member.state == ALIVE]

    def add_seed(self, address: str, port: int) -> None:
        """Note an address at which a member may be."""
        self.seeds.add((address, port))

    async def leave(self) -> None:
        """Tell the members that this host leaves."""
        self.set_own_state(LEAVING)

    def set_own_state(self, state: str) -> None:
        """Change this host's own state and send it at once."""
        if self.me.state == state:
            return
        self.me.state = state
        self.program.events.emit(STATE_EVENTS[state], member=self.me.name)
        self.send_all()
        self.changed()

    def set_process_down(self, role: str, down: bool) -> None:
        """Note whether one of this host's processes answers; tell the members."""
        field = f"{role}_down"
        if getattr(self.me, field) == down:
            return
        setattr(self.me, field, down)
        self.send_all()
        self.changed()

    async def beat(self) -> None:
        """Send heartbeats and judge silence, once an interval."""
        while True:
            self.send_all()
            self.judge()
            jitter = self.random.uniform(0.9, 1.1)
            await asyncio.sleep(self.settings.interval_s * jitter)

    def targets(self) -> set[tuple[str, int]]:
        """Return the addresses to send a heartbeat to."""
        held = {
            (known.member.address, known.member.controller_port)
            for known in self.known.values()
        }
        return (held | self.seeds) - {(self.me.address, self.me.controller_port)}

    def send_all(self) -> None:
        """Send a heartbeat to every target."""
        beat = Heartbeat(
            node=self.me.name,
            incarnation=self.me.incarnation,
            revision=self.me.revision,
            members=[self.me],
            proof=proof(self.secret, "beat", self.me.name, str(self.me.incarnation)),
        )
        envelope = codec.Envelope(body=beat, hlc=self.program.clock.now())
        data = codec.pack(envelope)
        for target in self.targets():
            if self.transport is not None:
                self.transport.sendto(data, target)
                self.sent_bytes += len(data)

    def receive(self, data: bytes) -> None:
        """Take in one datagram; anything unproved is dropped."""
        envelope = codec.unpack(data)
        if isinstance(envelope, Failure) or not isinstance(envelope.body, Heartbeat):
            return
        beat = envelope.body
        wanted = proof(self.secret, "beat", beat.node, str(beat.incarnation))
        if not hmac.compare_digest(wanted, beat.proof):
            return
        self.program.clock.observe(envelope.hlc)
        for member in beat.members:
            self.learn(member)

    def learn(self, member: Member) -> None:
        """Take in a member's word about itself; older incarnations are ignored."""
        if member.name == self.me.name:
            return
        now = time.monotonic()
        known = self.known.get(member.name)
        if known is None:
            self.known[member.name] = Known(member=member, heard=now)
            self.note(member)
            return
        if member.incarnation < known.member.incarnation:
            return
        before = known.member
        known.member = member
        known.heard = now
        if (before.state, before.incarnation) != (member.state, member.incarnation):
            self.note(member)
        elif heard_change(before, member):
            self.changed()

    def judge(self) -> None:
        """Suspect, declare dead and forget members by their silence."""
        now = time.monotonic()
        for name, known in list(self.known.items()):
            silence = now - known.heard
            if silence > self.settings.dead_s + FORGET_S:
                del self.known[name]
                continue
            state = known.member.state
            if silence > self.settings.dead_s and state != DEAD:
                self.mark(known, DEAD)
            elif silence > self.settings.suspect_s and state in (ALIVE, LEAVING):
                self.mark(known, SUSPECT)

    def mark(self, known: Known, state: str) -> None:
        """Change what this host thinks of a member."""
        known.member = attrs.evolve(known.member, state=state)
        self.note(known.member)

    def note(self, member: Member) -> None:
        """Log a member's state and tell the listeners."""
        self.program.events.emit(
            STATE_EVENTS.get(member.state, Event.MEMBER_ALIVE),
            member=member.name,
            incarnation=member.incarnation,
        )
        self.changed()


def heard_change(before: Member, after: Member) -> bool:
    """Return whether a member's word about itself changes anything but its state."""
    return (before.revision, before.entry_down, before.scheduler_down) != (
        after.revision,
        after.entry_down,
        after.scheduler_down,
    )


class Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to the membership."""

    def __init__(self, *, membership: Membership):
        self.membership = membership

    def datagram_received(self, data: bytes, addr) -> None:
        """Take in one datagram."""
        self.membership.receive(data)
