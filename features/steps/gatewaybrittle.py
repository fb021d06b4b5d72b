"""Steps on endpoints that fall over when they have to turn too many requests away."""

import itertools
import random

from behave import given, then, when

from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.platforminterface import EndpointRecord
from baobabturn.gateway.softwareversion import SoftwareVersion
from baobabturn.scheduler.slotshares import slot_owners
from fakes.brittle import BrittleEndpoint
from features.fleetcase import LIMITED_ENDPOINT
from features.steps.gateway import start
from features.steps.gatewayfleetlimits import GRACE_S, HEARTBEAT_STEPS, STEP_S
from features.steps.gatewaylimits import SERVED, play_requests

WORK_S = 0.4
EVENTS = 20


@given(
    "a site with {plain:d} plain and {engines:d} engine endpoints with room for"
    " {room:d}, and {gateways:d} gateways"
)
def brittle_site(context, plain, engines, room, gateways):
    start(
        context,
        plain=plain,
        engines=engines,
        gateways=gateways,
        events=EVENTS,
        options={"endpoint_type": BrittleEndpoint},
    )
    context.numbers = itertools.count(1)
    context.outcomes = []
    for endpoint in context.case.endpoints.values():
        endpoint.limit_room(room, 1)
        endpoint.work_s = WORK_S if plain else 0.0


@given("they bear {limit:g} refusals a second")
def bear(context, limit):
    for endpoint in context.case.endpoints.values():
        endpoint.refusals_per_s = limit


@when("the endpoints aren't brittle any more")
def sound_again(context):
    bear(context, 0.0)


@when("{rate:d} {requests} a second come at the first gateway for {seconds:d} seconds")
def come_at_one(context, rate, requests, seconds):
    play_requests(context, rate, requests, seconds, [0])


@then("at most {count:d} endpoints have fallen over")
def few_falls(context, count):
    falls = {
        name: len(endpoint.falls)
        for name, endpoint in context.case.endpoints.items()
        if endpoint.falls
    }
    assert sum(falls.values()) <= count, falls


@then("the endpoints' places are taken for at least {part:g} of {seconds:g} seconds")
def places_taken(context, part, seconds):
    endpoints = context.case.endpoints.values()
    used_s = sum(endpoint.used_s for endpoint in endpoints)
    available_s = seconds * sum(endpoint.room for endpoint in endpoints)
    assert used_s >= part * available_s, (used_s, available_s, len(context.outcomes))


@then("at least {count:d} of the requests are answered")
def some_answered(context, count):
    served = sum(each.status == SERVED for each in context.outcomes)
    assert served >= count, (served, len(context.outcomes))


@when(
    "an endpoint refuses everything and bears {limit:g} refusals a second, and"
    " {rate:d} requests a second might go there for {seconds:d} seconds"
)
def refusing_traffic(context, limit, rate, seconds):
    fleet = context.fleet
    choice = random.Random(1)
    context.sent = []
    endpoint = Endpoint(
        record=EndpointRecord(
            name=LIMITED_ENDPOINT,
            service="ledger",
            address="10.0.0.1:1",
            failure_domain="z1",
            slots=4,
            leaving=False,
            software_version=SoftwareVersion(name="v1"),
        )
    )
    running = fleet.running()
    refused = []
    for step in range(int(seconds / STEP_S)):
        fleet.clock.now += STEP_S
        for gateway in refused:
            gateway.limits.brittle.record_answer(endpoint, limit, refused=True)
        fleet.deliver()
        refused = []
        for _ in range(round(rate * STEP_S)):
            gateway = choice.choice(running)
            if not gateway.limits.delay_s(LIMITED_ENDPOINT):
                context.sent.append(fleet.clock.now)
                refused.append(gateway)
        if step % HEARTBEAT_STEPS == 0:
            for gateway in running:
                gateway.peers.send_heartbeat()
            fleet.deliver()
            fleet.exchange_loads()


@then(
    "it refuses at most {limit:g} in any second later than {grace:g} seconds after the"
    " first"
)
def bearable(context, limit, grace):
    assert grace == GRACE_S
    counted = [at for at in context.sent if at >= context.sent[0] + grace]
    assert counted, "it was never asked again"
    for at in counted:
        count = sum(at <= other < at + 1 for other in counted)
        assert count <= limit, (count, limit)


def names(prefix, count):
    """Return some names."""
    return [f"{prefix}{number}" for number in range(count)]


@when("{gateways:d} gateways share {endpoints:d} endpoints of {slots:d} slots")
def share(context, gateways, endpoints, slots):
    context.gateways = names("g", gateways)
    context.slots = dict.fromkeys(names("w", endpoints), slots)
    context.owners = slot_owners(context.slots, context.gateways)


@then("each slot is one gateway's, and they differ by one slot at most")
def balanced(context):
    assert len(context.owners) == sum(context.slots.values())
    counts = [list(context.owners.values()).count(each) for each in context.gateways]
    assert max(counts) - min(counts) <= 1, (min(counts), max(counts))


@then("a gateway that leaves takes few slots from one gateway to another")
def stable(context):
    left = context.gateways[:-1]
    if not left:
        return
    after = slot_owners(context.slots, left)
    freed = sum(owner == context.gateways[-1] for owner in context.owners.values())
    moved = sum(
        owner != after[slot] for slot, owner in context.owners.items() if owner in left
    )
    assert moved <= 2 * freed + len(left), (moved, freed)
