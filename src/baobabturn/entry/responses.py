"""Builds and sends HTTP responses over ASGI: errors, JSON, server-sent events."""

from __future__ import annotations

import json
import math
from typing import Any

from baobabturn.core.results import Code, Failure

# Error types of the OpenAI API by HTTP status; other statuses are server errors.
ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}
# The request body may be unread after these, so the connection has to close.
CODES_WITH_UNREAD_BODY = (
    Code.BODY_TOO_LARGE,
    Code.BODY_TOO_SLOW,
    Code.BODY_MEMORY,
    Code.NO_CREDENTIALS,
    Code.WRONG_CREDENTIALS,
)
SSE_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-store"),
]


def error_body(failure: Failure, request_id: str = "") -> dict[str, Any]:
    """Return the JSON body that every error response has."""
    error: dict[str, Any] = {
        "code": int(failure.code),
        "name": failure.code.name.lower().replace("_", "-"),
        "message": failure.reason or failure.code.name.lower(),
        "type": ERROR_TYPES.get(failure.status, "server_error"),
        "param": None,
        "run": failure.run.value,
        "tokens": failure.tokens,
    }
    if failure.retry_after_s:
        error["retry_after_s"] = round(failure.retry_after_s, 3)
    if request_id:
        error["request"] = request_id
    return {"error": error}


def error_headers(failure: Failure) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    headers = [
        (b"x-baobabturn-code", str(int(failure.code)).encode()),
        (b"x-baobabturn-run", failure.run.value.encode()),
        (b"x-should-retry", b"false"),
    ]
    if failure.retry_after_s:
        seconds = math.ceil(failure.retry_after_s)
        headers.append((b"retry-after", str(seconds).encode()))
    if failure.code in CODES_WITH_UNREAD_BODY:
        headers.append((b"connection", b"close"))
    if failure.code is Code.NO_CREDENTIALS:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


async def send_json(
    send: Any,
    body: Any,
    status: int = 200,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a JSON response."""
    data = json.dumps(body).encode()
    await send_bytes(send, data, status, b"application/json", headers)


async def send_bytes(
    send: Any,
    data: bytes,
    status: int,
    content_type: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a response whose whole body is known."""
    content_headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(data)).encode()),
    ]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": content_headers + (headers or []),
        }
    )
    await send({"type": "http.response.body", "body": data})


async def send_failure(send: Any, failure: Failure, request_id: str = "") -> None:
    """Send a failure as a JSON error response."""
    body = error_body(failure, request_id)
    await send_json(send, body, failure.status, error_headers(failure))


def sse_event(event_id: bytes, data: bytes) -> bytes:
    """Return an encoded server-sent event."""
    return b"id: " + event_id + b"\ndata: " + data + b"\n\n"


def sse_error(failure: Failure, request_id: str) -> bytes:
    """Return a failure as an encoded server-sent event of type ``error``."""
    data = json.dumps(error_body(failure, request_id)).encode()
    return b"event: error\ndata: " + data + b"\n\n"
