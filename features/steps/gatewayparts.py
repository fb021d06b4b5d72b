"""Steps that ask one part of the gateway for its decision."""

import asyncio
import pathlib
import re
from unittest import mock

from behave import given, then, when

from baobabturn.core.program import Program
from baobabturn.gateway import staleness
from baobabturn.gateway.budget import FleetRetryBudget
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.migrationplan import migration_plan
from baobabturn.gateway.mirror import StoreContact
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.routes import EngineTraits, RouteTable, Service
from baobabturn.gateway.sse import EventSplitter
from baobabturn.placement.homes import DomainRegions
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.scheduler.lengths import LengthModel
from baobabturn.scheduler.state import Reservation
from baobabturn.store.interface import Change
from baobabturn.store.version import StoreVersion
from baobabturn.wire.messages import Admit
from features.fleetcase import SETTINGS
from features.helper import ROOT
from features.steps.gateway import run

GAP_S = 0.01
ROOMY = 1_000_000
TOKEN_BYTES = 1000
PACKAGE = ROOT / "src" / "baobabturn"
FOREIGN = re.compile(
    r"kvTokens|kvBytes|kvUsed|linkMbps|routeType|trafficSplit|pathPrefix|authExempt"
    r"|stickySessions|streamResume|gapAimMs|apiKeys|maxAttempts|sloMs|timeoutMs"
    r"|x-attempt-id|x-response-stamp|x-not-executed|x-expect-instance|x-tenant"
    r"|x-token-count|x-prompt-prefix|x-deadline-ms|x-length-hint|x-kv-backup|kv-from"
    r"|kv-move|kv-handle|kv-fetch|callSeq|currentRev|createRevision|/baobabturn/",
    re.IGNORECASE,
)


def traits(token_s):
    """Return an engine's traits by the time that a token's copy takes."""
    return EngineTraits(
        slots=8,
        kv_cache_tokens=40_000,
        kv_bytes_per_token=TOKEN_BYTES,
        link_bytes_per_s=TOKEN_BYTES / token_s,
        tokens_per_event=4,
        supports_migration=True,
        supports_backups=False,
    )


def reservation(name, prompt, produced=1, max_tokens=2000, short=False):
    """Return a run at an engine."""
    lengths = LengthModel(half_life_samples=100, key_limit=10)
    for _ in range(50):
        lengths.observe("w", "m", "k", 1500, True)
    return Reservation(
        name=name,
        endpoint="e",
        workspace="w",
        model="m",
        kind="k",
        priority=0,
        prompt_tokens=prompt - produced,
        max_tokens=max_tokens,
        granted_at=0.0,
        produced=produced,
        short=short,
        length_distribution=lengths.length_distribution("w", "m", "k"),
    )


@given("runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s")
def three_runs(context):
    sizes = {"large": 4000, "small": 2000, "middle": 3000}
    context.runs = [reservation(name, size) for name, size in sizes.items()]
    context.order = ["small", "middle", "large"]


@given("the smallest one has no token yet")
def smallest_in_prefill(context):
    by_name = {each.name: each for each in context.runs}
    by_name["small"].produced = 0


@then(
    'the copies begin with "{first}", "{second}" and then "{last}", which delays none'
)
def holds_up_none(context, first, second, last):
    order = sorted(context.plan, key=context.plan.get)
    assert order == [first, second, last], context.plan
    assert context.turns[first].may_start(list(context.turns), 0.0)
    assert all(last not in turn.predecessors for turn in context.turns.values())


@given("a run of short work at an engine")
def short_run(context):
    context.runs = [reservation("short", 2000, short=True)]


@given("a run with 10 of its 2000 tokens left")
def nearly_done(context):
    context.runs = [reservation("old", 5000, produced=1990)]


@given("runs of which the smaller one ends soon by what has been learned")
def ends_soon(context):
    ending = reservation("ending", 2000)
    lengths = LengthModel(half_life_samples=100, key_limit=10)
    for _ in range(50):
        lengths.observe("w", "m", "k", 10, True)
    ending.length_distribution = lengths.length_distribution("w", "m", "k")
    context.runs = [ending, reservation("lasting", 4000)]


@then('the copies begin with "{first}" and then "{second}"')
def in_this_order(context, first, second):
    assert sorted(context.plan, key=context.plan.get) == [first, second], context.plan


@when("the engine leaves and the neighbours have room for all")
def leaves_with_room(context):
    leaves(context, ROOMY)


@when("the engine leaves and the neighbours have room for {tokens:d} tokens")
def leaves(context, tokens):
    context.turns = migration_plan(
        context.runs, traits(0.0001), GAP_S, nearby_free_tokens=[tokens]
    )
    context.plan = {name: turn.latest_start_s for name, turn in context.turns.items()}


@when("the engine leaves and two neighbours have room for {tokens:d} tokens each")
def leaves_scattered(context, tokens):
    context.turns = migration_plan(
        context.runs, traits(0.0001), GAP_S, nearby_free_tokens=[tokens, tokens]
    )
    context.plan = {name: turn.latest_start_s for name, turn in context.turns.items()}


@then("a copy's turn comes when those before it have left, and not sooner")
def turns_come(context):
    for place, name in enumerate(context.order):
        before = context.order[:place]
        for left in range(place):
            assert not context.turns[name].may_start(before[left:], 0.0), name
        assert context.turns[name].may_start(context.order[place:], 0.0), name


@then("a run that doesn't leave holds up the next one for {seconds:g} seconds at most")
def held_up(context, seconds):
    second = context.turns[context.order[1]]
    assert not second.may_start([context.order[0]], 0.2)
    assert second.may_start([context.order[0]], seconds)


@then("the copies begin with the smallest run, each after the one before")
def in_order(context):
    assert sorted(context.plan, key=context.plan.get) == context.order, context.plan
    assert context.plan[context.order[0]] == 0.0, context.plan


@then("the last of {count:d} copies begins after {seconds:g} seconds or more")
def take(context, count, seconds):
    assert len(context.plan) == count, context.plan
    assert context.plan[context.order[-1]] >= seconds, context.plan


@then("no copy is made")
def no_copy(context):
    assert context.plan == {}, context.plan


@given("8 gateways whose services may get 20 percent and 56 repeats in 10 s")
def budgets(context):
    context.now = 100.0
    context.budgets = [
        FleetRetryBudget(
            ratio=0.2,
            window_s=10.0,
            slack=56.0,
            gateway_count=lambda: 8,
            clock=lambda: context.now,
        )
        for _ in range(8)
    ]


@when("each gateway gets 100 requests and every one fails")
def all_fail(context):
    context.repeats = []
    for budget in context.budgets:
        count = 0
        for _ in range(100):
            budget.record_request("s")
            count += budget.try_spend("s")
        context.repeats.append(count)


@then("all gateways together repeat at most {count:d}")
def repeat_at_most(context, count):
    assert sum(context.repeats) <= count, context.repeats


@then("each of them repeats some")
def repeat_some(context):
    assert min(context.repeats) >= 10, context.repeats


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.now += seconds


@then("a repeat is allowed again")
def allowed(context):
    assert context.budgets[0].try_spend("s")


@then("a stream cut into pieces of {size:d} bytes gives events 1 to 9 unchanged")
def split(context, size):
    events = [b"id: %d\ndata: a: b\ndata: c\n\n" % number for number in range(1, 10)]
    events[4] = events[4].replace(b"\n", b"\r\n")
    stream = b"".join(events)
    splitter = EventSplitter()
    found = []
    for start in range(0, len(stream), size):
        found += splitter.feed(stream[start : start + size])
    assert [event.data for event in found] == events, found
    assert [event.number for event in found] == list(range(1, 10)), found
    assert not splitter.pending


@given("a configuration confirmed a moment ago, to be trusted for 4 seconds")
def confirmed(context):
    real = staleness.boot_time_s
    context.add_cleanup(lambda: setattr(staleness, "boot_time_s", real))
    context.boot = 50.0
    staleness.boot_time_s = lambda: context.boot
    context.config_staleness = staleness.ConfigStaleness(revoke_s=5.0)
    context.config_staleness.confirm(context.boot)
    assert context.config_staleness.allows_keys()


@when("the host is suspended for {seconds:d} seconds")
def suspended(context, seconds):
    context.boot += seconds


@then("keys aren't accepted")
def not_accepted(context):
    assert not context.config_staleness.allows_keys()


@then("no name of the platform's wire stands in the package outside its folder")
def boundary(context):
    found = []
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.is_relative_to(PACKAGE / "platform"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if FOREIGN.search(line):
                found.append(f"{pathlib.Path(path).name}:{number}: {line.strip()}")
    assert not found, found


def entry_change(number, revision, state):
    """Return a version of an engine's entry."""
    value = {
        "service": "models",
        "address": f"10.0.{number // 250}.{number % 250}:80",
        "zone": "z",
        "slots": 8,
        "state": state,
    }
    version = StoreVersion(0, revision)
    return Change(name=f"e{number}", version=version, value=value)


@given("a pool of {count:d} engines that a gateway has just listed")
def listed_pool(context, count):
    async def play():
        program = Program(role="gateway", settings=SETTINGS)
        context.endpoints = Endpoints(
            object_codec=PlatformObjectCodec(),
            events=program.events,
            contact=StoreContact(events=program.events),
            lapse_grace_s=1.0,
        )
        context.pools = EnginePools(
            program=program,
            endpoints=context.endpoints,
            regions=DomainRegions(by_domain={}),
        )
        entries = [entry_change(each, each + 1, "ready") for each in range(count)]
        context.endpoints.apply_list(tuple(entries))
        service = Service(name="models", engine=traits(0.0001))
        context.pools.apply_table(
            RouteTable(
                version=1,
                routes={},
                services={service.name: service},
                key_holders={},
                keys_required=False,
            )
        )
        context.endpoints.change_listeners.append(context.pools.schedule_refresh)
        context.endpoints.leaving_listeners.append(context.pools.mark_leaving)
        context.pool = context.pools.pools["models"]
        context.set_anew = mock.Mock(wraps=context.pool.update_endpoints)
        context.pool.update_endpoints = context.set_anew

    run(context, play())


@when("{count:d} of them begin to leave one after the other")
def leave_one_by_one(context, count):
    async def play():
        for number in range(count):
            revision = 1000 + number
            change = entry_change(number, revision, "draining")
            context.endpoints.apply_change(change)
        # Before anything else runs.
        admit = Admit(request="r", reservation="r", model="m", workspace="w")
        available = context.pool.state.available_endpoints(admit)
        context.available = {endpoint.name for endpoint in available}
        context.leaving = {f"e{number}" for number in range(count)}
        context.set_at_once = context.set_anew.call_count

    run(context, play())


@then("no request is placed at those, though the pool hasn't been set anew")
def not_placed(context):
    assert context.available and not context.available & context.leaving
    assert context.set_at_once == 0, context.set_at_once


@then("after {seconds:g} seconds the pool has been set anew once")
def set_anew_once(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert context.set_anew.call_count == 1, context.set_anew.call_count
