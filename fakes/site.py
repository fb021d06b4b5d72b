"""A stand-in for a platform with an object store, engines and plain services.

It implements the platform's published protocol on raw streams, and records which
requests ran at which endpoint.
"""

from __future__ import annotations

import asyncio
import copy
import json
import math
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

import attrs

from fakes.rawhttp import RawHttpServer, Request, chunk_bytes, response_bytes

PLATFORM_PATH = "/baobabturn/"
RESPONSE_STAMP = "stamp-1"
ENDLESS_BLOCK_BYTES = 262_144
EVENT_INTERVAL_S = 0.01


@attrs.frozen(kw_only=True)
class StoreCopy:
    """The objects and history of a store at a revision."""

    revision: int
    objects: dict[str, dict[str, dict]]
    history: list[tuple[str, dict, bool]]


class SiteStore(RawHttpServer):
    """The platform's object store, with lists, watches and conditional writes.

    ``era`` rises each time the store returns from a copy; every answer states it.

    ``failing_status`` is a status that every call gets (0 for none); with ``silent``
    calls get no answer.  ``repeat_after_s`` is the time after which each answer is
    sent a second time (0 for never).  With ``endless_lists`` the answer to a list
    has no end.  In answers each text of ``raw_values`` is replaced by its bytes, and
    the endpoint's entry with a name of ``raw_entries`` as a whole.
    """

    def __init__(self, *, page: int = 500):
        super().__init__()
        self.page_size = page
        self.era = 1
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[str, dict, bool]] = []
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.failing_status = 0
        self.silent = False
        self.repeat_after_s = 0.0
        self.endless_lists = False
        self.raw_values: dict[str, bytes] = {}
        self.raw_entries: dict[str, bytes] = {}
        self.calls: list[str] = []

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object without a condition and return the new revision."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = item
        self.record_change(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        removed_item = {
            **item,
            "metadata": {**item["metadata"], "revision": self.revision},
        }
        self.record_change(kind, removed_item, True)

    def record_change(self, kind: str, item: dict, removed: bool) -> None:
        """Append a change to the history and wake the watches."""
        self.history.append((kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can return later."""
        return StoreCopy(
            revision=self.revision,
            objects=copy.deepcopy(self.objects),
            history=copy.deepcopy(self.history),
        )

    def restore(self, stored: StoreCopy) -> None:
        """Return from a copy; later revisions are given out again."""
        self.era += 1
        self.revision = stored.revision
        self.objects = copy.deepcopy(stored.objects)
        self.history = copy.deepcopy(stored.history)
        self.reset_connections()

    def discard_history(self) -> None:
        """Discard the history; watches from older revisions then get 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    async def handle(self, request, reader, writer) -> bool:
        """Answer one call."""
        self.calls.append(f"{request.method} {request.target}")
        if self.silent:
            await asyncio.sleep(3600)
        status, body = (
            (self.failing_status, {})
            if self.failing_status
            else await self.execute(request)
        )
        if self.failing_status:
            status, body = self.failing_status, {}
        if self.endless_lists and request.method == "GET":
            await send_endless_list(writer)
        data = self.with_raw_bytes(json.dumps(body).encode())
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        answer = response_bytes(status, data, headers)
        writer.write(answer)
        await writer.drain()
        if self.repeat_after_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.repeat_after_s, write_if_open, writer, answer)
        return True

    def with_raw_bytes(self, data: bytes) -> bytes:
        """Return an answer's bytes with those that no JSON value can hold."""
        for name, raw in self.raw_entries.items():
            entry = self.objects.get("servers", {}).get(name)
            data = data.replace(json.dumps(entry).encode(), raw)
        for text, raw in self.raw_values.items():
            data = data.replace(json.dumps(text).encode(), raw)
        return data

    async def execute(self, request: Request) -> tuple[int, Any]:
        """Return status and body of one call."""
        url = urllib.parse.urlsplit(request.target)
        kind, _, name = url.path.removeprefix(f"{PLATFORM_PATH}objects/").partition("/")
        query = dict(urllib.parse.parse_qsl(url.query))
        if request.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["waitMs"]))
        if request.method == "GET":
            return self.get(kind, name) if name else self.list(kind, query)
        body = json.loads(request.body or b"{}")
        return self.apply_write(request.method, kind, name, body, query)

    def get(self, kind: str, name: str) -> tuple[int, Any]:
        """Return one object."""
        item = self.objects.get(kind, {}).get(name)
        return (200, item) if item else (404, {})

    def list(self, kind: str, query: dict) -> tuple[int, Any]:
        """Return a page of a kind's objects."""
        after = query.get("after", "")
        items = sorted(self.objects.get(kind, {}).items())
        rest = [item for name, item in items if name > after]
        page = rest[: self.page_size]
        has_more = len(rest) > len(page)
        return 200, {"items": page, "truncated": has_more, "currentRev": self.revision}

    async def watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        """Return a kind's changes after a revision, waiting for the first one.

        Return none after ``wait_ms``.
        """
        if not self.compacted_revision <= since <= self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            events = [
                {"object": item, "removed": removed}
                for changed_kind, item, removed in self.history
                if changed_kind == kind and item["metadata"]["revision"] > since
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def apply_write(
        self, method: str, kind: str, name: str, body: dict, query: dict
    ) -> tuple[int, Any]:
        """Create, replace or remove an object; return 409 if the condition fails."""
        name = name or body["metadata"]["name"]
        item = self.objects.get(kind, {}).get(name)
        if method == "POST" and item is not None:
            return 409, item
        if method in ("PUT", "DELETE") and item is None:
            return 404, {}
        expected_revision = body.get("metadata", {}).get("revision") or query.get(
            "revision"
        )
        if (
            item is not None
            and expected_revision
            and int(expected_revision) != item["metadata"]["revision"]
        ):
            return 409, item
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        self.write(kind, name, body["spec"])
        return 200, self.objects[kind][name]


def write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write data unless the connection is closed."""
    if not writer.is_closing():
        writer.write(data)


async def send_endless_list(writer: asyncio.StreamWriter) -> None:
    """Send the beginning of a list, and then items until the caller closes."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b'{"items": [')
    while not writer.is_closing():
        writer.write(b" " * ENDLESS_BLOCK_BYTES)
        await writer.drain()
        await asyncio.sleep(0)


ResponseScript = Callable[[Request], bytes]


class SiteEndpoint(RawHttpServer):
    """An endpoint of a plain service or an engine.

    ``response_script`` returns the bytes of the response to a request, after which
    the connection is closed; without one the response is complete and has the
    response stamp.  ``ran`` holds the requests that ran.  An engine streams
    ``event_count`` events with ``event_interval_s`` between them, each of which has its
    ``event_name``.  The final copy of a generation that it has stopped takes
    ``final_copy_s`` and, with ``loses_copies``, fails.  Streams that aren't ``framed``
    have neither a length nor chunks.  If
    ``advertised_address`` is set, the endpoint's entry has this address, that of a
    proxy, in place of its own.  ``rate_limit_per_s`` is the limit that its answers
    name, 0 for none.  ``version`` is that of its software, which the entry names unless
    it is empty.  Its entry says that it is cold until the monotonic time
    ``cold_until``.  ``more_headers`` are on all its answers, ``report_fields`` in its
    reports.  ``calls`` holds the calls besides requests, whose answers have
    ``control_headers``.
    """

    def __init__(
        self, *, name: str, service: str, events: int = 0, version: str = "v1"
    ):
        super().__init__()
        self.name = name
        self.service = service
        self.version = version
        self.failure_domain = "z1"
        self.event_count = events
        self.event_interval_s = EVENT_INTERVAL_S
        self.response_script: ResponseScript | None = None
        self.ran: list[Request] = []
        self.running: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.migration_calls: list[dict] = []
        self.kv_copies: dict[str, int] = {}
        self.advertised_address = ""
        self.leaving = False
        self.cold_until = 0.0
        self.migration_status = 200
        self.final_copy_s = 0.0
        self.stopped: set[str] = set()
        self.event_name = name
        self.framed = True
        self.loses_copies = False
        self.cut_after_events = 0
        self.rate_limit_per_s = 0.0
        self.more_headers: dict[str, str] = {}
        self.report_fields: dict[str, Any] = {}
        self.control_headers: dict[str, str] = {}
        self.calls: list[Request] = []
        self.peers: dict[str, SiteEndpoint] = {}

    def entry(self, state: str = "ready", **fields: Any) -> dict:
        """Return the endpoint's entry in the store."""
        version = {"version": self.version} if self.version else {}
        cold_left_s = max(0.0, self.cold_until - time.monotonic())
        return {
            "service": self.service,
            "address": self.advertised_address or self.address,
            "zone": self.failure_domain,
            **version,
            "slots": 4,
            "state": state,
            "coldLeftMs": math.ceil(cold_left_s * 1000),
            "callSeq": 1,
            **fields,
        }

    async def handle(self, request, reader, writer) -> bool:
        """Answer one request."""
        if request.target.startswith(PLATFORM_PATH):
            self.calls.append(request)
            status, body = await self.control(request)
            data = json.dumps(body).encode()
            writer.write(response_bytes(status, data, self.control_headers))
            await writer.drain()
            return True
        if request.headers.get("x-expect-instance") not in (None, self.name):
            writer.write(response_bytes(421, b"", {"X-Instance-Id": self.name}))
            await writer.drain()
            return True
        if self.response_script is not None:
            data = self.response_script(request)
            writer.write(data)
            await writer.drain()
            return False
        self.ran.append(request)
        if self.event_count:
            await self.stream(request, reader, writer)
            return False
        headers = self.answer_headers(request)
        writer.write(response_bytes(200, b"done", headers))
        await writer.drain()
        return True

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of every answer."""
        headers = {
            "X-Attempt-Id": request.attempt_id,
            "X-Response-Stamp": RESPONSE_STAMP,
        }
        if self.rate_limit_per_s:
            headers["Server-Limit"] = f"{self.rate_limit_per_s:g}"
        return {**headers, **self.more_headers}

    async def control(self, request: Request) -> tuple[int, Any]:
        """Answer a call for the load report, or one that copies a KV cache."""
        if request.method == "GET":
            state = "draining" if self.leaving else "ready"
            return 200, {"state": state, **self.report_fields}
        if request.method == "DELETE":
            return 200, {}
        body = json.loads(request.body)
        self.migration_calls.append(body)
        attempt_id = body["id"]
        if self.migration_status != 200:
            return self.migration_status, {}
        if attempt_id not in self.running:
            return 404, {}
        last_event = self.running[attempt_id]
        if body["last"]:
            self.stopped.add(attempt_id)
            await asyncio.sleep(self.final_copy_s)
            if self.loses_copies:
                return 500, {}
        self.peers[body["target"]].kv_copies[attempt_id] = last_event
        return 200, {"handle": attempt_id, "createRevision": last_event}

    async def stream(self, request, reader, writer) -> None:
        """Stream events from the one after the request's Last-Event-ID.

        Refuse a continuation whose KV cache is not known here.
        """
        kv_handle = request.headers.get("kv-from", "")
        known_handles = {*self.kv_copies, *self.stopped}
        if kv_handle and kv_handle.rpartition("/")[2] not in known_handles:
            writer.write(response_bytes(503, b"", {"X-Not-Executed": "1"}))
            await writer.drain()
            return
        self.stopped.discard(request.attempt_id)
        first = int(request.headers.get("last-event-id") or 0)
        headers = {
            **self.answer_headers(request),
            "Content-Type": "text/event-stream",
        }
        frame = chunk_bytes if self.framed else bytes
        if self.framed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(response_bytes(200, b"", headers, length=False))
        disconnect_watch = asyncio.create_task(reader.read(1))
        self.running[request.attempt_id] = first
        try:
            for event_id in range(first + 1, self.event_count + 1):
                if request.attempt_id in self.stopped:
                    return
                if disconnect_watch.done():
                    self.cancelled.append(request.attempt_id)
                    return
                if self.cut_after_events and event_id > self.cut_after_events:
                    writer.write(frame(b"id: %d\ndata: h" % event_id))
                    writer.transport.abort()
                    return
                text = b"id: %d\ndata: %s-%d\n\n" % (
                    event_id,
                    self.event_name.encode(),
                    event_id,
                )
                writer.write(frame(text))
                await writer.drain()
                self.running[request.attempt_id] = event_id
                await asyncio.sleep(self.event_interval_s)
            if self.framed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        finally:
            self.running.pop(request.attempt_id, None)
            disconnect_watch.cancel()
