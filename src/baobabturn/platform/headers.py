"""Translates the headers of requests and answers."""

from __future__ import annotations

from baobabturn.gateway.httpheaders import first, passed_on
from baobabturn.gateway.platforminterface import Continuation, ResponseMetadata
from baobabturn.gateway.request import CallerRequest, GenerationSize, Headers

IDENT = b"x-attempt-id"
PATIENCE = b"x-deadline-ms"
MODEL = b"x-model"
# Two numbers: the prompt's tokens and the most tokens of the output.
SIZES = b"x-token-count"
PARTS = b"x-prompt-prefix"
LENGTH_HINT = b"x-length-hint"
AUTHORIZATION = b"authorization"
WORKSPACE = b"x-tenant"
# The endpoint that must take the request, or refuse it.
ENDPOINT = b"x-expect-instance"
# 0 goes first, 9 last.
URGENCY = b"x-request-priority"
AFTER = b"last-event-id"
MEMORY = b"kv-from"
SIGNATURE = b"x-response-stamp"
REFUSED = b"x-not-executed"
ENCODING = b"content-encoding"

WRONG_ENDPOINT = 421
MS = 1000
LEAST_MS = 1

# Only the gateway may set these, so a caller's are dropped.
OWN = frozenset(
    (
        AUTHORIZATION,
        WORKSPACE,
        ENDPOINT,
        URGENCY,
        MEMORY,
        PATIENCE,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-fetch",
    )
)


def whole(text: bytes) -> int | None:
    """Return a whole number of 0 or more, None where the text isn't one."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


class SiteDialect:
    """The headers of the platform's callers and endpoints."""

    def request_id(self, headers: Headers) -> str:
        """Return the caller's id of a request, empty where it has none."""
        return first(headers, IDENT).decode("latin-1")

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return the seconds that the caller will wait, None where it says none."""
        number = whole(first(headers, PATIENCE))
        return None if number is None else number / MS

    def generation_size(self, headers: Headers) -> GenerationSize | None:
        """Return the sizes of a generation request, None where it has none."""
        tokens, _, most = first(headers, SIZES).partition(b",")
        prompt_tokens, max_tokens = whole(tokens), whole(most)
        if prompt_tokens is None or max_tokens is None:
            return None
        return GenerationSize(
            model=first(headers, MODEL).decode("latin-1"),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prompt_parts=read_parts(first(headers, PARTS)),
            expected_tokens=whole(first(headers, LENGTH_HINT)) or 0,
        )

    def outgoing_headers(
        self,
        request: CallerRequest,
        *,
        endpoint: str,
        remaining_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> Headers:
        """Return the headers with which a request goes to an endpoint."""
        dropped = OWN if continuation is None else OWN | {AFTER}
        headers = [(k, v) for k, v in passed_on(request.headers) if k not in dropped]
        left_ms = max(LEAST_MS, int(remaining_s * MS))
        headers.append((PATIENCE, str(left_ms).encode()))
        headers.append((ENDPOINT, endpoint.encode()))
        if request.workspace:
            headers.append((WORKSPACE, request.workspace.encode()))
        if engine_priority is not None:
            headers.append((URGENCY, str(engine_priority).encode()))
        if continuation is not None and continuation.last_event_id:
            headers.append((AFTER, continuation.last_event_id.encode()))
        if continuation is not None and continuation.cache_handle:
            headers.append((MEMORY, continuation.cache_handle.encode()))
        return headers

    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an endpoint's answer says of itself."""
        names = {key for key, _ in headers}
        return ResponseMetadata(
            request_id=self.request_id(headers),
            signed=SIGNATURE in names,
            refused=REFUSED in names or status == WRONG_ENDPOINT,
            encoded=ENCODING in names,
        )


def read_parts(text: bytes) -> tuple[tuple[str, int], ...]:
    """Return a prompt's parts, none where one of them can't be read."""
    parts = []
    for entry in text.decode("latin-1").split(","):
        ident, _, tokens = entry.strip().partition(":")
        number = whole(tokens.encode("latin-1"))
        if not ident or number is None:
            return ()
        parts.append((ident, number))
    return tuple(parts)
