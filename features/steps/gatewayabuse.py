"""Steps on servers that never end, drip or answer twice."""

import asyncio
import time

from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.core.program import resident_bytes
from fakes.callers import read_reply, request_bytes, request_headers
from fakes.endless import DRIP_PAUSE_S, EndlessEndpoint, identity
from fakes.rawhttp import chunk_bytes, read_request
from fakes.siteconfig import ENGINE_SERVICE, PLAIN_SERVICE, configuration
from features.sitecase import SiteCase, eventually
from features.steps.gateway import run, start

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
        request = await read_request(reader)
        began = time.monotonic()
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n" + identity(request.attempt_id))
            writer.write(CHUNKED_HEAD)
            for number in range(1, self.events + 1):
                data = b"id: %d\ndata: a\n\n" % number
                writer.write(chunk_bytes(data))
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
