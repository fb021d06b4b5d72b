"""Translates the headers of requests and answers."""

from __future__ import annotations

from baobabturn.gateway.call import Call, Headers, Prompt
from baobabturn.gateway.dialect import AnswerFacts, Continuation
from baobabturn.gateway.httpheaders import end_to_end_headers, first_value

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


class PlatformDialect:
    """The headers of the platform's callers and endpoints."""

    def ident(self, headers: Headers) -> str:
        """Return the caller's id of a request, empty where it has none."""
        return first_value(headers, IDENT).decode("latin-1")

    def patience_s(self, headers: Headers) -> float | None:
        """Return the seconds that the caller will wait, None where it says none."""
        number = whole(first_value(headers, PATIENCE))
        return None if number is None else number / MS

    def prompt(self, headers: Headers) -> Prompt | None:
        """Return the sizes of a generation request, None where it has none."""
        tokens, _, most = first_value(headers, SIZES).partition(b",")
        prompt_tokens, max_tokens = whole(tokens), whole(most)
        if prompt_tokens is None or max_tokens is None:
            return None
        return Prompt(
            model=first_value(headers, MODEL).decode("latin-1"),
            tokens=prompt_tokens,
            max_tokens=max_tokens,
            parts=read_parts(first_value(headers, PARTS)),
            expected_tokens=whole(first_value(headers, LENGTH_HINT)) or 0,
        )

    def outgoing(
        self,
        call: Call,
        *,
        endpoint: str,
        left_s: float,
        urgency: int | None = None,
        onward: Continuation | None = None,
    ) -> Headers:
        """Return the headers with which a request goes to an endpoint."""
        dropped = OWN if onward is None else OWN | {AFTER}
        headers = [
            (k, v) for k, v in end_to_end_headers(call.headers) if k not in dropped
        ]
        left_ms = max(LEAST_MS, int(left_s * MS))
        headers.append((PATIENCE, str(left_ms).encode()))
        headers.append((ENDPOINT, endpoint.encode()))
        if call.workspace:
            headers.append((WORKSPACE, call.workspace.encode()))
        if urgency is not None:
            headers.append((URGENCY, str(urgency).encode()))
        if onward is not None and onward.after:
            headers.append((AFTER, onward.after.encode()))
        if onward is not None and onward.memory:
            headers.append((MEMORY, onward.memory.encode()))
        return headers

    def facts(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what an endpoint's answer says of itself."""
        names = {key for key, _ in headers}
        return AnswerFacts(
            ident=self.ident(headers),
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
