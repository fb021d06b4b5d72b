"""Compares members with a peer over a link: at joining, and when digests differ."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from baobabturn.membership.owners import DEAD
from baobabturn.membership.table import word
from baobabturn.wire.messages import Member, MemberDigest, MemberSync, MemberView

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

DIFFERENCES_LIMIT = 6
PAUSE_FIRST_S = 5.0
PAUSE_LIMIT_S = 60.0


class MemberSyncer:
    """Asks one peer at a time for what this host lacks, and gives the like."""

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

    def compared(self, peer: Member, same: bool, ahead: bool) -> None:
        """Take in that a peer's digest is the same or not; sync where needed."""
        self.differences = 0 if same else self.differences + 1
        if same:
            self.pause_s = PAUSE_FIRST_S
        if self.running:
            return
        due = time.monotonic() - self.last > self.pause_s
        quiet = not self.membership.table.rumours.waiting
        lasting = self.differences >= DIFFERENCES_LIMIT and due and quiet
        if ahead or lasting or not self.joined.is_set():
            self.running = True
            work = self.sync(peer)
            self.membership.program.background.start(work, "member-sync")

    async def sync(self, peer: Member) -> None:
        """Compare all words with a peer's and take over what is newer."""
        membership = self.membership
        try:
            asked = MemberSync(
                node=membership.me.name, digests=membership.table.digests()
            )
            view = await self.exchange(peer, asked)
            if not isinstance(view, MemberView):
                return
            wanted = set(view.wanted)
            records = [m for m in membership.table.members() if m.name in wanted]
            if records:
                told = MemberSync(node=membership.me.name, members=records)
                await self.exchange(peer, told)
            membership.take_view(view)
            self.joined.set()
        finally:
            self.running = False
            self.differences = 0
            self.pause_s = min(2 * self.pause_s, PAUSE_LIMIT_S)
            self.last = time.monotonic()

    def answer(self, body: MemberSync) -> MemberView:
        """Return what a peer lacks and what is wanted of it."""
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
        """Return the records whose words are newer than a peer's digests."""
        held = {digest.name: digest for digest in digests}
        found = []
        for member in self.membership.table.members():
            digest = held.get(member.name)
            if digest is None and member.state != DEAD:
                found.append(member)
            if digest is not None and word(member) > word(digest):
                found.append(member)
        return found

    def wants(self, digest: MemberDigest) -> bool:
        """Return whether a peer's word is newer than what is held here."""
        if digest.name == self.membership.me.name:
            return False
        return self.membership.table.newer(as_member(digest))


def as_member(digest: MemberDigest) -> Member:
    """Return a digest as a record that holds no more than the word."""
    return Member(name=digest.name, incarnation=digest.incarnation, state=digest.state)
