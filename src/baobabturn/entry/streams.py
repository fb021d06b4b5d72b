"""Answers generation requests over HTTP: streamed, whole, and resumed."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunks
from baobabturn.entry.answers import (
    SSE_HEADERS,
    send_failure,
    send_json,
    sse_error,
    sse_event,
)
from baobabturn.entry.generations import GenerationRun
from baobabturn.entry.node import Node
from baobabturn.entry.requests import GenerationRequest
from baobabturn.entry.resume import Place, sign, verify

DONE = b"data: [DONE]\n\n"


async def gone(receive: Any) -> None:
    """Return when the caller has gone away."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def until_gone(work: Any, receive: Any) -> bool:
    """Run work until it ends or the caller goes; return whether it ended."""
    task = asyncio.create_task(work)
    watch = asyncio.create_task(gone(receive))
    try:
        await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()
            return True
        return False
    finally:
        for each in (task, watch):
            each.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def stream_answer(
    node: Node, wanted: GenerationRequest, receive: Any, send: Any
) -> None:
    """Stream a generation to its caller."""
    run = GenerationRun(node=node, wanted=wanted)
    items = run.chunks()
    work = relay(node, wanted.request, run, items, send)
    ended = await until_gone(work, receive)
    await items.aclose()
    if not ended:
        node.events.emit(
            Event.REQUEST_FAILED,
            request=wanted.request,
            code=int(Code.CANCELLED),
            tokens=run.produced,
        )


async def relay(
    node: Node,
    request: str,
    run: GenerationRun,
    items: Chunks,
    send: Any,
) -> None:
    """Send each item as an event; a failure before the first is an answer."""
    begun = False
    token = b""
    async for item in items:
        if isinstance(item, Failure):
            node.failed(item)
            node.events.emit(
                Event.REQUEST_FAILED,
                request=request,
                code=int(item.code),
                run=item.run.value,
                tokens=item.tokens,
            )
            if not begun:
                await send_failure(send, item, request)
                return
            await finish(send, sse_error(item, request))
            return
        if not begun and run.place is not None:
            begun = True
            token = sign(run.place, node.settings.entry.resume_keys).encode()
            await send(start_message(request))
        event_id = token + b"." + str(item.index).encode()
        await send(
            {
                "type": "http.response.body",
                "body": sse_event(event_id, item.raw),
                "more_body": True,
            }
        )
    node.events.emit(Event.REQUEST_FINISHED, request=request, tokens=run.produced)
    await finish(send, DONE)


def start_message(request: str) -> dict[str, Any]:
    """Return the ASGI message that starts a stream."""
    headers = [*SSE_HEADERS, (b"x-request-id", request.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


async def finish(send: Any, data: bytes) -> None:
    """Send the last bytes of a stream."""
    await send({"type": "http.response.body", "body": data, "more_body": False})


async def whole_answer(
    node: Node, wanted: GenerationRequest, receive: Any, send: Any
) -> None:
    """Answer with a generation's whole text once it has finished."""
    run = GenerationRun(node=node, wanted=wanted)
    items = run.chunks()
    ended = await until_gone(collect(node, wanted, run, items, send), receive)
    await items.aclose()
    if not ended and run.place is not None:
        node.cancel_later(run.place, 0.0)


async def collect(
    node: Node,
    wanted: GenerationRequest,
    run: GenerationRun,
    items: Chunks,
    send: Any,
) -> None:
    """Gather a generation's chunks and send them as one answer."""
    text: list[str] = []
    last: dict[str, Any] = {}
    finish_reason = None
    async for item in items:
        if isinstance(item, Failure):
            node.failed(item)
            node.events.emit(
                Event.REQUEST_FAILED,
                request=wanted.request,
                code=int(item.code),
                run=item.run.value,
                tokens=item.tokens,
            )
            await send_failure(send, item, wanted.request)
            return
        last = item.values
        choice = item.values["choices"][0]
        text.append(chunk_text(choice, wanted.chat))
        finish_reason = item.finish
    node.events.emit(
        Event.REQUEST_FINISHED, request=wanted.request, tokens=run.produced
    )
    body = whole_body(wanted, "".join(text), finish_reason, last)
    await send_json(send, body, headers=[(b"x-request-id", wanted.request.encode())])


def chunk_text(choice: dict[str, Any], chat: bool) -> str:
    """Return the text that a chunk's choice adds."""
    if chat:
        return choice.get("delta", {}).get("content") or ""
    return choice.get("text") or ""


def whole_body(
    wanted: GenerationRequest, text: str, finish_reason: str | None, last: dict
) -> dict[str, Any]:
    """Return the body of an answer that wasn't streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    choice["logprobs"] = None
    if wanted.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": last.get("id", wanted.request),
        "object": "chat.completion" if wanted.chat else "text_completion",
        "created": int(time.time()),
        "model": wanted.body["model"],
        "choices": [choice],
        "usage": last.get("usage"),
    }


async def resume_answer(
    node: Node, workspace: str, event_id: str, receive: Any, send: Any
) -> None:
    """Stream a generation on from the place in a resume token."""
    found = verify(event_id, node.settings.entry.resume_keys)
    if isinstance(found, Failure) or found[0].workspace != workspace:
        failure = Failure(Code.BAD_RESUME_TOKEN, "not a token of this workspace")
        await send_failure(send, failure)
        return
    place, index = found
    endpoint = node.state.endpoints.get(place.endpoint)
    if endpoint is None:
        await send_failure(send, Failure(Code.GENERATION_GONE, "endpoint is gone"))
        return
    stream = await node.engine.resume(endpoint.url, place.generation, index)
    if isinstance(stream, Failure):
        await send_failure(send, stream, place.request)
        return
    node.events.emit(
        Event.STREAM_RESUMED, request=place.request, after=index, endpoint=endpoint.name
    )
    await until_gone(relay_resumed(node, place, stream, send), receive)


async def relay_resumed(node: Node, place: Place, stream: Chunks, send: Any) -> None:
    """Send the rest of a resumed generation."""
    token = sign(place, node.settings.entry.resume_keys).encode()
    await send(start_message(place.request))
    async for item in stream:
        if isinstance(item, Failure):
            await finish(send, sse_error(item, place.request))
            return
        event_id = token + b"." + str(item.index).encode()
        await send(
            {
                "type": "http.response.body",
                "body": sse_event(event_id, item.raw),
                "more_body": True,
            }
        )
    await finish(send, DONE)


def models_body(names: list[str]) -> dict[str, Any]:
    """Return a list of models as the OpenAI API gives it."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "baobabturn"}
        for name in names
    ]
    return {"object": "list", "data": data}
