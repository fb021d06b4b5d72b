"""Claims: at most one send for each idempotency key.

A claim is an object created if absent (``claimed``) and moved to ``sending`` by
a conditional update just before the send.  Only the process whose nonce the
object holds may move it, so a claim that is still ``claimed`` was provably
never sent and may be taken over, and one in ``sending`` is never sent again.
The recorded result (``done``) answers every repeat.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Awaitable, Callable

import attrs

from baobabturn.core.background import Background
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure, Run
from baobabturn.platform.claimvalues import (
    CLAIMED,
    DONE,
    SENDING,
    UNKNOWN,
    ClaimValue,
    Result,
    read_result,
    read_value,
    write_result,
    write_value,
)
from baobabturn.platform.objects import CLAIM_KIND
from baobabturn.platform.store import ABSENT, ObjectStore, StoredObject

RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
START_LEAST_S = 0.5
HOLD_SLACK_S = 1.0
TAKEOVER_SLACK_S = 0.5
HOLDER_SLACK_S = 1.0
SETTLE_LIMIT_S = 600.0
CLOSE_S = 2.0
RETRY_AFTER_S = 1.0
LOST = (Code.VERSION_CONFLICT, Code.WRITE_UNRESOLVED)

Settled = Result | Failure


@attrs.define(kw_only=True)
class Claim:
    """A claim that this process holds; ``since`` is monotonic seconds."""

    name: str
    version: int
    value: ClaimValue
    since: float = 0.0

    def exclusive(self) -> bool:
        """Return whether nobody else can have taken the claim over yet."""
        return time.monotonic() < self.since + self.value.hold_s


def claim_name(workspace: str, service: str, key: str) -> str:
    """Return the name of the object for an idempotency key."""
    text = f"{workspace}\n{service}\n{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def nobody_gone(node: str, incarnation: int) -> bool:
    """Return that no holder is known to have ended."""
    return False


class Backoff:
    """Growing pauses with jitter."""

    def __init__(self, *, source: random.Random):
        self.source = source
        self.ceiling = RETRY_FIRST_S

    def next(self, at_least_s: float = 0.0) -> float:
        """Return the next pause in seconds."""
        pause = self.ceiling * self.source.uniform(0.5, 1.0)
        self.ceiling = min(self.ceiling * 2, RETRY_LIMIT_S)
        return max(pause, at_least_s)


class Claims:
    """Takes claims, moves them and records results on the platform.

    ``wait_s`` is how long a call waits for a platform that fails; ``gone`` says
    whether a holder's process is known to have ended.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        node: str,
        incarnation: int = 0,
        wait_s: float = 3.0,
        result_limit_bytes: int = 700_000,
        gone: Callable[[str, int], bool] = nobody_gone,
    ):
        self.store = store
        self.node = node
        self.incarnation = incarnation
        self.wait_s = wait_s
        self.result_limit_bytes = result_limit_bytes
        self.gone = gone
        self.random = random.Random()
        self.background = Background()

    async def take(
        self, name: str, request_hash: str, deadline: float
    ) -> Claim | Settled:
        """Return a claim to start, the recorded result, or why neither.

        ``deadline`` is a monotonic time in seconds.
        """
        value = ClaimValue(
            nonce=nonce(),
            state=CLAIMED,
            request=request_hash,
            node=self.node,
            incarnation=self.incarnation,
            at=time.time(),
            until=time.time() + max(0.0, deadline - time.monotonic()),
            hold_s=self.wait_s + HOLD_SLACK_S,
        )
        taking = Taking(claims=self, name=name, value=value, deadline=deadline)
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                taken = await taking.run()
        except TimeoutError:
            taken = taking.late()
        if not isinstance(taken, Claim) and taking.unresolved:
            self.forget(Claim(name=name, version=ABSENT, value=value))
        return taken

    async def start(
        self, claim: Claim, deadline: float, timeout_s: float
    ) -> Failure | None:
        """Move a claim to ``sending``; only after None may its holder send, once.

        ``CLAIM_IN_PROGRESS`` means that another call has taken the claim over.
        """
        now = time.monotonic()
        left = max(0.0, deadline - now)
        until = time.time() + min(left, timeout_s)
        value = attrs.evolve(claim.value, state=SENDING, until=until)
        patience = max(START_LEAST_S, claim.since + self.wait_s - now)
        limit = now + min(left, patience)
        try:
            async with asyncio.timeout(limit - now):
                failure = await self.move(claim, value, limit)
        except TimeoutError:
            failure = Failure(Code.CLAIM_UNAVAILABLE, "the platform didn't answer")
        if failure is None or failure.code is Code.CLAIM_IN_PROGRESS:
            return failure
        run = Run.NOT_RUN if claim.exclusive() else Run.UNKNOWN
        self.forget(claim)
        wait = max(failure.retry_after_s, RETRY_AFTER_S)
        return attrs.evolve(failure, run=run, retry_after_s=wait)

    async def record(self, claim: Claim, result: Result) -> Failure | None:
        """Record the result of the call that a claim was sent for."""
        kept = write_result(result, self.result_limit_bytes)
        value = attrs.evolve(claim.value, state=DONE, result=kept)
        return await self.move(claim, value, time.monotonic() + SETTLE_LIMIT_S)

    async def record_unknown(self, claim: Claim) -> Failure | None:
        """Record that a call was sent and that its outcome isn't known."""
        value = attrs.evolve(claim.value, state=UNKNOWN)
        return await self.move(claim, value, time.monotonic() + SETTLE_LIMIT_S)

    async def move(
        self, claim: Claim, value: ClaimValue, deadline: float
    ) -> Failure | None:
        """Write a held claim's next state; a lost answer is read back.

        ``CLAIM_IN_PROGRESS`` means that the claim is another's by now.
        """
        backoff = Backoff(source=self.random)
        read_back = False
        while True:
            if read_back:
                found = await self.own(claim)
            else:
                found = await self.store.put(
                    CLAIM_KIND, claim.name, write_value(value), claim.version
                )
            if isinstance(found, StoredObject):
                claim.version = found.version
                if not read_back or read_value(found.value).state == value.state:
                    claim.value = value
                    return None
                read_back = False
                continue
            if found.code is Code.CLAIM_IN_PROGRESS:
                return found
            read_back = read_back or found.code in LOST
            pause = backoff.next(found.retry_after_s)
            if time.monotonic() + pause >= deadline:
                return unavailable(found)
            await asyncio.sleep(pause)

    async def own(self, claim: Claim) -> StoredObject | Failure:
        """Return a claim as stored if it is still this holder's.

        ``CLAIM_IN_PROGRESS`` means that it is another's or gone.
        """
        found = await self.store.get(CLAIM_KIND, claim.name)
        if isinstance(found, Failure):
            if found.code is Code.OBJECT_MISSING:
                return Failure(Code.CLAIM_IN_PROGRESS, "the claim is gone")
            return found
        if read_value(found.value).nonce != claim.value.nonce:
            return Failure(Code.CLAIM_IN_PROGRESS, "another call holds the claim")
        return found

    async def void(self, claim: Claim) -> Failure | None:
        """Delete a claim whose call was provably not run."""
        end = time.monotonic() + SETTLE_LIMIT_S
        backoff = Backoff(source=self.random)
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
            if failure.code in LOST:
                claim.version = ABSENT
            pause = backoff.next(failure.retry_after_s)
            if time.monotonic() + pause >= end:
                return failure
            await asyncio.sleep(pause)

    async def find_version(self, claim: Claim) -> Failure | None:
        """Learn the stored version of a claim that may be this holder's."""
        stored = await self.own(claim)
        if isinstance(stored, Failure):
            return stored
        claim.version = stored.version
        return None

    async def close(self) -> None:
        """Give the voids in progress a moment, then stop them."""
        if self.background.tasks:
            await asyncio.wait(self.background.tasks, timeout=CLOSE_S)
        await self.background.stop()

    def forget(self, claim: Claim) -> None:
        """Void a claim that was never sent, in the background."""
        self.background.start(self.void(claim), f"void-{claim.name}")


class Taking:
    """One call's way to a claim."""

    def __init__(
        self, *, claims: Claims, name: str, value: ClaimValue, deadline: float
    ):
        self.claims = claims
        self.store = claims.store
        self.name = name
        self.value = value
        self.deadline = deadline
        self.may_exist = False
        self.unresolved = False
        self.other_sent = False
        self.since = time.monotonic()
        self.seen_version = ABSENT
        self.seen_since = 0.0
        self.failing_since = 0.0
        self.states: dict[str, Callable[..., Awaitable[Claim | Settled]]] = {
            CLAIMED: self.unsent,
            SENDING: self.sending,
            DONE: self.done,
            UNKNOWN: self.unknown,
        }

    async def run(self) -> Claim | Settled:
        """Create the claim, or follow the one that exists until it says enough."""
        backoff = Backoff(source=self.claims.random)
        while True:
            settled = await self.step()
            if not isinstance(settled, Failure):
                return settled
            if settled.code not in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNAVAILABLE):
                return settled
            pause = backoff.next(settled.retry_after_s)
            if time.monotonic() + pause >= self.limit(settled):
                return self.final(settled)
            await asyncio.sleep(pause)

    def limit(self, failure: Failure) -> float:
        """Return until when a passing failure is waited out."""
        if failure.code is Code.CLAIM_IN_PROGRESS:
            self.failing_since = 0.0
            return self.deadline
        self.failing_since = self.failing_since or time.monotonic()
        return min(self.deadline, self.failing_since + self.claims.wait_s)

    def final(self, failure: Failure) -> Failure:
        """Return the answer of a call that gives up; honest on another's send."""
        wait = max(failure.retry_after_s, RETRY_AFTER_S)
        run = Run.UNKNOWN if self.other_sent else failure.run
        return attrs.evolve(failure, run=run, retry_after_s=wait)

    def late(self) -> Failure:
        """Return the answer of a call whose deadline passed while it waited."""
        code = Code.CLAIM_IN_PROGRESS if self.other_sent else Code.CLAIM_UNAVAILABLE
        return self.final(Failure(code, "the deadline passed"))

    async def step(self) -> Claim | Settled:
        """Create the claim, or read it where it may exist."""
        if self.may_exist:
            return await self.read()
        self.unresolved = True
        found = await self.store.put(
            CLAIM_KIND, self.name, write_value(self.value), ABSENT
        )
        if isinstance(found, StoredObject):
            return self.held(found)
        self.may_exist = found.code in LOST
        return await self.read() if self.may_exist else unavailable(found)

    async def read(self) -> Claim | Settled:
        """Return what the stored claim means for this call."""
        found = await self.store.get(CLAIM_KIND, self.name)
        if isinstance(found, Failure):
            self.may_exist = found.code is not Code.OBJECT_MISSING
            return unavailable(found)
        value = read_value(found.value)
        if value.nonce == self.value.nonce:
            return self.held(found)
        self.unresolved = False
        if value.request != self.value.request:
            return Failure(Code.CLAIM_MISMATCH, "the key was used with another body")
        return await self.states.get(value.state, self.unknown)(found, value)

    def held(self, found: StoredObject) -> Claim:
        """Return a stored claim as one that this call holds."""
        return Claim(
            name=self.name, version=found.version, value=self.value, since=self.since
        )

    async def unsent(self, found: StoredObject, value: ClaimValue) -> Claim | Settled:
        """Take over a claim that its holder leaves unsent.

        The update is conditional, so a holder that wakes can't send any more.
        """
        now = time.monotonic()
        if found.version != self.seen_version:
            self.seen_version = found.version
            self.seen_since = now
        if now - self.seen_since < value.hold_s + TAKEOVER_SLACK_S:
            return Failure(Code.CLAIM_IN_PROGRESS, "a call with this key is starting")
        self.unresolved = True
        self.since = now
        taken = await self.store.put(
            CLAIM_KIND, self.name, write_value(self.value), found.version
        )
        if isinstance(taken, StoredObject):
            return self.held(taken)
        return unavailable(taken)

    async def sending(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Wait for a result that may still come; none comes from the dead."""
        self.other_sent = True
        ended = time.time() > value.until + HOLDER_SLACK_S
        if ended or self.claims.gone(value.node, value.incarnation):
            return await self.unknown(found, value)
        return Failure(Code.CLAIM_IN_PROGRESS, "a call with this key is in progress")

    async def done(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Return the recorded result."""
        return read_result(value.result or {})

    async def unknown(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Refuse to repeat a call that may have run."""
        return Failure(
            Code.CLAIM_UNRESOLVED, "an earlier call with this key may have run"
        )


def unavailable(failure: Failure) -> Failure:
    """Return a platform's failure as that of a claim."""
    return Failure(
        Code.CLAIM_UNAVAILABLE,
        str(failure.reason or failure.code.name.lower()),
        retry_after_s=failure.retry_after_s,
    )
