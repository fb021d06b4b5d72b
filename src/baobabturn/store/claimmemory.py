"""Remembers this process's claims, for a store that returns from an older copy.

The copy lacks the newest claims, so that a request could be sent a second time under a
new one.  Whoever holds a claim writes it again; for a while after the return nobody
acquires a new one.  A process that has claims to remember reads the store at intervals,
so that it notices a return although it makes no other call.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

from baobabturn.core.background import Background
from baobabturn.core.results import Code, Failure
from baobabturn.store.claimvalues import ClaimValue, decode_claim, encode_claim
from baobabturn.store.interface import ObjectStore
from baobabturn.store.objects import CLAIM_KIND
from baobabturn.store.version import ABSENT, StoreVersion

# Copies are seconds old; a claim before them isn't lost.
MEMORY_S = 120.0
MAX_REMEMBERED = 2048
CHECK_INTERVAL_S = 1.0
# After a return the holders of lost claims have noticed it and written them again.
SETTLE_S = 3.0
RETRY_PAUSE_S = 0.2
MAX_WRITE_TRIES = 20
WRITE_PAUSE_S = 0.005

log = logging.getLogger("baobabturn.store.claimmemory")


@attrs.frozen(kw_only=True)
class Remembered:
    """The newest value of a claim, and the monotonic time of it."""

    value: ClaimValue
    at: float


class ClaimMemory:
    """The claims that this process has sent requests under, by name.

    ``settled_at`` is the monotonic time from which on new claims may be acquired.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        background: Background,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.store = store
        self.background = background
        self.clock = clock
        self.claims: OrderedDict[str, Remembered] = OrderedDict()
        self.era = 0
        self.settled_at = 0.0
        self.is_checking = False

    def remember(self, name: str, value: ClaimValue) -> None:
        """Remember a claim under which a request is sent, in its newest state.

        A store without eras never returns from a copy, as far as it says.
        """
        if not self.store.era:
            return
        self.claims[name] = Remembered(value=value, at=self.clock())
        self.claims.move_to_end(name)
        if len(self.claims) > MAX_REMEMBERED:
            self.claims.popitem(last=False)
        if not self.is_checking:
            self.is_checking = True
            self.background.start(self.check_store(), "claim-memory")

    def settling_failure(self) -> Failure | None:
        """Return why no new claim may be acquired now, None if one may."""
        self.record_era()
        remaining_s = self.settled_at - self.clock()
        if remaining_s <= 0:
            return None
        reason = f"the store returned from a copy, new claims in {remaining_s:.1f} s"
        return Failure(Code.CLAIM_UNAVAILABLE, reason, retry_after_s=remaining_s)

    def record_era(self) -> None:
        """Record the store's era; after a rise write the claims again."""
        if self.store.era <= self.era:
            return
        has_risen = self.era > 0
        self.era = self.store.era
        if has_risen:
            self.settled_at = self.clock() + SETTLE_S
            self.background.start(self.write_again(), "claims-after-return")

    def expire(self) -> None:
        """Forget the claims that no copy can lack."""
        oldest = self.clock() - MEMORY_S
        while self.claims:
            name, remembered = next(iter(self.claims.items()))
            if remembered.at >= oldest:
                return
            del self.claims[name]

    async def check_store(self) -> None:
        """Read one claim at intervals for as long as any is remembered."""
        self.expire()
        while self.claims:
            await asyncio.sleep(CHECK_INTERVAL_S)
            newest = next(reversed(self.claims), "")
            # Whatever the answer, it states the store's era.
            await self.store.get(CLAIM_KIND, newest)
            self.record_era()
            self.expire()
        self.is_checking = False

    async def write_again(self) -> None:
        """Write the remembered claims that the copy lacks or has in an older state."""
        for name in list(self.claims):
            for _ in range(MAX_WRITE_TRIES):
                if await self.write(name):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                log.warning(
                    "event=claim-not-written-again claim=%s tries=%d",
                    name,
                    MAX_WRITE_TRIES,
                )
            await asyncio.sleep(WRITE_PAUSE_S)

    async def write(self, name: str) -> bool:
        """Write one claim again; return whether nothing is left to do for it."""
        remembered = self.claims.get(name)
        if remembered is None:
            return True
        expect = await self.version_to_replace(name, remembered.value)
        if expect is None:
            return True
        if isinstance(expect, Failure):
            return False
        value = encode_claim(remembered.value)
        written = await self.store.put(CLAIM_KIND, name, value, expect)
        return not isinstance(written, Failure)

    async def version_to_replace(
        self, name: str, value: ClaimValue
    ) -> StoreVersion | Failure | None:
        """Return the version to write over, None if the store has the claim."""
        stored = await self.store.get(CLAIM_KIND, name)
        if isinstance(stored, Failure):
            return ABSENT if stored.code is Code.OBJECT_MISSING else stored
        held = decode_claim(stored.value)
        is_outdated = held.nonce == value.nonce and held.state != value.state
        return stored.version if is_outdated else None
