"""Steps on endpoints that are cold after their start."""

import asyncio
import json
import random
import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from baobabturn.config.declared import Endpoint as DeclaredEndpoint
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway import retrytimes
from baobabturn.gateway.coldendpoints import ColdEndpoints
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.mirror import StoreContact
from baobabturn.gateway.plain import PlainForwarder
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.routes import Service
from baobabturn.gateway.turns import Turns
from baobabturn.placement.homes import DomainRegions
from baobabturn.placement.warmup import WarmUp
from baobabturn.platform.documents import PlatformObjectCodec, decode_endpoint_value
from baobabturn.platform.headers import PlatformHeaderTranslator
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.ratelimits import RateLimits
from baobabturn.scheduler.state import NoRateLimits
from baobabturn.store.interface import Change
from baobabturn.store.version import StoreVersion
from baobabturn.wire import codec
from baobabturn.wire.gatewaymessages import EndpointLimit, LimitNews
from baobabturn.wire.messages import Admit, Release
from baobabturn.wire.words import FINISHED
from fakes.siteconfig import configuration
from features.fleetcase import LIMITED_ENDPOINT, SETTINGS, FleetClock
from features.sitecase import eventually
from features.steps.gateway import run

SERVICE = Service(name="models", cold_start_s=1.0, cold_per_s=21.0)
ENTRY_VERSION, LATER_VERSION = StoreVersion(1, 5), StoreVersion(1, 6)
# Gateways hear of one another's requests after this time.
STEP_S = 0.005
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
}
TURN_INTERVAL_S = 0.02
HEARTBEAT_STEPS = 120
CUT_STEP_S = 0.6


@given("an endpoint whose entry says that it is cold for {left:g} s")
@given("an endpoint whose entry doesn't say whether it is cold")
def cold_endpoint(context, left=None):
    context.warm_up = WarmUp()
    context.warm_up.set_services([SERVICE])
    record_entry(context, left, ENTRY_VERSION, 0.0)


def record_entry(context, left, version, now):
    """Record an entry of the endpoint."""
    context.warm_up.record_entry("e", "models", left_s=left, version=version, now=now)


@when("at {at:g} s a newer entry says that it is cold for {left:g} s")
def newer_entry(context, at, left):
    record_entry(context, left, LATER_VERSION, at)


@when("at {at:g} s the same entry says that it is cold for {left:g} s")
def same_entry(context, at, left):
    record_entry(context, left, ENTRY_VERSION, at)


@when("at {at:g} s the evacuation of its failure domain ends")
def evacuation_ends(context, at):
    context.warm_up.restart(["e", "unknown"], at)
    record_entry(context, 0.0, ENTRY_VERSION, at + 0.1)


@when("at {at:g} s another gateway says that it is cold for {left:g} s")
def told(context, at, left):
    context.warm_up.record_told("e", left_s=left, now=at)


@then("it is cold at {cold:g} s, and warm at {warm:g} s")
def cold_then_warm(context, cold, warm):
    limit = context.warm_up.cold_limit("e", cold)
    assert limit is not None and limit.per_s == SERVICE.cold_per_s, limit
    warm_at(context, warm)


@then("it is warm at {warm:g} s")
def warm_at(context, warm):
    assert context.warm_up.cold_limit("e", warm) is None


@then("a service is read with these fields")
def services_read(context):
    for row in context.table:
        value = {**configuration(), "services": [{"name": "s"}], "routes": []}
        value["services"][0].update(json.loads(row["fields"]))
        found = PlatformObjectCodec().decode_table(value)
        if row["rate"] == "odd":
            assert isinstance(found, Failure), found
            continue
        service = found.services["s"]
        wanted = float(row["start"]), float(row["rate"])
        assert (service.cold_start_s, service.cold_per_s) == wanted, service


@given("an endpoint whose entry is read by a gateway, with coldLeftMs {left:d}")
def entry_read(context, left):
    program = Program(role="gateway", settings=SETTINGS)
    context.endpoints = Endpoints(
        object_codec=PlatformObjectCodec(),
        events=program.events,
        contact=StoreContact(events=program.events),
        lapse_grace_s=0.0,
    )
    context.limits = RateLimits()
    context.cold_endpoints = ColdEndpoints(
        program=program,
        endpoints=context.endpoints,
        limits=context.limits,
        reach=lambda: 1.0,
    )
    context.cold_endpoints.set_services([SERVICE])
    apply_entry(context, ENTRY_VERSION, left, born=7)


def apply_entry(context, version, left, born):
    """Apply an entry of the endpoint as a watch of the store brings it."""
    value = {**ENTRY, "service": SERVICE.name, "coldLeftMs": left, "born": born}
    change = Change(name="e", version=version, value=value)

    async def apply():
        context.endpoints.apply_change(change)

    run(context, apply())


@when("its report names another incarnation")
def report_read(context):
    async def apply():
        context.endpoints.apply_report(context.endpoints.by_name["e"], 8)

    run(context, apply())


@then("the gateway takes it for warm")
def taken_for_warm(context):
    assert not context.limits.is_warming_up("e")
    assert context.cold_endpoints.count() == 0


@then("the gateway takes it for cold until its new entry says coldLeftMs {left:d}")
def cold_until_entry(context, left):
    assert context.limits.is_warming_up("e")
    assert context.cold_endpoints.count() == 1
    apply_entry(context, LATER_VERSION, left, born=8)
    taken_for_warm(context)


@then("an entry is read with coldLeftMs of")
def entries_read(context):
    for row in context.table:
        value = {**ENTRY, "coldLeftMs": json.loads(row["value"])}
        found = decode_endpoint_value("e", value).cold_left_s
        wanted = None if row["seconds"] == "none" else float(row["seconds"])
        assert found == wanted, (row["value"], found)


@then("an answer is read with X-Cold-Ms of")
def answers_read(context):
    translator = PlatformHeaderTranslator()
    for row in context.table:
        headers = [(b"x-cold-ms", row["value"].encode())]
        found = translator.response_metadata(200, headers).cold_left_s
        wanted = None if row["seconds"] == "none" else float(row["seconds"])
        assert found == wanted, (row["value"], found)


@when("an answer of an endpoint that was warm says that it is cold for {left:g} s")
def cold_answer(context, left):
    cold_endpoint(context, 0.0)
    context.warm_up.record_answer("e", left_s=left, now=0.0)
    context.warm_up.record_answer("e", left_s=0.0, now=0.1)


@when(
    "requests of priority {first:d}, {second:d}, {third:d} and {last:d} book turns one"
    " after another"
)
def turns_booked(context, first, second, third, last):
    context.turns_taken = []

    async def wait(turns, number, priority):
        delay_s = (number + 1) * TURN_INTERVAL_S
        if await turns.wait("e", priority, delay_s=delay_s, limit_s=1.0):
            context.turns_taken.append(priority)

    async def book():
        turns = Turns()
        waits = [
            asyncio.create_task(wait(turns, number, priority))
            for number, priority in enumerate((first, second, third, last))
        ]
        await asyncio.sleep(0)
        context.first_turn_s = turns.delay_s("e", 0, 1.0)
        await asyncio.gather(*waits)
        assert not turns.waiting, turns.waiting

    run(context, book())


@then("the turns go to those of priority {first:d}, {second:d}, {third:d} and {last:d}")
def turns_taken(context, first, second, third, last):
    assert context.turns_taken == [first, second, third, last], context.turns_taken


@then("one of priority 0 would get the first of the turns that the others booked")
def first_turn(context):
    assert 0 < context.first_turn_s <= TURN_INTERVAL_S, context.first_turn_s


@when("a request waits for a turn in {delay:g} s, for {limit:g} s at most")
def turn_at_limit(context, delay, limit):
    async def wait():
        # Until the loop goes on, both the turn and the end of the wait are due.
        asyncio.get_running_loop().call_later(0, time.sleep, 2 * delay)
        return await Turns().wait("e", 1, delay_s=delay, limit_s=limit)

    context.turn_came = run(context, wait())


@then("the turn comes")
def turn_comes(context):
    assert context.turn_came


@when(
    "a request books a turn in {first:g} s, and a more urgent one that in {second:g} s"
)
def two_book(context, first, second):
    context.turns = Turns()
    context.booked = (2, first), (1, second)


@when("the more urgent one has got the first turn")
def first_turn_taken(context):
    async def wait():
        displaced, urgent = (
            asyncio.create_task(
                context.turns.wait("e", priority, delay_s=delay_s, limit_s=9.0)
            )
            for priority, delay_s in context.booked
        )
        assert await urgent and not displaced.done()
        context.next_turn_s = context.turns.delay_s("e", 0, 9.0)
        displaced.cancel()
        await asyncio.wait([displaced])

    run(context, wait())


@then("the turn of another urgent one comes in {least:g} s or later")
def later_turn(context, least):
    assert least <= context.next_turn_s < 9.0, context.next_turn_s


@when("it says that it is leaving while a request waits for a turn in {delay:g} s")
def leaves_while_waiting(context, delay):
    unused = ("endpoint_client", "budget", "crash_watch", "rate_limits", "paths")
    forwarder = PlainForwarder(
        program=Program(role="gateway", settings=SETTINGS),
        endpoints=context.endpoints,
        **dict.fromkeys((*unused, "slot_room", "body_room", "regions")),
    )

    async def wait():
        wait = forwarder.turns.wait("e", 1, delay_s=delay, limit_s=delay)
        waiting = asyncio.create_task(wait)
        await asyncio.sleep(0)
        endpoint = context.endpoints.by_name["e"]
        context.endpoints.mark_announced_leaving(endpoint, "it says so")
        async with asyncio.timeout(1.0):
            context.turn_came = await waiting

    run(context, wait())


@then("the wait has ended without a turn within 1 s")
def ended_without_turn(context):
    assert not context.turn_came


@given("a schedule of an endpoint that warms up at {per_s:g} a second for {left:g} s")
def schedule(context, per_s, left):
    schedules(context, 1, per_s, left)


@given(
    "{count:d} schedules of endpoints that warm up at {per_s:g} a second for {left:g} s"
)
def schedules(context, count, per_s, left):
    context.clock = FleetClock()
    context.limits = RateLimits(clock=context.clock)
    context.names = [f"e{number}" for number in range(count)]
    for name in context.names:
        context.limits.set_warm_up(name, per_s, context.clock.now + left)
    context.stamp = 0


@when("its answer names a limit of {per_s:g} a second")
@when("its answer names no limit")
def names_limit(context, per_s=None):
    context.stamp += 1
    context.limits.set_limit("e0", per_s, stamp=context.stamp)


@when("{seconds:g} s pass")
def seconds_pass(context, seconds):
    context.clock.now += seconds


@then("it takes {per_s:g} a second")
def takes(context, per_s):
    found = context.limits.limited("e0")
    assert found is not None and found.allowed_per_s == per_s, found


@then("it takes any number")
def takes_any(context):
    assert context.limits.limited("e0") is None
    assert context.limits.delay_s("e0") == 0


@then("no schedule is kept")
def no_schedule(context):
    assert not context.limits.schedules, context.limits.schedules


@then("a request behind {count:d} others would wait for {seconds:g} s")
def would_wait(context, count, seconds):
    found = context.limits.queue_delay_s(context.names, count)
    assert abs(found - seconds) < 0.01, found


class CountedLimits:
    """Limits that keep how many requests go ahead of one."""

    def limited_endpoints(self):
        """Return no endpoint."""
        return ()

    def record_demand(self, endpoints):
        """Do nothing."""

    def queue_delay_s(self, endpoints, waiting):
        """Keep how many requests go ahead, and permit no other."""
        self.ahead = waiting
        return 1.0


@given(
    "a pool whose engines are cold, with {count:d} requests of priority {priority:d}"
    " that wait"
)
def pool_waiting(context, count, priority):
    index = SimpleNamespace(usable={"models": {}})
    endpoints = SimpleNamespace(index=index)
    program = Program(role="gateway", settings=SETTINGS)
    regions = DomainRegions(by_domain={"z1": "north", "z2": "south"})
    context.pools = EnginePools(program=program, endpoints=endpoints, regions=regions)
    context.pools.rate_limits = CountedLimits()
    admits = [
        Admit(request="q", reservation="g", priority=-priority) for _ in range(count)
    ]
    queue = {number: SimpleNamespace(admit=each) for number, each in enumerate(admits)}
    state = SimpleNamespace(name="models", queue=queue)
    context.pool = SimpleNamespace(state=state)


@then(
    "a request of priority {first:d} has {few:d} ahead of it, and one of priority"
    " {second:d} has {many:d}"
)
def ahead_of(context, first, few, second, many):
    for priority, wanted in ((first, few), (second, many)):
        assert counted_ahead(context, priority, None) == wanted


def counted_ahead(context, priority, homes):
    """Return how many requests go ahead of one, which is refused."""
    with mock.patch.object(retrytimes, "draw", lambda: 0.0):
        refusal = context.pools.limit_refusal(context.pool, 0.5, -priority, homes)
    assert refusal is not None and refusal.retry_after_s == 1.0, refusal
    return context.pools.rate_limits.ahead


@given('{count:d} of them need the failure domain "{domain}"')
def need_domain(context, count, domain):
    for waiting in list(context.pool.state.queue.values())[:count]:
        waiting.admit.failure_domains = [domain]


@then(
    'a request of priority {priority:d} of "{one}" has {few:d} ahead of it, and one of'
    ' "{other}" {many:d}'
)
def ahead_in_region(context, priority, one, few, other, many):
    for region, wanted in ((one, few), (other, many)):
        ahead = counted_ahead(context, priority, frozenset({region}))
        assert ahead == wanted, (region, ahead)


class ColdEngineLimits(NoRateLimits):
    """Limits with one cold engine whose turn doesn't come soon."""

    def delay_s(self, endpoint):
        """Return a long delay for the cold engine."""
        return 9.0 if endpoint == "cold" else 0.0


@given("a pool with a warm engine for one request, and one whose turn comes in 9 s")
def pool_with_cold(context):
    policy = POLICIES[SETTINGS.scheduler.policy](settings=SETTINGS.scheduler, seed=1)
    program = Program(role="gateway", settings=SETTINGS)
    context.scheduler = PoolScheduler(name="p", program=program, policy=policy)
    context.scheduler.state.rate_limits = ColdEngineLimits()


@when("a second request waits, and the first one ends")
def second_waits(context):
    scheduler = context.scheduler

    async def play():
        scheduler.settle()
        engines = [
            DeclaredEndpoint(
                name=name,
                url=f"http://{name}",
                failure_domain="z",
                service="p",
                memory_tokens=10_000,
                concurrency=1,
            )
            for name in ("cold", "warm")
        ]
        scheduler.set_endpoints(engines, set())
        sizes = {"pool": "p", "prompt_tokens": 10, "max_tokens": 10}
        admits = [
            Admit(request=name, reservation=name, deadline_ms=5000, **sizes)
            for name in ("first", "second")
        ]
        await scheduler.admit(None, admits[0])
        waiting = asyncio.create_task(scheduler.admit(None, admits[1]))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        began_at = time.monotonic()
        scheduler.release(Release(reservation="first", outcome=FINISHED))
        context.grant = await waiting
        context.waited_s = time.monotonic() - began_at

    run(context, play())


@then("the second one is granted the warm engine within 1 s")
def granted_warm(context):
    assert not isinstance(context.grant, Failure), context.grant
    assert context.grant.endpoint == "warm", context.grant
    assert context.waited_s < 1, context.waited_s


@when("the gateway {number:d} is cut off from all others for {seconds:d} seconds")
def gateway_cut_off(context, number, seconds):
    gateways = context.fleet.gateways
    cut = gateways[number]
    for each in gateways:
        each.deaf_to.add(cut.address)
    cut.deaf_to = {each.address for each in gateways}
    for _ in range(int(seconds / CUT_STEP_S)):
        context.fleet.pass_time(CUT_STEP_S)


@when("{count:d} gateways end, and the others pause for {seconds:d} seconds")
def others_pause(context, count, seconds):
    fleet = context.fleet
    for gateway in fleet.gateways[:count]:
        gateway.alive = False
    for gateway in fleet.running():
        for peer in gateway.peers.table.peers.values():
            peer.known_since = fleet.clock.now
    fleet.clock.now += seconds
    for gateway in fleet.running():
        gateway.peers.resume_after_pause()


@then("each of the others hears all gateways that count")
def hears_all(context):
    found = [gateway.limits.reach() for gateway in context.fleet.running()]
    assert found == [1.0] * len(found), found


@given("{count:d} more endpoints are cold")
def more_cold(context, count):
    for number in range(count):
        record = SimpleNamespace(service=SERVICE.name, cold_left_s=60.0)
        endpoint = SimpleNamespace(name=f"e{number}", record=record)
        context.cold_endpoints.record_entry(endpoint, ENTRY_VERSION)


@then("an update of their limits counts the gateways that are heard once")
def counted_once(context):
    counted = []
    context.cold_endpoints.reach = lambda: counted.append(1) or 0.5
    context.cold_endpoints.update()
    assert len(counted) == 1, len(counted)
    schedule = context.limits.limited("e0")
    assert schedule.allowed_per_s == SERVICE.cold_per_s / 2, schedule


@when(
    "an endpoint returns cold for {left:g} seconds, known to all within {news:g}"
    " seconds"
)
def returns_cold(context, left, news):
    """Let all gateways have waiting requests, which they send as soon as they may."""
    fleet = context.fleet
    choice = random.Random(1)
    record = SimpleNamespace(service=SERVICE.name, cold_left_s=left)
    endpoint = SimpleNamespace(name=LIMITED_ENDPOINT, record=record)
    running = fleet.running()
    for gateway in running:
        gateway.limits.cold.set_services([SERVICE])
        gateway.limits.exchange_demand()
    began_at = fleet.clock.now
    waiting = {each: began_at + choice.random() * news for each in running}
    informed = []
    context.sent, context.cold_s = [], left
    for step in range(int(left / STEP_S)):
        fleet.clock.now += STEP_S
        for gateway in [each for each, at in waiting.items() if at <= fleet.clock.now]:
            del waiting[gateway]
            informed.append(gateway)
            gateway.limits.cold.record_entry(endpoint, ENTRY_VERSION)
        choice.shuffle(informed)
        for gateway in informed:
            send_if_permitted(context, gateway)
        fleet.deliver()
        if step % HEARTBEAT_STEPS == 0:
            for gateway in running:
                gateway.peers.send_heartbeat()
            fleet.deliver()
            fleet.exchange_loads()


def send_if_permitted(context, gateway):
    """Send a request to the cold endpoint if its turn has come."""
    gateway.limits.record_demand([LIMITED_ENDPOINT])
    if not gateway.limits.delay_s(LIMITED_ENDPOINT):
        gateway.limits.book(LIMITED_ENDPOINT)
        context.sent.append((context.fleet.clock.now, gateway.name))


def busiest_second(times):
    """Return the largest number of times within a second."""
    return max(
        (sum(at <= other < at + 1 for other in times) for at in times), default=0
    )


@then(
    "the cold endpoint gets at most {most:d} requests in any second, and {least:d} a"
    " second or more"
)
def within_cold_bound(context, most, least):
    assert busiest_second([at for at, _ in context.sent]) <= most, context.sent
    assert len(context.sent) >= least * context.cold_s, len(context.sent)


@then("the gateway {number:d} has sent at most {most:d} requests")
def has_sent(context, number, most):
    sent = [name for _, name in context.sent if name == f"g{number}"]
    assert 1 <= len(sent) <= most, len(sent)


@then("news without the new field leave the endpoint cold")
def old_news(context):
    gateway, peer = context.fleet.gateways
    item = EndpointLimit(endpoint=LIMITED_ENDPOINT, stamp=2**60, is_request=True)
    news = LimitNews(node=peer.name, items=[item])
    envelope = codec.unpack_small(codec.pack_small(codec.Envelope(body=news)))
    assert envelope.body.items[0].cold_left_ms == 0
    limits = gateway.limits
    limits.cold.restart([LIMITED_ENDPOINT])
    limits.handle_news(envelope.body, gateway.peers.table.peers[peer.name])
    assert limits.limits.is_warming_up(LIMITED_ENDPOINT)


@then("the news of a request there name no limit, so that an older peer knows none")
def news_name_no_limit(context):
    limits = context.fleet.gateways[1].limits
    limits.cold.warm_up.restart([LIMITED_ENDPOINT], limits.limits.clock())
    limits.cold.apply(LIMITED_ENDPOINT)
    item = limits.item(LIMITED_ENDPOINT, is_request=True, with_debt=True)
    assert item.cold_left_ms and not item.limited and not item.per_s, item
    # An older peer does no more with it than one without a schedule does.
    older = RateLimits()
    assert not older.set_limit(item.endpoint, None, stamp=item.stamp)
    assert not older.book(item.endpoint) and not older.delay_s(item.endpoint)


@given("cold endpoints take {per_s:g} requests a second")
def site_config(context, per_s):
    value = configuration(version=2)
    for service in value["services"]:
        service.update(coldStartS=1.0, coldPerS=per_s)
    context.case.store.write("config", "main", value)


@when("one of them starts again and is cold for {seconds:g} seconds")
def one_returns(context, seconds):
    start_again(context, list(context.case.endpoints)[:1], seconds)


@when("all of them start again and are cold for {seconds:g} seconds")
def all_return(context, seconds):
    start_again(context, list(context.case.endpoints), seconds)


def start_again(context, names, seconds):
    """Let endpoints start again, and wait until the gateways know."""
    context.cold = [context.case.endpoints[name] for name in names]
    run(context, asyncio.sleep(0.5))
    for endpoint in context.cold:
        entry = endpoint.entry(
            born=int(time.time() * 1000), coldLeftMs=int(seconds * 1000)
        )
        context.case.store.write("servers", endpoint.name, entry)
    run(
        context,
        eventually(
            lambda: all(
                gateway.gauge("cold_endpoints") == len(names)
                for gateway in context.case.gateways
            ),
            "the gateways know",
        ),
    )
    for gateway in context.case.gateways:
        assert gateway.logged(Event.ENDPOINT_COLD), "no line on a cold endpoint"


@then("it gets at most {most:d} requests in any second")
@then("each of them gets at most {most:d} requests in any second")
def real_bound(context, most):
    for endpoint in context.cold:
        times = [request.arrived_at for request in endpoint.ran]
        assert 2 <= busiest_second(times) <= most, (endpoint.name, len(times))
