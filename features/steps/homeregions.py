"""Steps on home regions of routes and workspaces."""

import asyncio
import itertools
import json
import time
from unittest import mock

import attrs
from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway import retrytimes
from baobabturn.gateway.homeregions import HomeRegions
from baobabturn.gateway.ownload import OwnLoad
from baobabturn.gateway.pools import closed_failure
from baobabturn.placement.homes import DomainRegions, combined_homes
from baobabturn.platform.documents import decode_homes
from baobabturn.settings.load import load
from fakes.siteconfig import ENGINE_SERVICE, PLAIN_SERVICE, configuration
from features.sitecase import eventually
from features.steps.gateway import run, start

DOMAINS = {"north": "z1", "south": "z2", "?": "z9"}
REGIONS = {domain: name for name, domain in DOMAINS.items() if name != "?"}
EVENTS = 60
EVACUATE_MS = 5000
AT_ONCE_S = 1.0
KINDS = (
    ("GET", "/read/"),
    ("POST", "/post/"),
    ("POST", "/draft/"),
    ("POST", "/check/"),
)
NOT_RUN = 503
# Of requests at a gateway without paths; it refuses others if this process stood still.
SERVED_RATIO = 0.5


def regions_of(homes):
    """Return the regions of the failure domains that home regions allow."""
    regions = DomainRegions(by_domain=REGIONS)
    return {name for name, each in DOMAINS.items() if regions.allows(homes, each)}


def homes_in(text):
    """Return the home regions in a step's text."""
    return None if text == "any" else frozenset(text.split())


@when("a route and a workspace state the home regions {value}")
def state_homes(context, value):
    fields = {} if value == "nothing" else {"allowedRegions": json.loads(value)}
    context.homes = decode_homes(fields)


@then('requests may run in "{regions}"')
@then('requests may run in ""')
def may_run_in(context, regions=""):
    assert regions_of(context.homes) == set(regions.split()), context.homes
    may_run = DomainRegions(by_domain=REGIONS).may_run(context.homes)
    assert may_run == bool(regions), context.homes


@then('a route of "{route}" and a workspace of "{workspace}" may run in "{regions}"')
@then('a route of "{route}" and a workspace of "{workspace}" may run in ""')
def may_both_run(context, route, workspace, regions=""):
    context.homes = combined_homes(homes_in(route), homes_in(workspace))
    may_run_in(context, regions)


@given("a site of two regions")
@given("a site of two regions that may be {evacuated:w}")
def two_regions(context, evacuated=""):
    options = {"regions": REGIONS}
    if evacuated:
        options["evacuate_ms"] = EVACUATE_MS
    start(context, options=options, plain=0, gateways=4, domains=2)
    for region in DOMAINS:
        add(context, f"w-{region}", region, PLAIN_SERVICE, 0)
        add(context, f"e-{region}", region, ENGINE_SERVICE, EVENTS)
    wait_for_endpoints(context)


def add(context, name, region, service, events):
    """Add an endpoint in a region."""
    domain = DOMAINS[region]
    run(context, context.case.add(name, service, events, zone=domain))


def wait_for_endpoints(context):
    """Wait until all gateways know all endpoints."""
    count = len(context.case.endpoints)

    def known():
        return all(
            len(gateway.logged(Event.ENDPOINT_SEEN)) >= count
            for gateway in context.case.gateways
        )

    run(context, eventually(known, "all endpoints are known"))


@given('{count:d} more engines in "{region}"')
def more_engines(context, count, region):
    for number in range(count):
        add(context, f"e-{region}{number}", region, ENGINE_SERVICE, EVENTS)
    wait_for_endpoints(context)


@when('its routes\' home regions become "{route}"')
@given('its routes\' home regions are "{route}", its workspace\'s "{workspace}"')
def site_homes(context, route, workspace="any"):
    config = configuration(version=2)
    for text, parts in ((route, config["routes"]), (workspace, config["tenants"])):
        for part in parts if text != "any" else ():
            part["allowedRegions"] = text.split()
    context.case.store.write("config", "main", config)

    def in_force():
        return all(
            "revision=2" in gateway.logged(Event.CONFIG_IN_FORCE)[-1]
            for gateway in context.case.gateways
        )

    run(context, eventually(in_force, "the home regions are in force"))


@given('the endpoints in "{region}" leave')
def region_leaves(context, region):
    names = [name for name in context.case.endpoints if name.endswith(region)]
    for name in names:
        context.case.leave(name)

    def known():
        return all(
            len(gateway.logged(Event.ENDPOINT_LEAVING)) == len(names)
            for gateway in context.case.gateways
        )

    run(context, eventually(known, "all know that they leave"))


@given('the region "{region}" is evacuated')
def region_evacuated(context, region):
    context.case.store.write("evacuations", DOMAINS[region], {})

    def known():
        return all(each.logged(Event.DOMAIN_CLOSED) for each in context.case.gateways)

    run(context, eventually(known, "all know of the evacuation"))


@then("refused generations are told of the evacuation")
def told_of_evacuation(context):
    generations = sum(path in ("/draft/", "/check/") for _, path in KINDS)
    told = sum(b"evacuated" in reply.body for reply, _ in context.replies)
    assert told == len(context.replies) * generations // len(KINDS), context.replies


@when("{count:d} requests of each kind come at each gateway")
def requests_of_each_kind(context, count):
    send_requests(context, count, range(len(context.case.gateways)))


@when("{count:d} requests of each kind come at the gateway without paths")
def requests_without_paths(context, count):
    send_requests(context, count, [0])


def send_requests(context, count, gateways):
    """Send requests of each kind to some gateways, and keep the replies and times."""
    numbers = itertools.count()

    async def send(gateway, method, path):
        started_at = time.monotonic()
        reply = await context.case.call(
            f"{path}x",
            method,
            b"{}" if method == "POST" else b"",
            gateway=gateway,
            X_Attempt_Id=f"a{next(numbers):015x}",
        )
        return reply, time.monotonic() - started_at

    async def send_all():
        # A few at a time, as engines and endpoints have few slots.
        for method, path in KINDS:
            for _ in range(count):
                calls = [send(gateway, method, path) for gateway in gateways]
                context.replies += await asyncio.gather(*calls)

    context.replies = []
    run(context, send_all())


@then('all are served, in "{regions}"')
def served_in(context, regions):
    assert all(reply.status == 200 and reply.whole for reply, _ in context.replies)
    ran = {name for name, each in context.case.endpoints.items() if each.ran}
    wanted = {f"{kind}-{region}" for kind in "we" for region in regions.split()}
    assert ran == wanted, ran


@then("all are refused at once as not run, with code {code:d}")
def refused_with(context, code):
    for reply, took_s in context.replies:
        assert reply.status == NOT_RUN and took_s < AT_ONCE_S, (reply, took_s)
        assert reply.headers["x-baobabturn-code"] == str(code), reply
        assert reply.headers["retry-after"], reply
    ran = {name for name, each in context.case.endpoints.items() if each.ran}
    assert not ran, ran


@when("the spread of retry times is drawn as {draw:g}")
def refuse_with_draw(context, draw):
    program = Program(role="gateway", settings=load(None, []).settings)
    with mock.patch.object(retrytimes, "draw", lambda: draw):
        home_refusal = HomeRegions(program=program).refusal(frozenset())
        context.refusals = [home_refusal, closed_failure("models")]


@then("refusals for evacuations and home regions state {seconds:g} s")
def retry_times(context, seconds):
    found = [refusal.retry_after_s for refusal in context.refusals]
    assert found == [seconds, seconds], found


@then("every gateway has logged that home regions are unusable")
def logged_unusable(context):
    for gateway in context.case.gateways:
        lines = gateway.logged(Event.HOMES_UNUSABLE)
        assert len(lines) == len(configuration()["routes"]), lines


@given('the engine in "{region}" breaks off after {count:d} events')
def engine_breaks_off(context, region, count):
    context.case.endpoints[f"e-{region}"].cut_after_events = count


@then('the caller gets less than all events, all of "{region}"')
def cut_short(context, region):
    assert not context.reply.whole and len(context.reply.event_ids) < EVENTS
    ran = set(context.case.ran(context.path))
    assert ran == {f"e-{region}"}, ran


@then('engines of "{region}" alone have got its KV cache, {copies}')
def moved_within(context, region, copies):
    targets = {name for name, each in context.case.endpoints.items() if each.kv_copies}
    assert all(name.startswith(f"e-{region}") for name in targets), targets
    assert len(targets) == (copies == "one of them"), targets


@then('it has passed on requests to gateways of "{region}" alone')
def passed_on_within(context, region):
    lines = context.case.gateways[0].logged(Event.REQUEST_RELAYED)
    names = {line.partition("gateway=")[2].split()[0] for line in lines}
    # Gateways of z1 and z2 take turns.
    wanted = {"north": {"g2"}, "south": {"g1", "g3"}}[region]
    assert names and names <= wanted, names
    served = sum(reply.status == 200 for reply, _ in context.replies)
    assert served >= SERVED_RATIO * len(context.replies), served


@then('its directories list gateways of "{regions}" for a caller in "{region}"')
def directories_list(context, regions, region):
    gateways = context.case.gateways
    wanted = {
        gateway.addresses["callers"]
        for number, gateway in enumerate(gateways)
        if ("north", "south")[number % 2] in regions.split()
    }
    place = f"region={region}&zone={DOMAINS.get(region, 'z7')}"

    async def listed():
        named = [await gateway.named(place) for gateway in gateways]
        return all(each == wanted for each in named)

    run(context, eventually(listed, f"gateways of {regions}"))


@when(
    "a gateway with {share:g} of a core {speed:w} as fast uses 0 s, then {used:g} s of"
    " each second"
)
def measure_load(context, share, speed, used):
    host = attrs.evolve(
        load(None, []).settings.host,
        cpu_share=share,
        core_speed={"twice": 2.0}[speed],
    )
    now = [0.0, 0.0]
    context.load = OwnLoad(host=host, clock=lambda: now[0], used_s=lambda: now[1])
    context.loads = [context.load.reported()]
    for second in range(60):
        now[0] += 1
        now[1] += used
        context.load.measure()
        context.loads.append(context.load.reported())
        if second == 7:
            context.load_after_average = context.load.reported()


@then(
    "it tells a capacity of {capacity:d} and loads from {low:d} to {high:d}, after 8 s"
    " about {middle:d}"
)
def told_load(context, capacity, low, high, middle):
    assert context.load.capacity == capacity
    assert context.loads == sorted(context.loads)
    assert context.loads[0] == low and context.loads[-1] == high, context.loads
    assert abs(context.load_after_average - middle) <= 1, context.load_after_average
