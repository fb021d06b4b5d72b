"""Client of a platform object store that speaks HTTP and JSON.

Conditional updates follow RFC 9110 (``ETag``, ``If-Match``, ``If-None-Match``).
A watch is a long poll that gets status 410 if the platform no longer has the
changes since the requested version.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from baobabturn.core.background import Background
from baobabturn.core.boundedjson import load_bounded
from baobabturn.core.events import EventLog
from baobabturn.core.httpclient import unpooled_session
from baobabturn.core.jsonlist import load_list
from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Platform
from baobabturn.store.answer import StoreAnswer, decode_era
from baobabturn.store.budget import CallBudget
from baobabturn.store.interface import (
    Change,
    Changes,
    PlatformHost,
    StoredObject,
)
from baobabturn.store.objects import STATUS_KIND
from baobabturn.store.version import (
    ABSENT,
    ANY_VERSION,
    StoreVersion,
    crossed_eras,
    outdated_condition,
)

WATCH_SLACK_S = 5.0
# Rises by one each time the store returns from a copy that is some seconds old.
ERA_HEADER = "Store-Era"
log = logging.getLogger("baobabturn.store.httpstore")
PROBE_PATH = f"/objects/{STATUS_KIND}/probe"


class HttpStore:
    """Implements ``ObjectStore`` over HTTP; one instance per process.

    ``era`` is the highest that an answer stated, 0 for a platform without eras.
    """

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
        self.era = 0

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        body: Any = None,
        load: Callable[[bytes], Any] = load_bounded,
    ) -> StoreAnswer | Failure:
        """Make one call within the budget; return the answer as ``load`` reads it."""
        refusal = await self.wait_for_budget()
        if refusal is not None:
            self.ensure_probing()
            return refusal
        return await self.send(
            method,
            path,
            timeout_s=timeout_s,
            headers=headers,
            params=params,
            body=body,
            load=load,
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
        load: Callable[[bytes], Any] = load_bounded,
    ) -> StoreAnswer | Failure:
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
                values = load(await response.read() or b"null")
                status = response.status
                era = decode_era(response.headers.get(ERA_HEADER, ""))
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
        self.era = max(self.era, era)
        return StoreAnswer(status=status, body=values, era=era)

    async def read(self, path: str, **options: Any) -> StoreAnswer | Failure:
        """Make a GET call; a lost response becomes ``PLATFORM_UNREACHABLE``.

        A read that got no response has no outcome that could be in doubt.
        """
        response = await self.request("GET", path, **options)
        if isinstance(response, Failure) and response.code is Code.WRITE_UNRESOLVED:
            return Failure(Code.PLATFORM_UNREACHABLE, response.reason)
        return response

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` if there is none."""
        answer = await self.read(f"/objects/{kind}/{name}")
        return answer if isinstance(answer, Failure) else read_object(kind, answer)

    async def put(
        self, kind: str, name: str, value: Any, expect: StoreVersion
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one."""
        return await self.write("PUT", kind, name, expect, body=value)

    async def delete(
        self, kind: str, name: str, expect: StoreVersion
    ) -> None | Failure:
        """Delete an object if its version is the expected one."""
        stored = await self.write("DELETE", kind, name, expect)
        return stored if isinstance(stored, Failure) else None

    async def write(
        self, method: str, kind: str, name: str, expect: StoreVersion, body: Any = None
    ) -> StoredObject | Failure:
        """Make a call whose condition holds in the era of ``expect`` alone."""
        outdated = outdated_condition(expect, self.era)
        if outdated is not None:
            return outdated
        headers = precondition_headers(expect)
        path = f"/objects/{kind}/{name}"
        answer = await self.request(method, path, headers=headers, body=body)
        if isinstance(answer, Failure):
            return answer
        stored = read_object(kind, answer)
        if isinstance(stored, Failure):
            return stored
        return crossed_eras(expect, answer.era) or stored

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names start with a prefix."""
        answer = await self.read(
            f"/objects/{kind}", params={"prefix": prefix}, load=load_objects
        )
        if isinstance(answer, Failure):
            return answer
        return decode_objects(kind, answer, "objects")

    async def watch(
        self, kind: str, since: StoreVersion, wait_s: float
    ) -> Changes | Failure:
        """Wait up to ``wait_s`` for changes of a kind after the version ``since``."""
        answer = await self.read(
            f"/objects/{kind}",
            params={
                "watch": "1",
                "since": str(since.revision),
                "wait": f"{wait_s:g}",
            },
            timeout_s=wait_s + WATCH_SLACK_S,
            load=load_changes,
        )
        if isinstance(answer, Failure):
            return answer
        if answer.status == 410 or answer.era != since.era:
            reason = f"since {since}, the store is in era {answer.era}"
            return Failure(Code.VERSION_TOO_OLD, reason)
        return decode_changes(kind, answer, "changes")

    async def snapshot(self, kind: str) -> Changes | Failure:
        """Return all objects of a kind and the version to watch from."""
        answer = await self.read(f"/objects/{kind}", load=load_objects)
        if isinstance(answer, Failure):
            return answer
        return decode_changes(kind, answer, "objects")

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return the platform's list of live and leaving hosts."""
        response = await self.read("/hosts", load=load_hosts)
        if isinstance(response, Failure):
            return response
        hosts = [decode_host(fields) for fields in response.body["hosts"]]
        return [host for host in hosts if host is not None]

    async def close(self) -> None:
        """Stop probing and close the connections."""
        await self.background.stop()
        if self.session is not None:
            await self.session.close()


def precondition_headers(expect: StoreVersion) -> dict[str, str]:
    """Return the headers that make a write conditional on the expected version."""
    if expect == ANY_VERSION:
        return {}
    if expect == ABSENT:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expect.revision}"'}


STATUS_CODES = {
    404: Code.OBJECT_MISSING,
    409: Code.VERSION_CONFLICT,
    412: Code.VERSION_CONFLICT,
    413: Code.CONFIG_TOO_LARGE,
    429: Code.PLATFORM_BUDGET,
}


def read_object(kind: str, answer: StoreAnswer) -> StoredObject | Failure:
    """Return the object in an answer, or the failure that its status means."""
    if answer.status >= 300:
        code = STATUS_CODES.get(answer.status, Code.PLATFORM_UNREACHABLE)
        return Failure(code, f"status {answer.status}")
    return decode_object(kind, answer.body, answer.era)


def is_object(value: Any) -> bool:
    """Return whether a value has the form of an object."""
    return isinstance(value, dict) and "name" in value and "version" in value


def is_host(value: Any) -> bool:
    """Return whether a value has the form of a host."""
    return isinstance(value, dict) and "name" in value


load_objects = functools.partial(load_list, key="objects", is_item=is_object)
load_changes = functools.partial(load_list, key="changes", is_item=is_object)
load_hosts = functools.partial(load_list, key="hosts", is_item=is_host)


def decode_object(kind: str, item: Any, era: int) -> StoredObject:
    """Return an object; raise ``KeyError`` or ``TypeError`` for a malformed one."""
    name, version = item["name"], item["version"]
    if not isinstance(name, str) or not isinstance(version, int):
        raise TypeError(f"name {name!r}, version {version!r}")
    return StoredObject(
        kind=kind, name=name, version=StoreVersion(era, version), value=item["value"]
    )


def decode_objects(kind: str, answer: StoreAnswer, field: str) -> list[StoredObject]:
    """Return the objects in a field of an answer that can be read, log the others."""
    objects = []
    for item in answer.body[field]:
        try:
            objects.append(decode_object(kind, item, answer.era))
        except (KeyError, TypeError) as error:
            log.warning("event=object-unreadable kind=%s error=%r", kind, error)
    return objects


def decode_host(fields: Any) -> PlatformHost | None:
    """Return a host, None for one that can't be read, which is logged."""
    try:
        return PlatformHost(**fields)
    except TypeError as error:
        log.warning("event=host-unreadable error=%r", error)
        return None


def decode_changes(kind: str, answer: StoreAnswer, field: str) -> Changes:
    """Return the changes or objects in a field of an answer, and its version."""
    changes = tuple(
        Change(name=stored.name, version=stored.version, value=stored.value)
        for stored in decode_objects(kind, answer, field)
    )
    return Changes(changes=changes, version=answer.version(answer.body["version"]))
