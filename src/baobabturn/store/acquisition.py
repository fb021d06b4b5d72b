"""Acquires the claim of one request: create it, wait for its holder, or take over."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import attrs

from baobabturn.core.results import Code, Failure, Run
from baobabturn.store.claimvalues import (
    CLAIMED,
    DONE,
    SENDING,
    UNKNOWN,
    ClaimValue,
    Result,
    decode_claim,
    decode_result,
    encode_claim,
)
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.objects import CLAIM_KIND
from baobabturn.store.version import ABSENT, StoreVersion

FIRST_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 1.0
TAKEOVER_MARGIN_S = 0.5
# The holder's wall clock, which set ``until``, may differ from this host's.
HOLDER_CLOCK_MARGIN_S = 1.0
MIN_RETRY_AFTER_S = 1.0
UNCERTAIN_WRITE_CODES = (Code.VERSION_CONFLICT, Code.WRITE_UNRESOLVED)

ResultOrFailure = Result | Failure


@attrs.define(kw_only=True)
class Claim:
    """A claim that this process holds.

    ``started_at`` is a monotonic time in seconds, taken before the claim was written.
    """

    name: str
    version: StoreVersion
    value: ClaimValue
    started_at: float = 0.0

    def is_exclusive(self) -> bool:
        """Return whether no other request can have taken the claim over yet."""
        return time.monotonic() < self.started_at + self.value.hold_s


class Backoff:
    """Pauses between retries that double up to a limit, with jitter."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng
        self.max_pause_s = FIRST_RETRY_PAUSE_S

    def next_pause(self, at_least_s: float = 0.0) -> float:
        """Return the next pause in seconds, at least ``at_least_s``."""
        pause = self.max_pause_s * self.rng.uniform(0.5, 1.0)
        self.max_pause_s = min(self.max_pause_s * 2, MAX_RETRY_PAUSE_S)
        return max(pause, at_least_s)


class ClaimAcquisition:
    """Acquires the claim of one request.

    ``may_hold_claim`` is whether the claim may be stored with this request's nonce,
    so that it has to be voided if it isn't used.  ``other_may_have_sent`` is whether
    another request with the same key may have been sent.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        rng: random.Random,
        wait_s: float,
        holder_ended: Callable[[str, int], bool],
        name: str,
        value: ClaimValue,
        deadline: float,
    ):
        self.store = store
        self.rng = rng
        self.wait_s = wait_s
        self.holder_ended = holder_ended
        self.name = name
        self.value = value
        self.deadline = deadline
        self.may_exist = False
        self.may_hold_claim = False
        self.other_may_have_sent = False
        self.started_at = time.monotonic()
        self.seen_version = ABSENT
        self.seen_since = 0.0
        self.failing_since = 0.0
        self.handlers: dict[str, Callable[..., Awaitable[Claim | ResultOrFailure]]] = {
            CLAIMED: self.take_over_if_unsent,
            SENDING: self.wait_for_result,
            DONE: self.recorded_result,
            UNKNOWN: self.refuse_repeat,
        }

    async def run(self) -> Claim | ResultOrFailure:
        """Retry ``step`` until the claim is acquired or the outcome is final."""
        backoff = Backoff(rng=self.rng)
        while True:
            outcome = await self.step()
            if not isinstance(outcome, Failure):
                return outcome
            if outcome.code not in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNAVAILABLE):
                return outcome
            pause = backoff.next_pause(outcome.retry_after_s)
            if time.monotonic() + pause >= self.retry_until(outcome):
                return self.final_failure(outcome)
            await asyncio.sleep(pause)

    def retry_until(self, failure: Failure) -> float:
        """Return the monotonic time until which to retry after a temporary failure."""
        if failure.code is Code.CLAIM_IN_PROGRESS:
            self.failing_since = 0.0
            return self.deadline
        self.failing_since = self.failing_since or time.monotonic()
        return min(self.deadline, self.failing_since + self.wait_s)

    def final_failure(self, failure: Failure) -> Failure:
        """Return the failure to report.

        Its run state is unknown if another request with the key may have been sent.
        """
        wait = max(failure.retry_after_s, MIN_RETRY_AFTER_S)
        run = Run.UNKNOWN if self.other_may_have_sent else failure.run
        return attrs.evolve(failure, run=run, retry_after_s=wait)

    def deadline_failure(self) -> Failure:
        """Return the failure of a request whose deadline passed while it waited."""
        code = (
            Code.CLAIM_IN_PROGRESS
            if self.other_may_have_sent
            else Code.CLAIM_UNAVAILABLE
        )
        return self.final_failure(Failure(code, "the deadline passed"))

    async def step(self) -> Claim | ResultOrFailure:
        """Create the claim, or read it if it may exist."""
        if self.may_exist:
            return await self.read()
        self.may_hold_claim = True
        stored = await self.store.put(
            CLAIM_KIND, self.name, encode_claim(self.value), ABSENT
        )
        if isinstance(stored, StoredObject):
            return self.as_held_claim(stored)
        self.may_exist = stored.code in UNCERTAIN_WRITE_CODES
        return await self.read() if self.may_exist else claim_unavailable(stored)

    async def read(self) -> Claim | ResultOrFailure:
        """Read the stored claim and act on its state."""
        stored = await self.store.get(CLAIM_KIND, self.name)
        if isinstance(stored, Failure):
            self.may_exist = stored.code is not Code.OBJECT_MISSING
            return claim_unavailable(stored)
        value = decode_claim(stored.value)
        if value.nonce == self.value.nonce:
            return self.as_held_claim(stored)
        self.may_hold_claim = False
        if value.request != self.value.request:
            return Failure(
                Code.CLAIM_MISMATCH, "the key was used with another request body"
            )
        return await self.handlers.get(value.state, self.refuse_repeat)(stored, value)

    def as_held_claim(self, stored: StoredObject) -> Claim:
        """Return a stored claim as one that this request holds."""
        return Claim(
            name=self.name,
            version=stored.version,
            value=self.value,
            started_at=self.started_at,
        )

    async def take_over_if_unsent(
        self, stored: StoredObject, value: ClaimValue
    ) -> Claim | ResultOrFailure:
        """Take over a claim whose holder has not sent its request for ``hold_s``.

        The update is conditional, so the old holder, if it wakes, can no longer
        set the claim to ``sending``.
        """
        now = time.monotonic()
        if stored.version != self.seen_version:
            self.seen_version = stored.version
            self.seen_since = now
        if now - self.seen_since < value.hold_s + TAKEOVER_MARGIN_S:
            return Failure(
                Code.CLAIM_IN_PROGRESS, "a request with this key is about to be sent"
            )
        self.may_hold_claim = True
        self.started_at = now
        updated = await self.store.put(
            CLAIM_KIND, self.name, encode_claim(self.value), stored.version
        )
        if isinstance(updated, StoredObject):
            return self.as_held_claim(updated)
        return claim_unavailable(updated)

    async def wait_for_result(
        self, stored: StoredObject, value: ClaimValue
    ) -> ResultOrFailure:
        """Wait for the result, unless the holder's time or its process has ended."""
        self.other_may_have_sent = True
        holder_timed_out = time.time() > value.until + HOLDER_CLOCK_MARGIN_S
        if holder_timed_out or self.holder_ended(value.node, value.incarnation):
            return await self.refuse_repeat(stored, value)
        return Failure(Code.CLAIM_IN_PROGRESS, "a request with this key is in progress")

    async def recorded_result(
        self, stored: StoredObject, value: ClaimValue
    ) -> ResultOrFailure:
        """Return the recorded result."""
        return decode_result(value.result or {})

    async def refuse_repeat(
        self, stored: StoredObject, value: ClaimValue
    ) -> ResultOrFailure:
        """Refuse to repeat a request that may have run."""
        return Failure(
            Code.CLAIM_UNRESOLVED, "an earlier request with this key may have run"
        )


def claim_unavailable(failure: Failure) -> Failure:
    """Return a failed call to the platform as ``CLAIM_UNAVAILABLE``."""
    return Failure(
        Code.CLAIM_UNAVAILABLE,
        str(failure.reason or failure.code.name.lower()),
        retry_after_s=failure.retry_after_s,
    )
