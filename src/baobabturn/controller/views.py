"""Pushes members and configuration to this host's entry and scheduler.

Members go out once as a whole and then as differences, and nothing goes out
when nothing changed.  A revision alone waits for the next slow round.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.config.state import ConfigState
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.view import told_key
from baobabturn.wire.link import Link
from baobabturn.wire.messages import DomainDigest, Member, MemberView

SLOW_ROUND_S = 2.0


class Views:
    """The subscribers, and what was pushed to them last."""

    def __init__(
        self,
        *,
        membership: Membership,
        state: ConfigState,
        may_serve: Callable[[], bool],
        contact: Callable[[], tuple[int, int, bool]],
    ):
        self.membership = membership
        self.state = state
        self.may_serve = may_serve
        self.contact = contact
        self.subscribers: dict[Link, int] = {}
        self.held_parts: dict[Link, set[str]] = {}
        self.told: dict[str, Member] = {}
        self.told_domains: list[DomainDigest] = []
        self.told_leaving: list[str] = []
        self.told_cut_off = False
        self.pushes = 0

    async def rounds(self) -> None:
        """Push what may wait, once in a while."""
        while True:
            await asyncio.sleep(SLOW_ROUND_S)
            self.push_members(with_revisions=True)

    def subscribe(self, link: Link, revision: int) -> None:
        """Push to a link from now on, everything at first."""
        self.push_members(with_revisions=True)
        self.subscribers[link] = revision
        self.held_parts[link] = set()
        link.send(self.fill(MemberView(members=list(self.told.values()))))
        self.push_config(link)

    def closed(self, link: Link) -> None:
        """Forget a subscriber."""
        self.subscribers.pop(link, None)
        self.held_parts.pop(link, None)

    def fill(self, view: MemberView) -> MemberView:
        """Put in a view what isn't told member by member."""
        platform_ms, peers_ms, cut_off = self.contact()
        view.leaving_endpoints = self.told_leaving
        view.domains = self.told_domains
        view.platform_contact_ms = platform_ms
        view.peer_contact_ms = peers_ms
        view.cut_off = cut_off
        return view

    def push_members(self, with_revisions: bool = False) -> bool:
        """Push what changed since the last push; return whether that counts."""
        changed, counts = self.changed_members(with_revisions)
        present = {member.name for member in self.membership.table.members()}
        removed = sorted(set(self.told) - present)
        domains = [
            self.membership.domains.held[name]
            for name in sorted(self.membership.domains.held)
        ]
        leaving = sorted(self.membership.leaving_endpoints)
        cut_off = self.contact()[2]
        counts = counts or bool(removed) or leaving != self.told_leaving
        rest = domains != self.told_domains or cut_off != self.told_cut_off
        if not (changed or counts or rest):
            return False
        self.told.update((member.name, member) for member in changed)
        for name in removed:
            del self.told[name]
        self.told_domains, self.told_leaving = domains, leaving
        self.told_cut_off = cut_off
        view = MemberView(partial=True, members=changed, removed=removed)
        self.fill(view)
        self.pushes += 1
        for link in self.subscribers:
            link.send(view)
        return counts

    def changed_members(self, with_revisions: bool) -> tuple[list[Member], bool]:
        """Return the members to tell, and whether they differ in what counts."""
        changed = []
        counts = False
        for member in self.membership.table.members():
            told = self.told.get(member.name)
            if told is member:
                continue
            differs = told is None or told_key(told) != told_key(member)
            counts |= differs
            if differs or (with_revisions and told != member):
                changed.append(member)
        return changed, counts

    def push_all_config(self) -> None:
        """Bring every subscriber to the revision in force."""
        for link in list(self.subscribers):
            self.push_config(link)

    def push_config(self, link: Link) -> None:
        """Bring one subscriber to the revision in force, if it may be served.

        The parts that went over the link with the revision before aren't sent
        again.
        """
        revision = self.subscribers[link]
        if revision >= self.state.revision or not self.may_serve():
            return
        link.send(self.state.update_since(revision, self.held_parts[link]))
        self.subscribers[link] = self.state.revision
        self.held_parts[link] = set(self.state.manifest.parts.values())
