"""Endpoints that some requests crash, and that start again after a while."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from fakes.rawhttp import Request, response_bytes
from fakes.site import RESPONSE_STAMP, SiteEndpoint, SiteStore
from fakes.siteconfig import ENGINE_SERVICE

# From the response's head to the end of the process.
CRASH_DELAY_S = 0.05
RESTART_S = 1.0
EVENT_COUNT = 5


def prompt_parts(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    entries = request.headers.get("x-prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


IsCrashing = Callable[[Request], bool]


def has_part(part: str) -> IsCrashing:
    """Return a test for requests whose prompts have a part."""
    return lambda request: part in prompt_parts(request)


class CrashingEndpoint(SiteEndpoint):
    """An endpoint whose process ends as it begins to answer certain requests."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        events: int,
        is_crashing: IsCrashing,
        on_crash: Callable[[Any], None],
    ):
        super().__init__(name=name, service=service, events=events)
        self.is_crashing = is_crashing
        self.on_crash = on_crash

    async def handle(self, request, reader, writer) -> bool:
        """Answer a request, or end before the head of the answer."""
        if self.event_count or not self.is_crashing(request):
            return await super().handle(request, reader, writer)
        self.ran.append(request)
        await asyncio.sleep(CRASH_DELAY_S)
        await self.crash()
        return False

    async def stream(self, request, reader, writer) -> None:
        """Stream an answer, or end after its head."""
        if not self.is_crashing(request):
            await super().stream(request, reader, writer)
            return
        headers = {
            "X-Attempt-Id": request.attempt_id,
            "X-Response-Stamp": RESPONSE_STAMP,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(response_bytes(200, b"", headers, length=False))
        await writer.drain()
        await asyncio.sleep(CRASH_DELAY_S)
        await self.crash()

    async def crash(self) -> None:
        """End the process: its connections are reset, and new ones refused."""
        if self.server is not None:
            server, self.server = self.server, None
            server.close()
            self.on_crash(self)
            self.reset_connections()


def raise_error(task: asyncio.Task) -> None:
    """Raise the error of a task, if it has failed."""
    if not task.cancelled():
        task.result()


class CrashingFleet:
    """A service's endpoints, each of which is replaced after a crash.

    ``crashed_at`` holds the times of the crashes in monotonic seconds.
    """

    def __init__(
        self,
        *,
        store: SiteStore,
        is_crashing: IsCrashing,
        service: str = ENGINE_SERVICE,
        events: int = EVENT_COUNT,
    ):
        self.store = store
        self.is_crashing = is_crashing
        self.service = service
        self.event_count = events
        self.engines: dict[str, CrashingEndpoint] = {}
        self.crashed_at: list[float] = []
        self.started = 0
        self.restarts: set[asyncio.Task] = set()

    async def add(self) -> None:
        """Start an endpoint under a new name and write its entry."""
        name = f"e{self.started}"
        self.started += 1
        engine = CrashingEndpoint(
            name=name,
            service=self.service,
            events=self.event_count,
            is_crashing=self.is_crashing,
            on_crash=self.replace,
        )
        await engine.start()
        self.engines[name] = engine
        self.store.write("servers", name, engine.entry())

    def replace(self, engine: CrashingEndpoint) -> None:
        """Record a crash, and start another engine after a while."""
        self.crashed_at.append(time.monotonic())
        task = asyncio.get_running_loop().create_task(self.restart(engine))
        self.restarts.add(task)
        task.add_done_callback(raise_error)

    async def restart(self, engine: CrashingEndpoint) -> None:
        """Start a crashed engine again under its name, or another in its place.

        While the store is down, its entry stays.
        """
        await asyncio.sleep(RESTART_S)
        if self.store.failing_status:
            await engine.start()
            return
        self.store.remove("servers", engine.name)
        await self.add()

    def reached_at(self) -> list[float]:
        """Return when requests that crash endpoints reached some, in order."""
        return sorted(
            request.arrived_at
            for engine in self.engines.values()
            for request in engine.ran
            if self.is_crashing(request)
        )

    async def stop(self) -> None:
        """Stop all engines."""
        for task in self.restarts:
            task.cancel()
        for engine in self.engines.values():
            await engine.stop()
