"""A stand-in for the platform: the object API, the host list and faults.

Faults are set over ``POST /control``: ``down`` refuses every call, ``slow_s``
delays answers, ``stale_at`` answers reads as of that version, ``lose_answers`` is the
share of writes that take effect without an answer, ``hosts_lag_s`` delays changes of
the host list, and watches from versions before ``forget_before`` get 410.
``write_faults`` lists what happens to the next writes of ``write_kind``, one entry for
each write: ``ok``, ``lose`` (takes effect, no answer), ``drop`` (no effect, no answer),
``late`` (no answer, takes effect a second later), ``hang`` (neither, until the caller
disconnects) or ``slow`` (takes effect after four seconds).
``restore_to`` lets the platform return from a copy of that version, in the next era;
its era is 0, and isn't stated, until one is set.
``GET /counts`` returns the number of calls by operation, by second and by kind of
object.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from fakes.server import Server

VALUE_LIMIT_BYTES = 1_000_000
HISTORY = 5000
LATE_S = 1.0
PAUSES_S = {"hang": 3600.0, "slow": 4.0}


class FakePlatform:
    """The platform's objects with versions, kept in memory."""

    def __init__(self, *, seed: int = 1):
        self.random = random.Random(seed)
        self.objects: dict[tuple[str, str], dict] = {}
        self.version = 0
        self.era = 0
        self.history: list[tuple[str, dict]] = []
        self.changed = asyncio.Event()
        self.host_list: list[dict] = []
        self.host_changes: list[tuple[float, list[dict]]] = []
        self.faults: dict = {
            "down": False,
            "slow_s": 0.0,
            "lose_answers": 0.0,
            "hosts_lag_s": 0.0,
            "forget_before": 0,
            "stale_at": 0,
            "write_kind": "baobabturn-claim",
            "write_faults": [],
        }
        self.counts: dict[str, int] = {}
        self.by_kind: dict[str, int] = {}
        self.per_second: dict[int, int] = {}
        self.late_writes: set[asyncio.Task] = set()
        self.server = Server(
            middlewares=[self.state_era],
            routes=[
                web.get("/objects/{kind}", self.list_or_watch),
                web.get("/objects/{kind}/{name:.+}", self.get),
                web.put("/objects/{kind}/{name:.+}", self.put),
                web.delete("/objects/{kind}/{name:.+}", self.delete),
                web.get("/hosts", self.hosts),
                web.post("/control", self.control),
                web.get("/counts", self.show_counts),
            ],
        )

    @web.middleware
    async def state_era(self, request: web.Request, handler: Callable) -> Any:
        """State the era in every answer, unless the platform has none."""
        try:
            response = await handler(request)
        except web.HTTPException as error:
            response = error
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        if isinstance(response, web.HTTPException):
            raise response
        return response

    def restore(self, version: int) -> None:
        """Return from a copy of a version; later versions are given out again."""
        self.era += 1
        self.history = [each for each in self.history if each[1]["version"] <= version]
        self.version = version
        self.objects = {}
        for kind, held in self.history:
            self.objects[(kind, held["name"])] = held
        self.objects = {
            key: held for key, held in self.objects.items() if held["value"] is not None
        }
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the URL."""
        return await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    async def fault(self, request: web.Request, kind: str) -> None:
        """Count a call and apply the faults that are set."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
        key = f"{kind}:{request.match_info.get('kind', '')}"
        self.by_kind[key] = self.by_kind.get(key, 0) + 1
        second = int(time.time())
        self.per_second[second] = self.per_second.get(second, 0) + 1
        if self.faults["down"]:
            drop(request)
            raise web.HTTPServiceUnavailable()
        if self.faults["slow_s"]:
            await asyncio.sleep(self.faults["slow_s"])

    async def write_fault(self, request: web.Request, write: Callable) -> str:
        """Apply and return the fault that is set for the next write of a kind."""
        kind = request.match_info["kind"]
        if kind != self.faults["write_kind"] or not self.faults["write_faults"]:
            return "ok"
        fault = self.faults["write_faults"].pop(0)
        await asyncio.sleep(PAUSES_S.get(fault, 0.0))
        if fault == "late":
            task = asyncio.create_task(self.write_late(write))
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
        if fault in ("late", "drop"):
            drop(request)
            raise web.HTTPServiceUnavailable()
        return fault

    async def write_late(self, write: Callable) -> None:
        """Execute a write after its caller's connection has been closed."""
        await asyncio.sleep(LATE_S)
        write()

    def answer_write(
        self, request: web.Request, body: dict | None, fault: str
    ) -> web.Response:
        """Answer a write, or drop the connection if the fault says so."""
        if body is None:
            raise web.HTTPPreconditionFailed(text="{}")
        if fault == "lose" or self.random.random() < self.faults["lose_answers"]:
            self.counts["lost"] = self.counts.get("lost", 0) + 1
            drop(request)
        return web.json_response(body)

    async def get(self, request: web.Request) -> web.Response:
        """Return one object."""
        await self.fault(request, "get")
        found = self.readable().get(
            (request.match_info["kind"], request.match_info["name"])
        )
        if found is None:
            raise web.HTTPNotFound(text="{}")
        return web.json_response(found, headers={"ETag": f'"{found["version"]}"'})

    def readable(self) -> dict[tuple[str, str], dict]:
        """Return the objects that reads see: as of ``stale_at``, if it is set."""
        until = self.faults["stale_at"]
        if not until:
            return self.objects
        seen = {}
        for kind, held in self.history:
            if held["version"] <= until:
                seen[(kind, held["name"])] = held
        return {key: held for key, held in seen.items() if held["value"] is not None}

    def holds(self, request: web.Request, found: dict | None) -> bool:
        """Return whether the request's condition is met."""
        if request.headers.get("If-None-Match") == "*":
            return found is None
        wanted = request.headers.get("If-Match")
        if wanted is None:
            return True
        return found is not None and wanted == f'"{found["version"]}"'

    def record(self, kind: str, name: str, value: object) -> dict:
        """Record a change under the next version and wake the watches."""
        self.version += 1
        held = {"name": name, "version": self.version, "value": value}
        self.history.append((kind, held))
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()
        return held

    async def put(self, request: web.Request) -> web.Response:
        """Write one object if the condition is met."""
        await self.fault(request, "put")
        kind, name = request.match_info["kind"], request.match_info["name"]
        raw = await request.read()
        if len(raw) > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(VALUE_LIMIT_BYTES, len(raw), text="{}")
        value = await request.json()

        def write() -> dict | None:
            if not self.holds(request, self.objects.get((kind, name))):
                return None
            held = self.record(kind, name, value)
            self.objects[(kind, name)] = held
            return held

        fault = await self.write_fault(request, write)
        return self.answer_write(request, write(), fault)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete one object if the condition is met."""
        await self.fault(request, "delete")
        kind, name = request.match_info["kind"], request.match_info["name"]
        if (kind, name) not in self.objects:
            raise web.HTTPNotFound(text="{}")

        def write() -> dict | None:
            if not self.holds(request, self.objects.get((kind, name))):
                return None
            del self.objects[(kind, name)]
            return self.record(kind, name, None)

        fault = await self.write_fault(request, write)
        return self.answer_write(request, write(), fault)

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """List a kind's objects, or wait for changes after a version."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            await self.fault(request, "watch")
            return await self.watch(kind, request)
        await self.fault(request, "list")
        prefix = request.query.get("prefix", "")
        found = [
            held
            for (held_kind, name), held in sorted(self.readable().items())
            if held_kind == kind and name.startswith(prefix)
        ]
        version = self.faults["stale_at"] or self.version
        return web.json_response({"objects": found, "version": version})

    async def watch(self, kind: str, request: web.Request) -> web.Response:
        """Answer with the changes after a version, or with none after the wait."""
        since = int(request.query.get("since", "0"))
        oldest = self.history[0][1]["version"] if self.history else self.version + 1
        trimmed = len(self.history) == HISTORY and since + 1 < oldest
        is_lost = since > self.version
        if trimmed or is_lost or since < self.faults["forget_before"]:
            raise web.HTTPGone(text="{}")
        end = time.monotonic() + float(request.query.get("wait", "30"))
        while True:
            changes = [c for k, c in self.history if k == kind and c["version"] > since]
            left = end - time.monotonic()
            if self.faults["down"]:
                drop(request)
                raise web.HTTPServiceUnavailable()
            if changes or left <= 0:
                version = changes[-1]["version"] if changes else max(since, 0)
                return web.json_response({"changes": changes, "version": version})
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def set_hosts(self, hosts: list[dict]) -> None:
        """Change the host list; calls return the change after the lag."""
        self.host_changes.append((time.monotonic(), hosts))
        self.host_list = hosts

    async def hosts(self, request: web.Request) -> web.Response:
        """Return the host list as it was before the lag."""
        await self.fault(request, "hosts")
        cut = time.monotonic() - self.faults["hosts_lag_s"]
        seen = [hosts for at, hosts in self.host_changes if at <= cut]
        if not seen:
            seen = [hosts for _, hosts in self.host_changes[:1]] or [[]]
        return web.json_response({"hosts": seen[-1]})

    async def control(self, request: web.Request) -> web.Response:
        """Set faults, or replace the host list under ``hosts``."""
        values = await request.json()
        if "restore_to" in values:
            self.restore(values.pop("restore_to"))
        hosts = values.pop("hosts", None)
        if hosts is not None:
            self.set_hosts(hosts)
        self.faults.update(values)
        if values.get("down"):
            self.changed.set()
            self.changed = asyncio.Event()
        return web.json_response(self.faults)

    async def show_counts(self, request: web.Request) -> web.Response:
        """Return the counts of calls and objects, and the write faults left."""
        return web.json_response(
            {
                "calls": self.counts,
                "by_kind": self.by_kind,
                "write_faults": self.faults["write_faults"],
                "per_second": self.per_second,
                "objects": len(self.objects),
            }
        )


def drop(request: web.Request) -> None:
    """Close a request's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
