"""Deletes expired idempotency claims, a few at a time.

The names of claims are hashes in hexadecimal.  Every ``interval_s`` all hosts go
on to the next prefix of names, and the one host that owns this prefix by
rendezvous hashing lists and sweeps it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from baobabturn.core.results import Failure
from baobabturn.store.claimvalues import decode_claim
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.objects import CLAIM_KIND

PREFIX_DIGITS = 3
PREFIX_COUNT = 16**PREFIX_DIGITS
MAX_DELETES_PER_SWEEP = 20
DELETE_PAUSE_S = 0.05

log = logging.getLogger("baobabturn.store.sweep")


class ClaimSweep:
    """Sweeps the prefixes of claim names that one host owns.

    ``owns_prefix`` returns whether this host owns a prefix.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        lifetime_s: float,
        interval_s: float,
        owns_prefix: Callable[[str], bool],
    ):
        self.store = store
        self.lifetime_s = lifetime_s
        self.interval_s = interval_s
        self.owns_prefix = owns_prefix
        self.next_prefix = int(time.time() / interval_s) % PREFIX_COUNT
        self.deleted = 0

    async def run(self) -> None:
        """Advance one prefix each interval and sweep it if this host owns it."""
        while True:
            await asyncio.sleep(self.interval_s)
            prefix = f"{self.next_prefix:0{PREFIX_DIGITS}x}"
            self.next_prefix = (self.next_prefix + 1) % PREFIX_COUNT
            if self.owns_prefix(prefix):
                await self.sweep(prefix)

    async def sweep(self, prefix: str) -> int | Failure:
        """Delete expired claims with a prefix, up to a limit; return their count.

        A claim that changed since it was read is kept, because the deletion is
        conditional on its version.
        """
        claims = await self.store.find(CLAIM_KIND, prefix)
        if isinstance(claims, Failure):
            return claims
        expired = [claim for claim in claims if self.is_expired(claim)][
            :MAX_DELETES_PER_SWEEP
        ]
        count = 0
        for claim in expired:
            failure = await self.store.delete(CLAIM_KIND, claim.name, claim.version)
            count += failure is None
            await asyncio.sleep(DELETE_PAUSE_S)
        self.deleted += count
        return count

    def is_expired(self, claim: StoredObject) -> bool:
        """Return whether a claim's request ended longer than the lifetime ago.

        A claim that can't be read is kept.
        """
        try:
            value = decode_claim(claim.value)
            ended_at = max(value.at, value.until)
        except (AttributeError, TypeError) as error:
            log.warning("event=claim-unreadable name=%s error=%r", claim.name, error)
            return False
        return time.time() > ended_at + self.lifetime_s
