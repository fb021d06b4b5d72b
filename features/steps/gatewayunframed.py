"""Steps on streams with neither a length nor chunks."""

from behave import given, then

from baobabturn.core.events import Event
from fakes.unframed import UnframedEngine
from features.sitecase import eventually
from features.steps.gateway import run, start

EVENT_COUNT = 20
SERVED = 200


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
