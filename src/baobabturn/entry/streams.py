"""Sends generations to callers over HTTP: streamed, whole or resumed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure
from baobabturn.core.serving import wait_for_disconnect
from baobabturn.entry.generations import (
    Delivery,
    Items,
    Restart,
    ResumedRun,
)
from baobabturn.entry.hedging import HedgedRun
from baobabturn.entry.node import Node
from baobabturn.entry.requests import GenerationRequest
from baobabturn.entry.responses import (
    SSE_HEADERS,
    send_failure,
    send_json,
    sse_error,
    sse_event,
)
from baobabturn.entry.resumetokens import sign, verify

DONE = b"data: [DONE]\n\n"
KEEPALIVE_COMMENT = b": waiting\n\n"
# A run may report the passed deadline itself within this time.
DEADLINE_GRACE_S = 1.0


async def run_until_disconnect(
    work: Any, receive: Any, limit_s: float | None = None
) -> bool:
    """Run work until it ends, the caller disconnects or ``limit_s`` has passed.

    Return whether it ended; otherwise it is cancelled.
    """
    task = asyncio.create_task(work)
    disconnect = asyncio.create_task(wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            {task, disconnect}, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        if task.done():
            task.result()
            return True
        return False
    finally:
        for pending in (task, disconnect):
            pending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def send_streamed(
    node: Node, generation_request: GenerationRequest, receive: Any, send: Any
) -> None:
    """Stream a generation to its caller."""
    run = HedgedRun(
        node=node, generation_request=generation_request, whole_response=False
    )
    await deliver(run, run.chunks(), receive, send, generation_request.include_usage)


async def deliver(
    run: Delivery | HedgedRun,
    items: Items,
    receive: Any,
    send: Any,
    include_usage: bool = False,
) -> None:
    """Relay items until they end, the caller disconnects or the deadline passes.

    The deadline is enforced here too: a caller who doesn't read blocks the relay
    itself.
    """
    limit_s = run.deadline - time.monotonic() + DEADLINE_GRACE_S
    ended = await run_until_disconnect(
        relay(run, items, send, include_usage), receive, limit_s
    )
    await items.aclose()
    if not ended:
        run.node.events.emit(
            Event.REQUEST_FAILED,
            request=run.request_id,
            code=int(Code.CANCELLED),
            tokens=run.produced,
        )


async def relay(
    run: Delivery | HedgedRun, items: Items, send: Any, include_usage: bool = False
) -> None:
    """Send each item as events; a failure before the first is an error response."""
    keys = run.node.settings.entry.resume_keys
    started = False
    id_prefix = b""
    async for item in items:
        if isinstance(item, Failure):
            report_failure(run, item)
            if started:
                await send_last_part(send, sse_error(item, run.request_id))
            else:
                await send_failure(send, item, run.request_id)
            return
        if item is None:
            if started:
                await send_part(send, KEEPALIVE_COMMENT)
            continue
        if isinstance(item, Restart):
            id_prefix = b""
            await send_part(send, restart_event(run, item))
            continue
        if not id_prefix and run.location is not None:
            id_prefix = sign(run.location, keys).encode() + b"."
        if not started:
            started = True
            await send(start_message(run.request_id))
        events = [
            sse_event(id_prefix + b"%d" % chunk.index, chunk.raw) for chunk in item
        ]
        if include_usage and item[-1].finish is not None:
            events.append(usage_event(item[-1].values))
        await send_part(send, b"".join(events))
    run.node.events.emit(
        Event.REQUEST_FINISHED, request=run.request_id, tokens=run.produced
    )
    await send_last_part(send, DONE)


def usage_event(last_values: dict[str, Any]) -> bytes:
    """Return the event with a generation's usage and without choices.

    It has no id, so that a caller's Last-Event-ID remains that of a token.
    """
    data = {**last_values, "choices": [], "usage": last_values.get("usage")}
    data.pop("sequence_number", None)
    return b"data: " + json.dumps(data).encode() + b"\n\n"


def report_failure(run: Delivery | HedgedRun, failure: Failure) -> None:
    """Count and log a failure that is sent to a caller."""
    run.node.count_failure(failure)
    run.node.events.emit(
        Event.REQUEST_FAILED,
        request=run.request_id,
        code=int(failure.code),
        run=failure.run.value,
        tokens=failure.tokens,
    )


def restart_event(run: Delivery | HedgedRun, item: Restart) -> bytes:
    """Log a restart; return the event that makes a caller discard earlier tokens."""
    run.node.events.emit(
        Event.STREAM_RESTARTED, request=run.request_id, tokens=item.tokens
    )
    data = json.dumps({"request": run.request_id, "tokens": item.tokens}).encode()
    return b"event: restart\ndata: " + data + b"\n\n"


def start_message(request_id: str) -> dict[str, Any]:
    """Return the ASGI message that starts a stream."""
    headers = [*SSE_HEADERS, (b"x-request-id", request_id.encode())]
    return {"type": "http.response.start", "status": 200, "headers": headers}


async def send_part(send: Any, data: bytes) -> None:
    """Send a part of a stream; wait while the caller doesn't read."""
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def send_last_part(send: Any, data: bytes) -> None:
    """Send the last part of a stream."""
    await send({"type": "http.response.body", "body": data, "more_body": False})


async def send_whole(
    node: Node, generation_request: GenerationRequest, receive: Any, send: Any
) -> None:
    """Send a generation's whole text once it has finished."""
    run = HedgedRun(
        node=node, generation_request=generation_request, whole_response=True
    )
    items = run.chunks()
    limit_s = run.deadline - time.monotonic() + DEADLINE_GRACE_S
    ended = await run_until_disconnect(
        collect_and_send(generation_request, run, items, send), receive, limit_s
    )
    await items.aclose()
    if not ended:
        report_failure(
            run,
            Failure(Code.CANCELLED, "the caller disconnected or the deadline passed"),
        )


async def collect_and_send(
    generation_request: GenerationRequest, run: HedgedRun, items: Items, send: Any
) -> None:
    """Collect a generation's chunks and send them as one response."""
    texts: list[str] = []
    last_values: dict[str, Any] = {}
    finish_reason = None
    async for item in items:
        if isinstance(item, Failure):
            report_failure(run, item)
            await send_failure(send, item, generation_request.request_id)
            return
        if isinstance(item, Restart):
            texts.clear()
            continue
        for chunk in item or ():
            last_values = chunk.values
            texts.append(
                chunk_text(chunk.values["choices"][0], generation_request.chat)
            )
            finish_reason = chunk.finish
    run.node.events.emit(
        Event.REQUEST_FINISHED,
        request=generation_request.request_id,
        tokens=run.produced,
    )
    body = whole_body(generation_request, "".join(texts), finish_reason, last_values)
    await send_json(
        send, body, headers=[(b"x-request-id", generation_request.request_id.encode())]
    )


def chunk_text(choice: dict[str, Any], chat: bool) -> str:
    """Return the text that a chunk's choice adds."""
    if chat:
        return choice.get("delta", {}).get("content") or ""
    return choice.get("text") or ""


def whole_body(
    generation_request: GenerationRequest,
    text: str,
    finish_reason: str | None,
    last_values: dict,
) -> dict[str, Any]:
    """Return the body of a response that isn't streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    choice["logprobs"] = None
    if generation_request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": last_values.get("id", generation_request.request_id),
        "object": "chat.completion" if generation_request.chat else "text_completion",
        "created": int(time.time()),
        "model": generation_request.body["model"],
        "choices": [choice],
        "usage": last_values.get("usage"),
    }


async def send_resumed(
    node: Node,
    workspace: str,
    event_id: str,
    deadline: float,
    receive: Any,
    send: Any,
) -> None:
    """Resume the stream that an event id names, after that event."""
    verified = verify(event_id, workspace, node.settings.entry.resume_keys)
    if isinstance(verified, Failure):
        node.count_failure(verified)
        await send_failure(send, verified)
        return
    location, index = verified
    run = ResumedRun(
        node=node, location=location, received_tokens=index + 1, deadline=deadline
    )
    node.events.emit(
        Event.STREAM_RESUMED,
        request=location.request_id,
        after=index,
        endpoint=location.endpoint,
    )
    await deliver(run, run.chunks(), receive, send)


def models_body(names: list[str]) -> dict[str, Any]:
    """Return a list of models in the format of the OpenAI API."""
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "baobabturn"}
        for name in names
    ]
    return {"object": "list", "data": data}
