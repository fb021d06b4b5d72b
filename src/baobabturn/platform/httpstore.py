"""The object API over HTTP and JSON.

Conditional updates follow RFC 9110 (``ETag``, ``If-Match``, ``If-None-Match``),
a watch is a long poll that answers 410 for versions no longer held.
"""

from __future__ import annotations

import random
import time
from typing import Any

import aiohttp

from baobabturn.core.httpclient import send_once
from baobabturn.core.results import Code, Failure, Run
from baobabturn.platform.store import (
    ABSENT,
    ANY_VERSION,
    Change,
    Changes,
    PlatformHost,
    StoredObject,
)
from baobabturn.settings.model import Platform

WATCH_SLACK_S = 5.0


class CallBudget:
    """A token bucket over calls, with back-off after failures."""

    def __init__(self, *, settings: Platform, seed: int | None = None):
        self.settings = settings
        self.random = random.Random(seed)
        self.level = float(settings.burst_calls)
        self.updated = time.monotonic()
        self.failures = 0
        self.closed_until = 0.0

    def refuse(self) -> Failure | None:
        """Return a failure where no call may be made now; take one otherwise."""
        now = time.monotonic()
        earned = (now - self.updated) * self.settings.calls_per_s
        self.level = min(self.level + earned, float(self.settings.burst_calls))
        self.updated = now
        if now < self.closed_until:
            wait = self.closed_until - now
            return Failure(
                Code.PLATFORM_UNREACHABLE,
                "backing off after failures",
                retry_after_s=wait,
            )
        if self.level < 1:
            wait = (1 - self.level) / self.settings.calls_per_s
            return Failure(
                Code.PLATFORM_BUDGET, "no calls are left", retry_after_s=wait
            )
        self.level -= 1
        return None

    def succeeded(self) -> None:
        """Note an answer; ends the back-off."""
        self.failures = 0
        self.closed_until = 0.0

    def failed(self) -> None:
        """Note a failure; doubles the back-off with full jitter."""
        self.failures += 1
        ceiling = self.settings.backoff_first_s * 2 ** min(self.failures - 1, 16)
        ceiling = min(ceiling, self.settings.backoff_limit_s)
        self.closed_until = time.monotonic() + self.random.uniform(0, ceiling)


class HttpStore:
    """The adapter; one per process."""

    def __init__(self, *, settings: Platform, seed: int | None = None):
        self.settings = settings
        self.budget = CallBudget(settings=settings, seed=seed)
        self.session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        body: Any = None,
    ) -> tuple[int, Any] | Failure:
        """Return status and decoded body of one call, or why there is none."""
        refused = self.budget.refuse()
        if refused is not None:
            return refused
        self.calls += 1
        if self.session is None:
            token = self.settings.token
            auth = {"Authorization": f"Bearer {token}"} if token else {}
            self.session = aiohttp.ClientSession(headers=auth, middlewares=[send_once])
        limit = timeout_s or self.settings.call_timeout_s
        try:
            async with self.session.request(
                method,
                self.settings.url + path,
                headers=headers,
                params=params,
                json=body,
                timeout=aiohttp.ClientTimeout(total=limit),
            ) as answer:
                values = await answer.json(content_type=None)
                status = answer.status
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            self.budget.failed()
            return Failure(
                Code.PLATFORM_UNREACHABLE, f"connect: {error}", run=Run.NOT_RUN
            )
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            self.budget.failed()
            reason = f"answer lost: {type(error).__name__}"
            return Failure(Code.WRITE_UNRESOLVED, reason)
        if status >= 500:
            self.budget.failed()
            return Failure(Code.WRITE_UNRESOLVED, f"status {status}")
        self.budget.succeeded()
        return status, values

    async def read(self, path: str, **options: Any) -> tuple[int, Any] | Failure:
        """Return what a reading call gave; a lost answer means unreachable."""
        answer = await self.request("GET", path, **options)
        if isinstance(answer, Failure) and answer.code is Code.WRITE_UNRESOLVED:
            return Failure(Code.PLATFORM_UNREACHABLE, answer.reason)
        return answer

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` where there is none."""
        answer = await self.read(f"/objects/{kind}/{name}")
        return answer if isinstance(answer, Failure) else read_object(kind, answer)

    async def put(
        self, kind: str, name: str, value: Any, expect: int
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one."""
        answer = await self.request(
            "PUT", f"/objects/{kind}/{name}", headers=condition(expect), body=value
        )
        return answer if isinstance(answer, Failure) else read_object(kind, answer)

    async def delete(self, kind: str, name: str, expect: int) -> None | Failure:
        """Delete an object if its version is the expected one."""
        answer = await self.request(
            "DELETE", f"/objects/{kind}/{name}", headers=condition(expect)
        )
        if isinstance(answer, Failure):
            return answer
        found = read_object(kind, answer)
        return found if isinstance(found, Failure) else None

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names have a prefix."""
        answer = await self.read(f"/objects/{kind}", params={"prefix": prefix})
        if isinstance(answer, Failure):
            return answer
        _, values = answer
        return [
            StoredObject(
                kind=kind, name=o["name"], version=o["version"], value=o["value"]
            )
            for o in values["objects"]
        ]

    async def watch(self, kind: str, since: int, wait_s: float) -> Changes | Failure:
        """Wait for changes of a kind after a version."""
        answer = await self.read(
            f"/objects/{kind}",
            params={"watch": "1", "since": str(since), "wait": f"{wait_s:g}"},
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if isinstance(answer, Failure):
            return answer
        status, values = answer
        if status == 410:
            return Failure(Code.VERSION_TOO_OLD, f"since {since}")
        changes = tuple(
            Change(name=c["name"], version=c["version"], value=c["value"])
            for c in values["changes"]
        )
        return Changes(changes=changes, version=values["version"])

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return the platform's list of live and leaving hosts."""
        answer = await self.read("/hosts")
        if isinstance(answer, Failure):
            return answer
        return [PlatformHost(**line) for line in answer[1]["hosts"]]

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()


def condition(expect: int) -> dict[str, str]:
    """Return the header that makes a write conditional."""
    if expect == ANY_VERSION:
        return {}
    if expect == ABSENT:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect}"'}


STATUS_CODES = {
    404: Code.OBJECT_MISSING,
    409: Code.VERSION_CONFLICT,
    412: Code.VERSION_CONFLICT,
    413: Code.CONFIG_TOO_LARGE,
    429: Code.PLATFORM_BUDGET,
}


def read_object(kind: str, answer: tuple[int, Any]) -> StoredObject | Failure:
    """Return the object in an answer, or the failure that its status means."""
    status, values = answer
    if status >= 300:
        code = STATUS_CODES.get(status, Code.PLATFORM_UNREACHABLE)
        return Failure(code, f"status {status}")
    return StoredObject(
        kind=kind,
        name=values["name"],
        version=values["version"],
        value=values["value"],
    )
