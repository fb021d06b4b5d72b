"""Sends and receives the members' UDP datagrams, each of which carries gossip."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from baobabturn.core.results import Code, Failure
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.wire import codec
from baobabturn.wire.messages import Heartbeat, Member

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

Address = tuple[str, int]

MAX_DATAGRAM_BYTES = 1200
HEADER_BYTES = 160  # reserved for all fields other than the member records
GOSSIP_BYTES_PER_S = 2500
GOSSIP_BURST_BYTES = 8_000
GOSSIP_DELAY_S = 0.05
GOSSIP = "news"  # the kind of a heartbeat that neither is a probe nor answers one


def address_of(member: Member) -> Address:
    """Return the address at which a member's controller listens."""
    return member.address, member.controller_port


class Messenger:
    """Owns a member's UDP socket and limits the bytes a second spent on gossip.

    ``may_send`` returns whether a datagram to an address may be sent; tests
    replace it to partition the network.  ``last_contact`` is when the last verified
    datagram came, in monotonic seconds, 0 for never.
    """

    def __init__(self, *, membership: Membership, secret: str):
        self.membership = membership
        self.signer = DatagramSigner(secret=secret)
        self.transport: asyncio.DatagramTransport | None = None
        self.may_send: Callable[[Address], bool] = lambda address: True
        self.sent_bytes = 0
        self.received_bytes = 0
        self.last_contact = 0.0
        self.gossip_budget_bytes = float(GOSSIP_BURST_BYTES)
        self.refilled_at = time.monotonic()
        self.gossip_scheduled = False

    async def start(self, address: Address) -> Failure | None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        try:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: Receiver(messenger=self), local_addr=address
            )
        except OSError as error:
            reason = f"{address[0]}:{address[1]}/udp: {error.strerror}"
            return Failure(Code.ADDRESS_IN_USE, reason)
        return None

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def available_gossip_bytes(self) -> float:
        """Return how many bytes of gossip may be sent now, from a token bucket."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * GOSSIP_BYTES_PER_S
        self.gossip_budget_bytes = min(
            self.gossip_budget_bytes + refill, GOSSIP_BURST_BYTES
        )
        self.refilled_at = now
        return self.gossip_budget_bytes

    def schedule_gossip(self) -> None:
        """Schedule gossip to a few members; updates of one moment share datagrams."""
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(GOSSIP_DELAY_S, self.gossip_now)

    def gossip_now(self) -> None:
        """Send gossip to a few members, as far as the byte budget allows."""
        self.gossip_scheduled = False
        membership = self.membership
        for member in membership.random_peers(membership.settings.fanout):
            if self.available_gossip_bytes() >= MAX_DATAGRAM_BYTES:
                self.send(GOSSIP, address_of(member))

    def send(
        self,
        kind: str,
        address: Address,
        sequence: int = 0,
        target: str = "",
        required: list[Member] | None = None,
        digest_differs: bool = False,
    ) -> None:
        """Send one datagram with as many updates as fit.

        ``sequence`` is that of the probe that is sent or answered.  ``target`` is the
        member to probe, in an ack the one that probed, in an indirect ack the one
        that answered.  ``required`` members are always included.  If the peer's
        table digest differs from this host's, recent updates are sent, whether or
        not they are still pending.
        """
        if self.transport is None or not self.may_send(address):
            return
        body = self.pack(kind, sequence, target, required or [], digest_differs)
        datagram = self.signer.sign(body)
        self.transport.sendto(datagram, address)
        self.sent_bytes += len(datagram)

    def pack(
        self,
        kind: str,
        sequence: int,
        target: str,
        required: list[Member],
        digest_differs: bool,
    ) -> bytes:
        """Return a datagram's body, which includes this host as a member."""
        membership = self.membership
        table = membership.table
        members = [table.me, *required]
        used_bytes = sum(len(table.packer.pack(member)) for member in members)
        limit_bytes = min(
            MAX_DATAGRAM_BYTES - HEADER_BYTES - used_bytes,
            int(self.available_gossip_bytes()),
        )
        if digest_differs:
            updates = table.updates.recent_batch(limit_bytes, membership.random)
        else:
            updates = table.updates.next_batch(limit_bytes, len(table.records))
        self.gossip_budget_bytes -= sum(
            len(table.packer.pack(update)) for update in updates
        )
        included = {member.name for member in members}
        members += [member for member in updates if member.name not in included]
        heartbeat = Heartbeat(
            node=table.me.name,
            incarnation=table.me.incarnation,
            revision=table.me.revision,
            records=[table.packer.pack(member) for member in members],
            kind=kind,
            sequence=sequence,
            target=target,
            digest=table.digest,
            domains=membership.domains.next_digests(),
            leaving_stamp=membership.leaving_stamp,
        )
        stamp = membership.program.clock.now()
        return codec.pack(codec.Envelope(body=heartbeat, hlc=stamp))

    def receive(self, datagram: bytes, address: Address) -> None:
        """Handle one datagram; drop it if its tag or content is wrong."""
        self.received_bytes += len(datagram)
        data = self.signer.verify(datagram)
        envelope = None if data is None else codec.unpack(data)
        if not isinstance(envelope, codec.Envelope):
            return
        heartbeat = envelope.body
        if (
            not isinstance(heartbeat, Heartbeat)
            or heartbeat.node == self.membership.me.name
        ):
            return
        packer = self.membership.table.packer
        unpacked = [packer.unpack(record) for record in heartbeat.records]
        heartbeat.members = [
            member for member in unpacked if isinstance(member, Member)
        ]
        self.membership.program.clock.observe(envelope.hlc)
        self.last_contact = time.monotonic()
        self.membership.handle_heartbeat(heartbeat, address)


class Receiver(asyncio.DatagramProtocol):
    """Passes received datagrams to the messenger."""

    def __init__(self, *, messenger: Messenger):
        self.messenger = messenger

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass one datagram on."""
        self.messenger.receive(data, (addr[0], addr[1]))
