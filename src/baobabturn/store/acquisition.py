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
    read_result,
    read_value,
    write_value,
)
from baobabturn.store.interface import ABSENT, ObjectStore, StoredObject
from baobabturn.store.objects import CLAIM_KIND

RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
TAKEOVER_SLACK_S = 0.5
HOLDER_SLACK_S = 1.0
RETRY_AFTER_S = 1.0
LOST = (Code.VERSION_CONFLICT, Code.WRITE_UNRESOLVED)

Settled = Result | Failure


@attrs.define(kw_only=True)
class Claim:
    """A claim that this process holds.

    ``since`` is a monotonic time in seconds, taken before the claim was written.
    """

    name: str
    version: int
    value: ClaimValue
    since: float = 0.0

    def exclusive(self) -> bool:
        """Return whether no other request can have taken the claim over yet."""
        return time.monotonic() < self.since + self.value.hold_s


class Backoff:
    """Pauses between retries that double up to a limit, with jitter."""

    def __init__(self, *, source: random.Random):
        self.source = source
        self.ceiling = RETRY_FIRST_S

    def next(self, at_least_s: float = 0.0) -> float:
        """Return the next pause in seconds, at least ``at_least_s``."""
        pause = self.ceiling * self.source.uniform(0.5, 1.0)
        self.ceiling = min(self.ceiling * 2, RETRY_LIMIT_S)
        return max(pause, at_least_s)


class Taking:
    """Acquires the claim of one request.

    ``unresolved`` is whether the claim may be stored with this request's nonce, so
    that it has to be voided if it isn't used; ``other_sent`` whether another
    request with the key may have been sent.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        source: random.Random,
        wait_s: float,
        gone: Callable[[str, int], bool],
        name: str,
        value: ClaimValue,
        deadline: float,
    ):
        self.store = store
        self.source = source
        self.wait_s = wait_s
        self.gone = gone
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
        """Retry ``step`` until the claim is acquired or the outcome is final."""
        backoff = Backoff(source=self.source)
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
        """Return the monotonic time until which to retry after a temporary failure."""
        if failure.code is Code.CLAIM_IN_PROGRESS:
            self.failing_since = 0.0
            return self.deadline
        self.failing_since = self.failing_since or time.monotonic()
        return min(self.deadline, self.failing_since + self.wait_s)

    def final(self, failure: Failure) -> Failure:
        """Return the failure to report; its run is unknown if another was sent."""
        wait = max(failure.retry_after_s, RETRY_AFTER_S)
        run = Run.UNKNOWN if self.other_sent else failure.run
        return attrs.evolve(failure, run=run, retry_after_s=wait)

    def late(self) -> Failure:
        """Return the failure of a request whose deadline passed while it waited."""
        code = Code.CLAIM_IN_PROGRESS if self.other_sent else Code.CLAIM_UNAVAILABLE
        return self.final(Failure(code, "the deadline passed"))

    async def step(self) -> Claim | Settled:
        """Create the claim, or read it if it may exist."""
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
        """Read the stored claim and act on its state."""
        found = await self.store.get(CLAIM_KIND, self.name)
        if isinstance(found, Failure):
            self.may_exist = found.code is not Code.OBJECT_MISSING
            return unavailable(found)
        value = read_value(found.value)
        if value.nonce == self.value.nonce:
            return self.held(found)
        self.unresolved = False
        if value.request != self.value.request:
            return Failure(
                Code.CLAIM_MISMATCH, "the key was used with another request body"
            )
        return await self.states.get(value.state, self.unknown)(found, value)

    def held(self, found: StoredObject) -> Claim:
        """Return a stored claim as one that this request holds."""
        return Claim(
            name=self.name, version=found.version, value=self.value, since=self.since
        )

    async def unsent(self, found: StoredObject, value: ClaimValue) -> Claim | Settled:
        """Take over a claim whose holder has not sent its request for ``hold_s``.

        The update is conditional, so the old holder, if it wakes, can no longer
        set the claim to ``sending``.
        """
        now = time.monotonic()
        if found.version != self.seen_version:
            self.seen_version = found.version
            self.seen_since = now
        if now - self.seen_since < value.hold_s + TAKEOVER_SLACK_S:
            return Failure(
                Code.CLAIM_IN_PROGRESS, "a request with this key is about to be sent"
            )
        self.unresolved = True
        self.since = now
        taken = await self.store.put(
            CLAIM_KIND, self.name, write_value(self.value), found.version
        )
        if isinstance(taken, StoredObject):
            return self.held(taken)
        return unavailable(taken)

    async def sending(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Wait for the result, unless the holder's time or its process has ended."""
        self.other_sent = True
        ended = time.time() > value.until + HOLDER_SLACK_S
        if ended or self.gone(value.node, value.incarnation):
            return await self.unknown(found, value)
        return Failure(Code.CLAIM_IN_PROGRESS, "a request with this key is in progress")

    async def done(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Return the recorded result."""
        return read_result(value.result or {})

    async def unknown(self, found: StoredObject, value: ClaimValue) -> Settled:
        """Refuse to repeat a request that may have run."""
        return Failure(
            Code.CLAIM_UNRESOLVED, "an earlier request with this key may have run"
        )


def unavailable(failure: Failure) -> Failure:
    """Return a failed call to the platform as ``CLAIM_UNAVAILABLE``."""
    return Failure(
        Code.CLAIM_UNAVAILABLE,
        str(failure.reason or failure.code.name.lower()),
        retry_after_s=failure.retry_after_s,
    )
