"""Steps on a store that returns from a copy."""

import asyncio

from behave import given, then, when

from fakes.siteconfig import PLAIN_SERVICE, configuration
from features.sitecase import eventually
from features.steps.gateway import run, status_of, workers_asked
from features.steps.gatewaynews import RECORDS

SETTLE_S = 2.0
OTHER_KEY = "other"


def go_away(store):
    """Refuse all calls and cut those that wait."""
    store.failing_status = 503
    store.reset_connections()


def come_back(store, copied):
    """Answer again, from a copy."""
    store.restore(copied)
    store.failing_status = 0


async def return_from(store, copied, away_s):
    """Be away for some time and return from a copy."""
    go_away(store)
    await asyncio.sleep(away_s)
    come_back(store, copied)


def newest_version(store):
    """Return the version of the operator's newest configuration."""
    return store.objects["config"]["main"]["spec"]["version"]


@when(
    "the store returns after {away:g} seconds from a copy without the last {lost:d}"
    " configurations"
)
def returns_without(context, away, lost):
    store = context.case.store

    async def play():
        await asyncio.sleep(SETTLE_S)
        copied = store.take_copy()
        version = newest_version(store)
        for number in range(1, lost + 1):
            store.write("config", "main", configuration(version + number))
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        await return_from(store, copied, away)
        await asyncio.sleep(0.1)
        store.write("config", "main", configuration(version + lost))

    run(context, play())


@when("the operator's next change takes the key away")
def key_away(context):
    take_key_away(context.case.store)


def take_key_away(store):
    """Write the next configuration, without the callers' key."""
    next_version = newest_version(store) + 1
    store.write("config", "main", configuration(next_version, (OTHER_KEY,)))


@then("requests with that key get 401 at every gateway within {seconds:g} seconds")
def all_refuse_within(context, seconds):
    async def check():
        numbers = range(len(context.case.gateways))
        found = [await status_of(context, gateway=number) for number in numbers]
        return set(found) == {401}

    run(context, eventually(check, "401 at every gateway", seconds))


@then("the store gets at most {limit:d} calls in the next {seconds:g} seconds")
def few_calls(context, limit, seconds):
    store = context.case.store
    before = len(store.calls)
    run(context, asyncio.sleep(seconds))
    made = len(store.calls) - before
    assert made <= limit, (made, limit)


@when("the first gateway is cut off from the store while it returns from a copy")
def cut_over_return(context):
    store = context.case.store

    async def play():
        await asyncio.sleep(SETTLE_S)
        copied = store.take_copy()
        for version in range(2, 8):
            store.write("config", "main", configuration(version))
        await asyncio.sleep(0.5)
        await context.case.links[0].stop()
        await return_from(store, copied, 1.0)
        store.write("config", "main", configuration(7))
        await asyncio.sleep(1.0)
        await context.case.links[0].start()

    run(context, play())


@when("the store returns from a copy that still has {what}, after it was withdrawn")
def still_has(context, what):
    store = context.case.store

    async def play():
        await asyncio.sleep(SETTLE_S)
        copied = store.take_copy()
        if what == "a key":
            take_key_away(store)
        else:
            context.case.leave("w0")
            await asyncio.sleep(0.5)
            store.remove("servers", "w0")
        await asyncio.sleep(0.5)
        await return_from(store, copied, 0.5)
        await asyncio.sleep(0.5)

    run(context, play())
    for endpoint in context.case.endpoints.values():
        endpoint.ran.clear()


@when("the last gateway is started again")
def last_again(context):
    gateway = context.case.gateways[-1]

    async def play():
        await gateway.stop()
        gateway.restart()
        await eventually(gateway.is_ready, "the gateway is ready")

    run(context, play())


@when(
    "the store returns from a copy without an endpoint that writes again after"
    " {seconds:g} seconds"
)
def without_endpoint(context, seconds):
    case = context.case
    store = case.store

    async def play():
        await asyncio.sleep(SETTLE_S)
        copied = store.take_copy()
        endpoint = await case.add("w1", PLAIN_SERVICE, 0)
        await asyncio.sleep(0.5)
        await return_from(store, copied, 0.3)
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, store.write, "servers", "w1", endpoint.entry())

    run(context, play())


@then("both endpoints get requests all the while")
def both_asked(context):
    async def play():
        for _ in range(12):
            asked = await workers_asked(context, 12)
            assert asked == {"w0", "w1"}, asked
            await asyncio.sleep(0.2)

    run(context, play())


@when("the store returns from a copy without the gateways' records")
def without_records(context):
    store = context.case.store

    async def play():
        await asyncio.sleep(SETTLE_S)
        copied = store.take_copy()
        copied.objects[RECORDS].clear()
        await return_from(store, copied, 0.5)
        store.calls.clear()

    run(context, play())


@then("all {count:d} records are soon there again")
def records_back(context, count):
    objects = context.case.store.objects
    run(
        context,
        eventually(lambda: len(objects.get(RECORDS, {})) == count, "the records"),
    )


@then("each was written once")
def written_once(context):
    run(context, asyncio.sleep(2.0))
    writes = [
        call
        for call in context.case.store.calls
        if RECORDS in call and not call.startswith("GET")
    ]
    assert len(writes) == len(context.case.gateways), writes


@given("a copy of the store")
def copy_taken(context):
    context.copied = context.case.store.take_copy()


@when("the store returns from that copy")
def returns_from_copy(context):
    run(context, return_from(context.case.store, context.copied, 0.3))
    run(context, asyncio.sleep(1.0))
