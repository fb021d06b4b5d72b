"""Answers generation requests over HTTP: streamed, whole, and resumed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure
from baobabturn.core.serving import wait_for_disconnect
from baobabturn.entry.answers import (
    SSE_HEADERS,
    send_failure,
    send_json,
    sse_error,
    sse_event,
)
from baobabturn.entry.generations import (
    Delivery,
    Items,
    Restart,
    ResumedRun,
)
from baobabturn.entry.hedging import HedgedRun
from baobabturn.entry.node import Node
from baobabturn.entry.requests import GenerationRequest
from baobabturn.entry.resume import sign, verify

DONE = b"data: [DONE]\n\n"
COMMENT = b": waiting\n\n"
LAST_WORD_S = 1.0


async def until_gone(work: Any, receive: Any, limit_s: float | None = None) -> bool:
    """Run work until it ends, the caller goes or the limit; return if it ended."""
    task = asyncio.create_task(work)
    watch = asyncio.create_task(wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            {task, watch}, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
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
    run = HedgedRun(node=node, wanted=wanted, whole=False)
    await deliver(run, run.chunks(), receive, send, wanted.include_usage)


async def deliver(
    run: Delivery | HedgedRun,
    items: Items,
    receive: Any,
    send: Any,
    include_usage: bool = False,
) -> None:
    """Relay items until they end, the caller goes or the deadline has passed.

    A caller who doesn't read holds up the relay, so the limit is kept here.
    """
    limit_s = run.deadline - time.monotonic() + LAST_WORD_S
    ended = await until_gone(relay(run, items, send, include_usage), receive, limit_s)
    await items.aclose()
    if not ended:
        run.node.events.emit(
            Event.REQUEST_FAILED,
            request=run.request,
            code=int(Code.CANCELLED),
            tokens=run.produced,
        )


async def relay(
    run: Delivery | HedgedRun, items: Items, send: Any, include_usage: bool = False
) -> None:
    """Send each item as events; a failure before the first is an answer."""
    keys = run.node.settings.entry.resume_keys
    begun = False
    prefix = b""
    async for item in items:
        if isinstance(item, Failure):
            failed(run, item)
            if begun:
                await finish(send, sse_error(item, run.request))
            else:
                await send_failure(send, item, run.request)
            return
        if item is None:
            if begun:
                await send_part(send, COMMENT)
            continue
        if isinstance(item, Restart):
            prefix = b""
            await send_part(send, restart_event(run, item))
            continue
        if not prefix and run.place is not None:
            prefix = sign(run.place, keys).encode() + b"."
        if not begun:
            begun = True
            await send(start_message(run.request))
        events = [sse_event(prefix + b"%d" % each.index, each.raw) for each in item]
        if include_usage and item[-1].finish is not None:
            events.append(usage_event(item[-1].values))
        await send_part(send, b"".join(events))
    run.node.events.emit(
        Event.REQUEST_FINISHED, request=run.request, tokens=run.produced
    )
    await finish(send, DONE)


def usage_event(last: dict[str, Any]) -> bytes:
    """Return the event with a generation's usage, which has no choices.

    It has no id of its own, so that a caller's Last-Event-ID stays at a token.
    """
    data = {**last, "choices": [], "usage": last.get("usage")}
    data.pop("sequence_number", None)
    return b"data: " + json.dumps(data).encode() + b"\n\n"


def failed(run: Delivery | HedgedRun, failure: Failure) -> None:
    """Count and log a failure that a caller is told."""
    run.node.failed(failure)
    run.node.events.emit(
        Event.REQUEST_FAILED,
        request=run.request,
        code=int(failure.code),
        run=failure.run.value,
        tokens=failure.tokens,
    )


def restart_event(run: Delivery | HedgedRun, item: Restart) -> bytes:
    """Return the event that tells a caller to forget the tokens so far."""
    run.node.events.emit(
        Event.STREAM_RESTARTED, request=run.request, tokens=item.tokens
    )
    data = json.dumps({"request": run.request, "tokens": item.tokens}).encode()
    return b"event: restart\ndata: " + data + b"\n\n"


def start_message(request: str) -> dict[str, Any]:
    """Return the ASGI message that starts a stream."""
    headers = [*SSE_HEADERS, (b"x-request-id", request.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


async def send_part(send: Any, data: bytes) -> None:
    """Send some bytes of a stream; waits while the caller doesn't read."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def finish(send: Any, data: bytes) -> None:
    """Send the last bytes of a stream."""
    await send({"type": "http.response.body", "body": data, "more_body": False})


async def whole_answer(
    node: Node, wanted: GenerationRequest, receive: Any, send: Any
) -> None:
    """Answer with a generation's whole text once it has finished."""
    run = HedgedRun(node=node, wanted=wanted, whole=True)
    items = run.chunks()
    limit_s = run.deadline - time.monotonic() + LAST_WORD_S
    ended = await until_gone(collect(wanted, run, items, send), receive, limit_s)
    await items.aclose()
    if not ended:
        failed(run, Failure(Code.CANCELLED, "the caller went away"))


async def collect(
    wanted: GenerationRequest, run: HedgedRun, items: Items, send: Any
) -> None:
    """Gather a generation's chunks and send them as one answer."""
    text: list[str] = []
    last: dict[str, Any] = {}
    finish_reason = None
    async for item in items:
        if isinstance(item, Failure):
            failed(run, item)
            await send_failure(send, item, wanted.request)
            return
        if isinstance(item, Restart):
            text.clear()
            continue
        for chunk in item or ():
            last = chunk.values
            text.append(chunk_text(chunk.values["choices"][0], wanted.chat))
            finish_reason = chunk.finish
    run.node.events.emit(
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
    node: Node,
    workspace: str,
    event_id: str,
    deadline: float,
    receive: Any,
    send: Any,
) -> None:
    """Stream a generation on from the place in a resume token."""
    found = verify(event_id, workspace, node.settings.entry.resume_keys)
    if isinstance(found, Failure):
        node.failed(found)
        await send_failure(send, found)
        return
    place, index = found
    run = ResumedRun(node=node, place=place, seen=index + 1, deadline=deadline)
    node.events.emit(
        Event.STREAM_RESUMED,
        request=place.request,
        after=index,
        endpoint=place.endpoint,
    )
    await deliver(run, run.chunks(), receive, send)


def models_body(names: list[str]) -> dict[str, Any]:
    """Return a list of models as the OpenAI API gives it."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "baobabturn"}
        for name in names
    ]
    return {"object": "list", "data": data}
