"""Steps on errors inside a gateway, its stop, its pause and its restart."""

import asyncio
import logging
import socket
import time

from behave import then, when

from baobabturn.core.events import Event
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.peer import parse_address
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.store.version import StoreVersion
from baobabturn.wire.codec import Envelope, pack_small
from baobabturn.wire.gatewaymessages import StoreChange, StoreNews
from fakes.callers import read_reply, request_bytes, request_headers, send_request
from fakes.siteconfig import API_KEY, PLAIN_SERVICE, configuration
from features.sitecase import eventually
from features.steps.gateway import run, status_of


@when("the gateway fails once over a change of the endpoints")
def fails_once(context):
    original = Endpoints.apply_entry

    def fail_once(self, name, value):
        Endpoints.apply_entry = original
        raise RuntimeError("an error in a part of the gateway")

    Endpoints.apply_entry = fail_once
    context.add_cleanup(lambda: setattr(Endpoints, "apply_entry", original))
    context.records = []
    handler = logging.Handler()
    handler.emit = context.records.append
    tasks_log = logging.getLogger("baobabturn.tasks")
    tasks_log.addHandler(handler)
    context.add_cleanup(lambda: tasks_log.removeHandler(handler))


@when("an endpoint is added")
def one_added(context):
    run(context, context.case.add("w1", PLAIN_SERVICE, 0))


@then("the gateway has logged the error")
def error_logged(context):
    lines = [record.getMessage() for record in context.records]
    assert any("event=task-restarted" in line for line in lines), lines


FAR_VERSION = StoreVersion(1, 1_000_000)


@when("a message between the gateways makes its handler fail")
def handler_fails(context):
    first, second = context.case.gateways
    settings = first.program.settings
    broken = StoreChange(name="w0", version=FAR_VERSION, value=b"no compressed data")
    update = StoreNews(
        node=second.program.settings.host.name,
        kind="servers",
        before=StoreVersion(1, 1),
        version=FAR_VERSION,
        changes=[broken],
    )
    envelope = Envelope(body=update, hlc=second.program.clock.now())
    signer = DatagramSigner(secret=settings.inner.secret)

    async def play():
        await eventually(lambda: first.logged(Event.GATEWAY_SEEN), "the other one")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            data = signer.sign(pack_small(envelope))
            sender.sendto(data, parse_address(settings.gateway.peers))
        await asyncio.sleep(0.3)

    run(context, play())


@then("the error is logged and counted")
def error_counted(context):
    counters = context.case.gateways[0].program.metrics.counters
    assert counters["datagrams_refused", ()] >= 1, counters


@when(
    "the gateway is told to stop while {count:d} idle callers send a request each,"
    " one after another"
)
def stop_under_load(context, count):
    context.cut = run(context, requests_around_end(context.case.gateways[0], count))


async def requests_around_end(gateway, count):
    """Return how many of the requests that were sent got no answer.

    The callers are connected before the stop and send during its last moments.
    """
    host, port = gateway.addresses["callers"].split(":")
    connections = [await asyncio.open_connection(host, int(port)) for _ in range(count)]
    settings = gateway.program.settings.gateway
    gateway.program.stop()
    stop_at = time.monotonic() + settings.address_lifetime_s + 0.5
    await asyncio.sleep(stop_at - time.monotonic())
    tasks = []
    for reader, writer in connections:
        if gateway.task.done():
            break
        tasks.append(asyncio.create_task(answer_of(reader, writer)))
        await asyncio.sleep(0.002)
    answers = await asyncio.gather(*tasks)
    for _, writer in connections:
        writer.close()
    return [each for each in answers if each is not None]


async def answer_of(reader, writer):
    """Send a request on an open connection; return what is wrong with its end.

    A connection that was closed before the request was sent isn't counted.
    """
    if reader.at_eof() or writer.is_closing():
        return None
    sent = request_headers("/open/x", {})
    writer.write(request_bytes("GET", "/open/x", sent, b""))
    try:
        reply = await asyncio.wait_for(read_reply(reader), 5)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return repr(error)
    return None if reply.whole else "part of an answer"


@then("no caller's request is cut off without an answer")
def none_cut(context):
    assert not context.cut, (len(context.cut), context.cut[:3])


@when("the first gateway's process stands still for {seconds:g} seconds")
def stands_still(context, seconds):
    async def play():
        names = [gateway.addresses["callers"] for gateway in context.case.gateways]

        async def both_named():
            named = [await each.named() for each in context.case.gateways]
            return all(each == set(names) for each in named)

        await eventually(both_named, "both gateways")
        time.sleep(seconds)
        await asyncio.sleep(1.0)

    run(context, play())


@then("the first gateway has reported nobody as silent")
def nobody_silent(context):
    lines = context.case.gateways[0].logged(Event.GATEWAY_SILENT)
    assert not lines, lines


@when("{what} is withdrawn")
def withdrawn(context, what):
    async def play():
        if what == "a key":
            context.case.store.write("config", "main", configuration(2, keys=("new",)))
        else:
            context.case.store.remove("servers", "w0")
        await asyncio.sleep(0.5)

    run(context, play())


@when("the first gateway is started again")
def first_again(context):
    run(context, restart(context.case, 1))


@when("the whole system is started again")
def all_again(context):
    run(context, restart(context.case, len(context.case.gateways)))


async def restart(case, count):
    """Start some gateways anew, in new processes as far as they can tell."""
    for gateway in case.gateways[:count]:
        await gateway.stop()
    for gateway in case.gateways[:count]:
        gateway.restart()
    for gateway in case.gateways[:count]:
        await eventually(gateway.is_ready, "a gateway is ready")


@then("{what} isn't used at any gateway")
def not_used(context, what):
    async def play():
        for _ in range(10):
            for number, gateway in enumerate(context.case.gateways):
                if what == "a key":
                    address = gateway.addresses["callers"]
                    headers = request_headers(
                        "/read/x", {"Authorization": f"Bearer {API_KEY}"}
                    )
                    reply = await send_request(address, "GET", "/read/x", headers, b"")
                    assert reply.status == 401, (number, reply)
                else:
                    await status_of(context, gateway=number)
        if what == "a key":
            return
        assert not context.case.endpoints["w0"].ran

    run(context, play())
