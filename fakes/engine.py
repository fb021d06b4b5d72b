"""A stand-in for a model engine with an OpenAI-compatible API.

Besides the usual paths it has resume (``GET /v1/completions/{id}`` with
``starting_after``), cancel, a list of open generations, a load report that lags, and
cache events that are delayed and partly lost.  ``POST /control`` sets faults, and
``GET /counts`` returns the engine's own counts.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import time

import attrs
from aiohttp import web

from fakes.batching import (
    BYTES_PER_TOKEN,
    Batcher,
    EngineModel,
    Generation,
    block_hashes,
    parse_mark,
)
from fakes.orders import OrderBook
from fakes.server import Server

KEEP_ENDED_S = 30.0
NO_LIMIT = 1_000_000
RUN_NUMBERS = 1_000_000_000
# From a response's head to the end of a process that its prompt crashes.
CRASH_DELAY_S = 0.05


@attrs.define
class Faults:
    """Faults of an engine, set by name over ``POST /control``.

    -1 stands for no index or, for ``report_lag_s`` and ``cache_event_loss``, for the
    engine profile's value.  The process ends as it begins to answer a prompt that
    contains ``crash_on``.
    """

    slow_factor: float = 1.0
    frozen: bool = False
    refuse: bool = False
    reject: bool = False
    stall_after: int = -1
    cut_after: int = -1
    duplicate_chunks: bool = False
    die_after: int = -1
    leaving: bool = False
    hang_before_headers: bool = False
    late_chunks: bool = False
    faulty_links: int = -1
    no_room: bool = False
    no_finish: bool = False
    padding_bytes: int = 0
    report_lag_s: float = -1.0
    cache_event_loss: float = -1.0
    crash_on: str = ""


class FakeEngine:
    """One engine: a batcher with an HTTP API."""

    def __init__(
        self,
        *,
        name: str,
        models: list[str],
        model: EngineModel | None = None,
        checks_fencing: bool = False,
        seed: int = 1,
    ):
        self.name = name
        self.book = OrderBook(
            models=dict.fromkeys(models, "1"), checks_fencing=checks_fencing
        )
        self.model = model or EngineModel()
        self.batcher = Batcher(model=self.model)
        self.random = random.Random(f"{seed}/{name}")
        self.faults = Faults()
        self.generations: dict[str, Generation] = {}
        first_run = random.Random(f"runs/{seed}/{name}").randrange(RUN_NUMBERS)
        self.runs = itertools.count(first_run)
        self.started: dict[str, int] = {}
        self.finished: dict[str, int] = {}
        self.cancelled = 0
        self.attempts = 0
        self.resumes = 0
        self.reports: list[tuple[float, dict]] = []
        self.tasks: list[asyncio.Task] = []
        self.server = Server(
            routes=[
                web.get("/v1/models", self.list_models),
                web.post("/v1/completions", self.create),
                web.post("/v1/chat/completions", self.create),
                web.get("/v1/completions", self.list_open),
                web.get("/v1/completions/{name}", self.resume),
                web.post("/v1/completions/{name}/cancel", self.cancel),
                web.get("/load", self.load),
                web.get("/kv_events", self.cache_events),
                web.post("/orders", self.order),
                web.get("/orders", self.show_orders),
                web.post("/control", self.control),
                web.get("/counts", self.counts),
            ]
        )

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, start the batcher, and return the URL."""
        self.tasks = [
            asyncio.create_task(self.batcher.run()),
            asyncio.create_task(self.sample_load()),
        ]
        return await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop without ending open generations, as a killed engine would."""
        for task in self.tasks:
            task.cancel()
        await self.server.stop()

    async def sample_load(self) -> None:
        """Record the load ten times a second; reports use a past sample."""
        while True:
            batcher = self.batcher
            report = {
                "running": len(batcher.running),
                "waiting": len(batcher.waiting),
                "used_tokens": batcher.used(),
                "total_tokens": self.model.memory_tokens,
                "preemptions": batcher.preemptions,
                "leaving": self.faults.leaving or self.book.role != "serve",
            }
            self.reports.append((time.monotonic(), report))
            del self.reports[:-200]
            await asyncio.sleep(0.1)

    async def list_models(self, request: web.Request) -> web.Response:
        """List models and adapters as the OpenAI API does."""
        names = [*self.book.models, *sorted(self.book.adapters)]
        data = [{"id": name, "object": "model", "owned_by": "engine"} for name in names]
        return web.json_response({"object": "list", "data": data})

    def make(self, body: dict, chat: bool) -> Generation:
        """Return a new generation for a request's body."""
        prompt = chat_text(body["messages"]) if chat else str(body["prompt"])
        tag, length = parse_mark(prompt)
        limit = body.get("max_tokens") or body.get("max_completion_tokens")
        run = next(self.runs)
        made = Generation(
            name=str(body.get("request_id") or f"cmpl-{self.name}-{run}"),
            run=run,
            tag=tag,
            prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
            length=length,
            limit=int(limit or NO_LIMIT),
            priority=int(body.get("priority", 0)),
            blocks=block_hashes(str(body.get("cache_salt", "")), prompt),
            chat=chat,
            model=str(body.get("model", "")),
            include_usage=bool((body.get("stream_options") or {}).get("include_usage")),
        )
        made.length = stop_length(made, body.get("stop"))
        return made

    async def create(self, request: web.Request) -> web.StreamResponse:
        """Start a generation and answer with a stream or, at its end, one body."""
        self.attempts += 1
        if self.faults.refuse:
            return error(503, "engine refuses new work")
        if self.faults.reject:
            return error(400, "malformed")
        body = await request.json()
        if self.faults.hang_before_headers:
            await asyncio.sleep(3600)
        base = str(body.get("model", "")).partition(":")[0]
        if base not in self.book.models:
            return error(404, f"model {base} is not loaded")
        generation = self.make(body, request.path.endswith("chat/completions"))
        known = self.generations.get(generation.name)
        if known is not None:
            return error(409, f"request_id {generation.name} is known")
        self.generations[generation.name] = generation
        self.started[generation.tag] = self.started.get(generation.tag, 0) + 1
        self.batcher.submit(generation)
        if self.faults.crash_on and self.faults.crash_on in str(body.get("prompt")):
            await self.crash(request)
        if body.get("stream"):
            return await self.stream(request, generation, 0)
        return await self.whole(generation)

    async def crash(self, request: web.Request) -> None:
        """End the process after the head of a response."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await response.write(b": begins\n\n")
        await asyncio.sleep(CRASH_DELAY_S)
        os._exit(1)

    async def whole(self, generation: Generation) -> web.Response:
        """Answer with the complete text once the generation has ended."""
        while not generation.finish:
            await generation.changed.wait()
        text = "".join(generation.text(i) for i in range(generation.produced))
        choice: dict = {"index": 0, "finish_reason": generation.finish}
        if generation.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return web.json_response(
            {
                "id": generation.name,
                "object": object_name(generation, False),
                "created": int(time.time()),
                "model": generation.model,
                "choices": [choice],
                "usage": usage(generation),
            }
        )

    async def stream(
        self, request: web.Request, generation: Generation, index: int
    ) -> web.StreamResponse:
        """Stream tokens from an index on, one event each, then the finish event."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while True:
            changed = generation.changed
            while index < generation.produced:
                if await self.fault_at(request, index):
                    return response
                chunk = self.chunk(generation, index, None)
                await response.write(chunk)
                if self.faults.duplicate_chunks:
                    await response.write(chunk)
                if self.faults.late_chunks and index:
                    await response.write(self.chunk(generation, index - 1, None))
                index += 1
            if generation.finish:
                break
            await changed.wait()
        if generation.finish != "cancelled" and not self.faults.no_finish:
            self.finished[generation.tag] = self.finished.get(generation.tag, 0) + 1
            await response.write(self.chunk(generation, index, generation.finish))
            if generation.include_usage:
                await response.write(self.usage_chunk(generation))
            await response.write(b"data: [DONE]\n\n")
        return response

    def unread_bytes(self) -> int:
        """Return how many bytes this process buffers for slow readers of streams."""
        server = self.server.runner.server
        links = server.connections if server is not None else []
        transports = [link.transport for link in links if link.transport is not None]
        return sum(each.get_write_buffer_size() for each in transports)

    async def fault_at(self, request: web.Request, index: int) -> bool:
        """Apply the faults of a stream; return whether the stream is over.

        ``faulty_links`` is the number of streams left to stall or cut, -1 for all.
        """
        faults = self.faults
        if faults.faulty_links == 0:
            return False
        stalls = 0 <= faults.stall_after <= index
        cuts = 0 <= faults.cut_after <= index
        if faults.faulty_links > 0 and (stalls or cuts):
            faults.faulty_links -= 1
        if stalls:
            await asyncio.sleep(3600)
        if cuts:
            if request.transport is not None:
                request.transport.abort()
            return True
        return False

    def chunk(self, generation: Generation, index: int, finish: str | None) -> bytes:
        """Return one SSE event: a token or, with ``finish``, the finish event."""
        text = "" if finish else generation.text(index)
        choice: dict = {"index": 0, "finish_reason": finish}
        if generation.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        values = {
            "id": generation.name,
            "object": object_name(generation, True),
            "created": 0,
            "model": generation.model,
            "choices": [choice],
            "sequence_number": index,
        }
        if self.faults.padding_bytes:
            values["padding"] = "x" * self.faults.padding_bytes
        return b"data: " + json.dumps(values).encode() + b"\n\n"

    def usage_chunk(self, generation: Generation) -> bytes:
        """Return the SSE event with the usage, which follows the finish event."""
        values = {
            "id": generation.name,
            "object": object_name(generation, True),
            "created": 0,
            "model": generation.model,
            "choices": [],
            "usage": usage(generation),
        }
        return b"data: " + json.dumps(values).encode() + b"\n\n"

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream a known generation again, from the token after an index."""
        generation = self.generations.get(request.match_info["name"])
        if generation is None or generation.state == "cancelled":
            return error(404, "no such generation")
        self.resumes += 1
        after = int(request.query.get("starting_after", "-1"))
        return await self.stream(request, generation, after + 1)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a generation; an ended one stays as it is."""
        generation = self.generations.get(request.match_info["name"])
        if generation is None:
            return error(404, "no such generation")
        if not generation.finish:
            self.cancelled += 1
            self.batcher.finish(generation, "cancelled")
        return web.json_response({"id": generation.name, "status": generation.state})

    def open_generations(self) -> list[Generation]:
        """Return the open generations; delete those that ended long ago."""
        cut = time.monotonic() - KEEP_ENDED_S
        for name, generation in list(self.generations.items()):
            if generation.ended_at and generation.ended_at < cut:
                del self.generations[name]
        return [g for g in self.generations.values() if not g.finish]

    async def list_open(self, request: web.Request) -> web.Response:
        """List the open generations with their age."""
        now = time.monotonic()
        data = [
            {"id": g.name, "status": g.state, "age_s": round(now - g.arrived, 3)}
            for g in self.open_generations()
        ]
        return web.json_response({"object": "list", "data": data})

    async def load(self, request: web.Request) -> web.Response:
        """Return the newest load sample that is at least as old as the report lag."""
        lag = self.faults.report_lag_s
        lag = self.model.report_lag_s if lag < 0 else lag
        cut = time.monotonic() - lag
        old = [(at, report) for at, report in self.reports if at <= cut]
        at, report = old[-1] if old else self.reports[0]
        age = time.monotonic() - at
        return web.json_response(
            {**report, "age_s": round(age, 3), "models": dict(self.book.models)}
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return cache events after a sequence number, delayed and partly lost."""
        after = int(request.query.get("after", "0"))
        cut = time.monotonic() - self.model.cache_event_lag_s
        loss = self.faults.cache_event_loss
        loss = self.model.cache_event_loss if loss < 0 else loss
        events = []
        last = after
        for seq, (at, kind, key) in enumerate(self.batcher.cache_log, start=1):
            if seq <= after or at > cut:
                continue
            last = seq
            if self.random.random() >= loss:
                events.append({"seq": seq, "type": kind, "block": key})
        return web.json_response({"events": events, "last": last})

    async def order(self, request: web.Request) -> web.Response:
        """Execute an order; answer 409 if fencing is checked and the term is stale."""
        if not self.book.take(await request.json()):
            return error(409, f"the term is older than {self.book.term}")
        return await self.show_orders(request)

    async def show_orders(self, request: web.Request) -> web.Response:
        """Return the state that results from the orders."""
        return web.json_response(self.book.state(len(self.open_generations())))

    async def control(self, request: web.Request) -> web.Response:
        """Set faults by name; ``load_s`` and ``fail_versions`` concern orders."""
        for name, value in (await request.json()).items():
            place = self.book if name in ("load_s", "fail_versions") else self.faults
            setattr(place, name, value)
        self.batcher.slow_factor = self.faults.slow_factor
        self.batcher.frozen = self.faults.frozen
        self.batcher.no_room = self.faults.no_room
        self.batcher.wakeup.set()
        return web.json_response(attrs.asdict(self.faults))

    async def counts(self, request: web.Request) -> web.Response:
        """Return the counts of generations and of the batcher, and the orders."""
        return web.json_response(
            {
                "name": self.name,
                "started": self.started,
                "finished": self.finished,
                "cancelled": self.cancelled,
                "attempts": self.attempts,
                "resumes": self.resumes,
                "unread_bytes": self.unread_bytes(),
                "open": [g.name for g in self.open_generations()],
                "preemptions": self.batcher.preemptions,
                "stalled_s": round(self.batcher.stalled_s, 3),
                "running": len(self.batcher.running),
                "waiting": len(self.batcher.waiting),
                "used_tokens": self.batcher.used(),
                "cache_hits": self.batcher.cache_hits,
                "prefilled_tokens": self.batcher.prefilled_tokens,
                "orders": self.book.given,
            }
        )


def stop_length(generation: Generation, stop: str | list[str] | None) -> int:
    """Return the number of complete tokens before the first stop sequence."""
    stops = [stop] if isinstance(stop, str) else stop or []
    if not stops:
        return generation.length
    texts = [generation.text(index) for index in range(generation.goal)]
    whole = "".join(texts)
    found = [whole.find(each) for each in stops if each in whole]
    ends = itertools.accumulate(len(text) for text in texts)
    return sum(end <= min(found) for end in ends) if found else generation.length


def chat_text(messages: list[dict]) -> str:
    """Return the text of a chat's messages, without parts that are not text."""
    lines = []
    for message in messages:
        content = message.get("content") or ""
        if isinstance(content, list):
            content = "".join(part.get("text", "") for part in content)
        lines.append(f"{message.get('role')}: {content}")
    return "\n".join(lines)


def object_name(generation: Generation, chunk: bool) -> str:
    """Return the ``object`` field of a response or of a streamed chunk."""
    if not generation.chat:
        return "text_completion"
    return "chat.completion.chunk" if chunk else "chat.completion"


def usage(generation: Generation) -> dict:
    """Return the token usage of a generation."""
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced,
        "total_tokens": generation.memory,
    }


def error(status: int, reason: str) -> web.Response:
    """Return an error response of an OpenAI-compatible engine."""
    body = {"error": {"message": reason, "type": "engine_error", "code": status}}
    return web.json_response(body, status=status)
