"""Leases: at most one holder at a time, with an increasing term as fencing token.

A lease is a stored object that its holder renews by rewriting it before it
expires.  The clocks of processes are not synchronized.  A holder measures the
lease's duration from before it sent the write; a challenger measures it from when
it first read a version that then stays the same; both allow for a difference in
clock rates.  So the lease has expired for its holder before a challenger's write
can be accepted.

A store that returns from a copy has lost writes, so that a lease may look free whose
holder still counts on it.  In each era a process waits for a lease's duration before
it acquires any, and a holder writes its lease again.  Terms of a later era are higher.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.objects import LEASE_KIND
from baobabturn.store.version import ABSENT

NO_HOLDER = ""
# More than the revisions of an era, in which its terms count.
TERMS_PER_ERA = 2**40


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """A lease's duration, and the relative difference in clock rates allowed for."""

    duration_s: float
    rate_margin: float

    @property
    def holder_validity_s(self) -> float:
        """Return for how long a write is valid, from before its holder sent it."""
        return self.duration_s * (1 - self.rate_margin)

    @property
    def challenger_wait_s(self) -> float:
        """Return for how long a version must stay the same before a challenge."""
        return self.duration_s * (1 + self.rate_margin)


class Lease:
    """One process's view of one lease, which it may hold.

    ``holder`` must differ between processes and between starts of a process.
    Every write has a nonce, so that a process whose response was lost can tell by
    reading whether the write took effect.  ``era`` is the store's era that this
    process has known since the time ``era_since`` of its clock.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        name: str,
        holder: str,
        times: LeaseTimes,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.store = store
        self.name = name
        self.holder = holder
        self.times = times
        self.clock = clock
        self.term = 0
        self.valid_until = 0.0
        self.held = False
        self.seen_version = ABSENT
        self.seen_at = 0.0
        self.seen_holder = NO_HOLDER
        self.seen_term = 0
        self.era = 0
        self.era_since = 0.0

    def remaining_s(self) -> float:
        """Return for how many seconds this process still holds the lease, or 0."""
        if not self.held:
            return 0.0
        return max(0.0, self.valid_until - self.clock())

    async def acquire_or_renew(self) -> None | Failure:
        """Renew the lease if held, else read it and acquire it if it is free."""
        if self.held:
            return await self.renew()
        stored = await self.read()
        if isinstance(stored, Failure):
            return stored
        if not self.can_acquire():
            return None
        return await self.write(self.next_term(), self.holder)

    def next_term(self) -> int:
        """Return a term that is higher than all before it.

        After a return the store may have lost terms, and a write of the last era may
        overwrite one of the new era.  Revisions only rise within an era, so terms are
        taken from them then.
        """
        if not self.era:
            return self.seen_term + 1
        in_era = self.era * TERMS_PER_ERA + self.seen_version.revision + 1
        return max(self.seen_term + 1, in_era)

    async def read(self) -> None | Failure:
        """Read the lease and record since when its version has stayed the same."""
        stored = await self.store.get(LEASE_KIND, self.name)
        self.record_era()
        if isinstance(stored, StoredObject):
            self.record_seen(stored)
            return None
        if stored.code is not Code.OBJECT_MISSING:
            return stored
        if self.seen_version.era < self.era:
            self.record_lost()
        return None

    def record_era(self) -> None:
        """Record the store's era, and since when this process knows it."""
        if self.store.era > self.era:
            self.era = self.store.era
            self.era_since = self.clock()

    def record_lost(self) -> None:
        """Record that the store has returned from a copy without the lease."""
        self.seen_version = ABSENT
        self.seen_holder = NO_HOLDER

    def record_seen(self, stored: StoredObject) -> None:
        """Record a version that was read, unless it is older than the known one."""
        if stored.version <= self.seen_version:
            return
        self.seen_version = stored.version
        self.seen_at = self.clock()
        self.seen_holder = stored.value["holder"]
        self.seen_term = stored.value["term"]

    def can_acquire(self) -> bool:
        """Return whether the lease is free or has expired.

        A lease with this process's own name comes from a write that took effect
        after its response was taken for lost; this process may write it again.
        Another holder may still count on a lease that the store has lost.
        """
        if self.era and self.clock() - self.era_since <= self.times.challenger_wait_s:
            return False
        if self.seen_holder in (NO_HOLDER, self.holder):
            return True
        waited = self.clock() - self.seen_at
        return waited > self.times.challenger_wait_s

    async def renew(self) -> None | Failure:
        """Rewrite the lease that this process holds."""
        if self.remaining_s() <= 0:
            self.mark_not_held()
            return Failure(Code.LEASE_LOST, f"{self.name}: the lease has expired")
        if self.seen_version.era < self.store.era:
            # Nobody else can have acquired it yet, whatever the copy says.
            failure = await self.read()
            if failure is not None:
                return failure
        return await self.write(self.term, self.holder)

    async def release(self) -> None | Failure:
        """Release the lease so that the next holder need not wait for its expiry."""
        if not self.held:
            return None
        term = self.term
        self.mark_not_held()
        return await self.write(term, NO_HOLDER)

    def mark_not_held(self) -> None:
        """Record that this process no longer holds the lease."""
        self.held = False
        self.valid_until = 0.0

    async def write(self, term: int, holder: str) -> None | Failure:
        """Write the lease over the version last seen; read it after a lost response."""
        write_nonce = nonce()
        value = {"holder": holder, "term": term, "nonce": write_nonce}
        sent_at = self.clock()
        sent_era = self.store.era
        stored = await self.store.put(LEASE_KIND, self.name, value, self.seen_version)
        if isinstance(stored, Failure) and stored.code in (
            Code.WRITE_UNRESOLVED,
            Code.VERSION_CONFLICT,
        ):
            stored = await self.read_back(write_nonce, stored)
        self.record_era()
        if isinstance(stored, Failure):
            if stored.code is Code.LEASE_LOST:
                self.mark_not_held()
            return stored
        self.record_seen(stored)
        if stored.version.era != sent_era:
            # Written over what the copy holds, not over what was read.
            self.mark_not_held()
            return Failure(Code.LEASE_LOST, f"{self.name}: the store has returned")
        if holder == self.holder:
            self.term = term
            self.valid_until = sent_at + self.times.holder_validity_s
            self.held = True
        return None

    async def read_back(
        self, write_nonce: str, failure: Failure
    ) -> StoredObject | Failure:
        """Return the lease if it has this process's write, else why it has not.

        ``LEASE_LOST`` means that another process holds it; the failure of the
        write is returned if the outcome of that write is still unknown.
        """
        stored = await self.store.get(LEASE_KIND, self.name)
        if isinstance(stored, Failure):
            return failure
        if stored.value["nonce"] == write_nonce:
            return stored
        self.record_seen(stored)
        if stored.value["holder"] != self.holder:
            return Failure(
                Code.LEASE_LOST, f"{self.name}: another process wrote it first"
            )
        return failure
