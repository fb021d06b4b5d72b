"""Steps of gateways that find the same capacity free, with no network."""

import heapq
import itertools
import random
import time
from unittest import mock

import attrs
from behave import given, then, when

from baobabturn.config.declared import Endpoint
from baobabturn.scheduler.state import WaitingRequest
from baobabturn.wire.messages import Admit, Holding, Release
from baobabturn.wire.words import FINISHED
from features.steps.policy import Future, make_pool

NEWS_DELAY_S = 0.025
ROUNDING_S = 0.001
PROMPT_TOKENS, ANSWER_TOKENS = 3000, 400
HELD = 8
MEMORY_TOKENS = 100_000
KINDS = {"long": ANSWER_TOKENS, "urgent": 4}


@attrs.define(kw_only=True)
class Play:
    """The kinds of the requests that were granted, by time since capacity was free."""

    granted: list[tuple[float, str]] = attrs.Factory(list)


def holding(name):
    return Holding(
        reservation=name,
        endpoint="e",
        workspace="w",
        model="m",
        kind="long",
        prompt_tokens=PROMPT_TOKENS,
        produced=50,
        max_tokens=2000,
    )


def make_gateway(context, number):
    """Return a gateway's pool in which the engine is full."""
    pool = make_pool(seed=number, flags=["scheduler.short_share=0"])
    pool.schedule_dispatch = lambda: None
    pool.schedule_turn_dispatch = lambda now: None
    for kind, tokens in KINDS.items():
        for _ in range(100):
            pool.policy.lengths.observe("w", "m", kind, tokens, True)
    engine = Endpoint(
        name="e", url="http://e", memory_tokens=MEMORY_TOKENS, concurrency=HELD
    )
    pool.set_endpoints([engine], set())
    for each in range(HELD):
        pool.hold(None, holding(f"g/{each}/h"), watched=False)
    # The engine has been there for long, so no turn at it is pending.
    turns = pool.state.turns
    turns.random = random.Random(context.random.random())
    turns.others = lambda: context.count - 1
    turns.news_delay_s = lambda: NEWS_DELAY_S
    return pool


def ask(pool, number, kind):
    now = time.monotonic()
    name = f"{number}/1/{kind}"
    admit = Admit(
        request=name,
        reservation=name,
        workspace="w",
        model="m",
        kind=kind,
        prompt_tokens=PROMPT_TOKENS if kind == "long" else 200,
        max_tokens=2000,
    )
    waiting = WaitingRequest(
        admit=admit, holder=None, arrived_at=now, deadline=now + 9, future=Future()
    )
    pool.enqueue(waiting, now)
    pool.dispatch()
    assert not waiting.future.done()


@given(
    "{count:d} gateways, and an engine with room for {room:d} generations that is full"
)
@given(
    "{count:d} gateway, and an engine with room for {room:d} generations that is full"
)
def step_gateways(context, count, room):
    assert room == HELD
    context.count, context.random = count, random.Random(5)
    context.asked = []


@given("a long request waits at {count:d} of the gateways")
def step_wait(context, count):
    context.asked = ["long"] * count


@given(
    "a long request waits at {count:d} of the gateways, "
    "and an urgent one at {urgent:d} of them"
)
def step_wait_urgent(context, count, urgent):
    context.asked = ["urgent"] * urgent + ["long"] * (count - urgent)


def turn_s(pool, now):
    """Return how long a gateway leaves freed capacity to others."""
    urgent = any(each.urgent for each in pool.state.queue.values())
    return pool.state.turns.next_turn_s(urgent, now)


def play(context):
    """Let a generation end, and each gateway look for capacity at its turn."""
    pools = [make_gateway(context, number) for number in range(len(context.asked))]
    for number, (pool, kind) in enumerate(zip(pools, context.asked, strict=True)):
        ask(pool, number, kind)
    release = Release(reservation="g/0/h", produced=ANSWER_TOKENS, outcome=FINISHED)
    begin = time.monotonic()
    order = itertools.count()
    moments = []
    for number, pool in enumerate(pools):
        pool.release(release)
        moments.append((begin + turn_s(pool, begin), next(order), number, None))
    heapq.heapify(moments)
    result = Play()
    while moments:
        now, _, number, news = heapq.heappop(moments)
        pool = pools[number]
        if news is not None:
            pool.hold(None, news, watched=False)
            continue
        before = set(pool.reservations)
        # A turn is computed from the time of the release.
        with mock.patch.object(time, "monotonic", lambda now=now: now + ROUNDING_S):
            pool.dispatch()
        for name in set(pool.reservations) - before:
            result.granted.append((now - begin, name.split("/")[-1]))
            for other in range(len(pools)):
                if other != number:
                    news_at = now + NEWS_DELAY_S
                    moment = (news_at, next(order), other, holding(name))
                    heapq.heappush(moments, moment)
    return result


@when("one of the generations ends, in {count:d} plays")
@when("one of the generations ends, in {count:d} play")
def step_end(context, count):
    context.plays = [play(context) for _ in range(count)]


@when("capacity is freed there each {pause_ms:d} ms for {seconds:g} s")
def step_freed_often(context, pause_ms, seconds):
    """Count how often each gateway may use the engine for a long request."""
    begin = time.monotonic()
    context.turns = []
    for number in range(context.count):
        pool = make_gateway(context, number)
        turns, (engine,) = pool.state.turns, pool.state.endpoints.values()
        came = 0
        for step in range(round(seconds * 1000 / pause_ms)):
            now = begin + step * pause_ms / 1000
            came += not turns.left_s(engine, False, now)
            turns.record_freed(engine, now)
        context.turns.append(came)


@then("each gateway has at least {least:d} turns for long requests")
def step_turns(context, least):
    assert min(context.turns) >= least, context.turns


@then("on average at most {most:g} of the requests are granted at once")
def step_few(context, most):
    counts = [len(each.granted) for each in context.plays]
    assert sum(counts) / len(counts) <= most, counts


@then("in each play at least one is granted within {seconds:g} s")
def step_soon(context, seconds):
    firsts = [min(each.granted)[0] for each in context.plays]
    assert max(firsts) <= seconds, firsts


@then("an urgent one is the first in at least {least:d} of the plays")
def step_urgent_first(context, least):
    firsts = [min(each.granted)[1] for each in context.plays]
    assert firsts.count("urgent") >= least, firsts
