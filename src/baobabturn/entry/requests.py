"""Parses and checks a caller's generation request."""

from __future__ import annotations

import time
from typing import Any

import attrs

from baobabturn.config.declared import Model, Workspace
from baobabturn.config.state import ConfigState
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.prefixes import chat_text, estimate_tokens, prefix_hashes

DEADLINE_HEADER = b"x-baobabturn-deadline"
KIND_HEADER = b"x-baobabturn-kind"
RESTART_HEADER = b"x-baobabturn-restart"
MAX_PRIORITY = 100
MAX_STOP_COUNT = 4
MAX_DEADLINE_S = 86_400.0

Headers = dict[bytes, bytes]


@attrs.define(kw_only=True)
class GenerationRequest:
    """A checked generation request.

    ``deadline`` is in monotonic seconds, ``restart`` says that the caller accepts
    that the generation starts over.  ``kind`` groups requests whose answers have
    similar lengths, ``prefixes`` are the hashes of the prompt's leading blocks.
    """

    request_id: str
    workspace: Workspace
    model: Model
    chat: bool
    stream: bool
    include_usage: bool
    body: dict[str, Any]
    prompt_tokens: int
    max_tokens: int
    priority: int
    kind: str
    deadline: float
    restart: bool
    prefixes: list[int]

    @property
    def parts(self) -> list[str]:
        """Return the ids of the prompt's leading blocks, which others may share."""
        return [f"{block:x}" for block in self.prefixes]


def parse_deadline(headers: Headers, default_s: float) -> float | Failure:
    """Return a request's deadline in monotonic seconds."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return time.monotonic() + default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        limit = f"more than 0 and up to {MAX_DEADLINE_S:g} seconds"
        return Failure(Code.BAD_DEADLINE, f"the deadline must be {limit}")
    return time.monotonic() + seconds


def prompt_text(chat: bool, body: dict[str, Any]) -> str | Failure:
    """Return the prompt of a request body as text, or which field is wrong."""
    if not chat:
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            return Failure(Code.BAD_FIELD, "prompt must be a string")
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return Failure(
            Code.BAD_FIELD, "messages must be a list with at least one message"
        )
    if not all(isinstance(message, dict) for message in messages):
        return Failure(Code.BAD_FIELD, "each item of messages must be an object")
    if not all(is_content(message.get("content")) for message in messages):
        return Failure(
            Code.BAD_FIELD, "content in messages must be a string or a list of parts"
        )
    return chat_text(messages)


def is_content(content: Any) -> bool:
    """Return whether a message's content is absent, a string or a list of parts."""
    if content is None or isinstance(content, str):
        return True
    return isinstance(content, list) and all(
        isinstance(part, dict) and isinstance(part.get("text", ""), str)
        for part in content
    )


def integer_field(
    body: dict, name: str, minimum: int, maximum: int
) -> int | None | Failure:
    """Return an optional integer field of a body, None if absent."""
    value = body.get(name)
    if value is None:
        return None
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not minimum <= value <= maximum
    ):
        return Failure(
            Code.BAD_FIELD, f"{name} must be an integer from {minimum} to {maximum}"
        )
    return value


def check_options(body: dict[str, Any]) -> Failure | None:
    """Return what is wrong with a body's options that are not integers."""
    stream, options = body.get("stream"), body.get("stream_options")
    if not isinstance(stream, bool | None):
        return Failure(Code.BAD_FIELD, "stream must be true or false")
    if not isinstance(options, dict | None):
        return Failure(Code.BAD_FIELD, "stream_options must be an object")
    if options is not None and not stream:
        return Failure(Code.BAD_FIELD, "stream_options requires stream")
    if body.get("n") not in (None, 1):
        return Failure(Code.BAD_FIELD, "n must be 1")
    stop = body.get("stop")
    stop_strings = [stop] if isinstance(stop, str) else stop or []
    count_allowed = (
        isinstance(stop_strings, list) and len(stop_strings) <= MAX_STOP_COUNT
    )
    if not count_allowed or not all(
        isinstance(item, str) and item for item in stop_strings
    ):
        return Failure(
            Code.BAD_FIELD, f"stop must be up to {MAX_STOP_COUNT} non-empty strings"
        )
    return None


def parse_request(
    *,
    request_id: str,
    chat: bool,
    body: dict[str, Any],
    headers: Headers,
    workspace: Workspace,
    state: ConfigState,
    default_deadline_s: float,
) -> GenerationRequest | Failure:
    """Return the checked generation request, or what is wrong with it."""
    deadline = parse_deadline(headers, default_deadline_s)
    if isinstance(deadline, Failure):
        return deadline
    name = body.get("model")
    model = state.models.get(str(name).partition(":")[0])
    if not isinstance(name, str) or model is None or name not in workspace.models:
        return Failure(
            Code.UNKNOWN_MODEL, f"model {str(name)[:100]!r} is unknown or not allowed"
        )
    text = prompt_text(chat, body)
    if isinstance(text, Failure):
        return text
    failure = check_options(body)
    if failure is not None:
        return failure
    max_tokens = integer_field(body, "max_tokens", 1, model.context_tokens)
    if max_tokens is None:
        max_tokens = integer_field(
            body, "max_completion_tokens", 1, model.context_tokens
        )
    if isinstance(max_tokens, Failure):
        return max_tokens
    priority = integer_field(body, "priority", -MAX_PRIORITY, MAX_PRIORITY)
    if isinstance(priority, Failure):
        return priority
    prompt_tokens = estimate_tokens(text)
    if prompt_tokens + (max_tokens or 0) > model.context_tokens:
        return Failure(
            Code.CONTEXT_LIMIT, f"the model's context is {model.context_tokens} tokens"
        )
    kind = headers.get(KIND_HEADER, b"chat" if chat else b"text")
    return GenerationRequest(
        request_id=request_id,
        workspace=workspace,
        model=model,
        chat=chat,
        stream=bool(body.get("stream")),
        include_usage=bool((body.get("stream_options") or {}).get("include_usage")),
        body=body,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens or model.context_tokens - prompt_tokens,
        priority=workspace.priority + (priority or 0),
        kind=kind.decode("ascii", "replace")[:40],
        deadline=deadline,
        restart=headers.get(RESTART_HEADER) == b"allow",
        prefixes=prefix_hashes(workspace.name, text),
    )


def engine_body(
    request: GenerationRequest, generation: str, priority: int, with_salt: bool
) -> dict[str, Any]:
    """Return the body to send to an engine; it always asks for a stream."""
    body = dict(request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["request_id"] = generation
    body["priority"] = priority
    if with_salt:
        body["cache_salt"] = request.workspace.name
    return body
