"""Steps on answers that break off, and on what follows them."""

import re

from behave import given, then, when

from fakes.callers import request_headers, send_request
from fakes.rawhttp import response_bytes
from fakes.site import RESPONSE_STAMP
from features.steps.gateway import run

ERROR_TEXT = b"the engine has failed\n\n"
EVENTS = re.compile(rb"(?:id: \d+\ndata: e\d-\d+\n\n)*")
EVENT_STREAM = "text/event-stream"
DEADLINE_MS = "2000"


def stamped(request, **more):
    """Return the headers that an endpoint signs its answers with."""
    return {
        "X-Attempt-Id": request.attempt_id,
        "X-Response-Stamp": RESPONSE_STAMP,
        **more,
    }


def success(request, body, kind=EVENT_STREAM, *, length=True):
    """Return a signed success."""
    types = {"Content-Type": kind} if kind else {}
    return response_bytes(200, body, stamped(request, **types), length)


def two_heads(request):
    """Return a head whose body is another head."""
    return success(request, success(request, b""))


ANSWERS = {
    "a signed error": lambda request: response_bytes(500, ERROR_TEXT, stamped(request)),
    "a signed error without a length": lambda request: response_bytes(
        500, ERROR_TEXT, stamped(request), length=False
    ),
    "an unsigned error": lambda request: response_bytes(502, ERROR_TEXT),
    "a refusal": lambda request: response_bytes(
        503, ERROR_TEXT, {"X-Not-Executed": "1"}
    ),
    "an error that looks like events": lambda request: response_bytes(
        500, b"data: failed\n\n", stamped(request, **{"Content-Type": EVENT_STREAM})
    ),
    "a success that isn't a stream": lambda request: success(
        request, ERROR_TEXT, "text/plain"
    ),
    "a success without a type": lambda request: success(request, ERROR_TEXT, ""),
    "an empty success": lambda request: success(request, b""),
    "an empty success without a length": lambda request: success(
        request, b"", length=False
    ),
    "a success with no content": lambda request: response_bytes(
        204, b"", stamped(request), length=False
    ),
    "half of a head": lambda request: success(request, b"")[:-4],
    "two heads": two_heads,
}


@given("after that every engine answers with {answer}")
def answers_after_break(context, answer):
    engines = list(context.case.endpoints.values())

    def has_broken():
        return any(engine.ran for engine in engines)

    for engine in engines:
        answer_once(engine, answer, has_broken)


@given("once a run is stopped every engine answers with {answer}")
def answers_after_stop(context, answer):
    engines = list(context.case.endpoints.values())

    def has_stopped():
        return any(engine.stopped for engine in engines)

    for engine in engines:
        answer_once(engine, answer, has_stopped)


def answer_once(engine, answer, condition):
    """Let an engine answer requests with an answer once a condition holds."""
    handle = engine.handle

    async def answer_or_handle(request, reader, writer):
        is_request = bool(request.attempt_id)
        if not (is_request and condition()):
            return await handle(request, reader, writer)
        writer.write(ANSWERS[answer](request))
        await writer.drain()
        return False

    engine.handle = answer_or_handle


@then("the caller gets whole events alone, and no end")
def events_alone(context):
    reply = context.reply
    assert EVENTS.fullmatch(reply.body), reply.body
    assert reply.event_ids == list(range(1, len(reply.event_ids) + 1)), reply
    assert not (reply.status == 200 and reply.whole), reply


FRAMINGS = {
    "with a length": {"Content-Length": "40"},
    "without one": {},
    "in chunks": {"Transfer-Encoding": "chunked"},
}


@when("a {kind} request is answered with each beginning of a head that is {framing}")
def each_beginning(context, kind, framing):
    case = context.case
    path = {"safe": "/read/x", "unsafe": "/post/x", "stream": "/check/x"}[kind]
    method = "GET" if kind == "safe" else "POST"
    endpoint = case.endpoints["e0" if kind == "stream" else "w0"]
    address = case.gateways[0].addresses["callers"]
    sizes = []

    def beginning(request):
        headers = stamped(request, **FRAMINGS[framing])
        head = response_bytes(200, b"", headers, length=False)
        sizes.append(len(head))
        return head[: context.size]

    endpoint.response_script = beginning

    async def play():
        context.statuses = {}
        context.size = 0
        while not sizes or context.size < sizes[0]:
            more = {"X-Deadline-Ms": DEADLINE_MS}
            reply = await send_request(
                address, method, path, request_headers(path, more), b""
            )
            context.statuses[context.size] = reply.status
            context.size += 3

    run(context, play())


@then("none of the answers is a success")
def no_success(context):
    assert len(context.statuses) > 20, context.statuses
    wrong = {size: each for size, each in context.statuses.items() if each < 500}
    assert not wrong, wrong
