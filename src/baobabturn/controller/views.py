"""Pushes members and configuration to this host's entry and scheduler.

A subscriber gets all members once and then only the differences; nothing is pushed
if nothing changed.  If only a member's revision changed, the push waits for the next
periodic one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.config.state import ConfigState
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.view import significant_fields
from baobabturn.wire.link import Link
from baobabturn.wire.messages import DomainDigest, Member, MemberView

SLOW_PUSH_INTERVAL_S = 2.0


class ViewPublisher:
    """Holds the subscribers and what was last pushed to them.

    ``subscribers`` has the revision pushed to each link, ``sent_parts`` the digests
    of the parts.  ``contact`` is ``Contact.last_contacts``.  ``on_significant`` is
    called after each significant change of the members, whatever caused the push: one
    on which pool ownership or routing depends, not only a revision or a digest.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        state: ConfigState,
        may_serve: Callable[[], bool],
        contact: Callable[[], tuple[int, int, bool]],
        on_significant: Callable[[], None],
    ):
        self.membership = membership
        self.state = state
        self.may_serve = may_serve
        self.contact = contact
        self.on_significant = on_significant
        self.subscribers: dict[Link, int] = {}
        self.sent_parts: dict[Link, set[str]] = {}
        self.pushed: dict[str, Member] = {}
        self.pushed_domains: list[DomainDigest] = []
        self.pushed_leaving: list[str] = []
        self.pushed_cut_off = False
        self.pushes = 0

    async def push_periodically(self) -> None:
        """Push the changes that may wait, every ``SLOW_PUSH_INTERVAL_S``."""
        while True:
            await asyncio.sleep(SLOW_PUSH_INTERVAL_S)
            self.push_members(with_revisions=True)

    def subscribe(self, link: Link, revision: int) -> None:
        """Push to a link from now on, at first all members and the configuration."""
        self.push_members(with_revisions=True)
        self.subscribers[link] = revision
        self.sent_parts[link] = set()
        link.send(self.add_summary(MemberView(members=list(self.pushed.values()))))
        self.push_config(link)

    def unsubscribe(self, link: Link) -> None:
        """Remove a subscriber whose link closed."""
        self.subscribers.pop(link, None)
        self.sent_parts.pop(link, None)

    def add_summary(self, view: MemberView) -> MemberView:
        """Add the fields that aren't about a single member to a view."""
        platform_ms, peers_ms, cut_off = self.contact()
        view.leaving_endpoints = self.pushed_leaving
        view.domains = self.pushed_domains
        view.platform_contact_ms = platform_ms
        view.peer_contact_ms = peers_ms
        view.cut_off = cut_off
        return view

    def push_members(self, with_revisions: bool = False) -> None:
        """Push what changed since the last push."""
        changed, significant = self.changed_members(with_revisions)
        present = {member.name for member in self.membership.table.members()}
        removed = sorted(set(self.pushed) - present)
        domains = [
            self.membership.domains.digests[name]
            for name in sorted(self.membership.domains.digests)
        ]
        leaving = sorted(self.membership.leaving_endpoints)
        cut_off = self.contact()[2]
        significant = significant or bool(removed) or leaving != self.pushed_leaving
        summary_changed = (
            domains != self.pushed_domains or cut_off != self.pushed_cut_off
        )
        if not (changed or significant or summary_changed):
            return
        self.pushed.update((member.name, member) for member in changed)
        for name in removed:
            del self.pushed[name]
        self.pushed_domains, self.pushed_leaving = domains, leaving
        self.pushed_cut_off = cut_off
        view = MemberView(partial=True, members=changed, removed=removed)
        self.add_summary(view)
        self.pushes += 1
        for link in self.subscribers:
            link.send(view)
        if significant:
            self.on_significant()

    def changed_members(self, with_revisions: bool) -> tuple[list[Member], bool]:
        """Return the members to push, and whether any change is significant."""
        changed = []
        significant = False
        for member in self.membership.table.members():
            pushed = self.pushed.get(member.name)
            if pushed is member:
                continue
            differs = pushed is None or significant_fields(
                pushed
            ) != significant_fields(member)
            significant |= differs
            if differs or (with_revisions and pushed != member):
                changed.append(member)
        return changed, significant

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
        link.send(self.state.update_since(revision, self.sent_parts[link]))
        self.subscribers[link] = self.state.revision
        self.sent_parts[link] = set(self.state.manifest.parts.values())
