"""Workers that follow the users' protocol, and may be told to fail as it allows."""

from __future__ import annotations

import asyncio
import itertools
import json
import struct
import time
from collections.abc import Callable
from typing import Any

from fakes.rawhttp import RawHttpServer, Request, chunk_bytes, response_bytes
from fakes.site import SiteStore
from review.cases2.record import Record

PLATFORM_PATH = "/baobabturn/"
PROMPT_TOKENS_PER_MS = 14
TOKENS_PER_EVENT = 4
# The store removes an entry after so many intervals of silence.
HEARTBEAT_S, LAPSE_HEARTBEATS = 1.2, 3
RESET = struct.pack("ii", 1, 0)
SOL_SOCKET, SO_LINGER = 1, 13
NOT_RUN = {"X-Not-Executed": "1"}
numbers = itertools.count(1)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
    writer.transport.abort()


class Worker(RawHttpServer):
    """A worker with slots and a queue, registered in the store under its id.

    ``headers`` are in all its answers.  ``refuses`` returns the headers of a refusal of
    a request besides those, None to serve it.  ``answers`` writes a response in place
    of the worker's own and returns whether it did.  ``before_answer`` is called as an
    engine begins to write an answer, and returns whether it may.  ``came`` holds when
    requests came, refused ones included.  While it doesn't reach the store its entry
    stays as it is.
    """

    def __init__(
        self,
        *,
        service: str,
        store: SiteStore,
        record: Record,
        slots: int,
        queue: int,
        work_s: float = 0.045,
        event_s: float = 0.03,
        is_engine: bool = False,
    ):
        super().__init__()
        self.name = f"i-{next(numbers):08x}"
        self.service = service
        self.store = store
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.event_s = event_s
        self.is_engine = is_engine
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.headers: dict[str, str] = {}
        self.refuses: Callable[[Request], dict[str, str] | None] = lambda request: None
        self.answers: Any = None
        self.before_answer: Callable[[Request], bool] = lambda request: True
        self.came: list[tuple[float, str]] = []
        self.is_up = False
        self.version = "v1"
        self.reaches_store = True

    async def go_up(self) -> None:
        """Start as a new incarnation and write the entry."""
        self.born = int(time.time() * 1000)
        self.running = self.waiting = 0
        await self.start()
        self.is_up = True
        self.register()

    def register(self) -> None:
        """Write the entry, if the store can be reached."""
        if self.reaches_store:
            self.store.write("servers", self.name, self.entry())

    def unregister(self) -> None:
        """Let the store remove the entry."""
        self.store.remove("servers", self.name)

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 1,
            "born": self.born,
        }

    async def crash(self, back_s: float) -> None:
        """Crash, and come back under another id after some seconds."""
        if not self.is_up:
            return
        await self.go_down()
        await asyncio.sleep(back_s)
        self.unregister()
        self.name = f"i-{next(numbers):08x}"
        await self.go_up()
        self.record.add(f"{self.name} is up at {self.address}")

    async def restart(self, *, down_s: float, version: str) -> None:
        """Crash, and start again with other software under the same id."""
        await self.go_down()
        await asyncio.sleep(down_s)
        self.version = version
        await self.go_up()
        self.record.add(f"{self.name} is up again with {version}, born {self.born}")

    async def go_down(self) -> None:
        """Close the listener and reset all connections."""
        self.is_up = False
        self.record.add(f"{self.name} crashes")
        for writer in list(self.writers):
            reset(writer)
        await self.stop()

    async def handle(self, request, reader, writer) -> bool:
        """Answer one request."""
        if request.target.startswith(PLATFORM_PATH):
            status, body = self.control(request)
            writer.write(response_bytes(status, json.dumps(body).encode()))
            await writer.drain()
            return True
        if request.headers.get("x-expect-instance") not in (None, self.name):
            writer.write(response_bytes(421, b"", {"X-Instance-Id": self.name}))
            await writer.drain()
            return True
        self.came.append((self.record.now(), request.attempt_id))
        self.record.add(f"{request.attempt_id} comes at {self.name}")
        refusal = self.refuses(request)
        if refusal is None and self.running + self.waiting >= self.slots + self.queue:
            refusal = {}
        if refusal is not None:
            self.record.add(f"{request.attempt_id} refused by {self.name} {refusal}")
            headers = {**self.identity(request), **NOT_RUN, **refusal}
            writer.write(response_bytes(503, b"", headers))
            await writer.drain()
            return False
        gone = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self.work(request, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
        finally:
            gone.cancel()
            work.cancel()
        return False

    def control(self, request: Request) -> tuple[int, Any]:
        """Answer a call that is no request of a client."""
        if request.method == "GET" and request.target.endswith("/report"):
            return 200, {
                "stage": "dual",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "callSeq": 1,
                "waiting": self.waiting,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 34161,
                "handles": 0,
                "state": "ready",
                "born": self.born,
            }
        return 404, {}

    def identity(self, request: Request) -> dict[str, str]:
        """Return the headers of all answers."""
        return {"X-Attempt-Id": request.attempt_id, **self.headers}

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Wait for a slot, run the request and answer it."""
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
        finally:
            self.waiting -= 1
        self.running += 1
        self.record.add(f"{request.attempt_id} runs at {self.name}")
        try:
            headers = {**self.identity(request), "X-Response-Stamp": f"s.{self.name}"}
            if self.answers is not None and await self.answers(request, writer):
                return
            if self.is_engine:
                await self.generate(request, writer, headers)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(response_bytes(200, b"x" * 800, headers))
                await writer.drain()
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify_all()

    async def generate(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        """Read the prompt and stream events."""
        prompt, _, output = request.headers["x-token-count"].partition(",")
        await asyncio.sleep(int(prompt) / PROMPT_TOKENS_PER_MS / 1000)
        if not self.before_answer(request):
            return
        headers = {
            **headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(response_bytes(200, b"", headers, length=False))
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, max(1, int(output) // TOKENS_PER_EVENT) + 1):
            event = b"id: %d\ndata: %s %s\n\n" % (
                number,
                self.version.encode(),
                self.name.encode(),
            )
            writer.write(chunk_bytes(event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
