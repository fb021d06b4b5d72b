"""Steps on streams with neither a length nor chunks."""

import asyncio

from behave import given, then, when

from baobabturn.core.events import Event
from fakes.unframed import UnframedEngine
from features.sitecase import eventually
from features.steps.gateway import run, start

EVENT_COUNT = 20
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
