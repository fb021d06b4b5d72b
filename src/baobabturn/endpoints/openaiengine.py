"""The adapter for engines with an OpenAI-compatible API.

Creation and streaming follow the OpenAI completions and chat API with the
extensions ``priority``, ``cache_salt`` and ``request_id`` that engines such as
vLLM take in the body.  Resume and cancel follow the OpenAI responses API: a
``GET`` with ``starting_after`` and a ``POST`` to ``cancel``.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure, Run
from baobabturn.endpoints.engine import (
    CacheChange,
    Chunk,
    Chunks,
    EngineState,
    LoadReport,
    Order,
)

LINE_LIMIT_BYTES = 1024 * 1024
CONTROL_TIMEOUT_S = 2.0
DATA = b"data:"
DONE = b"[DONE]"


class OpenAIEngine:
    """Meets the ``Engine`` protocol over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession):
        self.session = session

    async def start(
        self, url: str, chat: bool, body: dict[str, Any]
    ) -> Chunks | Failure:
        """Start a generation; return its chunks, or why it did not start."""
        path = "/v1/chat/completions" if chat else "/v1/completions"
        return await self.open("POST", url + path, json=body)

    async def resume(self, url: str, generation: str, after: int) -> Chunks | Failure:
        """Return the chunks of a generation after a token index."""
        params = {"stream": "true", "starting_after": str(after)}
        return await self.open(
            "GET", f"{url}/v1/completions/{generation}", params=params
        )

    async def open(self, method: str, url: str, **options: Any) -> Chunks | Failure:
        """Return the chunks of a streaming answer, or why there is none.

        The failure's ``run`` says whether the engine may have begun.
        """
        try:
            answer = await self.session.request(method, url, **options)
        except aiohttp.ClientConnectorError as error:
            return Failure(Code.CONNECT_FAILED, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(Code.OUTCOME_UNKNOWN, type(error).__name__)
        if answer.status != 200:
            return await refusal(answer)
        return chunks(answer)

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float = CONTROL_TIMEOUT_S,
        **options: Any,
    ) -> tuple[int, Any] | Failure:
        """Return status and decoded body of a short call, or why there is none."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as answer:
                return answer.status, await answer.json(content_type=None)
        except aiohttp.ClientConnectorError as error:
            return Failure(Code.CONNECT_FAILED, str(error))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Failure(Code.OUTCOME_UNKNOWN, type(error).__name__)

    async def cancel(self, url: str, generation: str) -> bool | Failure:
        """Cancel a generation; return whether the engine confirmed it.

        An engine that doesn't know the generation has confirmed it too.
        """
        answer = await self.call("POST", f"{url}/v1/completions/{generation}/cancel")
        if isinstance(answer, Failure):
            return answer
        return answer[0] in (200, 404)

    async def open_generations(self, url: str) -> dict[str, float] | Failure:
        """Return the open generations with their age in seconds."""
        answer = await self.call("GET", f"{url}/v1/completions")
        if isinstance(answer, Failure):
            return answer
        return {line["id"]: float(line["age_s"]) for line in answer[1]["data"]}

    async def load(self, url: str) -> LoadReport | Failure:
        """Return the engine's newest load report."""
        answer = await self.call("GET", f"{url}/load")
        if isinstance(answer, Failure):
            return answer
        values = answer[1]
        return LoadReport(
            running=values.get("running", 0),
            waiting=values.get("waiting", 0),
            used_tokens=values.get("used_tokens", 0),
            total_tokens=values.get("total_tokens", 0),
            preemptions=values.get("preemptions", 0),
            leaving=bool(values.get("leaving", False)),
            age_s=float(values.get("age_s", 0.0)),
            models=values.get("models", {}),
        )

    async def cache_changes(self, url: str, after: int) -> CacheChange | Failure:
        """Return the cache events after a sequence number."""
        params = {"after": str(after)}
        answer = await self.call("GET", f"{url}/kv_events", params=params)
        if isinstance(answer, Failure):
            return answer
        events, last = answer[1]["events"], answer[1]["last"]
        stored = tuple(e["block"] for e in events if e["type"] == "stored")
        removed = tuple(e["block"] for e in events if e["type"] == "removed")
        gap = len(events) < last - after
        return CacheChange(last=last, gap=gap, stored=stored, removed=removed)

    async def state(self, url: str) -> EngineState | Failure:
        """Return what the engine holds now."""
        answer = await self.call("GET", f"{url}/orders")
        if isinstance(answer, Failure):
            return answer
        values = answer[1]
        return EngineState(
            models=values["models"],
            adapters=frozenset(values["adapters"]),
            role=values["role"],
            term=values["term"],
            loading=values["loading"],
            failed=values["failed"],
            open_count=values["open"],
        )

    async def order(
        self, url: str, order: Order, timeout_s: float = CONTROL_TIMEOUT_S
    ) -> None | Failure:
        """Give an order; ``FENCED`` where its fencing number is too old."""
        body = {
            "order": order.order,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
            "term": order.term,
        }
        answer = await self.call(
            "POST", f"{url}/orders", timeout_s=timeout_s, json=body
        )
        if isinstance(answer, Failure):
            return answer
        if answer[0] == 409:
            return Failure(Code.FENCED, str(answer[1]))
        if answer[0] != 200:
            return Failure(Code.ENDPOINT_REFUSED, f"status {answer[0]}")
        return None


async def refusal(answer: aiohttp.ClientResponse) -> Failure:
    """Return the failure that an answer other than 200 means.

    Only answers by which the engine says that it did not begin are refusals.
    """
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_S):
            text = (await answer.text())[:300]
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
        text = ""
    answer.release()
    reason = f"status {answer.status}: {text}"
    if answer.status == 404:
        return Failure(Code.GENERATION_GONE, reason, run=Run.NOT_RUN)
    if answer.status in (400, 401, 403, 409, 413, 422, 429, 503):
        return Failure(Code.ENDPOINT_REFUSED, reason)
    return Failure(Code.OUTCOME_UNKNOWN, reason)


async def chunks(
    answer: aiohttp.ClientResponse,
) -> Chunks:
    """Yield the chunks of a streaming answer; the last item may be a failure.

    A stream that ends without a finish marker ends with ``GENERATION_CUT``.
    """
    count = 0
    finished = False
    try:
        async for raw in answer.content:
            if not raw.startswith(DATA):
                continue
            data = raw[len(DATA) :].strip()
            if data == DONE:
                return
            chunk = read_chunk(data, count)
            if isinstance(chunk, Failure):
                yield chunk
                return
            count = max(count, chunk.index + 1)
            finished = finished or chunk.finish is not None
            yield chunk
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        if not finished:
            yield Failure(Code.GENERATION_CUT, type(error).__name__)
        return
    finally:
        answer.close()
    if not finished:
        yield Failure(Code.GENERATION_CUT, "the stream closed with no finish marker")


def read_chunk(data: bytes, count: int) -> Chunk | Failure:
    """Return the chunk in an event's data, or what is wrong with it."""
    try:
        values = json.loads(data)
        choice = values["choices"][0] if values.get("choices") else {}
        index = int(values.get("sequence_number", count))
        finish = choice.get("finish_reason")
    except (ValueError, TypeError, LookupError, AttributeError, RecursionError):
        return Failure(Code.GENERATION_CUT, "an event that is not a chunk")
    return Chunk(index=index, raw=data, values=values, finish=finish)
