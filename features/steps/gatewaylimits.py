"""Steps on endpoints that name a limit on their rate of requests."""

import asyncio
import itertools
import time

import attrs
from behave import given, then, when

from features.steps.gateway import FAULTS, run, start

PATHS = {
    "safe requests": ("/read/x", "GET"),
    "unsafe requests": ("/post/x", "POST"),
    "streams": ("/draft/x", "POST"),
}
SERVED, NOT_RUN = 200, 503
WINDOW_S, GRACE_S = 4.0, 3.0
ALLOWED_RATIO, ALLOWED_MORE = 1.5, 5
STREAM_EVENTS = 3


@attrs.frozen(kw_only=True)
class Outcome:
    """A request's gateway, when it was sent, its answer and the time it took."""

    gateway: int
    sent_at: float
    status: int
    retry_after: str
    took_s: float


@given(
    "a site with {plain:d} plain endpoints, {engines:d} engines and {gateways:d}"
    " gateways"
)
def limits_site(context, plain, engines, gateways):
    start(
        context, plain=plain, engines=engines, gateways=gateways, events=STREAM_EVENTS
    )
    context.numbers = itertools.count(1)
    context.outcomes = []
    context.limited = []


@given("one of them names a limit of {limit:g} requests a second")
def one_limited(context, limit):
    context.limited = list(context.case.endpoints.values())[:1]
    set_limit(context, limit)


@given("all of them name a limit of {limit:g} requests a second")
def all_limited(context, limit):
    context.limited = list(context.case.endpoints.values())
    set_limit(context, limit)


def set_limit(context, limit):
    """Let the limited endpoints name a limit."""
    context.limit = limit
    for endpoint in context.limited:
        endpoint.rate_limit_per_s = limit


@given("the others answer every request with an error")
def others_fail(context):
    for endpoint in context.case.endpoints.values():
        if endpoint not in context.limited:
            endpoint.response_script = FAULTS["its own error"]


@when("{rate:d} {requests} a second come at all gateways for {seconds:d} seconds")
def requests_come(context, rate, requests, seconds):
    play_requests(context, rate, requests, seconds, range(len(context.case.gateways)))


def play_requests(context, rate, requests, seconds, gateways):
    """Let requests come at some gateways in turn, and record how they end."""
    path, method = PATHS[requests]
    context.rate = rate
    rotation = itertools.cycle(gateways)

    async def call(gateway):
        began_at = time.monotonic()
        reply = await context.case.call(
            path,
            method,
            gateway=gateway,
            X_Attempt_Id=f"{next(context.numbers):016x}",
            X_Deadline_Ms="3000",
        )
        context.outcomes.append(
            Outcome(
                gateway=gateway,
                sent_at=began_at,
                status=reply.status if reply.whole else 0,
                retry_after=reply.headers.get("retry-after", ""),
                took_s=time.monotonic() - began_at,
            )
        )

    async def play():
        calls = []
        for _ in range(rate * seconds):
            calls.append(asyncio.create_task(call(next(rotation))))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)

    run(context, play())


@when("the endpoint names no limit any more, and the other one leaves")
def no_limit(context):
    set_limit(context, 0)
    for name, endpoint in context.case.endpoints.items():
        if endpoint not in context.limited:
            context.case.leave(name)


def arrivals(endpoint):
    """Return when requests arrived at an endpoint, without the load reports."""
    return sorted(request.arrived_at for request in endpoint.ran)


@then("the endpoint's limit is not passed")
@then("no endpoint's limit is passed")
def not_passed(context):
    allowed = ALLOWED_RATIO * context.limit * WINDOW_S + ALLOWED_MORE
    for endpoint in context.limited:
        times = arrivals(endpoint)
        counted = [at for at in times if at >= times[0] + GRACE_S]
        for at in counted:
            count = sum(at <= other < at + WINDOW_S for other in counted)
            assert count <= allowed, (endpoint.name, count, allowed)


@then("it gets at least half of what it takes")
@then("each of them gets at least half of what it takes")
def not_idle(context):
    for endpoint in context.limited:
        times = arrivals(endpoint)
        elapsed_s = times[-1] - times[0]
        wanted = context.limit * elapsed_s / 2
        assert len(times) >= wanted, (endpoint.name, len(times), wanted)


@then("all requests are answered")
def all_answered(context):
    others = [each for each in context.outcomes if each.status != SERVED]
    assert not others, (len(others), others[:3])


@then("the rest is refused with a time to come back, within {seconds:g} seconds")
def refused_at_once(context, seconds):
    refused = [each for each in context.outcomes if each.status != SERVED]
    assert refused
    for each in refused:
        assert each.status == NOT_RUN and each.retry_after, each
        assert each.took_s <= seconds, each


@then("each gateway has answered some")
def each_gateway(context):
    serving = {each.gateway for each in context.outcomes if each.status == SERVED}
    assert serving == set(range(len(context.case.gateways))), serving


@then("all requests of the last {seconds:d} seconds are answered")
def last_answered(context, seconds):
    last_at = max(each.sent_at for each in context.outcomes)
    recent = [each for each in context.outcomes if each.sent_at > last_at - seconds]
    failed = [each for each in recent if each.status != SERVED]
    assert recent and not failed, (len(recent), failed[:3])
