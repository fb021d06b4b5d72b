"""Translates the platform's headers of requests and responses."""

from __future__ import annotations

import math

from baobabturn.gateway.httpheaders import end_to_end_headers, first_value
from baobabturn.gateway.platforminterface import Continuation, ResponseMetadata
from baobabturn.gateway.request import (
    CallerRequest,
    GenerationSize,
    Headers,
    Resumption,
)

# Names of headers.  The deadline is the time left, in milliseconds.
ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
MODEL = b"x-model"
# Two numbers separated by a comma: prompt tokens, maximum output tokens.
TOKEN_COUNTS = b"x-token-count"
# The prompt's parts, ``id:tokens`` each, separated by commas.
PROMPT_PARTS = b"x-prompt-prefix"
# The caller's estimate of the output tokens.
LENGTH_HINT = b"x-length-hint"
AUTHORIZATION = b"authorization"
WORKSPACE = b"x-tenant"
# An endpoint with another name must refuse the request (status 421).
EXPECTED_ENDPOINT = b"x-expect-instance"
# 0 is the most urgent, 9 the least.
REQUEST_PRIORITY = b"x-request-priority"
LAST_EVENT_ID = b"last-event-id"
# The id of the caller's attempt that brought the first event of the stream which it
# resumes.
RESUMED_ATTEMPT = b"resumes"
# The copy of a KV cache from which the endpoint continues a generation.
KV_COPY = b"kv-from"
# Set on responses: the first shows that the endpoint itself made the response, the
# second that it did not and will not run the request.
RESPONSE_SIGNATURE = b"x-response-stamp"
NOT_EXECUTED = b"x-not-executed"
CONTENT_ENCODING = b"content-encoding"
# The requests a second that the endpoint takes from all gateways together.
RATE_LIMIT = b"server-limit"
# On all responses of an endpoint that falls over if it has to refuse more requests
# than this within a second, of all gateways together.
BRITTLE = b"server-brittle"
# For how many milliseconds the endpoint is still cold.
COLD_MS, MAX_COLD_S = b"x-cold-ms", 600.0
# On all responses of an endpoint that is leaving.
LEAVING, IS_LEAVING = b"server-leaving", b"1"
# On a refusal (status 503): the endpoint wants no request of this gateway for so many
# seconds.
RETRY_AFTER = b"retry-after"
MAX_PAUSE_S = 300.0

WRONG_ENDPOINT_STATUS = 421
REFUSED_STATUS = 503
MS_PER_S = 1000
MIN_DEADLINE_MS = 1

# Only the gateway may send these to endpoints; a caller's values are dropped.
GATEWAY_ONLY_HEADERS = frozenset(
    (
        AUTHORIZATION,
        WORKSPACE,
        EXPECTED_ENDPOINT,
        REQUEST_PRIORITY,
        KV_COPY,
        DEADLINE_MS,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-fetch",
    )
)


def parse_whole_number(text: bytes) -> int | None:
    """Return a whole number of at most 15 digits, None if the text isn't one."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


class PlatformHeaderTranslator:
    """Decodes and encodes the headers of the platform's callers and endpoints."""

    def request_id(self, headers: Headers) -> str:
        """Return the id that the caller gave a request, empty if it gave none."""
        return first_value(headers, ATTEMPT_ID).decode("latin-1")

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return the seconds that the caller will wait, None if it doesn't say."""
        value = parse_whole_number(first_value(headers, DEADLINE_MS))
        return None if value is None else value / MS_PER_S

    def generation_size(self, headers: Headers) -> GenerationSize | None:
        """Return the sizes of a generation request, None if it doesn't state them."""
        tokens, _, max_output = first_value(headers, TOKEN_COUNTS).partition(b",")
        prompt_tokens, max_tokens = (
            parse_whole_number(tokens),
            parse_whole_number(max_output),
        )
        if prompt_tokens is None or max_tokens is None:
            return None
        estimated_tokens = parse_whole_number(first_value(headers, LENGTH_HINT)) or 0
        return GenerationSize(
            model=first_value(headers, MODEL).decode("latin-1"),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prompt_parts=parse_parts(first_value(headers, PROMPT_PARTS)),
            estimated_tokens=min(estimated_tokens, max_tokens),
        )

    def resumption(self, headers: Headers) -> Resumption | None:
        """Return where a caller resumes a stream, None if it begins a new one."""
        last_event_id = first_value(headers, LAST_EVENT_ID).decode("latin-1")
        if not last_event_id:
            return None
        attempt = first_value(headers, RESUMED_ATTEMPT).decode("latin-1")
        return Resumption(attempt=attempt, last_event_id=last_event_id)

    def outgoing_headers(
        self,
        request: CallerRequest,
        *,
        endpoint: str,
        remaining_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> Headers:
        """Return the headers to send with a request to an endpoint.

        A continuation replaces the caller's own ``Last-Event-ID``.
        """
        dropped = (
            GATEWAY_ONLY_HEADERS
            if continuation is None
            else GATEWAY_ONLY_HEADERS | {LAST_EVENT_ID}
        )
        headers = [
            (k, v) for k, v in end_to_end_headers(request.headers) if k not in dropped
        ]
        remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * MS_PER_S))
        headers.append((DEADLINE_MS, str(remaining_ms).encode()))
        headers.append((EXPECTED_ENDPOINT, endpoint.encode()))
        if request.workspace:
            headers.append((WORKSPACE, request.workspace.encode()))
        if engine_priority is not None:
            headers.append((REQUEST_PRIORITY, str(engine_priority).encode()))
        if continuation is not None and continuation.last_event_id:
            last_event_id = continuation.last_event_id.encode("latin-1")
            headers.append((LAST_EVENT_ID, last_event_id))
        if continuation is not None and continuation.cache_handle:
            headers.append((KV_COPY, continuation.cache_handle.encode()))
        return headers

    def relayed_headers(self, headers: Headers, *, remaining_s: float) -> Headers:
        """Return a caller's headers for another gateway, with the time that is left."""
        remaining_ms = max(MIN_DEADLINE_MS, int(remaining_s * MS_PER_S))
        kept = [pair for pair in end_to_end_headers(headers) if pair[0] != DEADLINE_MS]
        return [*kept, (DEADLINE_MS, str(remaining_ms).encode())]

    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an endpoint's status and headers say about its response."""
        names = {key for key, _ in headers}
        return ResponseMetadata(
            request_id=self.request_id(headers),
            signed=RESPONSE_SIGNATURE in names,
            refused=NOT_EXECUTED in names or status == WRONG_ENDPOINT_STATUS,
            encoded=CONTENT_ENCODING in names,
            rate_limit_per_s=parse_rate(first_value(headers, RATE_LIMIT)),
            leaving=is_leaving(headers),
            pause_s=parse_pause(status, headers),
            refusals_per_s=parse_rate(first_value(headers, BRITTLE)),
            cold_left_s=parse_cold_left(headers),
        )


def is_leaving(headers: Headers) -> bool:
    """Return whether an endpoint's response says that the endpoint is leaving."""
    return first_value(headers, LEAVING).strip() == IS_LEAVING


def parse_rate(text: bytes) -> float | None:
    """Return a rate as a finite number of at least 0, None if the text isn't one."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def parse_cold_left(headers: Headers) -> float | None:
    """Return for how many seconds an endpoint is still cold, None if it isn't known."""
    left_ms = parse_rate(first_value(headers, COLD_MS))
    if left_ms is None or left_ms > MAX_COLD_S * MS_PER_S:
        return None
    return left_ms / MS_PER_S


def parse_pause(status: int, headers: Headers) -> float:
    """Return for how long an endpoint that refuses wants no request, in seconds."""
    if status != REFUSED_STATUS:
        return 0.0
    return min(parse_rate(first_value(headers, RETRY_AFTER)) or 0.0, MAX_PAUSE_S)


def parse_parts(text: bytes) -> tuple[tuple[str, int], ...]:
    """Return a prompt's parts, or none if any of them is malformed."""
    parts = []
    for entry in text.decode("latin-1").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        value = parse_whole_number(tokens.encode("latin-1"))
        if not part_id or value is None:
            return ()
        parts.append((part_id, value))
    return tuple(parts)
