"""The platform's object API as an ``ObjectStore``."""

from __future__ import annotations

import json
from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure, Run
from baobabturn.gateway.transport import Transport
from baobabturn.store.interface import (
    ABSENT,
    ANY_VERSION,
    Change,
    Changes,
    PlatformHost,
    StoredObject,
)

BASE = "/baobabturn/objects/"
MS = 1000
CALL_TIMEOUT_S = 1.0
# How much longer than it asked for a watch may take before it counts as lost.
WATCH_SLACK_S = 0.5
CODES = {
    404: Code.OBJECT_MISSING,
    409: Code.VERSION_CONFLICT,
    410: Code.VERSION_TOO_OLD,
    429: Code.PLATFORM_BUDGET,
    503: Code.PLATFORM_UNREACHABLE,
}


class PlatformObjectStore:
    """The object API; one per process.

    A name's ``version`` is the store's revision of its last change, a watch's
    the store's own at the time.
    """

    def __init__(self, *, address: str, transport: Transport):
        self.base = f"http://{address}{BASE}"
        self.transport = transport
        self.calls = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any] | Failure:
        """Return status and decoded body of one call, or why there is none."""
        self.calls += 1
        try:
            async with self.transport.store_session.request(
                method,
                self.base + path,
                params=params,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                data = await answer.read()
                status = answer.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            reason = f"connect: {type(error).__name__}"
            return Failure(Code.PLATFORM_UNREACHABLE, reason, run=Run.NOT_RUN)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Code.WRITE_UNRESOLVED, type(error).__name__)
        if status in CODES:
            return Failure(CODES[status], f"status {status}")
        if status >= 300:
            return Failure(Code.WRITE_UNRESOLVED, f"status {status}")
        try:
            return status, json.loads(data or b"null")
        except ValueError as error:
            return Failure(Code.WRITE_UNRESOLVED, f"not JSON: {error}")

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` where there is none."""
        answer = await self.call("GET", f"{kind}/{name}")
        return answer if isinstance(answer, Failure) else stored(kind, answer[1])

    async def put(
        self, kind: str, name: str, value: Any, expect: int
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one."""
        metadata: dict[str, Any] = {"name": name}
        body = {"metadata": metadata, "spec": value}
        if expect == ABSENT:
            answer = await self.call("POST", kind, body=body)
        else:
            if expect != ANY_VERSION:
                metadata["revision"] = expect
            answer = await self.call("PUT", f"{kind}/{name}", body=body)
        return answer if isinstance(answer, Failure) else stored(kind, answer[1])

    async def delete(self, kind: str, name: str, expect: int) -> None | Failure:
        """Delete an object if its version is the expected one."""
        params = None if expect == ANY_VERSION else {"revision": str(expect)}
        answer = await self.call("DELETE", f"{kind}/{name}", params=params)
        return answer if isinstance(answer, Failure) else None

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names have a prefix."""
        found = await self.listed(kind)
        if isinstance(found, Failure):
            return found
        return [each for each in found[0] if each.name.startswith(prefix)]

    async def watch(self, kind: str, since: int, wait_s: float) -> Changes | Failure:
        """Wait for changes of a kind after a version."""
        answer = await self.call(
            "GET",
            kind,
            params={"watch": str(since), "waitMs": str(int(wait_s * MS))},
            timeout_s=wait_s + WATCH_SLACK_S,
        )
        if isinstance(answer, Failure):
            return answer
        try:
            events = answer[1]["events"]
            changes = tuple(change(kind, event) for event in events)
            return Changes(changes=changes, version=answer[1]["currentRev"])
        except (KeyError, TypeError, ValueError) as error:
            return Failure(Code.WRITE_UNRESOLVED, f"watch of {kind}: {error!r}")

    async def snapshot(self, kind: str) -> Changes | Failure:
        """Return all objects of a kind, with the version to watch from."""
        found = await self.listed(kind)
        if isinstance(found, Failure):
            return found
        objects, version = found
        changes = tuple(
            Change(name=each.name, version=each.version, value=each.value)
            for each in objects
        )
        return Changes(changes=changes, version=version)

    async def listed(self, kind: str) -> tuple[list[StoredObject], int] | Failure:
        """Return the objects of a kind, and the version of the first page.

        A change between two pages is seen by a watch from that version.
        """
        objects: list[StoredObject] = []
        version = 0
        after = ""
        while True:
            params = {"after": after} if after else None
            answer = await self.call("GET", kind, params=params)
            if isinstance(answer, Failure):
                return answer
            try:
                page = [stored(kind, item) for item in answer[1]["items"]]
                version = version or answer[1]["currentRev"]
                more = answer[1].get("truncated") and page
            except (KeyError, TypeError, ValueError) as error:
                return Failure(Code.WRITE_UNRESOLVED, f"list of {kind}: {error!r}")
            objects += page
            if not more:
                return objects, version
            after = page[-1].name

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return no hosts: this platform keeps no list of them."""
        return []


def stored(kind: str, item: Any) -> StoredObject:
    """Return an object; raises ``KeyError`` or ``TypeError`` for a wrong shape."""
    metadata = item["metadata"]
    return StoredObject(
        kind=kind,
        name=metadata["name"],
        version=metadata["revision"],
        value=item.get("spec"),
    )


def change(kind: str, event: Any) -> Change:
    """Return one event of a watch."""
    found = stored(kind, event["object"])
    value = None if event.get("removed") else found.value
    return Change(name=found.name, version=found.version, value=value)
