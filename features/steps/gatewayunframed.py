"""Steps on streams with neither a length nor chunks."""

import asyncio

from behave import given, then, when

from baobabturn.core.events import Event
from fakes.rawhttp import response_bytes
from fakes.site import RESPONSE_STAMP
from fakes.unframed import UnframedEngine
from features.sitecase import eventually
from features.steps.gateway import run, start
from features.steps.gatewaypaths import cut_off

EVENT_COUNT = 20
# In the middle of an answer this much time passes.
HALF_ANSWER_S = 0.1
SHUTDOWN_S = 0.1
ENGINE_ERROR = 500
SERVED = 200
# Unix milliseconds of two starts of an engine.
FIRST_START_MS, SECOND_START_MS = 1_000, 2_000


@given("a site with {count:d} engines whose first stream ends {ending}")
def unframed_site(context, count, ending):
    start(context, plain=0, engines=0)
    engines = [
        UnframedEngine(name=f"u{number}", events=EVENT_COUNT, ending=ending)
        for number in range(count)
    ]

    async def play():
        for engine in engines:
            await engine.start()
            context.case.endpoints[engine.name] = engine
            context.case.store.write("servers", engine.name, engine.entry())
        gateway = context.case.gateways[0]
        await eventually(
            lambda: len(gateway.logged(Event.ENDPOINT_SEEN)) == count, "the engines"
        )

    run(context, play())
    # Only the first of all streams ends so.
    for engine in engines[1:]:
        engine.ending = "after its last event"


@then("the caller gets {count:d} whole events and no end")
def broken_after(context, count):
    reply = context.reply
    assert not (reply.status == SERVED and reply.whole), reply
    if reply.status == SERVED:
        assert reply.event_ids == list(range(1, count + 1)), reply.event_ids


@given("no stream has a length")
def no_length(context):
    for engine in context.case.endpoints.values():
        engine.framed = False


@given("engines lose the copies of runs that they have stopped")
def lose_copies(context):
    for engine in context.case.endpoints.values():
        engine.loses_copies = True


@given("engines know a run for the first copies alone")
def know_first_copies(context):
    for engine in context.case.endpoints.values():
        control = engine.control

        async def forgetful(request, engine=engine, control=control):
            is_final = request.method == "POST" and b'"last": true' in request.body
            if is_final:
                await eventually(lambda: not engine.running, "the end of the run")
            return await control(request)

        engine.control = forgetful


async def end_with_stream(context, engine):
    """End an engine's process, which closes its connections as after an answer."""
    engine.server.close()
    for writer in list(engine.writers):
        writer.close()


async def end_soon_after(context, engine):
    """Close a process's connections, and its listener a moment later."""
    for writer in list(engine.writers):
        writer.close()
    asyncio.get_running_loop().call_later(SHUTDOWN_S, engine.server.close)


async def start_again(context, engine):
    """Let an engine's process end and start again at once, its entry late."""
    await end_with_stream(context, engine)
    engine.report_fields["born"] = SECOND_START_MS
    engine.server = None
    await engine.start()


async def live_on(context, engine):
    """Let an engine's process go on until its stream has ended."""


FATES = {
    "ends with it": end_with_stream,
    "ends soon after it": end_soon_after,
    "has started again": start_again,
    "ends after it": live_on,
}


def stream_to_fate(context, fate, *, leaving):
    """Let a caller stream, and the engine meet its fate in the middle of it."""
    engine = next(iter(context.case.endpoints.values()))
    engine.report_fields["born"] = FIRST_START_MS
    store, name = context.case.store, engine.name
    store.write("servers", name, engine.entry(born=FIRST_START_MS))

    async def play():
        gateway = context.case.gateways[0]
        await eventually(
            lambda: len(gateway.logged(Event.ENDPOINT_SEEN)) > 1, "the engine's start"
        )
        task = asyncio.create_task(context.case.call("/draft/x", "POST", b"{}"))
        await eventually(
            lambda: max(engine.running.values(), default=0) >= 10, "some events"
        )
        if leaving:
            entry = engine.entry(state="draining", born=FIRST_START_MS)
            store.write("servers", name, entry)
            await eventually(
                lambda: "its entry says" in gateway.logged(Event.ENDPOINT_LEAVING)[-1],
                "the notice",
            )
        await FATES[fate](context, engine)
        return await task

    context.reply = run(context, play())


@when("a stream runs at a leaving engine, which {fate}")
def stream_from_leaving(context, fate):
    stream_to_fate(context, fate, leaving=True)


@when("a stream runs at an engine that {fate}")
def stream_from(context, fate):
    stream_to_fate(context, fate, leaving=False)


@then("the caller's stream has no end")
def has_no_end(context):
    assert not context.reply.whole, context.reply


@then("the caller's stream has an end")
def has_end(context):
    assert context.reply.whole, context.reply


async def be_killed(context, endpoint):
    """End an endpoint's process at once."""
    await end_with_stream(context, endpoint)


async def leave_and_end(context, endpoint):
    """Let an endpoint say that it leaves, and end its process."""
    await leave(context, endpoint)
    await end_with_stream(context, endpoint)


async def leave(context, endpoint):
    """Let an endpoint say that it leaves, and all gateways hear of it."""
    context.case.leave(endpoint.name)
    for gateway in context.case.gateways:
        await eventually(
            lambda gateway=gateway: gateway.logged(Event.ENDPOINT_LEAVING), "the notice"
        )


async def lose_new_path(context, endpoint):
    """Have all new connections of the gateway that is asked refused."""
    cut_off(context, "one", "are refused")


MEANWHILE = {
    "is killed": be_killed,
    "leaves and then ends": leave_and_end,
    "the endpoint leaves": leave,
    "one gateway loses its new path": lose_new_path,
}


def answer_unframed(context, meanwhile, *, count):
    """Let the first answers have no length, and something happen in their middle."""
    asked = []

    async def handle(request, reader, writer, endpoint, usual):
        asked.append(endpoint.name)
        if len(asked) > count:
            return await usual(request, reader, writer)
        status = ENGINE_ERROR if endpoint.event_count else SERVED
        headers = endpoint.answer_headers(request)
        writer.write(response_bytes(status, b"do", headers, length=False))
        await writer.drain()
        await asyncio.sleep(HALF_ANSWER_S)
        await MEANWHILE[meanwhile](context, endpoint)
        if not writer.is_closing():
            writer.write(b"ne")
        return False

    for endpoint in context.case.endpoints.values():

        async def answer(
            request, reader, writer, endpoint=endpoint, usual=endpoint.handle
        ):
            return await handle(request, reader, writer, endpoint, usual)

        endpoint.handle = answer


@given("the first answer has no length, and in the middle of it the endpoint {fate}")
def first_cut(context, fate):
    answer_unframed(context, fate, count=1)


@given("answers have no length, and while they are written {cause}")
def whole_meanwhile(context, cause):
    answer_unframed(context, cause, count=1)


@given(
    "a site with gateways that end {seconds:g} seconds after their stop, and an answer"
    " within which they do"
)
def ending_gateway(context, seconds):
    start(context, plain=1, engines=1, events=500, options={"grace_s": seconds})
    context.case.endpoints["e0"].framed = False
    context.case.endpoints["w0"].handle = half_answer


async def half_answer(request, reader, writer):
    """Send half of an answer without a length, and go on only after an hour."""
    headers = {"X-Attempt-Id": request.attempt_id, "X-Response-Stamp": RESPONSE_STAMP}
    writer.write(response_bytes(SERVED, b"do", headers, length=False))
    await writer.drain()
    await asyncio.sleep(3600)


@when("a caller sends a {kind} request whose gateway stops")
def stop_within(context, kind):
    path = {"safe": "/read/x", "unsafe": "/post/x", "stream": "/draft/x"}[kind]
    method = "GET" if kind == "safe" else "POST"
    gateway = context.case.gateways[0]

    async def play():
        task = asyncio.create_task(context.case.call(path, method, b""))
        await eventually(lambda: gateway.logged(Event.ATTEMPT_SENT), "the attempt")
        await asyncio.sleep(HALF_ANSWER_S)
        gateway.program.stopping.set()
        return (await asyncio.gather(task, return_exceptions=True))[0]

    context.reply = run(context, play())


@then("the caller's answer isn't whole")
def not_whole(context):
    reply = context.reply
    if not isinstance(reply, asyncio.IncompleteReadError | ConnectionError):
        assert not (reply.whole and reply.status == SERVED), reply
