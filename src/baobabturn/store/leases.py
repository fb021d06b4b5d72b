"""Leases: at most one holder at a time, with an increasing term as fencing token.

A lease is a stored object that its holder renews by rewriting it before it
expires.  The clocks of processes are not synchronized.  A holder measures the
lease's duration from before it sent the write; a challenger measures it from when
it first read a version that then stays the same; both allow for a difference in
clock rates.  So the lease has expired for its holder before a challenger's write
can be accepted.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import ABSENT, ObjectStore, StoredObject
from baobabturn.store.objects import LEASE_KIND

NOBODY = ""


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """A lease's duration, and the relative difference in clock rates allowed for."""

    duration_s: float
    rate_margin: float

    @property
    def holder_s(self) -> float:
        """Return for how long a write is valid, from before its holder sent it."""
        return self.duration_s * (1 - self.rate_margin)

    @property
    def challenger_s(self) -> float:
        """Return for how long a version must stay the same before a challenge."""
        return self.duration_s * (1 + self.rate_margin)


class Lease:
    """One process's view of one lease, which it may hold.

    ``holder`` must differ between processes and between starts of a process.
    Every write has a nonce, so that a process whose response was lost can tell by
    reading whether the write took effect.
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
        self.seen_holder = NOBODY
        self.seen_term = 0

    def remaining_s(self) -> float:
        """Return for how many seconds this process still holds the lease, or 0."""
        if not self.held:
            return 0.0
        return max(0.0, self.valid_until - self.clock())

    async def keep(self) -> None | Failure:
        """Renew the lease if held, else read it and acquire it if it is free."""
        if self.held:
            return await self.renew()
        found = await self.read()
        if isinstance(found, Failure):
            return found
        if not self.may_take():
            return None
        return await self.write(self.seen_term + 1, self.holder)

    async def read(self) -> None | Failure:
        """Read the lease and record since when its version has stayed the same."""
        found = await self.store.get(LEASE_KIND, self.name)
        if isinstance(found, Failure):
            return None if found.code is Code.OBJECT_MISSING else found
        self.see(found)
        return None

    def see(self, found: StoredObject) -> None:
        """Record a version that was read, unless it is older than the known one."""
        if found.version <= self.seen_version:
            return
        self.seen_version = found.version
        self.seen_at = self.clock()
        self.seen_holder = found.value["holder"]
        self.seen_term = found.value["term"]

    def may_take(self) -> bool:
        """Return whether the lease is free or has expired.

        A lease with this process's own name comes from a write that took effect
        after its response was taken for lost; this process may write it again.
        """
        if self.seen_holder in (NOBODY, self.holder):
            return True
        waited = self.clock() - self.seen_at
        return waited > self.times.challenger_s

    async def renew(self) -> None | Failure:
        """Rewrite the lease that this process holds."""
        if self.remaining_s() <= 0:
            self.lose()
            return Failure(Code.LEASE_LOST, f"{self.name}: the lease has expired")
        return await self.write(self.term, self.holder)

    async def release(self) -> None | Failure:
        """Release the lease so that the next holder need not wait for its expiry."""
        if not self.held:
            return None
        term = self.term
        self.lose()
        return await self.write(term, NOBODY)

    def lose(self) -> None:
        """Record that this process no longer holds the lease."""
        self.held = False
        self.valid_until = 0.0

    async def write(self, term: int, holder: str) -> None | Failure:
        """Write the lease over the version last seen; read it after a lost response."""
        mark = nonce()
        value = {"holder": holder, "term": term, "nonce": mark}
        sent = self.clock()
        found = await self.store.put(LEASE_KIND, self.name, value, self.seen_version)
        if isinstance(found, Failure) and found.code in (
            Code.WRITE_UNRESOLVED,
            Code.VERSION_CONFLICT,
        ):
            found = await self.read_back(mark, found)
        if isinstance(found, Failure):
            if found.code is Code.LEASE_LOST:
                self.lose()
            return found
        self.see(found)
        if holder == self.holder:
            self.term = term
            self.valid_until = sent + self.times.holder_s
            self.held = True
        return None

    async def read_back(self, mark: str, failure: Failure) -> StoredObject | Failure:
        """Return the lease if it has this process's write, else why it has not.

        ``LEASE_LOST`` means that another process holds it; the failure of the
        write is returned if the outcome of that write is still unknown.
        """
        found = await self.store.get(LEASE_KIND, self.name)
        if isinstance(found, Failure):
            return failure
        if found.value["nonce"] == mark:
            return found
        self.see(found)
        if found.value["holder"] != self.holder:
            return Failure(
                Code.LEASE_LOST, f"{self.name}: another process wrote it first"
            )
        return failure
