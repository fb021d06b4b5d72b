"""Steps of admission to a pool that is full."""

import asyncio
import time
import types

import attrs
from behave import given, then, when

from baobabturn.config.declared import Endpoint, Workspace
from baobabturn.core.metrics import Metrics
from baobabturn.core.results import Code, Failure
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.settings.load import load
from baobabturn.wire.messages import Admit, Grant, Release

MS = 0.001
LONG_MS = 5000


def make(context, limit=0, room=100):
    loaded = load().settings
    scheduler = attrs.evolve(loaded.scheduler, queue_limit=room, batch_limit=1)
    settings = attrs.evolve(loaded, scheduler=scheduler)
    silent = types.SimpleNamespace(emit=lambda *names, **fields: None)
    program = types.SimpleNamespace(
        settings=settings, metrics=Metrics(role="scheduler"), events=silent
    )
    spaces = {"w": Workspace(name="w", concurrent_requests=limit)}
    pool = PoolScheduler(
        name="p",
        program=program,
        policy=POLICIES["baobabturn"](settings=scheduler, seed=1),
        workspaces=lambda: spaces,
    )
    pool.settled = True
    engine = Endpoint(name="e", url="http://e", memory_tokens=1000, concurrency=1)
    pool.set_endpoints([engine], set())
    context.pool = pool


def ask(context, name, left_ms, workspace="w"):
    body = Admit(
        request=name,
        reservation=name,
        workspace=workspace,
        model="m",
        kind="k",
        prompt_tokens=10,
        max_tokens=100,
        deadline_ms=left_ms,
    )
    return asyncio.create_task(context.pool.admit(None, body))


async def fill(context):
    assert isinstance(await ask(context, "first", LONG_MS, "other"), Grant)


@given("a full pool that admits requests")
def step_full(context):
    make(context)


@given("a full pool that admits requests, with {count:d} concurrent requests declared")
def step_limited(context, count):
    make(context, limit=count)


@given("a full pool that admits requests, with room for {count:d} in its queue")
def step_room(context, count):
    make(context, room=count)


@when("a request with {left:d} ms left asks for a place")
def step_ask(context, left):
    async def run():
        await fill(context)
        began = time.monotonic()
        context.answer = await ask(context, "second", left)
        context.took_s = time.monotonic() - began

    asyncio.run(run())


@when("a request with {left:d} ms left asks for a place and one becomes free")
def step_free(context, left):
    async def run():
        await fill(context)
        task = ask(context, "second", left)
        await asyncio.sleep(0)
        assert not task.done()
        context.pool.release(Release(reservation="first", outcome="finished"))
        context.answer = await task

    asyncio.run(run())


@when("{count:d} requests wait and a third one comes")
def step_third(context, count):
    async def run():
        await fill(context)
        tasks = [ask(context, f"waits-{n}", LONG_MS) for n in range(count)]
        await asyncio.sleep(0)
        context.answer = await ask(context, "third", LONG_MS)
        for number in range(count):
            context.pool.release(Release(reservation=f"waits-{number}"))
        await asyncio.gather(*tasks)
        last = ask(context, "fourth", LONG_MS)
        await asyncio.sleep(0)
        context.queues = not last.done()
        context.pool.release(Release(reservation="fourth"))
        await last

    asyncio.run(run())


@when("those that wait are withdrawn")
def step_withdrawn(context):
    assert not context.pool.state.queue


@then("a further request queues")
def step_further(context):
    assert context.queues


@then('it is refused with "{code}", not before {left:d} ms')
def step_refusal(context, code, left):
    assert isinstance(context.answer, Failure), context.answer
    assert context.answer.code is Code[code], context.answer
    assert context.took_s >= left * MS - 0.02, context.took_s


@then('the third one is refused with "{code}"')
def step_third_refused(context, code):
    assert isinstance(context.answer, Failure), context.answer
    assert context.answer.code is Code[code], context.answer


@then("it has left no trace in the queue")
def step_no_trace(context):
    assert not context.pool.state.queue
    assert context.pool.limits.usage("w").requests == 0
    assert not context.pool.policy.flows.flows


@then("it is granted a place")
def step_granted(context):
    assert isinstance(context.answer, Grant), context.answer
