"""Idempotency claims: a request is sent at most once for each idempotency key.

A claim is a stored object that is created only if absent (state ``claimed``) and
set to ``sending`` by a conditional update just before the request is sent.  Only
the process whose nonce the object holds may change its state.  So a request whose
claim is still ``claimed`` was provably never sent, and the claim may be taken
over; a request whose claim is ``sending`` is never sent again.  The recorded
result (state ``done``) is the response to every repeated request.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

import attrs

from baobabturn.core.background import Background
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure, Run
from baobabturn.store.acquisition import (
    MIN_RETRY_AFTER_S,
    UNCERTAIN_WRITE_CODES,
    Backoff,
    Claim,
    ClaimAcquisition,
    ResultOrFailure,
    claim_unavailable,
)
from baobabturn.store.claimmemory import ClaimMemory
from baobabturn.store.claimvalues import (
    CLAIMED,
    DONE,
    SENDING,
    UNKNOWN,
    ClaimValue,
    Result,
    decode_claim,
    encode_claim,
    encode_result,
)
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.objects import CLAIM_KIND
from baobabturn.store.version import ABSENT

MIN_START_WAIT_S = 0.5
HOLD_MARGIN_S = 1.0
SETTLE_TIMEOUT_S = 600.0
CLOSE_TIMEOUT_S = 2.0


def claim_name(workspace: str, service: str, key: str) -> str:
    """Return the name of the stored object for an idempotency key."""
    text = f"{workspace}\n{service}\n{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def no_holder_ended(node: str, incarnation: int) -> bool:
    """Return False: by default no holder's process is known to have ended."""
    return False


class Claims:
    """Acquires and updates claims in the platform object store.

    ``wait_s`` is how long a request waits while calls to the platform fail.
    ``holder_ended`` takes a node name and an incarnation and returns whether that
    process is known to have ended.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        node: str,
        incarnation: int = 0,
        wait_s: float = 3.0,
        result_limit_bytes: int = 700_000,
        holder_ended: Callable[[str, int], bool] = no_holder_ended,
    ):
        self.store = store
        self.node = node
        self.incarnation = incarnation
        self.wait_s = wait_s
        self.result_limit_bytes = result_limit_bytes
        self.holder_ended = holder_ended
        self.random = random.Random()
        self.background = Background()
        self.memory = ClaimMemory(store=store, background=self.background)

    async def acquire(
        self, name: str, request_hash: str, deadline: float
    ) -> Claim | ResultOrFailure:
        """Acquire a claim; return it, or the recorded result, or a failure.

        ``deadline`` is a monotonic time in seconds.  After a return of the store from
        a copy none is acquired until the holders have written theirs again.
        """
        settling = self.memory.settling_failure()
        if settling is not None:
            return settling
        acquired = await self.acquire_settled(name, request_hash, deadline)
        settling = self.memory.settling_failure()
        if settling is not None and isinstance(acquired, Claim):
            self.void_in_background(acquired)
            return settling
        return acquired

    async def acquire_settled(
        self, name: str, request_hash: str, deadline: float
    ) -> Claim | ResultOrFailure:
        """Acquire a claim from a store that holds all that were sent under."""
        value = ClaimValue(
            nonce=nonce(),
            state=CLAIMED,
            request=request_hash,
            node=self.node,
            incarnation=self.incarnation,
            at=time.time(),
            until=time.time() + max(0.0, deadline - time.monotonic()),
            hold_s=self.wait_s + HOLD_MARGIN_S,
        )
        acquisition = ClaimAcquisition(
            store=self.store,
            rng=self.random,
            wait_s=self.wait_s,
            holder_ended=self.holder_ended,
            name=name,
            value=value,
            deadline=deadline,
        )
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                acquired = await acquisition.run()
        except TimeoutError:
            acquired = acquisition.deadline_failure()
        if not isinstance(acquired, Claim) and acquisition.may_hold_claim:
            self.void_in_background(Claim(name=name, version=ABSENT, value=value))
        return acquired

    async def start(
        self, claim: Claim, deadline: float, timeout_s: float
    ) -> Failure | None:
        """Set a claim to ``sending``; its holder may send, once, only after None.

        ``CLAIM_IN_PROGRESS`` means that another request has taken the claim over.
        """
        now = time.monotonic()
        remaining_s = max(0.0, deadline - now)
        until = time.time() + min(remaining_s, timeout_s)
        value = attrs.evolve(claim.value, state=SENDING, until=until)
        max_wait_s = max(MIN_START_WAIT_S, claim.started_at + self.wait_s - now)
        end = now + min(remaining_s, max_wait_s)
        try:
            async with asyncio.timeout(end - now):
                failure = await self.update_claim(claim, value, end)
        except TimeoutError:
            failure = Failure(Code.CLAIM_UNAVAILABLE, "the platform did not respond")
        if failure is None:
            self.memory.remember(claim.name, claim.value)
            return None
        if failure.code is Code.CLAIM_IN_PROGRESS:
            return failure
        run = Run.NOT_RUN if claim.is_exclusive() else Run.UNKNOWN
        self.void_in_background(claim)
        wait = max(failure.retry_after_s, MIN_RETRY_AFTER_S)
        return attrs.evolve(failure, run=run, retry_after_s=wait)

    async def record(self, claim: Claim, result: Result) -> Failure | None:
        """Record the result of the request that was sent under a claim."""
        encoded_result = encode_result(result, self.result_limit_bytes)
        value = attrs.evolve(claim.value, state=DONE, result=encoded_result)
        self.memory.remember(claim.name, value)
        return await self.update_claim(
            claim, value, time.monotonic() + SETTLE_TIMEOUT_S
        )

    async def record_unknown(self, claim: Claim) -> Failure | None:
        """Record that a request was sent and that its outcome is unknown."""
        value = attrs.evolve(claim.value, state=UNKNOWN)
        self.memory.remember(claim.name, value)
        return await self.update_claim(
            claim, value, time.monotonic() + SETTLE_TIMEOUT_S
        )

    async def update_claim(
        self, claim: Claim, value: ClaimValue, deadline: float
    ) -> Failure | None:
        """Write a held claim's next state; read it back if the response was lost.

        ``CLAIM_IN_PROGRESS`` means that another request holds the claim by now.
        """
        backoff = Backoff(rng=self.random)
        read_back = False
        while True:
            if read_back:
                stored = await self.read_own(claim)
            else:
                stored = await self.store.put(
                    CLAIM_KIND, claim.name, encode_claim(value), claim.version
                )
            if isinstance(stored, StoredObject):
                claim.version = stored.version
                if not read_back or decode_claim(stored.value).state == value.state:
                    claim.value = value
                    return None
                read_back = False
                continue
            if stored.code is Code.CLAIM_IN_PROGRESS:
                return stored
            read_back = read_back or stored.code in UNCERTAIN_WRITE_CODES
            pause = backoff.next_pause(stored.retry_after_s)
            if time.monotonic() + pause >= deadline:
                return claim_unavailable(stored)
            await asyncio.sleep(pause)

    async def read_own(self, claim: Claim) -> StoredObject | Failure:
        """Return the stored object of a claim if this holder still holds it.

        ``CLAIM_IN_PROGRESS`` means that another request holds it or that it was
        deleted.
        """
        stored = await self.store.get(CLAIM_KIND, claim.name)
        if isinstance(stored, Failure):
            if stored.code is Code.OBJECT_MISSING:
                return Failure(Code.CLAIM_IN_PROGRESS, "the claim was deleted")
            return stored
        if decode_claim(stored.value).nonce != claim.value.nonce:
            return Failure(Code.CLAIM_IN_PROGRESS, "another request holds the claim")
        return stored

    async def void(self, claim: Claim) -> Failure | None:
        """Delete a claim whose request provably did not run."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        backoff = Backoff(rng=self.random)
        while True:
            failure: Failure | None = None
            if claim.version == ABSENT:
                failure = await self.find_version(claim)
            if failure is None and claim.version != ABSENT:
                failure = await self.store.delete(CLAIM_KIND, claim.name, claim.version)
            if failure is None or failure.code is Code.OBJECT_MISSING:
                return None
            if failure.code is Code.CLAIM_IN_PROGRESS:
                return None
            if failure.code in UNCERTAIN_WRITE_CODES:
                claim.version = ABSENT
            pause = backoff.next_pause(failure.retry_after_s)
            if time.monotonic() + pause >= end:
                return failure
            await asyncio.sleep(pause)

    async def find_version(self, claim: Claim) -> Failure | None:
        """Read the stored version of a claim that this holder may hold."""
        stored = await self.read_own(claim)
        if isinstance(stored, Failure):
            return stored
        claim.version = stored.version
        return None

    async def close(self) -> None:
        """Wait shortly for the claims being voided, then cancel the rest."""
        if self.background.tasks:
            await asyncio.wait(self.background.tasks, timeout=CLOSE_TIMEOUT_S)
        await self.background.stop()

    def void_in_background(self, claim: Claim) -> None:
        """Void a claim in the background; its request was never sent."""
        self.background.start(self.void(claim), f"void-{claim.name}")
