"""Pushes members and configuration to this host's entry and scheduler.

A subscriber gets all members once and then only the differences.  If only a
member's revision changed, the push waits for the next periodic one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.config.state import ConfigState
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.view import significant_fields
from baobabturn.wire.link import Link
from baobabturn.wire.messages import DomainDigest, Member, MemberView

SLOW_ROUND_S = 2.0


class Views:
    """Holds the subscribers and what was last pushed to them."""

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
        """Push the changes that may wait, every ``SLOW_PUSH_INTERVAL_S``."""
        while True:
            await asyncio.sleep(SLOW_ROUND_S)
            self.push_members(with_revisions=True)

    def subscribe(self, link: Link, revision: int) -> None:
        """Push to a link from now on, at first all members and the configuration."""
        self.push_members(with_revisions=True)
        self.subscribers[link] = revision
        self.held_parts[link] = set()
        link.send(self.fill(MemberView(members=list(self.told.values()))))
        self.push_config(link)

    def closed(self, link: Link) -> None:
        """Remove a subscriber whose link closed."""
        self.subscribers.pop(link, None)
        self.held_parts.pop(link, None)

    def fill(self, view: MemberView) -> MemberView:
        """Add the fields that aren't about a single member to a view."""
        platform_ms, peers_ms, cut_off = self.contact()
        view.leaving_endpoints = self.told_leaving
        view.domains = self.told_domains
        view.platform_contact_ms = platform_ms
        view.peer_contact_ms = peers_ms
        view.cut_off = cut_off
        return view

    def push_members(self, with_revisions: bool = False) -> bool:
        """Push what changed since the last push.

        Return whether a change is significant: one on which pool ownership or
        routing depends, not only a revision or a digest.
        """
        changed, counts = self.changed_members(with_revisions)
        present = {member.name for member in self.membership.table.members()}
        removed = sorted(set(self.told) - present)
        domains = [
            self.membership.domains.digests[name]
            for name in sorted(self.membership.domains.digests)
        ]
        leaving = sorted(self.membership.leaving_endpoints)
        cut_off = self.contact()[2]
        counts = counts or bool(removed) or leaving != self.told_leaving
        summary_changed = domains != self.told_domains or cut_off != self.told_cut_off
        if not (changed or counts or summary_changed):
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
        """Return the members to push, and whether any change is significant."""
        changed = []
        counts = False
        for member in self.membership.table.members():
            pushed = self.told.get(member.name)
            if pushed is member:
                continue
            differs = pushed is None or significant_fields(
                pushed
            ) != significant_fields(member)
            counts |= differs
            if differs or (with_revisions and pushed != member):
                changed.append(member)
        return changed, counts

    def push_all_config(self) -> None:
        """Push the revision in force to every subscriber."""
        for link in list(self.subscribers):
            self.push_config(link)

    def push_config(self, link: Link) -> None:
        """Push the revision in force to one subscriber that has an older one.

        Nothing is pushed before the configuration may be served.  Parts that were
        sent over the link with the last revision aren't sent again.
        """
        revision = self.subscribers[link]
        if revision >= self.state.revision or not self.may_serve():
            return
        link.send(self.state.update_since(revision, self.held_parts[link]))
        self.subscribers[link] = self.state.revision
        self.held_parts[link] = set(self.state.manifest.parts.values())
