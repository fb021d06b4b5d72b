"""Steps on endpoints that say in their answers that they leave or want a pause."""

import asyncio
import time

from behave import given, then, when

from fakes.rawhttp import response_bytes
from features.steps.gateway import run

REFUSED = 503
LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL_S = 100, 0.03


def first_endpoint(context):
    """Return the first of a site's endpoints."""
    return next(iter(context.case.endpoints.values()))


@given("the first endpoint's answers say that it leaves")
def says_leaving(context):
    first_endpoint(context).more_headers["Server-Leaving"] = "1"


@when("the store says again that the first endpoint is ready")
def ready_again(context):
    endpoint = first_endpoint(context)
    context.case.store.write("servers", endpoint.name, endpoint.entry(coldLeftMs=5))


@when("the first endpoint starts again under its name, and the other one leaves")
def started_again(context):
    endpoint = first_endpoint(context)
    del endpoint.more_headers["Server-Leaving"]
    born = int(time.time() * 1000)
    context.case.store.write("servers", endpoint.name, endpoint.entry(born=born))
    for name in context.case.endpoints:
        if name != endpoint.name:
            context.case.leave(name)
    run(context, asyncio.sleep(0.3))


@then(
    "the first endpoint got none later than {seconds:g} seconds after its first answer"
)
def none_later(context, seconds):
    arrivals = [request.arrived_at for request in first_endpoint(context).ran]
    assert arrivals, "it was never asked"
    later = [at - arrivals[0] for at in arrivals if at - arrivals[0] > seconds]
    assert not later, later


def refuse(context, endpoint, seconds):
    """Let an endpoint refuse all requests, and record when they come."""
    context.pause_s = seconds

    def script(request):
        context.refused_at.append((endpoint.name, time.monotonic()))
        headers = {
            "X-Attempt-Id": request.attempt_id,
            "X-Not-Executed": "1",
            "Retry-After": f"{seconds:g}",
        }
        return response_bytes(REFUSED, b"", headers)

    endpoint.response_script = script


@given("the first endpoint refuses with a time to come back of {seconds:g} seconds")
def first_refuses(context, seconds):
    context.refused_at = []
    refuse(context, first_endpoint(context), seconds)


@given("all endpoints refuse with a time to come back of {seconds:g} seconds")
def all_refuse(context, seconds):
    context.refused_at = []
    for endpoint in context.case.endpoints.values():
        refuse(context, endpoint, seconds)


@then(
    "at most {count:d} reach the first endpoint from {seconds:g} seconds after a"
    " refusal to its end"
)
def few_in_pause(context, count, seconds):
    times = [at for _, at in context.refused_at]
    assert times, "it was never asked"
    for at in times:
        inside = [
            other for other in times if at + seconds < other < at + context.pause_s
        ]
        assert len(inside) <= count, [other - at for other in inside]


@given(
    "engines refuse to move runs with {status:d} and a time to come back of"
    " {seconds:g} seconds"
)
def refuse_moves(context, status, seconds):
    context.pause_s = seconds
    for engine in context.case.endpoints.values():
        engine.migration_status = status
        engine.control_headers["Retry-After"] = f"{seconds:g}"
        engine.event_count = LONG_STREAM_EVENTS
        engine.event_interval_s = LONG_STREAM_INTERVAL_S


@when("{count:d} streams have begun, and the first engine leaves")
def begun_and_leaves(context, count):
    async def play():
        tasks = [
            asyncio.create_task(
                context.case.call("/draft/x", "POST", X_Attempt_Id=f"{number:016x}")
            )
            for number in range(count)
        ]
        await asyncio.sleep(0.5)
        context.case.leave(first_endpoint(context).name)
        await asyncio.gather(*tasks)

    run(context, play())


@then(
    "at most {count:d} calls reach it from {seconds:g} seconds after the first refusal"
    " to its end"
)
def few_calls(context, count, seconds):
    times = [call.arrived_at for call in first_endpoint(context).calls]
    assert times, "it was never called"
    inside = [
        at - times[0]
        for at in times
        if times[0] + seconds < at < times[0] + context.pause_s
    ]
    assert len(inside) <= count, inside
