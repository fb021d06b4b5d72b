"""Steps that send requests through gateways of a small site."""

import asyncio
import struct
import time

from behave import given, then, when

from baobabturn.core.events import Event
from fakes.callers import read_reply, request_bytes, request_headers
from fakes.rawhttp import response_bytes
from fakes.site import RESPONSE_STAMP
from fakes.siteconfig import API_KEY, WORKSPACE, configuration
from features.sitecase import SiteCase, eventually

FORGED = {
    "X-Tenant": "rivals",
    "X-Expect-Instance": "w9",
    "X-Request-Priority": "0",
    "X-Hold": "h",
    "X-Pin-Ms": "100",
    "X-Kv-Backup": "127.0.0.1:1",
    "Kv-From": "127.0.0.1:1/x",
}


def run(context, work):
    """Run a coroutine in the scenario's own event loop."""
    if not hasattr(context, "runner"):
        context.runner = asyncio.Runner()
        context.add_cleanup(context.runner.close)
    return context.runner.run(work)


def start(context, *, page=500, options=None, **counts):
    """Start a site that ends with the scenario."""
    context.case = SiteCase(page=page, **(options or {}))
    run(context, context.case.start(**counts))
    context.add_cleanup(lambda: run(context, context.case.stop()))


def signed(request, body=b"done", **more):
    """Return a good answer's bytes."""
    headers = {
        "X-Attempt-Id": request.attempt_id,
        "X-Response-Stamp": RESPONSE_STAMP,
        **more,
    }
    return response_bytes(200, body, headers)


def unframed(request):
    """Return a good answer without a length."""
    headers = {"X-Attempt-Id": request.attempt_id, "X-Response-Stamp": RESPONSE_STAMP}
    return response_bytes(200, b"done", headers, length=False)


FAULTS = {
    "a refusal": lambda request: response_bytes(503, b"", {"X-Not-Executed": "1"}),
    "another endpoint here": lambda request: response_bytes(421, b""),
    "a reset": lambda request: b"",
    "half a body": lambda request: signed(request)[:-2],
    "no length": unframed,
    "no length and a reset": unframed,
    "another's refusal": lambda request: response_bytes(
        503, b"", {"X-Not-Executed": "1", "X-Attempt-Id": "0" * 16}
    ),
    "another's answer": lambda request: signed(request).replace(
        request.attempt_id.encode(), b"0000000000000000"
    ),
    "no signature": lambda request: response_bytes(
        200, b"done", {"X-Attempt-Id": request.attempt_id}
    ),
    "an encoding": lambda request: signed(request, **{"Content-Encoding": "gzip"}),
    "more bytes": lambda request: signed(request) + b"and more",
    "no HTTP": lambda request: b"\x00\x01 what\r\n\r\n",
    "its own error": lambda request: response_bytes(
        500,
        b"oops",
        {"X-Attempt-Id": request.attempt_id, "X-Response-Stamp": RESPONSE_STAMP},
    ),
}
RESETS = {"a reset", "no length and a reset"}


@given("a site with {count:d} plain endpoints")
def plain_site(context, count):
    start(context, plain=count)


@given("a site with {count:d} engines of {events:d} events")
def engine_site(context, count, events):
    start(context, plain=0, engines=count, events=events)


@given("a site with {count:d} plain endpoints and {gateways:d} gateways")
def gateways_site(context, count, gateways):
    start(context, plain=count, gateways=gateways)


@given("a site with {count:d} plain endpoints and lists of {page:d} entries")
def paged_site(context, count, page):
    start(context, page=page, plain=count)


@given(
    "a site with {count:d} plain endpoints where keys may be trusted for"
    " {seconds:g} seconds"
)
def trusting_site(context, count, seconds):
    options = {"revoke_ms": 1000 * (seconds + 1), "config_watch_s": 0.3}
    start(context, plain=count, options=options)


@given("a site with {count:d} plain endpoints that take {seconds:g} seconds")
def slow_site(context, count, seconds):
    start(context, plain=count)
    for endpoint in context.case.endpoints.values():
        hold_answers(endpoint, seconds)


def hold_answers(endpoint, seconds):
    """Let an endpoint wait before each answer."""
    handle = endpoint.handle

    async def later(request, reader, writer):
        await asyncio.sleep(seconds)
        return await handle(request, reader, writer)

    endpoint.handle = later


@given("the first endpoint to be asked answers with: {fault}")
def first_faulty(context, fault):
    context.asked = []

    def script_of(endpoint):
        def script(request):
            context.asked.append(endpoint.name)
            if len(context.asked) > 1:
                return signed(request)
            if fault in RESETS:
                reset_all(endpoint)
            return FAULTS[fault](request)

        return script

    for endpoint in context.case.endpoints.values():
        endpoint.response_script = script_of(endpoint)


def reset_all(endpoint):
    """Let the endpoint's connections end with a reset once they are closed."""
    linger = struct.pack("ii", 1, 0)
    for writer in endpoint.writers:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(1, 13, linger)  # SOL_SOCKET, SO_LINGER


@given("every endpoint answers with: {fault}")
def all_faulty(context, fault):
    context.asked = []

    def script(request):
        context.asked.append(request.attempt_id)
        return FAULTS[fault](request)

    for endpoint in context.case.endpoints.values():
        endpoint.response_script = script


@given("the endpoints' listeners are closed")
def closed(context):
    for endpoint in context.case.endpoints.values():
        run(context, endpoint.stop())


@given("the first engine to be asked breaks off after {count:d} events")
def breaks_off(context, count):
    engines = list(context.case.endpoints.values())
    for engine in engines:
        stream = engine.stream

        async def once(request, reader, writer, engine=engine, stream=stream):
            if sum(len(each.ran) for each in engines) == 1:
                engine.cut_after_events = count
            await stream(request, reader, writer)

        engine.stream = once


@given("engines refuse to move runs with {status:d}")
def refuse_moves(context, status):
    for engine in context.case.endpoints.values():
        engine.migration_status = status


@given("engines don't know runs for {seconds:g} seconds")
def unknown_for_a_while(context, seconds):
    for engine in context.case.endpoints.values():
        engine.migration_status = 404

    def know():
        for engine in context.case.endpoints.values():
            engine.migration_status = 200

    context.know_after = (seconds, know)


@given("engines take {seconds:g} seconds for the copy of a run that they have stopped")
def slow_stops(context, seconds):
    for engine in context.case.endpoints.values():
        engine.final_copy_s = seconds


@when('a caller posts "{path}" with forged headers')
def forged_post(context, path):
    context.body = b'{"calf": 1}'
    call = context.case.call(path, "POST", context.body, **FORGED)
    context.path = path
    context.reply = run(context, call)


@when('a caller posts {size:d} bytes to "{path}"')
def large_post(context, size, path):
    context.reply = run(context, context.case.call(path, "POST", b"x" * size))


@when('a caller sends {path} with the key "{key}"')
@when('a caller sends {path} with the key ""')
def keyed(context, path, key=""):
    authorization = f"Bearer {key}" if key else ""
    context.reply = run(context, context.case.call(path, Authorization=authorization))


@when("a caller sends a {kind} request")
def one_request(context, kind):
    path, method = {"safe": ("/read/x", "GET"), "unsafe": ("/post/x", "POST")}[kind]
    began = time.monotonic()
    context.reply = run(context, context.case.call(path, method))
    context.took_s = time.monotonic() - began


@when("a caller sends {count:d} safe requests")
def many_requests(context, count):
    context.count = count

    async def send():
        for _ in range(count):
            await context.case.call("/read/x")

    run(context, send())


@when("a caller streams {path} and the engine leaves after {count:d} events")
def stream_and_leave(context, path, count):
    async def play():
        task = asyncio.create_task(context.case.call(path, "POST", b"{}"))
        engines = context.case.endpoints

        def source():
            return next(
                (
                    name
                    for name, engine in engines.items()
                    if any(made >= count for made in engine.running.values())
                ),
                None,
            )

        name = await eventually(source, "a run with some events")
        if hasattr(context, "know_after"):
            asyncio.get_running_loop().call_later(*context.know_after)
        context.case.leave(name)
        return await task

    context.path = path
    context.reply = run(context, play())


@when("a caller streams {path} and reads it byte by byte with pauses")
def slow_stream(context, path):
    async def play():
        writer, reader = await begin_stream(context)
        slow = asyncio.StreamReader()

        async def feed():
            while data := await reader.read(16):
                slow.feed_data(data)
                await asyncio.sleep(0.005)
            slow.feed_eof()

        feeding = asyncio.create_task(feed())
        context.reply = await read_reply(slow)
        writer.close()
        await feeding

    run(context, play())


@when("a caller streams {path}")
def stream(context, path):
    context.path = path
    context.reply = run(context, context.case.call(path, "POST", b"{}"))


async def begin_stream(context):
    """Send a stream's request; return the connection's writer and reader."""
    address = context.case.gateways[0].addresses["callers"]
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = request_headers("/draft/x", {})
    writer.write(request_bytes("POST", "/draft/x", headers, b"{}"))
    return writer, reader


@when("a caller leaves a stream after {count:d} events")
def leave_stream(context, count):
    async def play():
        writer, reader = await begin_stream(context)
        for number in range(1, count + 1):
            await reader.readuntil(b"id: %d\n" % number)
        writer.close()

    run(context, play())


@when(
    "a caller streams, the engine leaves, and the caller leaves while the run is"
    " stopped"
)
def leave_in_move(context):
    engines = context.case.endpoints

    def found(attribute):
        return next((n for n, e in engines.items() if getattr(e, attribute)), None)

    async def play():
        writer, _ = await begin_stream(context)
        name = await eventually(lambda: found("running"), "a run")
        context.case.leave(name)
        await eventually(lambda: found("stopped"), "a run that is stopped")
        assert context.case.gateways[0].gauge("places_held") == 2
        writer.close()

    run(context, play())


@then("no place is held after {seconds:g} second")
def none_held(context, seconds):
    run(context, asyncio.sleep(seconds))
    assert context.case.gateways[0].gauge("places_held") == 0


@then("the engine ends that run within {seconds:g} seconds")
def run_ended(context, seconds):
    engine = context.case.endpoints["e0"]
    run(
        context,
        eventually(lambda: engine.cancelled, "the run's end", seconds),
    )


@then("the answer is 200, signed and whole")
def good_answer(context):
    reply = context.reply
    assert reply.status == 200 and reply.whole, reply
    assert reply.headers["x-response-stamp"] == RESPONSE_STAMP, reply
    assert reply.body == b"done", reply


@then("the endpoint got the same method, target and body")
def same_request(context):
    request = context.case.endpoints["w0"].ran[0]
    assert request.method == "POST", request
    assert request.target == context.path, request
    assert request.body == context.body, request


@then("the endpoint got the workspace, its own name and less time than the caller has")
def own_headers(context):
    headers = context.case.endpoints["w0"].ran[0].headers
    assert headers["x-tenant"] == WORKSPACE, headers
    assert headers["x-expect-instance"] == "w0", headers
    assert 0 < int(headers["x-deadline-ms"]) <= 3000, headers


@then("the endpoint got neither the key nor a forged header")
def no_forged(context):
    headers = context.case.endpoints["w0"].ran[0].headers
    assert API_KEY not in str(headers), headers
    for name in ("x-hold", "x-pin-ms", "x-kv-backup", "kv-from"):
        assert name not in headers, headers


@then("the answer is {status:d} and nothing has run")
def refused(context, status):
    assert context.reply.status == status, context.reply
    assert not any(each.ran for each in context.case.endpoints.values())


@then("the answer is {status:d}")
def status_is(context, status):
    assert context.reply.status == status, context.reply
    if status == 200:
        assert context.reply.body == b"done" and context.reply.whole, context.reply


@then("the answer is {status:d} after {least:g} to {most:g} seconds")
def status_after(context, status, least, most):
    assert context.reply.status == status, context.reply
    assert least <= context.took_s <= most, context.took_s


@then("the answer is {status:d} with a time to come back")
def told_when(context, status):
    assert context.reply.status == status, context.reply
    assert float(context.reply.headers["retry-after"]) > 0, context.reply


ODD_MODELS = {"ASCII": "mod\u00e8le".encode(), "UTF-8": "mod\u00e8le".encode("latin-1")}
ODD_WORKSPACE = "Tarraz\u00fa"


@given("a workspace has a name that isn't ASCII")
def odd_workspace(context):
    config = configuration(version=2)
    config["tenants"][0]["name"] = ODD_WORKSPACE
    context.case.store.write("config", "main", config)
    gateway = context.case.gateways[0]
    probe = lambda: len(gateway.logged(Event.CONFIG_IN_FORCE)) > 1
    run(context, eventually(probe, "the configuration"))


@when("a caller sends a {kind} request with a model that isn't {encoding}")
def odd_model(context, kind, encoding):
    path, method = {"safe": ("/read/x", "GET"), "stream": ("/draft/x", "POST")}[kind]
    address = context.case.gateways[0].addresses["callers"]
    data = request_bytes(method, path, request_headers(path, {"X-Model": "M"}), b"")
    data = data.replace(b"X-Model: M", b"X-Model: " + ODD_MODELS[encoding])

    async def play():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        context.reply = await read_reply(reader)
        writer.close()

    run(context, play())


@then("the endpoint got the model's bytes and the workspace's name as they are")
def same_bytes(context):
    assert context.reply.status == 200, context.reply
    ran = [each for e in context.case.endpoints.values() for each in e.ran]
    assert len(ran) == 1, ran
    model, tenant = ran[0].headers["x-model"], ran[0].headers["x-tenant"]
    assert model.encode("latin-1") == ODD_MODELS["ASCII"], model
    assert tenant.encode("latin-1") == ODD_WORKSPACE.encode(), tenant


@then("{count:d} endpoints were asked")
def asked(context, count):
    assert len(context.asked) == count, context.asked
    assert len(set(context.asked)) == count, context.asked


@then("at most {count:d} of the arrivals are repeats")
def repeats(context, count):
    repeated = len(context.asked) - context.count
    assert 0 < repeated <= count, repeated


@then("the caller gets events 1 to {count:d} and the end")
def whole_stream(context, count):
    assert context.reply.event_ids == list(range(1, count + 1)), context.reply
    assert context.reply.whole, context.reply


@then("the caller gets events 1 to {count:d} and no end")
def cut_stream(context, count):
    assert context.reply.event_ids == list(range(1, count + 1)), context.reply
    assert not context.reply.whole, context.reply


@then("{count:d} engines ran the request")
def engines_ran(context, count):
    assert len(context.case.ran(context.path)) == count, context.case.ran(context.path)


@then("the run was stopped at one engine and went on at the other from its memory")
def moved(context):
    engines = context.case.endpoints.values()
    stopped = [engine for engine in engines if engine.stopped]
    assert len(stopped) == 1, stopped
    onward = [
        request
        for engine in engines
        for request in engine.ran
        if request.headers.get("kv-from")
    ]
    assert len(onward) == 1, onward
    assert onward[0].headers["kv-from"].startswith(stopped[0].address), onward
    assert context.reply.headers["x-response-stamp"] == RESPONSE_STAMP


async def workers_asked(context, count):
    """Return the endpoints that get some of a few requests."""
    for endpoint in context.case.endpoints.values():
        endpoint.ran.clear()
    await asyncio.gather(*(context.case.call("/open/x") for _ in range(count)))
    return set(context.case.ran("/open/x"))


@when("the operator takes the key away")
def take_key(context):
    context.case.store.write("config", "main", configuration(2, ("other",)))


@when("the operator writes version 7 without a key and then version 3 with it")
def older_after_newer(context):
    context.case.store.write("config", "main", configuration(7, ("other",)))
    context.case.store.write("config", "main", configuration(3))


async def status_of(context, path="/read/x", **headers):
    """Return the status that a request gets."""
    context.reply = await context.case.call(path, **headers)
    return context.reply.status


async def soon_status(context, path, status):
    """Wait until requests of a path get a status."""

    async def check():
        return await status_of(context, path) == status

    await eventually(check, f"{status} for {path}")


@then("requests with that key soon get 401")
def soon_401(context):
    run(context, soon_status(context, "/read/x", 401))
    run(context, asyncio.sleep(0.3))
    assert run(context, status_of(context)) == 401


@when("the store falls silent")
def silent_store(context):
    context.case.store.silent = True
    context.case.store.reset_connections()


@when("the store answers again")
def store_back(context):
    context.case.store.silent = False
    context.case.store.reset_connections()


@then("requests with a key soon get 503 with a time to come back")
def soon_503(context):
    run(context, soon_status(context, "/read/x", 503))
    assert float(context.reply.headers["retry-after"]) > 0


@then("requests to a route that needs no key are still served")
def keyless_served(context):
    assert run(context, status_of(context, "/open/x")) == 200


@then("the gateway isn't ready any more")
def not_ready(context):
    assert not run(context, context.case.gateways[0].is_ready())


@then("the gateway is soon not ready")
def soon_not_ready(context):
    async def check():
        return not await context.case.gateways[0].is_ready()

    run(context, eventually(check, "a gateway that isn't ready"))


@then("the directory still names the gateway")
def still_named(context):
    gateway = context.case.gateways[0]
    assert run(context, gateway.named()) == {gateway.addresses["callers"]}


@then("requests with a key are soon served")
def soon_served(context):
    run(context, soon_status(context, "/read/x", 200))


@when("the store forgets its history while an endpoint is added")
def forgotten(context):
    async def play():
        context.case.store.failing_status = 503
        context.case.store.reset_connections()
        await context.case.add("w1", "ledger", 0)
        context.case.store.discard_history()
        context.case.store.failing_status = 0

    run(context, play())


@then("both endpoints soon get requests")
def both_asked(context):
    all_asked(context, 2)


@then("all {count:d} endpoints soon get requests")
def all_asked(context, count):
    async def check():
        return len(await workers_asked(context, 8 * count)) == count

    run(context, eventually(check, f"requests at {count} endpoints"))


@when('the entry of "{name}" is spoilt')
def spoilt(context, name):
    context.case.store.write("servers", name, {"address": 7, "state": "dancing"})


@when('the endpoint "{name}" begins to leave')
def begins_to_leave(context, name):
    context.case.leave(name)


@when('the entry of "{name}" is removed')
def removed(context, name):
    context.case.store.remove("servers", name)


@when('the entry of "{name}" returns')
def returns(context, name):
    endpoint = context.case.endpoints[name]
    context.case.store.write("servers", name, endpoint.entry())


@then('only "{name}" gets requests')
def only_asked(context, name):
    async def check():
        return await workers_asked(context, 10) == {name}

    run(context, eventually(check, f"requests at {name} only"))


@then('after {seconds:g} seconds only "{name}" gets requests')
def only_asked_after(context, seconds, name):
    run(context, asyncio.sleep(seconds))
    assert run(context, workers_asked(context, 10)) == {name}


@then('"{name}" still gets requests')
def still_asked(context, name):
    assert name in run(context, workers_asked(context, 12))


@then('after {seconds:g} seconds "{name}" still gets requests')
def still_asked_after(context, seconds, name):
    run(context, asyncio.sleep(seconds))
    still_asked(context, name)


@when('the store is away for {seconds:g} seconds and comes back without "{name}"')
def away(context, seconds, name):
    async def play():
        store = context.case.store
        store.failing_status = 503
        store.reset_connections()
        await asyncio.sleep(seconds)
        store.remove("servers", name)
        store.failing_status = 0
        await asyncio.sleep(0.9)

    run(context, play())


@then("both gateways are soon named")
def both_named(context):
    gateways = context.case.gateways
    wanted = {gateway.addresses["callers"] for gateway in gateways}

    async def check():
        return [await gateway.named() for gateway in gateways] == [wanted, wanted]

    run(context, eventually(check, "both gateways in both directories"))


@when("the second gateway stops")
def second_stops(context):
    context.case.gateways[1].program.stop()


@then("only the first gateway is soon named")
def first_named(context):
    first, second = context.case.gateways

    async def check():
        return await first.named() == {first.addresses["callers"]}

    run(context, eventually(check, "the first gateway only", 1.0))
    assert second.program.stopping.is_set()


@when("a request is in progress and the gateway is told to stop")
def stop_in_progress(context):
    async def play():
        task = asyncio.create_task(context.case.call("/post/x", "POST"))
        await asyncio.sleep(0.2)
        context.case.gateways[0].program.stop()
        await asyncio.sleep(0.05)
        context.refused = await context.case.call("/draft/x", "POST", b"{}")
        context.ready = await context.case.gateways[0].is_ready()
        context.reply = await task

    run(context, play())


@then("the request in progress is answered")
def answered(context):
    assert context.reply.status == 200 and context.reply.whole, context.reply
    assert context.reply.headers["connection"] == "close", context.reply


@then("a stream is refused with 503 and a time to come back")
def stream_refused(context):
    assert context.refused.status == 503, context.refused
    assert float(context.refused.headers["retry-after"]) > 0, context.refused
