"""Syncs the members with a peer over a link, on joining and if table digests differ."""

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

SYNC_MISMATCH_COUNT = 6  # consecutive digests that differ before a sync starts
# The least interval between syncs doubles with each until a peer's digest is equal.
MIN_SYNC_INTERVAL_S = 5.0
MAX_SYNC_INTERVAL_S = 60.0


class MemberSyncer:
    """Exchanges newer members with one peer at a time.

    ``joined`` is set when the first sync has succeeded.
    """

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
        self.mismatches = 0
        self.last_sync = 0.0
        self.interval_s = MIN_SYNC_INTERVAL_S

    def record_comparison(
        self, peer: Member, same_digest: bool, newer_leaving_list: bool
    ) -> None:
        """Record whether a peer's table digest is the same; sync if needed.

        Digests differ for a moment after each change, so only a difference that
        lasts for several comparisons, while no update is pending here, starts a
        sync.  A newer list of leaving endpoints at the peer starts one at once, and
        so does each comparison before this host has joined.
        """
        self.mismatches = 0 if same_digest else self.mismatches + 1
        if same_digest:
            self.interval_s = MIN_SYNC_INTERVAL_S
        if self.running:
            return
        due = time.monotonic() - self.last_sync > self.interval_s
        no_pending = not self.membership.table.updates.pending
        lasting = self.mismatches >= SYNC_MISMATCH_COUNT and due and no_pending
        if newer_leaving_list or lasting or not self.joined.is_set():
            self.running = True
            coroutine = self.sync(peer)
            self.membership.program.background.start(coroutine, "member-sync")

    async def sync(self, peer: Member) -> None:
        """Compare all members with a peer, and exchange the newer ones."""
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
            membership.apply_view(view)
            self.joined.set()
        finally:
            self.running = False
            self.mismatches = 0
            self.interval_s = min(2 * self.interval_s, MAX_SYNC_INTERVAL_S)
            self.last_sync = time.monotonic()

    def answer(self, body: MemberSync) -> MemberView:
        """Return the members that a peer lacks, and the names of those to send here.

        The members that it sent are applied, and its digest of this host; other
        digests have no address, which a new member needs.
        """
        membership = self.membership
        for member in [*body.members, *map(as_member, body.digests)]:
            if member.name == membership.me.name or member.address:
                membership.apply_update(member, trusted=False)
        view = MemberView(
            domains=list(membership.domains.digests.values()),
            leaving_endpoints=list(membership.leaving_endpoints),
            leaving_stamp=membership.leaving_stamp,
        )
        if body.digests:
            view.members = self.members_for_peer(body.digests)
            view.wanted = [d.name for d in body.digests if self.is_newer_at_peer(d)]
        return view

    def members_for_peer(self, digests: list[MemberDigest]) -> list[Member]:
        """Return the members that are newer here than in a peer's digests."""
        by_name = {digest.name: digest for digest in digests}
        newer = []
        for member in self.membership.table.members():
            digest = by_name.get(member.name)
            if digest is None and member.state != DEAD:
                newer.append(member)
            if digest is not None and precedence(member) > precedence(digest):
                newer.append(member)
        return newer

    def is_newer_at_peer(self, digest: MemberDigest) -> bool:
        """Return whether a peer's update about a member is newer than this host's."""
        if digest.name == self.membership.me.name:
            return False
        return self.membership.table.is_superseded_by(as_member(digest))


def as_member(digest: MemberDigest) -> Member:
    """Return a member that holds only a digest's name, incarnation and state."""
    return Member(name=digest.name, incarnation=digest.incarnation, state=digest.state)
