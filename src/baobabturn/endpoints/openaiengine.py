"""The adapter for engines with an OpenAI-compatible API.

Creation and streaming follow the OpenAI completions and chat API with the body
fields ``priority``, ``cache_salt`` and ``request_id``, extensions of engines such
as vLLM.  Resume and cancel follow the OpenAI responses API: a ``GET`` with
``starting_after`` and a ``POST`` to ``cancel``.
"""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import (
    CacheChange,
    EngineState,
    LoadReport,
    OpenGeneration,
    Order,
)
from baobabturn.endpoints.openaistream import OpenAIStream
from baobabturn.entry.outcome import failure_from_exception, failure_from_status

CONTROL_TIMEOUT_S = 2.0
MAX_REASON_CHARS = 300
WAITING_STATUS = "waiting"
CLIENT_EXCEPTIONS = (TimeoutError, aiohttp.ClientError, OSError)


class OpenAIEngine:
    """Implements the ``Engine`` protocol over HTTP."""

    def __init__(self, *, session: aiohttp.ClientSession):
        self.session = session

    async def start(
        self, url: str, chat: bool, body: dict[str, Any]
    ) -> OpenAIStream | Failure:
        """Start a generation; return its chunk stream, or why it did not start."""
        path = "/v1/chat/completions" if chat else "/v1/completions"
        response = await self.open("POST", url + path, json=body)
        if isinstance(response, Failure):
            return response
        return OpenAIStream(response=response, first_index=0)

    async def resume(
        self, url: str, generation: str, after: int
    ) -> OpenAIStream | Failure:
        """Return the chunk stream after a token index, -1 for all tokens."""
        params = {"stream": "true", "starting_after": str(after)}
        response = await self.open(
            "GET", f"{url}/v1/completions/{generation}", params=params
        )
        if isinstance(response, Failure):
            return response
        return OpenAIStream(response=response, first_index=after + 1)

    async def open(
        self, method: str, url: str, **options: Any
    ) -> aiohttp.ClientResponse | Failure:
        """Return a streaming response, or why there is none.

        The failure's ``run`` says whether the engine may have run the request.
        """
        try:
            response = await self.session.request(method, url, **options)
        except CLIENT_EXCEPTIONS as error:
            return failure_from_exception(error)
        if response.status == 200:
            return response
        text = await reason_text(response)
        if response.status == 404 and method == "GET":
            return Failure(Code.GENERATION_GONE, text)
        return failure_from_status(response.status, text)

    async def call_json(
        self,
        method: str,
        url: str,
        timeout_s: float = CONTROL_TIMEOUT_S,
        **options: Any,
    ) -> tuple[int, Any] | Failure:
        """Return the status and decoded JSON body of a control call, or the failure."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return response.status, await response.json(content_type=None)
        except (*CLIENT_EXCEPTIONS, ValueError) as error:
            return failure_from_exception(error)

    async def cancel(self, url: str, generation: str) -> bool | Failure:
        """Cancel a generation; return whether the engine confirmed it.

        Not found counts as confirmed: the engine doesn't run the generation.
        """
        response = await self.call_json(
            "POST", f"{url}/v1/completions/{generation}/cancel"
        )
        if isinstance(response, Failure):
            return response
        return response[0] in (200, 404)

    async def open_generations(self, url: str) -> dict[str, OpenGeneration] | Failure:
        """Return the open generations by id."""
        response = await self.call_json("GET", f"{url}/v1/completions")
        if isinstance(response, Failure):
            return response
        return {
            entry["id"]: OpenGeneration(
                age_s=float(entry["age_s"]), waiting=entry["status"] == WAITING_STATUS
            )
            for entry in response[1]["data"]
        }

    async def load(self, url: str) -> LoadReport | Failure:
        """Return the engine's newest load report."""
        response = await self.call_json("GET", f"{url}/load")
        if isinstance(response, Failure):
            return response
        values = response[1]
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
        response = await self.call_json("GET", f"{url}/kv_events", params=params)
        if isinstance(response, Failure):
            return response
        events, last = response[1]["events"], response[1]["last"]
        stored = tuple(e["block"] for e in events if e["type"] == "stored")
        removed = tuple(e["block"] for e in events if e["type"] == "removed")
        gap = len(events) < last - after
        return CacheChange(last=last, gap=gap, stored=stored, removed=removed)

    async def state(self, url: str) -> EngineState | Failure:
        """Return the engine's current state."""
        response = await self.call_json("GET", f"{url}/orders")
        if isinstance(response, Failure):
            return response
        values = response[1]
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
        """Send an order; the failure is ``FENCED`` if its ``term`` is too old."""
        body = {
            "order": order.order,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
            "term": order.term,
        }
        response = await self.call_json(
            "POST", f"{url}/orders", timeout_s=timeout_s, json=body
        )
        if isinstance(response, Failure):
            return response
        if response[0] == 409:
            return Failure(Code.FENCED, str(response[1]))
        if response[0] != 200:
            return Failure(Code.ENDPOINT_REFUSED, f"status {response[0]}")
        return None


async def reason_text(response: aiohttp.ClientResponse) -> str:
    """Return the beginning of an error response's text, and release the response."""
    try:
        async with asyncio.timeout(CONTROL_TIMEOUT_S):
            text = (await response.text())[:MAX_REASON_CHARS]
    except (*CLIENT_EXCEPTIONS, ValueError):
        text = ""
    response.release()
    return text
