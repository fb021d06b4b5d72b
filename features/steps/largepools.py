"""Steps that count what a gateway does for one event in a pool of many engines."""

import asyncio
import time
from unittest import mock

import xxhash
from behave import given, then, when

from baobabturn.core.results import Failure
from baobabturn.wire.gatewaymessages import EngineLoad
from baobabturn.wire.messages import ProgressItem, Release
from baobabturn.wire.words import FINISHED
from features.largepoolcase import SERVICE, lines_of, make_pools
from features.steps.gateway import run

CLASSIFY_S = 0.2
SLOTS = 8
# Of the engines chosen by the code that examined all engines of each pool, commit
# 7cf7ea2, for the seed 1.
CHOICE_DIGESTS = ("d7c1ae1cc1510265", "b5af1e37660c6fe4")


def count_lines(context, work):
    """Do some work in each pool; keep how many lines that runs."""

    async def play():
        return [lines_of(lambda large=large: work(large)) for large in context.large]

    context.lines = run(context, play())


@given("pools of {smaller:d} and {larger:d} engines that a gateway has just listed")
def listed(context, smaller, larger):
    context.large = run(context, make_pools((smaller, larger)))


@when("the entry of one engine changes in each")
def entry_changes(context):
    def work(large):
        large.change(7, zone="y")
        large.pools.refresh_endpoints()

    count_lines(context, work)


@when("one engine begins to leave in each")
def one_leaves(context):
    def work(large):
        large.change(7, "draining")
        large.pools.refresh_endpoints()

    count_lines(context, work)


@when("the entry of one engine changes in each, and that is timed")
def change_timed(context):
    async def play():
        for large in context.large:
            context.seconds.append(min(timed_change(large) for _ in range(5)))

    context.seconds = []
    run(context, play())


def timed_change(large):
    """Return the processor time of the change of one entry, in seconds."""
    began_at = time.process_time()
    large.change(7, zone="y")
    return time.process_time() - began_at


@then("that takes at most {ratio:g} times as long in the larger one")
def bounded_time(context, ratio):
    smaller, larger = context.seconds
    assert larger <= ratio * smaller, context.seconds


@when("another failure domain names the load on one engine in each")
def remote_load(context):
    load = EngineLoad(pool=SERVICE, endpoint="e7", tokens=500, requests=2)
    count_lines(context, lambda large: large.pools.apply_domain_load("far", [load]))


@when("the other failure domain names no load")
def no_remote_load(context):
    count_lines(context, lambda large: large.pools.apply_domain_load("far", []))


@when("{count:d} random changes of endpoints are applied to each")
def random_changes(context, count):
    async def play():
        for large in context.large:
            for _ in range(count):
                large.change_at_random()
            large.pools.refresh_endpoints()

    run(context, play())


@then("that takes at most {ratio:g} times as many lines in the larger one")
def bounded_lines(context, ratio):
    smaller, larger = context.lines
    assert larger <= ratio * smaller, context.lines


@then("that engine alone has a remote load")
def one_remote_load(context):
    for large in context.large:
        loaded = {
            state.name: (state.remote_tokens, state.remote_requests)
            for state in large.pool.state.endpoints.values()
            if state.remote_tokens or state.remote_requests
        }
        assert loaded == {"e7": (500, 2)}, loaded


@then("no engine has a remote load")
def none_remote(context):
    for large in context.large:
        states = large.pool.state.endpoints.values()
        assert not any(each.remote_tokens or each.remote_requests for each in states)


@then("each pool has the engines that are listed")
def engines_listed(context):
    for large in context.large:
        wanted = {
            endpoint.name: (
                f"http://{endpoint.record.address}",
                endpoint.record.failure_domain,
                endpoint.leaving,
                large.endpoints.is_closed(endpoint),
                endpoint.record.software_version.key,
            )
            for endpoint in large.endpoints.by_name.values()
            if endpoint.record.service == SERVICE
        }
        found = {
            state.name: (
                state.url,
                state.failure_domain,
                state.leaving,
                state.closed,
                state.software_version,
            )
            for state in large.pool.state.endpoints.values()
        }
        assert wanted == found, wanted.items() ^ found.items()


@then("the usable endpoints are those that are known, in their order")
def usable_ordered(context):
    for large in context.large:
        for service in (SERVICE, "others"):
            wanted = [
                endpoint.name
                for endpoint in large.endpoints.by_name.values()
                if endpoint.record.service == service
                and not endpoint.leaving
                and not large.endpoints.is_closed(endpoint)
            ]
            found = [each.name for each in large.endpoints.usable(service)]
            assert wanted == found, (wanted, found)


@when("{count:d} engines of each have requests and all are classified")
def classified(context, count):
    def work(large):
        policy = large.pool.policy
        for number in range(count):
            large.hold(number, 2)
        now = time.monotonic()
        policy.choose_hedges(large.pool.state, now)
        return lines_of(
            lambda: policy.choose_hedges(large.pool.state, now + CLASSIFY_S)
        )

    async def play():
        return [work(large) for large in context.large]

    context.in_use = count
    context.lines = run(context, play())


@when("all requests end and {seconds:d} seconds pass")
def all_end(context, seconds):
    async def play():
        for large in context.large:
            for number in range(context.in_use):
                large.release(number, 0)
                large.release(number, 1)
            later = time.monotonic() + seconds
            large.pool.policy.choose_hedges(large.pool.state, later)

    run(context, play())


@then("no engine counts as in use")
def none_in_use(context):
    for large in context.large:
        assert not large.pool.policy.in_use.names


@when("a request is admitted in each after {count:d} others")
def admitted(context, count):
    async def play():
        for large in context.large:
            for _ in range(count):
                await large.admit()
            policy = large.pool.policy
            policy.placement_cost = mock.Mock(wraps=policy.placement_cost)
            coroutine = large.admit()
            context.lines.append(lines_of(lambda: finish(coroutine)))  # noqa: B023
            context.examined.append(policy.placement_cost.call_count)

    context.lines, context.examined = [], []
    run(context, play())


def finish(coroutine):
    """Run a coroutine that has nothing to wait for."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        assert not isinstance(end.value, Failure), end.value
        return
    raise AssertionError("it waits")


@then("at most {count:d} engines were examined for it")
def examined(context, count):
    assert all(0 < each <= count for each in context.examined), context.examined


@given("a pool of {count:d} engines of which all but {name} are full")
def full_but_one(context, count, name):
    full_pool(context, count, name.strip('"'))


@given("a pool of {count:d} engines of which all are full")
def full(context, count):
    full_pool(context, count, "")


def full_pool(context, count, spared):
    """Fill all engines of a pool but one."""

    async def play():
        (large,) = await make_pools([count])
        for number in range(count):
            if f"e{number}" != spared:
                large.hold(number, SLOTS)
        return large

    context.pool_case = run(context, play())


class AllLimited:
    """Limits on the rate of requests, which all engines but one have reached."""

    def __init__(self, names):
        self.names = names

    def delay_s(self, endpoint):
        """Return the time until a limit permits a request."""
        return 60.0 if endpoint in self.names else 0.0

    def book(self, endpoint):
        """Do nothing."""

    def queue_delay_s(self, endpoints, waiting):
        """Return the shortest time, however many wait."""
        return min(map(self.delay_s, endpoints), default=0.0)

    def record_demand(self, endpoints):
        """Do nothing."""

    def limited_endpoints(self):
        """Return the engines at their limit."""
        return self.names


@given("a pool of {count:d} engines of which all but {name} are at their limit")
def limited_but_one(context, count, name):
    limited_pool(context, count, name.strip('"'))


@given("a pool of {count:d} engines of which all are at their limit")
def limited(context, count):
    limited_pool(context, count, "")


def limited_pool(context, count, spared):
    """Let all engines of a pool but one be at their limit."""
    (large,) = run(context, make_pools([count]))
    limits = AllLimited({f"e{number}" for number in range(count)} - {spared})
    large.pools.rate_limits = large.pool.state.rate_limits = limits
    context.pool_case = large


@when("a request comes")
def one_request(context):
    context.outcome = run(context, context.pool_case.admit())


@then('it is placed at "{name}"')
def placed_at(context, name):
    assert context.outcome.endpoint == name, context.outcome


@then("it is refused with the code {code:d}")
def refused_with(context, code):
    assert context.outcome.code == code, context.outcome


@when("a request waits while the pool is looked at {count:d} times")
def waits(context, count):
    large = context.pool_case
    policy = large.pool.policy
    policy.accepts_requests = mock.Mock(wraps=policy.accepts_requests)

    async def play():
        context.waiting = asyncio.ensure_future(
            large.pool.admit(None, large.admission(deadline_ms=5000))
        )
        await asyncio.sleep(0)
        for _ in range(count):
            large.pool.dispatch()

    run(context, play())


@then("no more than {count:d} engines were examined for it")
def examined_in_all(context, count):
    found = context.pool_case.pool.policy.accepts_requests.call_count
    assert 0 < found <= count, found


@when('"{name}" gets room again')
def room_again(context, name):
    async def play():
        for index in range(SLOTS):
            context.pool_case.release(int(name[1:]), index)

    run(context, play())


@then('the request is placed at "{name}" within {seconds:g} seconds')
def placed_soon(context, name, seconds):
    async def play():
        async with asyncio.timeout(seconds):
            return await context.waiting

    grant = run(context, play())
    assert grant.endpoint == name, grant


@when("prompts of {count:d} prefixes come {times:d} times")
def prompts_come(context, count, times):
    async def play(large):
        hits = 0
        for _ in range(times):
            for prefix in range(count):
                blocks = [prefix * 100 + block for block in range(1, 9)]
                admit = large.admission(tokens=2500, prefixes=blocks)
                grant = await large.pool.admit(None, admit)
                hits += prefix in context.holders.setdefault(grant.endpoint, set())
                context.holders[grant.endpoint].add(prefix)
                release = Release(reservation=grant.reservation, outcome=FINISHED)
                large.pool.release(release)
        return hits / (count * times)

    context.hit_ratios = []
    for large in context.large:
        context.holders = {}
        context.hit_ratios.append(run(context, play(large)))


@then("at least {percent:d} percent come to an engine that has their prefix")
def prefix_hits(context, percent):
    assert min(context.hit_ratios) >= percent / 100, context.hit_ratios


@then("{count:d} choices in each are those of the recorded digests")
def same_choices(context, count):
    async def play(large):
        chosen = []
        large.pool.policy.random.seed(1)
        for number in range(count):
            grant = await large.pool.admit(None, large.admission(200 + 40 * number))
            chosen.append(grant.endpoint)
            item = ProgressItem(reservation=grant.reservation, produced=1)
            large.pool.progress(item)
        return xxhash.xxh64_hexdigest(" ".join(chosen).encode())

    found = tuple(run(context, play(large)) for large in context.large)
    assert found == CHOICE_DIGESTS, found
