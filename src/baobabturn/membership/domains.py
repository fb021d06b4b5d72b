"""Failure domains in aggregate: their watchers, and what these count."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from baobabturn.membership.messenger import NEWS, address_of
from baobabturn.membership.owners import ALIVE, DEAD, weight
from baobabturn.wire.messages import DomainDigest, Member

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

REMEMBER_SENDS = 12
REPAIR_LIMIT = 8
REPAIR_AFTER_S = 1.0
MS_PER_S = 1000


def watchers(domain: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the members that watch the platform for a failure domain.

    They are chosen by rendezvous hashing over its live members, so that all
    hosts agree without a word; the first also counts the domain for others.
    """
    alive = [m for m in members if m.state == ALIVE and m.failure_domain == domain]
    alive.sort(key=lambda member: weight(member.name, domain), reverse=True)
    return alive[:count]


def count_domain(
    domain: str, node: str, stamp: int, members: Iterable[Member]
) -> DomainDigest:
    """Return the aggregate over a failure domain's members but the dead ones."""
    members = list(members)
    newest = max((member.revision for member in members), default=0)
    held = [
        member.revision
        for member in members
        if member.state != DEAD and member.failure_domain == domain
    ]
    return DomainDigest(
        failure_domain=domain,
        node=node,
        stamp=stamp,
        hosts=len(held),
        behind=sum(revision < newest for revision in held),
        revision=min(held, default=0),
        newest=newest,
    )


class DomainTable:
    """The newest aggregate of each failure domain, passed on like rumours."""

    def __init__(self):
        self.held: dict[str, DomainDigest] = {}
        self.left: dict[str, int] = {}

    def take(self, digest: DomainDigest) -> bool:
        """Hold an aggregate if it is newer; return whether it was."""
        held = self.held.get(digest.failure_domain)
        if held is not None and held.stamp >= digest.stamp:
            return False
        self.held[digest.failure_domain] = digest
        self.left[digest.failure_domain] = REMEMBER_SENDS
        return True

    def to_send(self) -> list[DomainDigest]:
        """Return the aggregates that still are to be passed on."""
        chosen = []
        for domain, left in list(self.left.items()):
            chosen.append(self.held[domain])
            if left > 1:
                self.left[domain] = left - 1
            else:
                del self.left[domain]
        return chosen


def same_counts(one: DomainDigest | None, other: DomainDigest) -> bool:
    """Return whether two aggregates of a domain say the same."""
    return one is not None and (
        one.node,
        one.hosts,
        one.behind,
        one.revision,
        one.newest,
    ) == (other.node, other.hosts, other.behind, other.revision, other.newest)


class DomainCounter:
    """Counts this host's failure domain while the host is its first watcher."""

    def __init__(self, *, membership: Membership):
        self.membership = membership
        self.newest_since = 0.0

    def tick(self) -> None:
        """Count, and tell the other domains' watchers where something changed."""
        membership = self.membership
        domain = membership.me.failure_domain
        first = membership.watchers(domain)[:1]
        if not first or first[0].name != membership.me.name:
            return
        stamp = now_ms()
        digest = count_domain(domain, membership.me.name, stamp, membership.members())
        held = membership.domains.held.get(domain)
        if not same_counts(held, digest):
            digest.stamp = max(stamp, held.stamp + 1 if held else 0)
            membership.domains.take(digest)
            self.tell_watchers()
            membership.tell_changed()
        if digest.behind and time.monotonic() - self.newest_since > REPAIR_AFTER_S:
            self.repair(digest)

    def tell_watchers(self) -> None:
        """Send this failure domain's aggregate to the other domains' watchers."""
        membership = self.membership
        domains = {member.failure_domain for member in membership.table.members()}
        for domain in sorted(domains - {membership.me.failure_domain}):
            for member in membership.watchers(domain):
                membership.messenger.send(NEWS, address_of(member))

    def repair(self, digest: DomainDigest) -> None:
        """Ask members whose revision seems old, which tells them the newest."""
        late = [
            member
            for member in self.membership.members()
            if member.state != DEAD
            and member.failure_domain == digest.failure_domain
            and member.revision < digest.newest
            and member.name != self.membership.me.name
        ]
        for member in late[:REPAIR_LIMIT]:
            self.membership.prober.ask(member)


def now_ms() -> int:
    """Return the wall time in milliseconds."""
    return int(time.time() * MS_PER_S)
