"""The platform's object API as an ``ObjectStore``."""

from __future__ import annotations

import asyncio
import functools
import random
import urllib.parse
from collections.abc import Callable
from typing import Any

import aiohttp

from baobabturn.core.boundedjson import load_bounded
from baobabturn.core.events import Event, EventLog
from baobabturn.core.httpclient import read_limited
from baobabturn.core.jsonlist import UnreadableItem, load_list
from baobabturn.core.results import Code, Failure, Run
from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import PRESENCE_KINDS
from baobabturn.store.answer import StoreAnswer, decode_era
from baobabturn.store.interface import (
    Change,
    Changes,
    PlatformHost,
    StoredObject,
)
from baobabturn.store.version import (
    ABSENT,
    ANY_VERSION,
    NO_VERSION,
    StoreVersion,
    crossed_eras,
    is_condition,
    outdated_condition,
)

OBJECTS_PATH = "/baobabturn/objects/"
MS_PER_S = 1000
CALL_TIMEOUT_S = 1.0
# A page of a list has about 1 MB; a watch may return more.
MAX_RESPONSE_BYTES = 8_388_608
# An object with a longer name isn't one that a process of the platform wrote.
MAX_NAME_BYTES = 512
# Messages between gateways hold no larger ones.
MAX_REVISION = 2**63 - 1
# The value of each object of which the existence alone counts.
PRESENT: dict[str, Any] = {}
# Names that a path can't hold.
PATH_NAMES = frozenset((".", ".."))
# Rises by one each time the store returns from a copy that is some seconds old.
ERA_HEADER = "Store-Era"
# A watch times out this long after the wait that it asked the store for.
WATCH_TIMEOUT_MARGIN_S = 0.5
# A later page of a list that was refused for the rate of calls is asked for again after
# such a pause, and for so long in all: the store takes a number of calls each second.
MIN_PAGE_PAUSE_S, MAX_PAGE_PAUSE_S = 0.05, 0.3
MAX_PAGE_WAIT_S = 5.0
FAILURE_CODES = {
    404: Code.OBJECT_MISSING,
    409: Code.VERSION_CONFLICT,
    410: Code.VERSION_TOO_OLD,
    429: Code.PLATFORM_BUDGET,
    503: Code.PLATFORM_UNREACHABLE,
}


class PlatformObjectStore:
    """The platform's object API; a process has one instance.

    An object's ``version`` is the store's era and its revision at the object's last
    change; the version of a watch or list is the store's current one.  ``calls``
    counts the calls made; ``era`` is the highest that an answer stated.
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
        load: Callable[[bytes], Any] = load_bounded,
    ) -> StoreAnswer | Failure:
        """Return the answer to one call, whose body ``load`` reads, or a failure."""
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
                era = decode_era(response.headers.get(ERA_HEADER, ""))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            reason = f"connect: {type(error).__name__}"
            return Failure(Code.PLATFORM_UNREACHABLE, reason, run=Run.NOT_RUN)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Code.WRITE_UNRESOLVED, type(error).__name__)
        self.record_era(era)
        if status in FAILURE_CODES:
            return Failure(FAILURE_CODES[status], f"status {status}")
        if status >= 300:
            return Failure(Code.WRITE_UNRESOLVED, f"status {status}")
        try:
            body = load(data or b"null")
            return StoreAnswer(status=status, body=body, era=era)
        except ValueError as error:
            return Failure(Code.WRITE_UNRESOLVED, f"not JSON: {error}")

    def record_era(self, era: int) -> None:
        """Record the era that an answer states; log that it has risen."""
        if era <= self.era:
            return
        if self.era:
            self.events.emit(Event.STORE_ERA, era=era, before=self.era)
        self.era = era

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` if it doesn't exist."""
        answer = await self.call("GET", object_path(kind, name))
        return answer if isinstance(answer, Failure) else stored_object(kind, answer)

    async def put(
        self, kind: str, name: str, value: Any, expect: StoreVersion
    ) -> StoredObject | Failure:
        """Write an object if its version is ``expect``.

        ``expect`` is a version, ``ABSENT`` to create, or ``ANY_VERSION``.
        """
        metadata: dict[str, Any] = {"name": name}
        body = {"metadata": metadata, "spec": value}
        if expect == ABSENT:
            answer = await self.call("POST", kind, body=body)
        else:
            if is_condition(expect):
                metadata["revision"] = expect.revision
            answer = await self.write("PUT", object_path(kind, name), expect, body=body)
        return answer if isinstance(answer, Failure) else stored_object(kind, answer)

    async def delete(
        self, kind: str, name: str, expect: StoreVersion
    ) -> None | Failure:
        """Delete an object if its version is ``expect`` (or for ``ANY_VERSION``)."""
        params = None if expect == ANY_VERSION else {"revision": str(expect.revision)}
        answer = await self.write(
            "DELETE", object_path(kind, name), expect, params=params
        )
        return answer if isinstance(answer, Failure) else None

    async def write(
        self,
        method: str,
        path: str,
        expect: StoreVersion,
        *,
        params: dict[str, str] | None = None,
        body: Any = None,
    ) -> StoreAnswer | Failure:
        """Make a call whose condition holds in the era of ``expect`` alone."""
        outdated = outdated_condition(expect, self.era)
        if outdated is not None:
            return outdated
        answer = await self.call(method, path, params=params, body=body)
        if isinstance(answer, Failure):
            return answer
        return crossed_eras(expect, answer.era) or answer

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names start with a prefix."""
        listed = await self.list_objects(kind)
        if isinstance(listed, Failure):
            return listed
        return [each for each in listed[0] if each.name.startswith(prefix)]

    async def watch(
        self, kind: str, since: StoreVersion, wait_s: float
    ) -> Changes | Failure:
        """Wait up to ``wait_s`` for changes of a kind since a version.

        An object that can't be read counts as removed.  If its name can't be read
        either, or its existence counts, return ``VERSION_TOO_OLD``, as a list shows
        which objects are left.
        """
        answer = await self.call(
            "GET",
            kind,
            params={
                "watch": str(since.revision),
                "waitMs": str(int(wait_s * MS_PER_S)),
            },
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            load=load_events,
        )
        if isinstance(answer, Failure):
            return answer
        if answer.era != since.era:
            reason = f"since {since}, the store is in era {answer.era}"
            return Failure(Code.VERSION_TOO_OLD, reason)
        try:
            version = current_version(answer)
            events = answer.body["events"]
            changes = [decode_event(kind, event, version) for event in events]
        except (KeyError, TypeError, ValueError) as error:
            return Failure(Code.WRITE_UNRESOLVED, f"watch of {kind}: {error!r}")
        named = tuple(change for change in changes if change is not None)
        if len(named) < len(changes):
            self.log_unreadable(kind, len(changes) - len(named))
            return Failure(Code.VERSION_TOO_OLD, f"an unreadable change of {kind}")
        return Changes(changes=named, version=version)

    def log_unreadable(self, kind: str, count: int) -> None:
        """Log objects of which not even the name can be read."""
        reason = f"{count} of kind {kind} without a readable name"
        self.events.emit(Event.ENTRY_UNREADABLE, reason=reason)

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

    async def list_objects(
        self, kind: str
    ) -> tuple[list[StoredObject], StoreVersion] | Failure:
        """Return all objects of a kind and the version of the first page.

        Changes between two pages are then returned by a watch from that version.  A
        list whose pages are of two eras fails with ``VERSION_TOO_OLD``.  An object that
        can't be read has no value, one whose name can't be read is left out.
        """
        objects: list[StoredObject] = []
        version = NO_VERSION
        last_name = ""
        while True:
            params = {"after": last_name} if last_name else None
            answer = await self.list_page(kind, params)
            if isinstance(answer, Failure):
                return answer
            try:
                newest = current_version(answer)
                page = self.decode_page(kind, answer.body["items"], newest)
                version = version if last_name else newest
                has_more = answer.body.get("truncated")
            except (KeyError, TypeError, ValueError) as error:
                return Failure(Code.WRITE_UNRESOLVED, f"list of {kind}: {error!r}")
            if answer.era != version.era:
                reason = f"list of {kind} at {version}, its next page in {answer.era}"
                return Failure(Code.VERSION_TOO_OLD, reason)
            objects += page
            if not has_more:
                return objects, version
            if not page:
                # The next page is asked for by the last name of this one.
                reason = f"a page of {kind} has no readable name"
                return Failure(Code.WRITE_UNRESOLVED, reason)
            last_name = page[-1].name

    async def list_page(
        self, kind: str, params: dict[str, str] | None
    ) -> StoreAnswer | Failure:
        """Return a page of a list; ask again for a later one that was refused.

        Without it the pages before were read in vain.
        """
        waited_s = 0.0
        while True:
            answer = await self.call("GET", kind, params=params, load=load_items)
            is_refused = (
                isinstance(answer, Failure) and answer.code is Code.PLATFORM_BUDGET
            )
            if not is_refused or params is None or waited_s > MAX_PAGE_WAIT_S:
                return answer
            pause_s = random.uniform(MIN_PAGE_PAUSE_S, MAX_PAGE_PAUSE_S)
            await asyncio.sleep(pause_s)
            waited_s += pause_s

    def decode_page(
        self, kind: str, items: list[Any], version: StoreVersion
    ) -> list[StoredObject]:
        """Return the objects of a page that have a name, each name once.

        ``version`` is that of the store.
        """
        decoded = [
            decode_object(kind, item, version.era, version.revision) for item in items
        ]
        named = [stored for stored in decoded if stored is not None]
        if len(named) < len(items):
            self.log_unreadable(kind, len(items) - len(named))
        readable = {stored.name for stored in named if stored.value is not None}
        return [
            stored
            for stored in named
            if stored.value is not None or stored.name not in readable
        ]

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return no hosts, because this platform has no list of them."""
        return []


def current_version(answer: StoreAnswer) -> StoreVersion:
    """Return the version at which the store answered; raise ``KeyError`` for none."""
    return answer.version(answer.body["currentRev"])


def object_path(kind: str, name: str) -> str:
    """Return the path of an object, whose name may hold any characters."""
    return f"{kind}/{urllib.parse.quote(name, safe='')}"


def is_object(value: Any) -> bool:
    """Return whether a value has the form of an object."""
    return isinstance(value, dict) and isinstance(value.get("metadata"), dict)


def is_event(value: Any) -> bool:
    """Return whether a value has the form of an event of a watch."""
    return isinstance(value, dict) and is_object(value.get("object"))


load_items = functools.partial(load_list, key="items", is_item=is_object)
load_events = functools.partial(load_list, key="events", is_item=is_event)


def stored_object(kind: str, answer: StoreAnswer) -> StoredObject | Failure:
    """Return the object that an answer holds, or why it can't be read."""
    stored = decode_object(kind, answer.body, answer.era)
    if stored is None:
        return Failure(Code.WRITE_UNRESOLVED, f"an object of {kind} without a name")
    return stored


def decode_object(
    kind: str, item: Any, era: int, newest: int = MAX_REVISION
) -> StoredObject | None:
    """Return an object, None if its name or revision can't be read.

    A revision over ``newest``, that of the store itself, isn't the object's.  One that
    can't be read otherwise has no value, unless its existence alone counts.
    """
    if isinstance(item, UnreadableItem):
        metadata, value = item.find_object("metadata"), None
    elif is_object(item):
        metadata, value = item["metadata"], item.get("spec")
    else:
        return None
    if not isinstance(metadata, dict):
        return None
    name, revision = decode_name(metadata.get("name")), metadata.get("revision")
    if not name or not isinstance(revision, int) or not 0 <= revision <= newest:
        return None
    if kind in PRESENCE_KINDS:
        value = PRESENT
    return StoredObject(
        kind=kind, name=name, version=StoreVersion(era, revision), value=value
    )


def decode_name(value: Any) -> str:
    """Return a name that paths, headers and messages can hold, empty for any other."""
    if not isinstance(value, str) or not value.isprintable() or value in PATH_NAMES:
        return ""
    return value if len(value.encode()) <= MAX_NAME_BYTES else ""


def decode_event(kind: str, event: Any, version: StoreVersion) -> Change | None:
    """Return one event of a watch as a change, None if its name can't be read.

    ``version`` is that of the store.  An event that can't be read may say that its
    object was removed, so where existence counts None is returned for it too.
    """
    if kind in PRESENCE_KINDS and not is_event(event):
        return None
    item = event["object"] if is_event(event) else event
    stored = decode_object(kind, item, version.era, version.revision)
    if stored is None:
        return None
    is_removed = is_event(event) and event.get("removed")
    value = None if is_removed else stored.value
    return Change(name=stored.name, version=stored.version, value=value)
