"""Syncs the members with a peer over a link, on joining and when digests differ."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from baobabturn.membership.owners import DEAD
from baobabturn.membership.table import precedence
from baobabturn.wire.messages import Member, MemberDigest, MemberSync, MemberView

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

DIFFERENCES_LIMIT = 6
PAUSE_FIRST_S = 5.0
PAUSE_LIMIT_S = 60.0


class MemberSyncer:
    """Exchanges newer member records with one peer at a time."""

    def __init__(
        self,
        *,
        membership: Membership,
        exchange: Callable[[Member, Any], Awaitable[Any]],
    ):
        self.membership = membership
        self.exchange = exchange
        self.joined = asyncio.Event()
        self.running = False
        self.differences = 0
        self.last = 0.0
        self.pause_s = PAUSE_FIRST_S

    def compared(self, peer: Member, same: bool, peer_ahead: bool) -> None:
        """Record whether a peer's digest equals this host's; sync if needed.

        Digests differ for a moment after each change, so only a difference that
        lasts for several comparisons starts a sync.
        """
        self.differences = 0 if same else self.differences + 1
        if same:
            self.pause_s = PAUSE_FIRST_S
        if self.running:
            return
        due = time.monotonic() - self.last > self.pause_s
        no_pending = not self.membership.table.updates.pending
        lasting = self.differences >= DIFFERENCES_LIMIT and due and no_pending
        if peer_ahead or lasting or not self.joined.is_set():
            self.running = True
            coroutine = self.sync(peer)
            self.membership.program.background.start(coroutine, "member-sync")

    async def sync(self, peer: Member) -> None:
        """Compare all members with a peer, and exchange the newer records."""
        membership = self.membership
        try:
            request = MemberSync(
                node=membership.me.name, digests=membership.table.digests()
            )
            view = await self.exchange(peer, request)
            if not isinstance(view, MemberView):
                return
            wanted = set(view.wanted)
            records = [m for m in membership.table.members() if m.name in wanted]
            if records:
                update = MemberSync(node=membership.me.name, members=records)
                await self.exchange(peer, update)
            membership.take_view(view)
            self.joined.set()
        finally:
            self.running = False
            self.differences = 0
            self.pause_s = min(2 * self.pause_s, PAUSE_LIMIT_S)
            self.last = time.monotonic()

    def answer(self, body: MemberSync) -> MemberView:
        """Return the records that a peer lacks and the names that it should send."""
        membership = self.membership
        for member in [*body.members, *map(as_member, body.digests)]:
            if member.name == membership.me.name or member.address:
                membership.learn(member, trusted=False)
        view = MemberView(
            domains=list(membership.domains.held.values()),
            leaving_endpoints=list(membership.leaving_endpoints),
            leaving_stamp=membership.leaving_stamp,
        )
        if body.digests:
            view.members = self.lacking(body.digests)
            view.wanted = [d.name for d in body.digests if self.wants(d)]
        return view

    def lacking(self, digests: list[MemberDigest]) -> list[Member]:
        """Return the records that are newer here than in a peer's digests."""
        by_name = {digest.name: digest for digest in digests}
        newer = []
        for member in self.membership.table.members():
            digest = by_name.get(member.name)
            if digest is None and member.state != DEAD:
                newer.append(member)
            if digest is not None and precedence(member) > precedence(digest):
                newer.append(member)
        return newer

    def wants(self, digest: MemberDigest) -> bool:
        """Return whether a peer's record of a member is newer than this host's."""
        if digest.name == self.membership.me.name:
            return False
        return self.membership.table.supersedes(as_member(digest))


def as_member(digest: MemberDigest) -> Member:
    """Return a member that holds only a digest's name, incarnation and state."""
    return Member(name=digest.name, incarnation=digest.incarnation, state=digest.state)
