"""Watchers of the failure domains, and the digest that each domain publishes.

A domain's digest has the number of its hosts and how many of them are behind the
newest configuration revision.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from baobabturn.membership.messenger import GOSSIP, address_of
from baobabturn.membership.owners import ALIVE, DEAD, weight
from baobabturn.wire.messages import DomainDigest, Member

if TYPE_CHECKING:
    from baobabturn.membership.heartbeat import Membership

MAX_DIGEST_SENDS = 12  # datagrams in which a host passes a new digest on
MAX_REPAIR_PROBES = 8  # of members behind the newest revision, in each tick
REPAIR_DELAY_S = 1.0  # without repair probes after a new revision at this host
MS_PER_S = 1000


def choose_watchers(domain: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the members that watch the platform for a failure domain.

    They are chosen by rendezvous hashing over the domain's members that are alive,
    so all hosts agree on them without messages.  The first also computes the
    domain's digest for the other domains.
    """
    alive = [m for m in members if m.state == ALIVE and m.failure_domain == domain]
    alive.sort(key=lambda member: weight(member.name, domain), reverse=True)
    return alive[:count]


def summarize_domain(
    domain: str, node: str, stamp: int, members: Iterable[Member]
) -> DomainDigest:
    """Return the digest of a failure domain, over its members that aren't dead.

    ``members`` are those of all domains, over which the newest revision is taken.
    ``stamp`` is the digest's wall-clock time in ms.
    """
    members = list(members)
    newest = max((member.revision for member in members), default=0)
    revisions = [
        member.revision
        for member in members
        if member.state != DEAD and member.failure_domain == domain
    ]
    return DomainDigest(
        failure_domain=domain,
        node=node,
        stamp=stamp,
        hosts=len(revisions),
        behind=sum(revision < newest for revision in revisions),
        revision=min(revisions, default=0),
        newest=newest,
    )


class DomainTable:
    """Holds the newest digest of each failure domain and spreads it by gossip."""

    def __init__(self):
        self.digests: dict[str, DomainDigest] = {}
        self.remaining_sends: dict[str, int] = {}

    def apply(self, digest: DomainDigest) -> bool:
        """Store a digest if it is newer than the stored one; return whether it was."""
        stored = self.digests.get(digest.failure_domain)
        if stored is not None and stored.stamp >= digest.stamp:
            return False
        self.digests[digest.failure_domain] = digest
        self.remaining_sends[digest.failure_domain] = MAX_DIGEST_SENDS
        return True

    def next_digests(self) -> list[DomainDigest]:
        """Return the digests for one datagram, and count one send of each."""
        digests = []
        for domain, sends in list(self.remaining_sends.items()):
            digests.append(self.digests[domain])
            if sends > 1:
                self.remaining_sends[domain] = sends - 1
            else:
                del self.remaining_sends[domain]
        return digests


def equal_except_stamp(stored: DomainDigest | None, digest: DomainDigest) -> bool:
    """Return whether two digests of a domain are equal but for their stamps."""
    return stored is not None and (
        stored.node,
        stored.hosts,
        stored.behind,
        stored.revision,
        stored.newest,
    ) == (digest.node, digest.hosts, digest.behind, digest.revision, digest.newest)


class DomainSummarizer:
    """Computes the digest of this host's domain while it is the first watcher.

    ``revision_set_at`` is when the revision in force here last changed, in
    monotonic seconds.
    """

    def __init__(self, *, membership: Membership):
        self.membership = membership
        self.revision_set_at = 0.0

    def tick(self) -> None:
        """Compute the digest, send it if it changed, and probe members behind.

        A changed digest gets a higher stamp than the last one, even if the clock was
        set back.
        """
        membership = self.membership
        domain = membership.me.failure_domain
        first_watcher = membership.watchers(domain)[:1]
        if not first_watcher or first_watcher[0].name != membership.me.name:
            return
        stamp = now_ms()
        digest = summarize_domain(
            domain, membership.me.name, stamp, membership.members()
        )
        stored = membership.domains.digests.get(domain)
        if not equal_except_stamp(stored, digest):
            digest.stamp = max(stamp, stored.stamp + 1 if stored else 0)
            membership.domains.apply(digest)
            self.notify_watchers()
            membership.schedule_on_change()
        if digest.behind and time.monotonic() - self.revision_set_at > REPAIR_DELAY_S:
            self.probe_outdated(digest)

    def notify_watchers(self) -> None:
        """Send this failure domain's digest to the other domains' watchers."""
        membership = self.membership
        domains = {member.failure_domain for member in membership.table.members()}
        for domain in sorted(domains - {membership.me.failure_domain}):
            for member in membership.watchers(domain):
                membership.messenger.send(GOSSIP, address_of(member))

    def probe_outdated(self, digest: DomainDigest) -> None:
        """Probe members whose revision seems old; probes carry this host's revision."""
        outdated = [
            member
            for member in self.membership.members()
            if member.state != DEAD
            and member.failure_domain == digest.failure_domain
            and member.revision < digest.newest
            and member.name != self.membership.me.name
        ]
        for member in outdated[:MAX_REPAIR_PROBES]:
            self.membership.prober.probe_now(member)


def now_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return int(time.time() * MS_PER_S)
