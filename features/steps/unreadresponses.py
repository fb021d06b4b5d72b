"""Steps on which unread responses are ended, and on bodies in flight to endpoints."""

import asyncio

from behave import given, then, when

from baobabturn.entry.bodies import BodyMemory
from baobabturn.gateway.bodiesinflight import BodiesInFlight
from baobabturn.gateway.unreadresponses import (
    STREAM_RULE,
    UnreadResponse,
    UnreadResponses,
    response_rule,
)
from features.steps.gateway import run

MIB = 1024 * 1024
STEP_S = 0.25
UNTAKEN_BYTES = 100_000
OTHER = "other"
TIMEOUT_S = 10.0
BODY_WAIT_S = 60.0


class Unread:
    """Responses that wait for their callers, on a clock of their own.

    ``ended`` holds the failures by response, with the time of each.
    """

    def __init__(self, *, is_short):
        self.now = 1000.0
        self.responses = UnreadResponses(is_short=is_short)
        self.ended = {}

    def add(self, rule, waits_since):
        """Add a response of a workspace of its own."""
        number = len(self.responses.awaited) + 1
        unread = UnreadResponse(
            rule=rule,
            workspace=f"w{number}",
            holds_memory=True,
            untaken_bytes=UNTAKEN_BYTES,
            observed_at=self.now,
            waits_since=waits_since,
        )
        self.responses.awaited.add(unread)
        return unread

    def look(self, unread, untaken_bytes):
        """Observe a response, and end it if it has to be."""
        unread.observe(untaken_bytes, self.now)
        failure = self.responses.failure(unread, self.now)
        if failure is not None:
            self.ended.setdefault(unread, (self.now, failure))

    def pass_time(self, seconds):
        """Let time pass in which no caller takes anything."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for unread in self.responses.awaited:
                self.look(unread, unread.untaken_bytes)


@given("a {kind} with a timeout of 10 seconds that waits for its caller")
def waiting(context, kind):
    context.unread = Unread(is_short=lambda workspace: False)
    rule = STREAM_RULE if kind == "stream" else response_rule(TIMEOUT_S)
    context.began = context.unread.now
    context.response = context.unread.add(rule, context.began)


@when("the caller takes nothing for {seconds:g} seconds")
def takes_nothing(context, seconds):
    context.unread.pass_time(seconds)


@when("the caller takes {size:d} bytes every {pause:g} seconds, {count:d} times")
def takes_steadily(context, size, pause, count):
    for _ in range(count):
        context.unread.pass_time(pause)
        context.unread.look(context.response, context.response.untaken_bytes - size)


@when("the gateway is paused for {seconds:g} seconds")
def paused(context, seconds):
    context.unread.now += seconds
    context.unread.look(context.response, context.response.untaken_bytes)


@then("the response is ended after {seconds:g} seconds with the code {code:d}")
def ended_after(context, seconds, code):
    at, failure = context.unread.ended[context.response]
    assert at - context.began == seconds, at - context.began
    assert int(failure.code) == code, failure


@then("the response isn't ended")
@then("no response is ended")
def not_ended(context):
    for unread in context.unread.responses.awaited:
        context.unread.look(unread, unread.untaken_bytes)
    assert not context.unread.ended, context.unread.ended


@then("the response has been ended")
def has_ended(context):
    assert context.response in context.unread.ended


@given(
    "body memory of {limit:d} MiB with {count:d} unread responses of {size:d} MiB, each"
    " 0.1 seconds older than the next"
)
def memory_with(context, limit, count, size):
    context.memory = BodyMemory(limit_bytes=limit * MIB, wait_s=BODY_WAIT_S)
    context.unread = Unread(is_short=context.memory.is_short)
    context.order = []
    for number in range(count):
        age_s = 0.1 * (count - number)
        unread = context.unread.add(
            response_rule(TIMEOUT_S), context.unread.now - age_s
        )
        context.order.append(unread)
        context.memory.hold(unread.workspace, size * MIB)
    context.size_bytes = size * MIB
    context.waiting = []
    context.add_cleanup(lambda: [task.cancel() for task in context.waiting])


@given("another workspace holds {size:d} MiB in bodies that are being read")
def other_holds(context, size):
    context.memory.hold(OTHER, size * MIB)


@when("callers take nothing for {seconds:g} seconds")
def seconds_pass(context, seconds):
    context.unread.pass_time(seconds)


@when("a body of {size:d} MiB waits for memory")
def body_waits(context, size):
    wait_for_memory(context, f"own{len(context.waiting)}", size)


@when("a body of {size:d} MiB of that workspace waits for memory")
def other_waits(context, size):
    wait_for_memory(context, OTHER, size)


def wait_for_memory(context, workspace, size):
    """Let a body ask for memory that isn't there."""

    async def begin():
        work = context.memory.acquire(workspace, size * MIB)
        context.waiting.append(asyncio.create_task(work))
        await asyncio.sleep(0)

    run(context, begin())
    assert not context.waiting[-1].done()


@then("responses {numbers} are ended, one after the other")
def ended_in_order(context, numbers):
    expected = [context.order[int(number) - 1] for number in numbers.split()]
    found = []

    async def play():
        for _ in context.order:
            awaited = context.unread.responses.awaited
            for unread in list(awaited):
                context.unread.look(unread, unread.untaken_bytes)
                if unread in context.unread.ended:
                    found.append(unread)
                    awaited.discard(unread)
                    context.memory.release(unread.workspace, context.size_bytes)
            await asyncio.sleep(0)
        await context.waiting[-1]

    run(context, play())
    assert found == expected, [context.order.index(each) + 1 for each in found]


@then("a stream's buffer gets {size:d} bytes")
def buffer_gets(context, size):
    assert context.memory.try_acquire("stream", size)
    context.memory.release("stream", size)


@then("a stream's buffer gets no {size:d} bytes")
def buffer_gets_none(context, size):
    assert not context.memory.try_acquire("stream", size)


@given('bodies of "{sizes}" MiB in flight to an endpoint')
def in_flight(context, sizes):
    context.bodies = BodiesInFlight()
    context.sizes = [int(float(size) * MIB) for size in sizes.split()]
    for size in context.sizes:
        context.bodies.take("e1", size)


@then("a body of {size:g} MiB may be sent there")
def may_be_sent(context, size):
    assert context.bodies.fits("e1", int(size * MIB)), context.bodies.held_bytes


@then("a body of {size:g} MiB may not be sent there")
def may_not_be_sent(context, size):
    assert not context.bodies.fits("e1", int(size * MIB)), context.bodies.held_bytes


@then("a body of {size:g} MiB may be sent to another endpoint")
def elsewhere(context, size):
    assert context.bodies.fits("e2", int(size * MIB))


@when("the first of them has ended")
def first_ended(context):
    context.bodies.release("e1", context.sizes[0])
