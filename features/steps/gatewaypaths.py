"""Steps on gateways that lose their paths to endpoints."""

import asyncio
import time

import aiohttp.connector
from behave import given, then, when

from baobabturn.core.events import Event
from fakes.callers import read_reply, request_bytes, request_headers
from features.sitecase import CURRENT_GATEWAY, eventually
from features.steps.gateway import run
from features.steps.gatewaylimits import NOT_RUN, SERVED

GRACE_S = 3.0
SERVED_RATIO = 2 / 3
HANG_S = 3600.0
CANCEL_S = 0.5
MS_PER_S = 1000


class Cut:
    """Cuts some gateways' new connections to all endpoints of a site.

    ``gateways`` names those that are cut off, ``hangs`` says that their connections
    hang in place of being refused.
    """

    def __init__(self, *, case):
        self.case = case
        self.gateways: set[str] = set()
        self.hangs = False

    async def check(self, address):
        """Hang or raise if the running gateway has no path to an address."""
        endpoints = {each.address for each in self.case.endpoints.values()}
        if CURRENT_GATEWAY.get() not in self.gateways or address not in endpoints:
            return
        if self.hangs:
            await asyncio.sleep(HANG_S)
        raise ConnectionRefusedError(f"no path to {address}")

    def install(self, context):
        """Check all connections of the scenario."""
        eyeballs = aiohttp.connector.aiohappyeyeballs
        start_connection, open_connection = (
            eyeballs.start_connection,
            asyncio.open_connection,
        )

        async def start_checked(addr_infos, **options):
            host, port = addr_infos[0][4][:2]
            await self.check(f"{host}:{port}")
            return await start_connection(addr_infos, **options)

        async def open_checked(host=None, port=None, **options):
            await self.check(f"{host}:{port}")
            return await open_connection(host, port, **options)

        eyeballs.start_connection, asyncio.open_connection = (
            start_checked,
            open_checked,
        )

        def restore():
            eyeballs.start_connection = start_connection
            asyncio.open_connection = open_connection

        context.add_cleanup(restore)


def cut_off(context, which, how):
    """Cut off one, two or all gateways."""
    names = [gateway.name for gateway in context.case.gateways]
    count = {"one": 1, "two": 2, "all": len(names)}[which]
    context.cut = Cut(case=context.case)
    context.cut.gateways = set(names[:count])
    context.cut.hangs = how == "hang"
    context.cut_count = count
    context.cut.install(context)


@given("{which} gateways lose their paths to all endpoints, and connections {how}")
@given("{which} gateway loses its paths to all endpoints, and connections {how}")
def given_cut(context, which, how):
    cut_off(context, which, how)


@when("the paths are back")
def healed(context):
    context.cut.gateways = set()


def late(context, after_s):
    """Return the outcomes of the requests that were sent after some seconds."""
    first_at = min(each.sent_at for each in context.outcomes)
    return [each for each in context.outcomes if each.sent_at >= first_at + after_s]


def served_share(outcomes):
    """Return which part of the requests was served."""
    assert outcomes
    return sum(each.status == SERVED for each in outcomes) / len(outcomes)


@then("those sent later than {seconds:g} seconds are served two thirds as often there")
def served_there(context, seconds):
    counted = late(context, seconds)
    cut = [each for each in counted if each.gateway < context.cut_count]
    others = [each for each in counted if each.gateway >= context.cut_count]
    wanted = SERVED_RATIO * served_share(others)
    assert served_share(others) > 0.9, served_share(others)
    assert served_share(cut) >= wanted, (served_share(cut), wanted, cut[:3])


@then(
    "those sent later than {seconds:g} seconds are refused as not run, within"
    " {limit:g} seconds"
)
def refused_there(context, seconds, limit):
    for each in late(context, seconds):
        assert each.status == NOT_RUN and each.retry_after, each
        assert each.took_s <= limit, each


@then(
    "those of the last {seconds:d} seconds went straight to the endpoints, and were"
    " served"
)
def straight(context, seconds):
    last_at = max(each.sent_at for each in context.outcomes)
    recent = [each for each in context.outcomes if each.sent_at > last_at - seconds]
    assert served_share(recent) == 1.0, served_share(recent)
    since_ms = (time.time() - seconds) * MS_PER_S
    relayed_ms = [
        float(line.split("hlc=")[1].split(".")[0])
        for gateway in context.case.gateways
        for line in gateway.program.events.ring
        if "event=request-relayed " in line
    ]
    assert relayed_ms, "no request was passed on during the cut"
    assert max(relayed_ms) < since_ms, "requests still take a detour"


@when("streams are cut off at two gateways that lose their paths to all endpoints")
def streams_cut(context):
    async def play():
        calls = [
            asyncio.create_task(
                context.case.call(
                    "/check/x",
                    "POST",
                    gateway=number % 3,
                    X_Attempt_Id=f"{number:016x}",
                    X_Prompt_Prefix=f"ab:600,c{number}:200,f{number}:200",
                )
            )
            for number in range(1, 10)
        ]
        await asyncio.sleep(0.05)
        cut_off(context, "two", "are refused")
        for engine in context.case.endpoints.values():
            engine.reset_connections()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(0.5)

    for engine in context.case.endpoints.values():
        engine.event_interval_s = 0.2
    run(context, play())


@then("no gateway has logged that an endpoint crashed")
def no_crash(context):
    lines = [
        line
        for gateway in context.case.gateways
        for line in gateway.logged(Event.ENDPOINT_CRASHED)
    ]
    assert not lines, (len(lines), lines[:2])


@when("its caller leaves a stream after 1 event")
def leaves(context):
    for engine in context.case.endpoints.values():
        engine.event_interval_s = 0.5
    address = context.case.gateways[0].addresses["callers"]
    host, _, port = address.rpartition(":")

    async def play():
        gateways = context.case.gateways
        await eventually(
            lambda: all(each.logged(Event.GATEWAY_SEEN) for each in gateways),
            "the gateways know each other",
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = request_headers("/draft/x", {})
        writer.write(request_bytes("POST", "/draft/x", headers, b"{}"))
        await reader.readuntil(b"id: 1\n")
        writer.close()
        context.left_at = time.monotonic()

    run(context, play())


@then("the engine stops working within half a second")
def stops(context):
    engines = context.case.endpoints.values()

    def cancelled():
        return not any(engine.running for engine in engines)

    run(context, eventually(cancelled, "no engine works", CANCEL_S + 0.5))
    assert time.monotonic() - context.left_at <= CANCEL_S + 0.5


@when("a caller sends requests to where gateways take those of others")
def fake_hops(context):
    address = context.case.gateways[0].addresses["relay"]
    host, _, port = address.rpartition(":")
    marks = [
        {},
        {"X-Baobabturn-Relay": "1"},
        {"X-Baobabturn-Relay": f"{int(time.time() * 1000)}:{'0' * 32}"},
    ]
    context.replies = []

    async def play():
        for mark in marks:
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = {**request_headers("/open/x", {}), **mark}
            writer.write(request_bytes("GET", "/open/x", headers, b""))
            context.replies.append(await read_reply(reader))
            writer.close()

    run(context, play())


@then("none of them is served")
def none_served(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses and SERVED not in statuses, statuses
    assert not context.case.ran("/open/x")
