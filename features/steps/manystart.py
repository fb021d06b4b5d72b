"""Steps of many gateways that list the store at the same time."""

import asyncio
from unittest import mock

from behave import given, then, when

from baobabturn.gateway import storechanges
from baobabturn.store.version import NO_VERSION
from baobabturn.wire.gatewaymessages import StoreAsk, StoreState
from features import manystartcase
from features.manystartcase import KIND, ManyStart
from features.steps.gateway import run

MS_PER_S = 1000
SOON_S = 10.0


@given(
    "{gateways:d} gateways, {endpoints:d} endpoints and a store that takes"
    " {reads_per_s:d} reads a second"
)
def many_gateways(context, gateways, endpoints, reads_per_s):
    context.start = ManyStart(
        gateways=gateways, endpoints=endpoints, reads_per_s=reads_per_s
    )


@when("all gateways start while {per_s:d} entries a second change")
def all_start(context, per_s):
    async def play():
        await context.start.begin()
        context.changes = asyncio.create_task(context.start.change_for(60, per_s))
        context.start.tasks.append(context.changes)

    run(context, play())


@then("all have listed the store within {seconds:d} seconds")
def all_listed(context, seconds):
    run(context, context.start.wait(context.start.all_listed, seconds))
    run(context, end_changes(context))


async def end_changes(context):
    """End the changes of entries."""
    context.changes.cancel()


@then("each has asked for {count:d} pages at most on average")
def pages_asked(context, count):
    found = context.start.pages_per_gateway() - getattr(context, "pages_before", 0)
    assert found <= count, (found, context.start.summary())


@then("all soon know the entries as the store has them")
def all_current(context):
    run(context, context.start.wait(context.start.all_current, SOON_S))


@given("all gateways know the store, which now answers after {answer_ms:d} ms")
def all_know(context, answer_ms):
    start = context.start
    run(context, start.begin())
    run(context, start.wait(start.all_current, SOON_S))
    patched = mock.patch.object(manystartcase, "ANSWER_S", answer_ms / MS_PER_S)
    patched.start()
    context.add_cleanup(patched.stop)
    context.pages_before = start.pages_per_gateway()


@when(
    "all but the watcher need a list while {per_s:d} entries a second change for"
    " {seconds:d} seconds"
)
def all_need_list(context, per_s, seconds):
    async def play():
        changes = asyncio.create_task(context.start.change_for(seconds, per_s))
        await asyncio.sleep(0.2)
        for gateway in context.start.gateways[1:]:
            gateway.mirror.invalidate()
        await changes

    run(context, play())


@when("{count:d} entries change at one moment")
def change_at_once(context, count):
    async def play():
        for number in range(count):
            context.start.store.write(number)
        await asyncio.sleep(1.0)

    run(context, play())


@then("no gateway but the watcher has called the store")
def only_watcher_called(context):
    gateways = context.start.gateways
    calls = [each.client.list_calls for each in gateways]
    assert max(calls[1:]) <= context.pages_before, calls


@when("gateways that know nothing ask the watcher {count:d} times")
def ask_watcher(context, count):
    watcher, other, *_ = context.start.gateways
    real = storechanges.json.dumps
    with mock.patch.object(storechanges.json, "dumps", side_effect=real) as encoded:
        for number in range(count):
            known = StoreState(kind=KIND, version=NO_VERSION)
            ask = StoreAsk(node=other.name, stamp=number + 1, known=[known])
            run(context, handle(watcher, ask, other))
    context.encoded = encoded.call_count


async def handle(watcher, ask, other):
    """Let the watcher answer a question."""
    watcher.receive(ask, other.peer)


@then("it has encoded {count:d} objects at most")
def encoded_at_most(context, count):
    assert context.encoded <= count, context.encoded
