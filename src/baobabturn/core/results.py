"""Numbered result codes and the failure value that carries one with its reason.

A function that can fail in an expected way returns a :class:`Failure` instead of
its value, and the caller checks for it with ``isinstance``.  Exceptions are for
defects and for errors raised by libraries.

Example::

    found = await store.get("config", "manifest")
    if isinstance(found, Failure):
        return found
"""

from __future__ import annotations

import enum

import attrs


class Run(str, enum.Enum):
    """Whether a request has run at an endpoint."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """All result codes; the reference page on errors lists each of them."""

    OK = 0

    MALFORMED = 1001
    BODY_TOO_LARGE = 1002
    BODY_TOO_DEEP = 1003
    BAD_FIELD = 1004
    UNKNOWN_MODEL = 1005
    UNKNOWN_SERVICE = 1006
    BAD_DEADLINE = 1007
    BAD_RESUME_TOKEN = 1008
    KEY_REQUIRED = 1009
    BODY_TOO_SLOW = 1010
    NOT_FOUND = 1011
    HEADERS_TOO_LARGE = 1012
    HEADERS_TOO_SLOW = 1013

    NO_CREDENTIALS = 1101
    WRONG_CREDENTIALS = 1102
    NOT_ALLOWED = 1103

    TOKEN_LIMIT = 1201
    REQUEST_LIMIT = 1202
    CONTEXT_LIMIT = 1203
    BODY_MEMORY = 1204
    QUEUE_LIMIT = 1205

    DEADLINE_NOT_RUN = 1301
    DEADLINE_PARTIAL = 1302
    DEADLINE_UNKNOWN = 1303

    NO_ENDPOINT = 1401
    CONNECT_FAILED = 1402
    OUTCOME_UNKNOWN = 1403
    GENERATION_CUT = 1404
    GENERATION_STALLED = 1405
    ENDPOINT_REFUSED = 1406
    GENERATION_GONE = 1407
    CANCELLED = 1408
    REQUEST_REJECTED = 1409

    CLAIM_IN_PROGRESS = 1501
    CLAIM_UNAVAILABLE = 1502
    CLAIM_MISMATCH = 1503
    CLAIM_UNRESOLVED = 1504
    RESULT_NOT_KEPT = 1505

    DRAINING = 1601
    NO_CONFIGURATION = 1602
    KEYS_UNCONFIRMED = 1605
    SATURATED = 1606
    NO_ROUTE = 1607
    ROUTE_TIMEOUT = 1608
    STOPPING = 1609
    REQUEST_QUARANTINED = 1610
    STREAM_ORIGIN_UNKNOWN = 1611
    NO_HOME_REGION = 1612
    RESPONSE_UNREAD = 1613
    STREAM_UNREAD = 1614
    SCHEDULER_UNREACHABLE = 1603
    POOL_MOVED = 1604

    CONFIG_INVALID = 1701
    CONFIG_CONFLICT = 1702
    CONFIG_TOO_LARGE = 1703

    VERSION_CONFLICT = 1801
    OBJECT_MISSING = 1802
    PLATFORM_UNREACHABLE = 1803
    WRITE_UNRESOLVED = 1804
    VERSION_TOO_OLD = 1805
    PLATFORM_BUDGET = 1806
    LEASE_LOST = 1807
    FENCED = 1808

    LINK_LOST = 1901
    LINK_REFUSED = 1902
    UNSUPPORTED = 1903
    LINK_TIMEOUT = 1904

    SETTINGS_INVALID = 2001
    ADDRESS_IN_USE = 2002
    INTERNAL = 2999


@attrs.frozen
class CodeRow:
    """What callers see of a code: HTTP status, default run state and meaning.

    ``retry`` says whether sending the request again may succeed.
    """

    status: int
    run: Run
    retry: bool
    meaning: str


_N, _R, _U = Run.NOT_RUN, Run.RAN, Run.UNKNOWN

CODE_TABLE: dict[Code, CodeRow] = {
    Code.OK: CodeRow(200, _R, False, "The request succeeded."),
    Code.MALFORMED: CodeRow(400, _N, False, "The body is not valid JSON."),
    Code.BODY_TOO_LARGE: CodeRow(
        413,
        _N,
        False,
        "The body exceeds entry.body_limit_bytes or the limit on values.",
    ),
    Code.BODY_TOO_DEEP: CodeRow(
        400, _N, False, "The body is nested deeper than entry.body_depth_limit."
    ),
    Code.BAD_FIELD: CodeRow(
        400, _N, False, "A field is missing, of a wrong type or out of range."
    ),
    Code.UNKNOWN_MODEL: CodeRow(
        404, _N, False, "No model with this name is declared for the workspace."
    ),
    Code.UNKNOWN_SERVICE: CodeRow(
        404, _N, False, "No service or operation with this name is declared."
    ),
    Code.BAD_DEADLINE: CodeRow(
        400, _N, False, "The deadline header is not a positive number of seconds."
    ),
    Code.BAD_RESUME_TOKEN: CodeRow(
        400, _N, False, "Last-Event-ID is not a token that this system signed."
    ),
    Code.KEY_REQUIRED: CodeRow(
        400, _N, False, "The operation may not be repeated and needs Idempotency-Key."
    ),
    Code.BODY_TOO_SLOW: CodeRow(
        408, _N, True, "The body did not arrive within entry.body_timeout_s."
    ),
    Code.HEADERS_TOO_LARGE: CodeRow(
        431, _N, False, "The headers exceed entry.header_limit_bytes or their count."
    ),
    Code.HEADERS_TOO_SLOW: CodeRow(
        408, _N, True, "The headers did not arrive within entry.header_timeout_s."
    ),
    Code.NOT_FOUND: CodeRow(404, _N, False, "The path does not exist."),
    Code.NO_CREDENTIALS: CodeRow(401, _N, False, "No workspace key was sent."),
    Code.WRONG_CREDENTIALS: CodeRow(401, _N, False, "The workspace key is not known."),
    Code.NOT_ALLOWED: CodeRow(403, _N, False, "The key does not permit this action."),
    Code.TOKEN_LIMIT: CodeRow(
        429, _N, True, "The workspace's declared tokens per minute are used up."
    ),
    Code.REQUEST_LIMIT: CodeRow(
        429, _N, True, "The workspace's declared concurrent requests are in use."
    ),
    Code.CONTEXT_LIMIT: CodeRow(
        400, _N, False, "Prompt and max_tokens exceed the model's declared context."
    ),
    Code.BODY_MEMORY: CodeRow(
        503, _N, True, "Request bodies in memory reach entry.body_memory_bytes."
    ),
    Code.QUEUE_LIMIT: CodeRow(
        503, _N, True, "The declared limit on waiting requests is reached."
    ),
    Code.DEADLINE_NOT_RUN: CodeRow(
        504, _N, True, "The deadline passed before the request was sent."
    ),
    Code.DEADLINE_PARTIAL: CodeRow(
        504, _R, False, "The deadline passed while the generation was running."
    ),
    Code.DEADLINE_UNKNOWN: CodeRow(
        504, _U, False, "The deadline passed with the request sent and no response."
    ),
    Code.NO_ENDPOINT: CodeRow(
        503, _N, True, "No live endpoint serves the model or service."
    ),
    Code.CONNECT_FAILED: CodeRow(
        502, _N, True, "No connection to an endpoint could be made."
    ),
    Code.OUTCOME_UNKNOWN: CodeRow(
        502, _U, False, "The request was sent and its response was lost."
    ),
    Code.GENERATION_CUT: CodeRow(
        502, _R, False, "The generation ended without its finish marker."
    ),
    Code.GENERATION_STALLED: CodeRow(
        502, _R, True, "The generation sent nothing for entry.stall_timeout_s."
    ),
    Code.ENDPOINT_REFUSED: CodeRow(
        502, _N, False, "The endpoint refused the request before running it."
    ),
    Code.GENERATION_GONE: CodeRow(
        410, _R, False, "The generation to resume is no longer at its endpoint."
    ),
    Code.CANCELLED: CodeRow(499, _U, False, "The caller disconnected."),
    Code.REQUEST_REJECTED: CodeRow(
        400, _N, False, "The endpoint rejected the request as invalid."
    ),
    Code.CLAIM_IN_PROGRESS: CodeRow(
        409, _U, True, "A request with this Idempotency-Key is in progress."
    ),
    Code.CLAIM_UNAVAILABLE: CodeRow(
        503, _N, True, "The platform could not store a claim; nothing was sent."
    ),
    Code.CLAIM_MISMATCH: CodeRow(
        422, _N, False, "The Idempotency-Key was used with another request."
    ),
    Code.CLAIM_UNRESOLVED: CodeRow(
        409, _U, False, "An earlier request with this key may have run; not repeated."
    ),
    Code.RESULT_NOT_KEPT: CodeRow(
        409, _R, False, "The request ran; its response was too large to be kept."
    ),
    Code.DRAINING: CodeRow(503, _N, True, "This host is draining; use the others."),
    Code.NO_CONFIGURATION: CodeRow(
        503, _N, True, "This host has no configuration that it may serve from."
    ),
    Code.KEYS_UNCONFIRMED: CodeRow(
        503, _N, True, "Key validity can't be confirmed at this host; use the others."
    ),
    Code.SATURATED: CodeRow(
        503, _N, True, "No endpoint will have capacity in time; nothing was sent."
    ),
    Code.NO_ROUTE: CodeRow(404, _N, False, "No route matches the host and path."),
    Code.ROUTE_TIMEOUT: CodeRow(
        504, _U, False, "The route's declared timeout passed without a response."
    ),
    Code.STOPPING: CodeRow(
        503, _N, True, "This host stops before a request of this kind could end."
    ),
    Code.REQUEST_QUARANTINED: CodeRow(
        503,
        _N,
        True,
        "The request, or a part of its prompt, crashed the endpoints that ran it.",
    ),
    Code.STREAM_ORIGIN_UNKNOWN: CodeRow(
        503,
        _N,
        True,
        "It can't be shown which software version began the stream to resume.",
    ),
    Code.NO_HOME_REGION: CodeRow(
        503,
        _N,
        True,
        "No known failure domain is in a home region of both route and workspace.",
    ),
    Code.RESPONSE_UNREAD: CodeRow(
        499,
        _R,
        False,
        "The caller took nothing of the response in time; its connection was reset.",
    ),
    Code.STREAM_UNREAD: CodeRow(
        499,
        _R,
        False,
        "The caller took nothing of a stream whose buffer was full; it was cancelled.",
    ),
    Code.SCHEDULER_UNREACHABLE: CodeRow(
        503, _N, True, "No scheduler responded and the entry chose no endpoint itself."
    ),
    Code.POOL_MOVED: CodeRow(
        503, _N, True, "The pool is owned by another scheduler; ask that one."
    ),
    Code.CONFIG_INVALID: CodeRow(
        422, _N, False, "The configuration breaks a rule; the reason names it."
    ),
    Code.CONFIG_CONFLICT: CodeRow(
        409, _N, False, "Another operator changed the configuration first."
    ),
    Code.CONFIG_TOO_LARGE: CodeRow(
        413, _N, False, "A part of the configuration exceeds the platform's value size."
    ),
    Code.VERSION_CONFLICT: CodeRow(
        409, _N, False, "The object's version is not the expected one."
    ),
    Code.OBJECT_MISSING: CodeRow(404, _N, False, "The platform has no such object."),
    Code.PLATFORM_UNREACHABLE: CodeRow(
        503, _N, True, "The platform could not be reached."
    ),
    Code.WRITE_UNRESOLVED: CodeRow(
        503, _U, False, "A write to the platform was sent and its response was lost."
    ),
    Code.VERSION_TOO_OLD: CodeRow(
        410, _N, True, "The platform no longer has the requested versions."
    ),
    Code.PLATFORM_BUDGET: CodeRow(
        503, _N, True, "The process's budget of calls to the platform is used up."
    ),
    Code.LEASE_LOST: CodeRow(409, _N, False, "The lease has another holder."),
    Code.FENCED: CodeRow(409, _N, False, "An order with a newer term came before."),
    Code.LINK_LOST: CodeRow(502, _U, True, "The connection to another process closed."),
    Code.LINK_REFUSED: CodeRow(
        401, _N, False, "The other process refused the authentication."
    ),
    Code.UNSUPPORTED: CodeRow(
        501, _N, False, "The other process does not know this message."
    ),
    Code.LINK_TIMEOUT: CodeRow(
        504, _U, True, "The other process did not respond in time."
    ),
    Code.SETTINGS_INVALID: CodeRow(
        400, _N, False, "A setting is unknown, of a wrong type or out of range."
    ),
    Code.ADDRESS_IN_USE: CodeRow(400, _N, False, "A listen address is in use."),
    Code.INTERNAL: CodeRow(500, _U, False, "A defect; the log has the details."),
}


@attrs.frozen
class Failure:
    """A failed result: its code, a reason as text, and whether the request has run.

    ``run`` is the code's default unless the code that failed knows more, and
    ``retry_after_s`` says when a retry may succeed (0 if that is not known).
    ``tokens`` counts the tokens sent to the caller before the failure.
    """

    code: Code
    reason: str = ""
    run: Run = attrs.field()
    retry_after_s: float = 0.0
    tokens: int = 0

    @run.default
    def default_run(self) -> Run:
        """Return the default run state of the code."""
        return CODE_TABLE[self.code].run

    @property
    def status(self) -> int:
        """Return the HTTP status of the code."""
        return CODE_TABLE[self.code].status

    def __str__(self) -> str:
        return f"{self.code.name.lower()} ({int(self.code)}): {self.reason}"


def error_table() -> str:
    """Return the table of codes as Markdown, for the reference page."""
    lines = [
        "| code | name | HTTP | run | retry | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for code, row in CODE_TABLE.items():
        retry = "yes" if row.retry else "no"
        name = code.name.lower().replace("_", "-")
        lines.append(
            f"| {int(code)} | {name} | {row.status} | {row.run.value} | {retry} "
            f"| {row.meaning} |"
        )
    return "\n".join(lines) + "\n"
