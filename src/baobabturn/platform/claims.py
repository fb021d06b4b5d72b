"""Claims: at most one send for each idempotency key.

A claim is an object created if absent before the request is sent.  Only its
creator may send, once; the recorded result answers every repeat.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import time

import attrs

from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure, Run
from baobabturn.platform.objects import CLAIM_KIND
from baobabturn.platform.store import ABSENT, ObjectStore, StoredObject

CLAIMED = "claimed"
DONE = "done"
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0


@attrs.frozen(kw_only=True)
class Result:
    """The recorded answer of a call that ran."""

    status: int
    content_type: str
    body: bytes


@attrs.define(kw_only=True)
class Claim:
    """A claim that this process holds."""

    name: str
    version: int
    nonce: str
    value: dict


def claim_name(workspace: str, service: str, key: str) -> str:
    """Return the name of the object for an idempotency key."""
    text = f"{workspace}\n{service}\n{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:40]


class Claims:
    """Takes claims and records results on the platform."""

    def __init__(self, *, store: ObjectStore, node: str):
        self.store = store
        self.node = node
        self.random = random.Random()

    async def take(
        self, name: str, request_hash: str, deadline: float
    ) -> Claim | Result | Failure:
        """Return a claim to send under, the recorded result, or why neither.

        ``deadline`` is a monotonic time in seconds.
        """
        mark = nonce()
        value = {
            "nonce": mark,
            "state": CLAIMED,
            "request": request_hash,
            "node": self.node,
            "at": time.time(),
        }
        delay = RETRY_FIRST_S
        while True:
            found = await self.store.put(CLAIM_KIND, name, value, ABSENT)
            if isinstance(found, StoredObject):
                return self.own(found, mark)
            if found.code in (Code.VERSION_CONFLICT, Code.WRITE_UNRESOLVED):
                settled = await self.settle(name, mark, request_hash)
                if settled is not None:
                    return settled
            if time.monotonic() + delay >= deadline:
                return Failure(Code.CLAIM_UNAVAILABLE, found.reason)
            await asyncio.sleep(max(delay, found.retry_after_s))
            delay = min(delay * self.random.uniform(1.5, 2.5), RETRY_LIMIT_S)

    def own(self, found: StoredObject, mark: str) -> Claim:
        """Return a stored claim as one that this process holds."""
        return Claim(
            name=found.name, version=found.version, nonce=mark, value=found.value
        )

    async def settle(
        self, name: str, mark: str, request_hash: str
    ) -> Claim | Result | Failure | None:
        """Return what the stored claim means for us, None to try again."""
        found = await self.store.get(CLAIM_KIND, name)
        if isinstance(found, Failure):
            return None
        value = found.value
        if value["nonce"] == mark:
            return self.own(found, mark)
        if value["request"] != request_hash:
            return Failure(Code.CLAIM_MISMATCH, "the key was used with another body")
        if value["state"] == DONE:
            return read_result(value["result"])
        return Failure(
            Code.CLAIM_IN_PROGRESS,
            "a call with this key is in progress",
            retry_after_s=1.0,
        )

    async def record(self, claim: Claim, result: Result) -> Failure | None:
        """Record the result of the call that a claim was sent for."""
        value = {**claim.value, "state": DONE, "result": write_result(result)}
        found = await self.store.put(CLAIM_KIND, claim.name, value, claim.version)
        return found if isinstance(found, Failure) else None

    async def void(self, claim: Claim) -> Failure | None:
        """Give a claim back whose call was provably never sent or refused."""
        return await self.store.delete(CLAIM_KIND, claim.name, claim.version)


def write_result(result: Result) -> dict:
    """Return a result as JSON values."""
    body = base64.b64encode(result.body).decode()
    return {
        "status": result.status,
        "content_type": result.content_type,
        "body": body,
    }


def read_result(values: dict) -> Result:
    """Return a result from JSON values."""
    return Result(
        status=values["status"],
        content_type=values["content_type"],
        body=base64.b64decode(values["body"]),
    )


def not_run(failure: Failure) -> bool:
    """Return whether a failure proves that the call did not run."""
    return failure.run is Run.NOT_RUN
