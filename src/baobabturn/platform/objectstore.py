"""The platform's object API as an ``ObjectStore``."""

from __future__ import annotations

import json
from typing import Any

import aiohttp

from baobabturn.core.events import Event, EventLog
from baobabturn.core.httpclient import read_limited
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

OBJECTS_PATH = "/baobabturn/objects/"
MS_PER_S = 1000
CALL_TIMEOUT_S = 1.0
# A page of a list has about 1 MB; a watch may return more.
MAX_RESPONSE_BYTES = 8_388_608
# Rises by one each time the store returns from a copy that is some seconds old.
ERA_HEADER = "Store-Era"
# A watch times out this long after the wait that it asked the store for.
WATCH_TIMEOUT_MARGIN_S = 0.5
FAILURE_CODES = {
    404: Code.OBJECT_MISSING,
    409: Code.VERSION_CONFLICT,
    410: Code.VERSION_TOO_OLD,
    429: Code.PLATFORM_BUDGET,
    503: Code.PLATFORM_UNREACHABLE,
}


class PlatformObjectStore:
    """The platform's object API; a process has one instance.

    An object's ``version`` is the store's revision at the object's last change; the
    version of a watch or list is the store's current revision.  ``calls`` counts the
    calls made; ``era`` is the highest that an answer stated.
    """

    def __init__(self, *, address: str, transport: Transport, events: EventLog):
        self.base_url = f"http://{address}{OBJECTS_PATH}"
        self.transport = transport
        self.events = events
        self.calls = 0
        self.era = 0

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any] | Failure:
        """Return the status and decoded body of one call, or a failure."""
        self.calls += 1
        try:
            async with self.transport.store_session.request(
                method,
                self.base_url + path,
                params=params,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                data = await read_limited(response, MAX_RESPONSE_BYTES)
                status = response.status
                self.record_era(response.headers.get(ERA_HEADER, ""))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            reason = f"connect: {type(error).__name__}"
            return Failure(Code.PLATFORM_UNREACHABLE, reason, run=Run.NOT_RUN)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Code.WRITE_UNRESOLVED, type(error).__name__)
        if status in FAILURE_CODES:
            return Failure(FAILURE_CODES[status], f"status {status}")
        if status >= 300:
            return Failure(Code.WRITE_UNRESOLVED, f"status {status}")
        try:
            return status, json.loads(data or b"null")
        except ValueError as error:
            return Failure(Code.WRITE_UNRESOLVED, f"not JSON: {error}")

    def record_era(self, text: str) -> None:
        """Record the era that an answer states; log that it has risen."""
        era = int(text) if text.isdigit() else 0
        if era <= self.era:
            return
        if self.era:
            self.events.emit(Event.STORE_ERA, era=era, before=self.era)
        self.era = era

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` if it doesn't exist."""
        response = await self.call("GET", f"{kind}/{name}")
        return (
            response
            if isinstance(response, Failure)
            else decode_object(kind, response[1])
        )

    async def put(
        self, kind: str, name: str, value: Any, expect: int
    ) -> StoredObject | Failure:
        """Write an object if its version is ``expect``.

        ``expect`` is a version, ``ABSENT`` to create, or ``ANY_VERSION``.
        """
        metadata: dict[str, Any] = {"name": name}
        body = {"metadata": metadata, "spec": value}
        if expect == ABSENT:
            response = await self.call("POST", kind, body=body)
        else:
            if expect != ANY_VERSION:
                metadata["revision"] = expect
            response = await self.call("PUT", f"{kind}/{name}", body=body)
        return (
            response
            if isinstance(response, Failure)
            else decode_object(kind, response[1])
        )

    async def delete(self, kind: str, name: str, expect: int) -> None | Failure:
        """Delete an object if its version is ``expect`` (or for ``ANY_VERSION``)."""
        params = None if expect == ANY_VERSION else {"revision": str(expect)}
        response = await self.call("DELETE", f"{kind}/{name}", params=params)
        return response if isinstance(response, Failure) else None

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names start with a prefix."""
        listed = await self.list_objects(kind)
        if isinstance(listed, Failure):
            return listed
        return [each for each in listed[0] if each.name.startswith(prefix)]

    async def watch(self, kind: str, since: int, wait_s: float) -> Changes | Failure:
        """Wait up to ``wait_s`` for changes of a kind since a version."""
        response = await self.call(
            "GET",
            kind,
            params={"watch": str(since), "waitMs": str(int(wait_s * MS_PER_S))},
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if isinstance(response, Failure):
            return response
        try:
            events = response[1]["events"]
            changes = tuple(decode_event(kind, event) for event in events)
            return Changes(changes=changes, version=response[1]["currentRev"])
        except (KeyError, TypeError, ValueError) as error:
            return Failure(Code.WRITE_UNRESOLVED, f"watch of {kind}: {error!r}")

    async def snapshot(self, kind: str) -> Changes | Failure:
        """Return all objects of a kind and the version to watch from."""
        listed = await self.list_objects(kind)
        if isinstance(listed, Failure):
            return listed
        objects, version = listed
        changes = tuple(
            Change(name=each.name, version=each.version, value=each.value)
            for each in objects
        )
        return Changes(changes=changes, version=version)

    async def list_objects(self, kind: str) -> tuple[list[StoredObject], int] | Failure:
        """Return all objects of a kind and the version of the first page.

        Changes between two pages are then returned by a watch from that version.
        """
        objects: list[StoredObject] = []
        version = 0
        last_name = ""
        while True:
            params = {"after": last_name} if last_name else None
            response = await self.call("GET", kind, params=params)
            if isinstance(response, Failure):
                return response
            try:
                page = [decode_object(kind, item) for item in response[1]["items"]]
                version = version or response[1]["currentRev"]
                has_more = response[1].get("truncated") and page
            except (KeyError, TypeError, ValueError) as error:
                return Failure(Code.WRITE_UNRESOLVED, f"list of {kind}: {error!r}")
            objects += page
            if not has_more:
                return objects, version
            last_name = page[-1].name

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return no hosts, because this platform has no list of them."""
        return []


def decode_object(kind: str, item: Any) -> StoredObject:
    """Return an object; raise ``KeyError`` or ``TypeError`` for a malformed one."""
    metadata = item["metadata"]
    return StoredObject(
        kind=kind,
        name=metadata["name"],
        version=metadata["revision"],
        value=item.get("spec"),
    )


def decode_event(kind: str, event: Any) -> Change:
    """Return one event of a watch as a change."""
    stored = decode_object(kind, event["object"])
    value = None if event.get("removed") else stored.value
    return Change(name=stored.name, version=stored.version, value=value)
