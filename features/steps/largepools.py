"""Steps that count what a gateway does for one event in a pool of many engines."""

import time

from behave import given, then, when

from baobabturn.wire.gatewaymessages import EngineLoad
from features.largepoolcase import SERVICE, lines_of, make_pools
from features.steps.gateway import run


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
