"""A stand-in for an endpoint with limited room, which falls over when it is pressed."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from fakes.rawhttp import response_bytes
from fakes.site import PLATFORM_PATH, SiteEndpoint

FALL_WINDOW_S = 1.0
# How long an endpoint that has fallen over takes no connection.
DOWN_S = 2.0
REFUSED_STATUS = 503


class BrittleEndpoint(SiteEndpoint):
    """An endpoint that runs ``room`` requests at a time and lets ``queue`` more wait.

    It refuses the rest.  While ``refusals_per_s`` is above 0 its answers say that it is
    brittle: it falls over if it has to refuse more than that within a second.
    ``falls`` holds the monotonic times of that, ``refused`` those of the refusals since
    it has last started, and ``used_s`` for how long its places were taken together.  A
    request of a plain service takes ``work_s``.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.room = 4
        self.queue = 1
        self.work_s = 0.0
        self.refusals_per_s = 0.0
        self.busy = 0
        self.used_s = 0.0
        self.places = asyncio.Semaphore(self.room)
        self.refused: list[float] = []
        self.falls: list[float] = []
        self.fall: asyncio.Task | None = None

    def limit_room(self, room: int, queue: int) -> None:
        """Set how many requests run at a time, and how many wait."""
        self.room, self.queue = room, queue
        self.places = asyncio.Semaphore(room)

    def answer_headers(self, request) -> dict[str, str]:
        """Return the headers of every answer."""
        headers = super().answer_headers(request)
        if self.refusals_per_s:
            headers["Server-Brittle"] = f"{self.refusals_per_s:g}"
        return headers

    async def handle(self, request, reader, writer) -> bool:
        """Answer one request, or refuse it for want of room."""
        if request.target.startswith(PLATFORM_PATH):
            return await super().handle(request, reader, writer)
        if self.busy >= self.room + self.queue:
            await self.refuse(request, writer)
            return False
        self.busy += 1
        try:
            async with self.places:
                return await self.work(request, reader, writer)
        finally:
            self.busy -= 1

    async def work(self, request, reader, writer) -> bool:
        """Answer a request that has a place."""
        began_at = time.monotonic()
        try:
            await asyncio.sleep(self.work_s)
            return await super().handle(request, reader, writer)
        finally:
            self.used_s += time.monotonic() - began_at

    async def refuse(self, request, writer) -> None:
        """Refuse a request; fall over if that was one too many."""
        now = time.monotonic()
        self.refused.append(now)
        headers = {**self.answer_headers(request), "X-Not-Executed": "1"}
        writer.write(response_bytes(REFUSED_STATUS, b"", headers))
        await writer.drain()
        recent = [at for at in self.refused if at > now - FALL_WINDOW_S]
        is_up = self.fall is None or self.fall.done()
        if is_up and self.refusals_per_s and len(recent) > self.refusals_per_s:
            self.falls.append(now)
            self.fall = asyncio.create_task(self.fall_over())

    async def fall_over(self) -> None:
        """Drop all connections, and take none for a while."""
        await self.stop()
        await asyncio.sleep(DOWN_S)
        self.refused.clear()
        await self.start()
