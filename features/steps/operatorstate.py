"""Steps on what a gateway tells operators, and on the command that asks for it."""

import asyncio
import json
import shlex
import time

from behave import then, when
from helper import run_module

from baobabturn.core.events import Event
from baobabturn.gateway.listingreasons import listing_reason
from baobabturn.gateway.platforminterface import CallerPlace
from fakes.callers import send_request
from fakes.siteconfig import (
    API_KEY,
    ENGINE_SERVICE,
    OTHER_API_KEY,
    PLAIN_SERVICE,
    SITE_HOST_NAME,
    configuration,
)
from features.sitecase import eventually
from features.steps.gateway import run
from features.steps.gatewayevacuation import KIND, spares

STREAM_ID = "d" * 16
COLD_S = 60.0
# Enough requests at a time that each endpoint gets some.
BATCH = 6
# A sample of 64 of 300 gateways is drawn so often that each is drawn at least once.
CALLS = 200


async def read_state(case):
    """Return the gateway's state, and its bytes."""
    address = case.gateways[0].addresses["metrics"]
    reply = await send_request(address, "GET", "/state", {}, b"")
    assert reply.status == 200, reply
    return json.loads(reply.body), reply.body


def state(context):
    """Return the gateway's state."""
    return run(context, read_state(context.case))[0]


def command(context, arguments):
    """Run the command beside the gateway and return what it did."""
    addresses = context.case.gateways[0].addresses
    places = {name: f"http://{address}" for name, address in addresses.items()}
    words = shlex.split(arguments.format(**places))
    call = asyncio.to_thread(run_module, "baobabturn.commands", "traffic", *words)
    return run(context, call)


@when('a stream runs in "{domain}" and the operator closes "{closed}"')
def stream_in_closed(context, domain, closed):
    case = context.case
    engine = next(
        each
        for each in case.endpoints.values()
        if each.service == ENGINE_SERVICE and each.failure_domain == domain
    )
    other = next(iter({"z1", "z2"} - {domain}))

    async def play():
        # Another evacuation places the stream.
        case.store.write(KIND, other, {})
        await eventually(spares(case, other), "the stream's place", 3.0)
        context.stream = asyncio.create_task(
            case.call("/draft/x", "POST", b"{}", X_Attempt_Id=STREAM_ID)
        )
        await eventually(lambda: STREAM_ID in engine.running, "a run")
        case.store.remove(KIND, other)
        case.store.write(KIND, closed, {})
        events = case.gateways[0].program.events
        await eventually(
            lambda: any(
                f"event={Event.DOMAIN_CLOSED.value} " in line
                and f"failure_domain={closed} " in line
                for line in events.ring
            ),
            "the closing",
        )
        context.engine = engine.name

    run(context, play())


@then(
    'the state shows "{domain}" as closed, with {endpoints:d} endpoints and {count:d}'
    " generation"
)
@then(
    'the state shows "{domain}" as closed, with {endpoints:d} endpoints and {count:d}'
    " generations"
)
def shown_closed(context, domain, endpoints, count):
    def check():
        closed = state(context)["closed_domains"]["items"]
        (found,) = [each for each in closed if each["failure_domain"] == domain]
        assert found["endpoints"] == endpoints and not found["held"], found
        assert 0 < found["closed_s"] < 8, found
        return found["generations"] == count

    end = time.monotonic() + 2.0
    while not check():
        assert time.monotonic() < end, state(context)


@then("the state names the engine on which the generation runs")
def engine_named(context):
    (engine,) = state(context)["closed_endpoints"]["items"]
    assert engine["endpoint"] == context.engine, engine
    assert engine["generations"] == 1, engine


@when('a plain request runs in "{domain}" for {seconds:g} s and "{closed}" is closed')
def plain_in_closed(context, domain, seconds, closed):
    case = context.case
    (endpoint,) = [
        each
        for each in case.endpoints.values()
        if each.service == PLAIN_SERVICE and each.failure_domain == domain
    ]
    answer = endpoint.handle

    async def answer_late(request, reader, writer):
        await asyncio.sleep(seconds)
        return await answer(request, reader, writer)

    endpoint.handle = answer_late

    async def play():
        # Requests that run elsewhere end at once.
        context.calls = [
            asyncio.create_task(case.call("/read/x")) for _ in range(BATCH)
        ]
        await asyncio.sleep(0.1)
        case.store.write(KIND, closed, {})
        await eventually(
            lambda: case.gateways[0].gauge("failure_domains_closed"), "the closing"
        )
        context.found, _ = await read_state(case)
        await asyncio.gather(*context.calls)

    run(context, play())


@then('the state has shown requests that run in "{domain}", and then none')
def requests_shown(context, domain):
    (closed,) = context.found["closed_domains"]["items"]
    (endpoint,) = context.found["closed_endpoints"]["items"]
    assert closed["failure_domain"] == endpoint["failure_domain"] == domain
    assert closed["requests"] == endpoint["requests"] >= 1, (closed, endpoint)
    found = state(context)
    assert not found["closed_endpoints"]["total"], found
    assert not found["closed_domains"]["items"][0]["requests"], found


@when("the stream has ended")
def stream_ended(context):
    async def play():
        reply = await context.stream
        assert reply.whole, reply

    run(context, play())


@then("the state shows nothing as closed")
def nothing_closed(context):
    async def check():
        found, _ = await read_state(context.case)
        return not found["closed_domains"]["total"]

    run(context, eventually(check, "the opening", 2.0))


@when('"{first}" is closed, and "{second}" {seconds:g} s later')
def close_both(context, first, seconds, second):
    async def play():
        context.case.store.write(KIND, first, {})
        await asyncio.sleep(seconds)
        context.case.store.write(KIND, second, {})
        await asyncio.sleep(seconds)

    run(context, play())


@then('the state shows "{first}" as closed for {seconds:g} s longer than "{second}"')
def closed_longer(context, first, seconds, second):
    closed = state(context)["closed_domains"]["items"]
    times = {each["failure_domain"]: each["closed_s"] for each in closed}
    difference_s = times[first] - times[second]
    assert seconds / 2 < difference_s < 2 * seconds, times


@when(
    "the plain endpoints are cold for {seconds:g} s at {per_s:g} requests a second, and"
    " {count:d} requests come"
)
def plain_cold(context, seconds, per_s, count):
    case = context.case
    config = configuration(version=2)
    for service in config["services"]:
        if service["name"] == PLAIN_SERVICE:
            service["coldPerS"] = per_s

    async def play():
        case.store.write("config", "main", config)
        await asyncio.sleep(0.3)
        for endpoint in case.endpoints.values():
            if endpoint.service == PLAIN_SERVICE:
                entry = endpoint.entry(coldLeftMs=seconds * 1000)
                case.store.write("servers", endpoint.name, entry)
        await asyncio.sleep(0.3)
        calls = [asyncio.create_task(case.call("/read/x")) for _ in range(count)]
        await asyncio.sleep(0.1)
        context.found, _ = await read_state(case)
        await asyncio.gather(*calls)

    run(context, play())


@then(
    "the state shows {count:d} cold endpoints at {per_s:g} requests a second, for up to"
    " {seconds:g} s"
)
def shown_cold(context, count, per_s, seconds):
    cold = context.found["cold_endpoints"]["items"]
    assert len(cold) == count, cold
    for each in cold:
        assert each["per_s"] == per_s and each["known"], each
        assert 0 < each["left_s"] < seconds, each
        assert each["cold_s"] + each["left_s"] <= seconds + 0.01, each


@then("the state shows requests that wait for them")
def shown_waiting(context):
    cold = context.found["cold_endpoints"]["items"]
    assert sum(each["waiting"] for each in cold) >= 1, cold
    assert max(each["next_s"] for each in cold) > 0, cold


@when("the gateway knows {count:d} cold endpoints with names of {length:d} characters")
def many_cold(context, count, length):
    case = context.case
    config = configuration(version=2)
    for service in config["services"]:
        service["coldPerS"] = 21

    async def play():
        case.store.write("config", "main", config)
        await asyncio.sleep(0.3)
        plain = next(each for each in case.endpoints.values() if not each.event_count)
        entry = plain.entry(coldLeftMs=COLD_S * 1000)
        for number in range(count):
            name = f"{number:04d}".ljust(length, "x")
            case.store.write("servers", name, entry)
        await eventually(
            lambda: case.gateways[0].gauge("cold_endpoints") >= count, "the entries"
        )

    run(context, play())


@when('a stream with the prompt "{prompt}" runs')
def stream_with_prompt(context, prompt):
    case = context.case
    engines = [each for each in case.endpoints.values() if each.event_count]

    async def play():
        context.stream = asyncio.create_task(
            case.call("/draft/x", "POST", prompt.encode(), X_Attempt_Id=STREAM_ID)
        )
        await eventually(lambda: any(each.running for each in engines), "a run")

    run(context, play())


@then("the state counts {count:d} cold endpoints in less than {limit:d} bytes")
def bounded_state(context, count, limit):
    found, data = run(context, read_state(context.case))
    assert found["cold_endpoints"]["total"] == count, found["cold_endpoints"]["total"]
    assert len(data) < limit, len(data)
    context.data = data


@then('neither API keys nor "{prompt}" are in it')
def no_secrets(context, prompt):
    for secret in (API_KEY, OTHER_API_KEY, prompt, STREAM_ID):
        assert secret.encode() not in context.data, secret
    stream_ended(context)


@then('the command prints "{domain}" as closed, and that no endpoint is cold')
def command_prints(context, domain):
    async def check():
        found, _ = await read_state(context.case)
        return found["closed_domains"]["total"]

    run(context, eventually(check, "the closing", 2.0))
    done = command(context, "{metrics}")
    assert done.returncode == 0, done
    lines = done.stdout.splitlines()
    assert lines[0] == "g0 in z1: serving", lines
    head = lines[2].split()
    assert head[:3] == ["failure_domain", "closed_s", "held"], head
    assert head[3:] == ["endpoints", "generations", "requests"], head
    row = lines[3].split()
    assert [row[0], *row[2:]] == [domain, "no", "2", "0", "0"], row
    assert "no endpoint is cold" in lines, lines


@then('the command with callers of "{domain}" says "{why}"')
def command_says(context, domain, why):
    done = command(context, f"{{metrics}} --callers {domain}")
    assert done.returncode == 0, done
    assert f"callers of {domain}: {why}" in done.stdout.splitlines(), done.stdout
    done = command(context, f"{{metrics}} --callers {domain} --json")
    (listed,) = json.loads(done.stdout)["callers"]["gateways"]["items"]
    assert listed["address"] == context.case.gateways[0].addresses["callers"], listed
    assert listed["part"] == 1, listed


@then('the command with "{arguments}" ends with code {code:d} and "{line}"')
@then('the command with "" ends with code {code:d} and "{line}"')
def command_fails(context, code, line, arguments=""):
    done = command(context, arguments)
    assert done.returncode == code, done
    (said,) = done.stderr.splitlines()
    assert line in said and not done.stdout, done


def reason_of(gateway, domain):
    """Return what a gateway tells operators of callers of a failure domain."""
    place = CallerPlace(host=SITE_HOST_NAME, failure_domain=domain)
    return listing_reason(gateway.directory, place)


@then('operators are told that callers of "{domain}" are sent by "{rule}" "{detail}"')
@then('operators are told that callers of "{domain}" are sent by "{rule}" ""')
def told_reason(context, domain, rule, detail=""):
    for gateway in context.fleet.running():
        reason = reason_of(gateway, domain)
        assert (reason.rule.value, reason.detail) == (rule, detail), reason
        assert abs(sum(each.part for each in reason.gateways) - 1) < 1e-6, reason


@then('the named gateways are those that callers of "{domain}" are told of')
def same_as_told(context, domain):
    place = CallerPlace(host=SITE_HOST_NAME, failure_domain=domain)
    by_callers = {each.record.callers: each.domain for each in context.fleet.running()}
    gateway = context.fleet.gateways[0]
    before = counted_and_logged(gateway)
    reason = reason_of(gateway, domain)
    context.untouched = counted_and_logged(gateway) == before
    named = {each.address for each in reason.gateways}
    told = set()
    for _ in range(CALLS):
        told.update(gateway.directory.addresses(place))
    assert told == named, told ^ named
    for each in reason.gateways:
        assert each.failure_domain == by_callers[each.address], each


def counted_and_logged(gateway):
    """Return what a gateway's directory has counted and logged."""
    program = gateway.peers.program
    kinds = ("own", "other", "other-region")
    counts = [program.metrics.value("addresses_listed", kind=each) for each in kinds]
    return counts, dict(gateway.directory.logged), len(program.events.ring)


@then("asking for reasons has counted and logged nothing")
def nothing_counted(context):
    assert context.untouched
