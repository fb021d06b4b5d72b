"""Steps on servers that never end, drip or answer twice, and on errors inside."""

import asyncio
import logging
import socket
import time

from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.core.program import resident_bytes
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.peer import parse_address
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.wire.codec import Envelope, pack_small
from baobabturn.wire.messages import StoreChange, StoreNews
from fakes.callers import read_reply, request_bytes, request_headers, send_request
from fakes.endless import DRIP_PAUSE_S, EndlessEndpoint, identity, request_id
from fakes.siteconfig import API_KEY, ENGINE_SERVICE, PLAIN_SERVICE, configuration
from features.sitecase import SiteCase, eventually
from features.steps.gateway import run, start, status_of

ROUTE_TIMEOUT_MS = 20_000
MB = 1_000_000
SERVICES = {"plain": PLAIN_SERVICE, "engine": ENGINE_SERVICE}
ENGINE_HEADERS = {
    "X-Model": "m",
    "X-Token-Count": "100,50",
    "X-Prompt-Prefix": "aa:100",
}
CHUNKED_HEAD = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class MemoryWatch:
    """Keeps the highest resident memory of this process."""

    def __init__(self):
        self.before = self.peak = resident_bytes()
        self.task = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        """Look again and again."""
        while True:
            self.peak = max(self.peak, resident_bytes())
            await asyncio.sleep(0.02)

    def taken_mb(self) -> float:
        """Return by how much memory has grown at most."""
        return (self.peak - self.before) / MB


def start_with_endpoint(context, service, endpoint):
    """Start a site whose routes have long limits, with one endpoint from here."""
    start(context, plain=0, engines=0)

    async def play():
        address = await endpoint.start()
        config = configuration(version=2)
        for route in config["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
        context.case.store.write("config", "main", config)
        entry = {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 1,
        }
        context.case.store.write("servers", "x0", entry)
        gateway = context.case.gateways[0]
        await eventually(lambda: gateway.logged(Event.ENDPOINT_SEEN), "the endpoint")
        in_force = Event.CONFIG_IN_FORCE
        await eventually(lambda: len(gateway.logged(in_force)) > 1, "the routes")
        context.memory = MemoryWatch()

    context.endpoint = endpoint
    run(context, play())
    context.add_cleanup(lambda: run(context, endpoint.stop()))
    context.add_cleanup(lambda: context.memory.task.cancel())


@given("an endpoint of the {service} service that sends {place} without end")
def endless_endpoint(context, service, place):
    start_with_endpoint(context, SERVICES[service], EndlessEndpoint(place=place))


async def timed_call(context, path, method, headers):
    """Send a request; keep the answer and the time that it took."""
    began = time.monotonic()
    address = context.case.gateways[0].addresses["callers"]
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sent = request_headers(path, headers)
    writer.write(request_bytes(method, path, sent, b""))
    try:
        reply = await read_reply(reader)
    finally:
        writer.close()
    return reply, time.monotonic() - began


@when("a caller with {seconds:d} seconds sends it a safe request")
def safe_call(context, seconds):
    headers = {"X-Deadline-Ms": str(1000 * seconds)}
    work = timed_call(context, "/read/x", "GET", headers)
    context.reply, context.took_s = run(context, work)


@when("a caller with {seconds:d} seconds streams from it")
@when("a caller with {seconds:d} seconds streams a route with a goal of 0.5 seconds")
def stream_call(context, seconds):
    headers = {"X-Deadline-Ms": str(1000 * seconds), **ENGINE_HEADERS}
    work = timed_call(context, "/draft/x", "POST", headers)
    context.reply, context.took_s = run(context, work)


@when("{count:d} callers with {seconds:d} seconds send it safe requests at once")
def many_calls(context, count, seconds):
    headers = {"X-Deadline-Ms": str(1000 * seconds)}

    async def play():
        calls = [timed_call(context, "/read/x", "GET", headers) for _ in range(count)]
        return await asyncio.gather(*calls)

    context.replies = run(context, play())


@then("the caller gets a failure within {seconds:g} seconds")
def failure_within(context, seconds):
    assert context.reply.status >= 500, context.reply
    assert context.took_s <= seconds, context.took_s


@then("the caller gets a failure or a broken stream within {seconds:g} seconds")
def broken_within(context, seconds):
    assert context.reply.status >= 500 or not context.reply.whole, context.reply
    assert context.took_s <= seconds, context.took_s


@then("each of them gets a failure")
def all_failures(context):
    assert all(reply.status >= 500 for reply, _ in context.replies), context.replies


@then("the endpoint's connection was closed")
def connection_closed(context):
    closed = context.endpoint.closed_after_s
    run(context, eventually(lambda: closed, "the connection's end"))


@then("the gateway took at most {size:d} MB for it")
def memory_bounded(context, size):
    assert context.memory.taken_mb() <= size, context.memory.taken_mb()


@given("a site whose store sends lists without end")
def endless_store(context):
    start(context, plain=1)
    context.case.store.endless_lists = True
    context.case.store.discard_history()


@then(
    "the gateway takes at most {size:d} MB in {seconds:g} seconds and answers its"
    " callers"
)
def store_memory(context, size, seconds):
    async def play():
        memory = MemoryWatch()
        context.case.store.reset_connections()
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            reply = await context.case.call("/open/x")
            assert reply.status == 200, reply
            await asyncio.sleep(0.1)
        memory.task.cancel()
        assert memory.taken_mb() <= size, memory.taken_mb()

    run(context, play())


class ScriptedEngine(EndlessEndpoint):
    """Sends one event after another, and then drips or ends."""

    def __init__(self, *, events: int, interval_s: float, drip: str = ""):
        super().__init__(place="a body")
        self.events = events
        self.interval_s = interval_s
        self.drip = drip

    async def serve(self, reader, writer) -> None:
        """Answer one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        began = time.monotonic()
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n" + identity(request_id(head)))
            writer.write(CHUNKED_HEAD)
            for number in range(1, self.events + 1):
                data = b"id: %d\ndata: a\n\n" % number
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.interval_s)
            while self.drip and not writer.is_closing():
                writer.write(DRIPS[self.drip])
                await writer.drain()
                await asyncio.sleep(DRIP_PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            pass
        finally:
            self.closed_after_s.append(time.monotonic() - began)
            writer.close()


DRIPS = {
    "comments": b"4\r\n: \n\n\r\n",
    "bytes of an event": b"1\r\nd\r\n",
    "a chunk's size": b"0",
}


@given("an engine that sends one event and then drips {what}")
def dripping_engine(context, what):
    engine = ScriptedEngine(events=1, interval_s=0.0, drip=what)
    start_with_endpoint(context, ENGINE_SERVICE, engine)


@given("an engine that sends {count:d} events with {seconds:g} seconds between them")
def slow_engine(context, count, seconds):
    engine = ScriptedEngine(events=count, interval_s=seconds)
    start_with_endpoint(context, ENGINE_SERVICE, engine)


@then("the caller's stream breaks off after {least:g} to {most:g} seconds")
def breaks_off(context, least, most):
    assert not context.reply.whole, context.reply
    assert least <= context.took_s <= most, context.took_s


@given("a site whose store sends every answer again {seconds:g} seconds later")
def repeating_store(context, seconds):
    context.case = SiteCase()
    context.case.store.repeat_after_s = seconds
    run(context, context.case.start(plain=1))
    context.add_cleanup(lambda: run(context, context.case.stop()))


@when("the operator adds {count:d} endpoints one by one")
def add_endpoints(context, count):
    async def play():
        for number in range(1, count + 1):
            await context.case.add(f"w{number}", PLAIN_SERVICE, 0)
            await asyncio.sleep(0.4)

    run(context, play())


@then("the gateway knows them all and has taken no other kind's answer")
def knows_all(context):
    gateway = context.case.gateways[0]

    def known():
        lines = gateway.logged(Event.ENDPOINT_SEEN)
        return all(any(f"endpoint=w{n} " in line for line in lines) for n in range(4))

    run(context, eventually(known, "all endpoints"))
    unreadable = gateway.logged(Event.ENTRY_UNREADABLE)
    assert not unreadable, unreadable
    leaving = gateway.logged(Event.ENDPOINT_LEAVING)
    assert not leaving, leaving
    failed = gateway.logged(Event.PLATFORM_DOWN)
    assert not failed, failed


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


@when("a message between the gateways makes its handler fail")
def handler_fails(context):
    first, second = context.case.gateways
    settings = first.program.settings
    broken = StoreChange(name="w0", version=1_000_000, value=b"no compressed data")
    update = StoreNews(
        node=second.program.settings.host.name,
        kind="servers",
        before=1,
        version=1_000_000,
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
