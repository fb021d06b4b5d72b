"""Steps on a limit that many gateways keep to together."""

import random

from behave import then, when

from baobabturn.config.declared import Endpoint
from features.fleetcase import LIMITED_ENDPOINT

STEP_S = 0.025
HEARTBEAT_STEPS = 24
WINDOW_S, GRACE_S = 4.0, 3.0
ALLOWED_RATIO, ALLOWED_MORE = 1.5, 5


@when("all gateways of the failure domain {number:d} die")
def domain_dies(context, number):
    for gateway in context.fleet.gateways:
        if gateway.domain == f"z{number}":
            gateway.alive = False


@when(
    "an endpoint names a limit of {limit:g} a second, and {rate:d} requests a second"
    " might go there for {seconds:d} seconds"
)
def limited_traffic(context, limit, rate, seconds):
    play_requests(context, limit, rate, seconds, context.fleet.running())


@when(
    "an endpoint names a limit of {limit:g} a second, and {rate:d} requests a second"
    ' might go there from "{domain}" for {seconds:d} seconds'
)
def limited_traffic_of(context, limit, rate, domain, seconds):
    senders = [each for each in context.fleet.running() if each.domain == domain]
    play_requests(context, limit, rate, seconds, senders)


def play_requests(context, limit, rate, seconds, senders):
    """Let requests come at random at some gateways, while all exchange loads."""
    fleet = context.fleet
    choice = random.Random(1)
    context.limit, context.seconds, context.sent = limit, seconds, []
    endpoint = Endpoint(name=LIMITED_ENDPOINT, url="", failure_domain="", service="")
    running = fleet.running()
    for step in range(int(seconds / STEP_S)):
        fleet.clock.now += STEP_S
        # Requests that come at the same time don't hear of each other.
        for _ in range(round(rate * STEP_S)):
            gateway = choice.choice(senders)
            gateway.limits.record_demand([LIMITED_ENDPOINT])
            if gateway.limits.delay_s(LIMITED_ENDPOINT):
                continue
            gateway.limits.book(LIMITED_ENDPOINT)
            context.sent.append((fleet.clock.now, gateway.name))
            gateway.limits.record_answer(endpoint, limit)
        fleet.deliver()
        if step % HEARTBEAT_STEPS == 0:
            for gateway in running:
                gateway.peers.send_heartbeat()
            fleet.deliver()
            fleet.exchange_loads()


@then("the endpoint gets at most one and a half times that, and 5, in any 4 seconds")
def within_limit(context):
    allowed = ALLOWED_RATIO * context.limit * WINDOW_S + ALLOWED_MORE
    times = [at for at, _ in context.sent]
    counted = [at for at in times if at >= times[0] + GRACE_S]
    for at in counted:
        count = sum(at <= other < at + WINDOW_S for other in counted)
        assert count <= allowed, (count, allowed)


@then("it gets at least {part:g} of what it takes")
def used(context, part):
    wanted = part * context.limit * context.seconds
    assert len(context.sent) >= wanted, (len(context.sent), wanted)


@then("requests of at least {count:d} gateways got there")
def senders(context, count):
    names = {name for _, name in context.sent}
    assert len(names) >= count, len(names)
