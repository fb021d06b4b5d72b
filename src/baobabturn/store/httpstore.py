"""Client of a platform object store that speaks HTTP and JSON.

Conditional updates follow RFC 9110 (``ETag``, ``If-Match``, ``If-None-Match``).
A watch is a long poll that gets status 410 if the platform no longer has the
changes since the requested version.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp

from baobabturn.core.background import Background
from baobabturn.core.events import EventLog
from baobabturn.core.httpclient import unpooled_session
from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Platform
from baobabturn.store.budget import CallBudget
from baobabturn.store.interface import (
    ABSENT,
    ANY_VERSION,
    Change,
    Changes,
    PlatformHost,
    StoredObject,
)
from baobabturn.store.objects import STATUS_KIND

WATCH_SLACK_S = 5.0
PROBE_PATH = f"/objects/{STATUS_KIND}/probe"


class HttpStore:
    """Implements ``ObjectStore`` over HTTP; one instance per process."""

    def __init__(
        self,
        *,
        settings: Platform,
        seed: int | None = None,
        events: EventLog | None = None,
    ):
        self.settings = settings
        self.budget = CallBudget(settings=settings, seed=seed, events=events)
        self.background = Background()
        self.probing = False
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
        """Make one call within the budget; return status and decoded body."""
        refusal = await self.wait_for_budget()
        if refusal is not None:
            self.ensure_probing()
            return refusal
        return await self.send(
            method, path, timeout_s=timeout_s, headers=headers, params=params, body=body
        )

    async def wait_for_budget(self) -> Failure | None:
        """Take one call from the budget; return None, or why no call may be made.

        Waits for the budget to refill for at most ``call_timeout_s``, and never
        for the end of an outage.
        """
        end = time.monotonic() + self.settings.call_timeout_s
        while True:
            refusal = self.budget.try_spend()
            if refusal is None or refusal.code is not Code.PLATFORM_BUDGET:
                return refusal
            if time.monotonic() + refusal.retry_after_s > end:
                return refusal
            await asyncio.sleep(refusal.retry_after_s)

    def ensure_probing(self) -> None:
        """Start probing in the background during an outage, unless it runs already."""
        if self.budget.is_down and not self.probing:
            self.probing = True
            self.background.start(self.probe(), "platform-probe")

    async def probe(self) -> None:
        """Read one small object again and again until a call gets a response."""
        try:
            while self.budget.is_down:
                await asyncio.sleep(self.budget.schedule_probe())
                if self.budget.is_down:
                    await self.send("GET", PROBE_PATH)
        finally:
            self.probing = False

    async def send(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        body: Any = None,
    ) -> tuple[int, Any] | Failure:
        """Make one call without spending from the budget."""
        self.calls += 1
        if self.session is None:
            token = self.settings.token
            auth = {"Authorization": f"Bearer {token}"} if token else {}
            self.session = unpooled_session(headers=auth)
        total_timeout_s = timeout_s or self.settings.call_timeout_s
        try:
            async with self.session.request(
                method,
                self.settings.url + path,
                headers=headers,
                params=params,
                json=body,
                timeout=aiohttp.ClientTimeout(total=total_timeout_s),
            ) as response:
                values = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            self.budget.record_failure("connect")
            return Failure(
                Code.PLATFORM_UNREACHABLE, f"connect: {error}", run=Run.NOT_RUN
            )
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            reason = f"response lost: {type(error).__name__}"
            self.budget.record_failure(reason)
            return Failure(Code.WRITE_UNRESOLVED, reason)
        if status >= 500:
            self.budget.record_failure(f"status {status}")
            return Failure(Code.WRITE_UNRESOLVED, f"status {status}")
        self.budget.record_success()
        return status, values

    async def read(self, path: str, **options: Any) -> tuple[int, Any] | Failure:
        """Make a GET call; a lost response becomes ``PLATFORM_UNREACHABLE``.

        A read that got no response has no outcome that could be in doubt.
        """
        response = await self.request("GET", path, **options)
        if isinstance(response, Failure) and response.code is Code.WRITE_UNRESOLVED:
            return Failure(Code.PLATFORM_UNREACHABLE, response.reason)
        return response

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` if there is none."""
        response = await self.read(f"/objects/{kind}/{name}")
        return (
            response if isinstance(response, Failure) else read_object(kind, response)
        )

    async def put(
        self, kind: str, name: str, value: Any, expect: int
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one."""
        response = await self.request(
            "PUT",
            f"/objects/{kind}/{name}",
            headers=precondition_headers(expect),
            body=value,
        )
        return (
            response if isinstance(response, Failure) else read_object(kind, response)
        )

    async def delete(self, kind: str, name: str, expect: int) -> None | Failure:
        """Delete an object if its version is the expected one."""
        response = await self.request(
            "DELETE", f"/objects/{kind}/{name}", headers=precondition_headers(expect)
        )
        if isinstance(response, Failure):
            return response
        stored = read_object(kind, response)
        return stored if isinstance(stored, Failure) else None

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names start with a prefix."""
        response = await self.read(f"/objects/{kind}", params={"prefix": prefix})
        if isinstance(response, Failure):
            return response
        _, values = response
        return [
            StoredObject(
                kind=kind,
                name=item["name"],
                version=item["version"],
                value=item["value"],
            )
            for item in values["objects"]
        ]

    async def watch(self, kind: str, since: int, wait_s: float) -> Changes | Failure:
        """Wait up to ``wait_s`` for changes of a kind after the version ``since``."""
        response = await self.read(
            f"/objects/{kind}",
            params={"watch": "1", "since": str(since), "wait": f"{wait_s:g}"},
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if isinstance(response, Failure):
            return response
        status, values = response
        if status == 410:
            return Failure(Code.VERSION_TOO_OLD, f"since {since}")
        changes = tuple(
            Change(name=item["name"], version=item["version"], value=item["value"])
            for item in values["changes"]
        )
        return Changes(changes=changes, version=values["version"])

    async def snapshot(self, kind: str) -> Changes | Failure:
        """Return all objects of a kind and the version to watch from."""
        response = await self.read(f"/objects/{kind}")
        if isinstance(response, Failure):
            return response
        _, values = response
        changes = tuple(
            Change(name=item["name"], version=item["version"], value=item["value"])
            for item in values["objects"]
        )
        return Changes(changes=changes, version=values["version"])

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return the platform's list of live and leaving hosts."""
        response = await self.read("/hosts")
        if isinstance(response, Failure):
            return response
        return [PlatformHost(**fields) for fields in response[1]["hosts"]]

    async def close(self) -> None:
        """Stop probing and close the connections."""
        await self.background.stop()
        if self.session is not None:
            await self.session.close()


def precondition_headers(expect: int) -> dict[str, str]:
    """Return the headers that make a write conditional on the expected version."""
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


def read_object(kind: str, response: tuple[int, Any]) -> StoredObject | Failure:
    """Return the object in a response, or the failure that its status means."""
    status, values = response
    if status >= 300:
        code = STATUS_CODES.get(status, Code.PLATFORM_UNREACHABLE)
        return Failure(code, f"status {status}")
    return StoredObject(
        kind=kind,
        name=values["name"],
        version=values["version"],
        value=values["value"],
    )
