"""Steps on callers and endpoints that read slowly, with real gateways."""

import asyncio
import os
import signal
import sys
import time

from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.core.results import Code
from fakes.callers import Reply
from fakes.site import SiteEndpoint
from fakes.siteconfig import (
    API_KEY,
    ENGINE_SERVICE,
    OTHER_API_KEY,
    PLAIN_SERVICE,
    configuration,
)
from fakes.slowbodies import SlowBodyEndpoint
from fakes.slowcaller import SlowCaller
from features.sitecase import Gateway, SiteCase, eventually
from features.steps.gateway import run, signed

MIB = 1024 * 1024
ROUTE_TIMEOUT_MS = 25_000
MAX_BODY_BYTES = 16 * MIB
SMALL_PROMPT = {"X_Token_Count": "100,50", "X_Prompt_Prefix": "ab:100"}
END_S = 15.0
MEMORY_LOOK_S = 0.02


def start_site(context, *, endpoint_type=SiteEndpoint, plain=0, engines=0, **options):
    """Start a site with one gateway, whose callers are kept, and long route limits."""
    context.case = SiteCase(endpoint_type=endpoint_type, **options)
    context.callers = []
    context.began = time.monotonic()

    async def play():
        await context.case.start(plain=plain, engines=engines)
        config = configuration(version=2)
        for route in config["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
        config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        context.case.store.write("config", "main", config)
        gateway = context.case.gateways[0]
        in_force = Event.CONFIG_IN_FORCE
        await eventually(lambda: len(gateway.logged(in_force)) > 1, "the routes")

    # The site ends before the event loop, whose cleanup the first run adds.
    run(context, asyncio.sleep(0))
    context.add_cleanup(lambda: run(context, context.case.stop()))
    context.add_cleanup(lambda: [caller.close() for caller in context.callers])
    run(context, play())
    context.gateway = context.case.gateways[0]


@given(
    "a site with {memory:d} MiB of body memory, an unread timeout of {timeout:g}"
    " seconds and {plain:d} plain endpoints"
)
def memory_site(context, memory, timeout, plain):
    start_site(
        context,
        plain=plain,
        body_memory_bytes=memory * MIB,
        unread_timeout_s=timeout,
    )


@given(
    "a site with {memory:d} MiB of body memory, an unread timeout of {timeout:g}"
    " seconds, {plain:d} plain endpoints and {engines:d} engines of {count:d} events of"
    " {size:d} bytes"
)
def mixed_site(context, memory, timeout, plain, engines, count, size):
    start_site(
        context,
        plain=plain,
        engines=engines,
        body_memory_bytes=memory * MIB,
        unread_timeout_s=timeout,
    )
    set_events(context, count, size)


@given(
    "a site with a buffer of {buffer:d} bytes for each caller and an engine of"
    " {count:d} events of {size:d} bytes"
)
def stream_site(context, buffer, count, size):
    start_site(context, engines=1, caller_buffer_bytes=buffer)
    set_events(context, count, size)


def set_events(context, count, size):
    """Let engines send events of some size as fast as they are read."""
    for endpoint in context.case.endpoints.values():
        if endpoint.service == ENGINE_SERVICE:
            endpoint.event_count = count
            endpoint.event_name = "x" * size
            endpoint.event_interval_s = 0.0


@given("plain responses have {size:d} MiB")
def plain_responses(context, size):
    context.body = os.urandom(1024) * (size * 1024)

    def answer(request):
        return signed(request, context.body)

    for endpoint in context.case.endpoints.values():
        if endpoint.service == PLAIN_SERVICE:
            endpoint.response_script = answer


def call_slowly(context, count, method, path, **headers):
    """Let callers send a request each, and read nothing of the response."""

    async def play():
        address = context.gateway.addresses["callers"]
        for _ in range(count):
            caller = SlowCaller()
            attempt = f"{len(context.callers):016x}"
            body = b"{}" if method == "POST" else b""
            await caller.send(
                address, method, path, body, X_Attempt_Id=attempt, **headers
            )
            context.callers.append(caller)

    context.began = time.monotonic()
    run(context, play())


@when("{count:d} callers request plain responses and read nothing")
def plain_unread(context, count):
    call_slowly(context, count, "GET", "/read/x")


@when("{count:d} callers stream {path} and read nothing")
def stream_unread(context, count, path):
    call_slowly(context, count, "POST", path, **SMALL_PROMPT)


@when("{count:d} callers stream {path} with {seconds:d} seconds")
def stream_with_deadline(context, count, path, seconds):
    deadline = str(1000 * seconds)
    call_slowly(context, count, "POST", path, X_Deadline_Ms=deadline, **SMALL_PROMPT)


@when(
    "the callers read {size:d} bytes every {pause:g} seconds until they are"
    " disconnected"
)
def read_until_reset(context, size, pause):
    async def play():
        async with asyncio.timeout(END_S):
            for caller in context.callers:
                while await caller.read(size):
                    await asyncio.sleep(pause)

    run(context, play())


@when("{seconds:g} seconds pass in real time")
def go_by(context, seconds):
    run(context, asyncio.sleep(seconds))


def held_bytes(context):
    """Return what body memory holds."""
    return context.gateway.gauge("body_memory_held_bytes")


@then("body memory holds over {size:g} MiB within {seconds:g} seconds")
def memory_held(context, size, seconds):
    check = lambda: held_bytes(context) > size * MIB  # noqa: E731
    run(context, eventually(check, f"{size} MiB are held", seconds))


@then("body memory holds less than {size:g} MiB")
def memory_released(context, size):
    check = lambda: held_bytes(context) < size * MIB  # noqa: E731
    run(context, eventually(check, "memory is released", 1.0))


@then("body memory holds nothing")
def memory_empty(context):
    check = lambda: not held_bytes(context)  # noqa: E731
    run(context, eventually(check, "memory is empty", 1.0))
    assert not context.gateway.gauge("callers_awaited")


def disconnections(context, code):
    """Return how many responses ended with a code."""
    return context.gateway.program.metrics.value("failures", code=str(code))


@then(
    "{count:d} callers are disconnected with {code:d} after {least:g} to {most:g}"
    " seconds, by a reset"
)
def disconnected(context, count, code, least, most):
    async def play():
        check = lambda: disconnections(context, code) >= count  # noqa: E731
        left_s = context.began + most - time.monotonic()
        await eventually(check, f"{count} disconnections", max(0.1, left_s))
        took_s = time.monotonic() - context.began
        async with asyncio.timeout(END_S):
            for caller in context.callers[:count]:
                await caller.read_to_end()
        return took_s

    took_s = run(context, play())
    # A step between may have seen the disconnection later than it came.
    assert took_s >= least, took_s
    assert disconnections(context, code) == count
    assert all(caller.was_reset for caller in context.callers[:count])


@when("the callers read {size:d} MiB each")
def read_part(context, size):
    async def play():
        for caller in context.callers:
            while len(caller.received) < size * MIB and await caller.read():
                pass

    run(context, play())


@when("the callers read everything")
def read_everything(context):
    async def play():
        context.replies = []
        for caller in context.callers:
            if hasattr(context, "body"):
                while caller.body_bytes() < len(context.body):
                    assert await caller.read(), "the connection ended"
                context.replies.append(await caller.reply())
            else:
                context.replies.append(await caller.whole_reply(END_S))

    run(context, play())


@when("the callers read {size:d} bytes every {pause:g} seconds to the end")
def read_slowly(context, size, pause):
    async def read_one(caller) -> Reply:
        async with asyncio.timeout(2 * END_S):
            while not caller.received.endswith(b"0\r\n\r\n"):
                assert await caller.read(size), "the connection ended"
                await asyncio.sleep(pause)
        return await caller.reply()

    async def play():
        context.replies = await asyncio.gather(*map(read_one, context.callers))

    run(context, play())


@then("each caller has the whole plain response")
def whole_plain(context):
    assert context.replies
    for reply in context.replies:
        assert reply.status == 200 and reply.whole
        assert reply.body == context.body


@then("each caller has events 1 to {last:d} and the end")
def whole_streams(context, last):
    assert context.replies
    for reply in context.replies:
        assert reply.status == 200 and reply.whole, reply.status
        assert reply.event_ids == list(range(1, last + 1)), len(reply.event_ids)


@when("another caller of the workspace requests a plain response")
def other_plain(context):
    context.reply = run(context, context.case.call("/read/x"))


@then("that caller gets the whole response")
def other_whole(context):
    assert context.reply.status == 200, context.reply.status
    assert context.reply.whole and context.reply.body == context.body


@then("the engine has sent everything within {seconds:g} seconds")
def engine_done(context, seconds):
    (engine,) = context.case.endpoints.values()
    check = lambda: engine.ran and not engine.running  # noqa: E731
    run(context, eventually(check, "the engine's end", seconds))
    assert not engine.cancelled


@then("the engine's generations were cancelled and no reservation is held")
def cancelled(context):
    (engine,) = context.case.endpoints.values()

    def check():
        return not engine.running and not context.gateway.gauge("places_held")

    run(context, eventually(check, "the generation is cancelled", 1.0))
    assert len(context.gateway.logged(Event.READING_STOPPED)) == 1


@when("the caller resumes the stream")
def resume(context):
    (caller,) = context.callers

    async def play():
        partial = await caller.reply()
        # The last event may be incomplete.
        whole = partial.body[: partial.body.rfind(b"\n\n") + 2]
        events = Reply(status=200, headers={}, body=whole, whole=False).event_ids
        context.first_events = events
        return await context.case.call(
            "/check/x",
            "POST",
            b"{}",
            X_Attempt_Id="f" * 16,
            Last_Event_ID=str(events[-1]),
            **SMALL_PROMPT,
        )

    context.reply = run(context, play())


@then("it gets the events from there to {last:d} and the end")
def resumed(context, last):
    reply, first = context.reply, context.first_events
    assert first == list(range(1, len(first) + 1))
    assert reply.status == 200 and reply.whole, reply.status
    assert reply.event_ids == list(range(len(first) + 1, last + 1))


@then(
    "for {seconds:g} seconds a caller of another workspace gets whole responses and"
    " streams"
)
def others_served(context, seconds):
    headers = {"Authorization": f"Bearer {OTHER_API_KEY}"}
    context.most_held = 0

    async def look():
        while True:
            context.most_held = max(context.most_held, held_bytes(context))
            await asyncio.sleep(MEMORY_LOOK_S)

    async def play():
        looking = asyncio.create_task(look())
        end = time.monotonic() + seconds
        calls = 0
        while time.monotonic() < end:
            reply = await context.case.call("/read/x", **headers)
            assert reply.status == 200 and reply.whole, (calls, reply.status)
            reply = await context.case.call(
                "/draft/x",
                "POST",
                b"{}",
                X_Attempt_Id=f"{calls:x}".rjust(16, "e"),
                **headers,
                **SMALL_PROMPT,
            )
            assert reply.status == 200 and reply.whole, (calls, reply.status)
            assert reply.event_ids == list(range(1, 2001))
            calls += 1
        looking.cancel()
        assert calls > 1

    run(context, play())


@then("body memory never held more than {size:d} MiB")
def most_held(context, size):
    assert 0 < context.most_held <= size * MIB, context.most_held


@then("all callers that read nothing are disconnected within {seconds:g} seconds")
def all_disconnected(context, seconds):
    async def play():
        check = lambda: not context.gateway.gauge("open_requests")  # noqa: E731
        await eventually(check, "no request is open", seconds)
        async with asyncio.timeout(END_S):
            for caller in context.callers:
                head = await caller.read()
                # Those that got no memory in time have been refused.
                if b" 200 " in head[:20]:
                    await caller.read_to_end()
                    assert caller.was_reset

    run(context, play())
    assert disconnections(context, int(Code.STREAM_UNREAD)) == 12
    assert disconnections(context, int(Code.RESPONSE_UNREAD)) >= 4


@given("a site with {count:d} endpoints that read request bodies slowly")
def slow_endpoints(context, count):
    start_site(context, endpoint_type=SlowBodyEndpoint, plain=count)


@given("a site with {count:d} engines that read request bodies slowly")
def slow_engines(context, count):
    start_site(context, endpoint_type=SlowBodyEndpoint, engines=count)


def call_all(context, count, path, size, seconds, **headers):
    """Send requests with large bodies at once; keep the replies."""

    async def play():
        calls = [
            context.case.call(
                path,
                "POST",
                b"x" * (size * MIB),
                X_Attempt_Id=f"{number:016x}",
                X_Deadline_Ms=str(int(1000 * seconds)),
                Authorization=f"Bearer {(API_KEY, OTHER_API_KEY)[number % 2]}",
                **headers,
            )
            for number in range(count)
        ]
        context.replies = await asyncio.gather(*calls)

    run(context, play())


@when("{count:d} callers post {size:d} MiB each with {seconds:g} seconds")
def posts(context, count, size, seconds):
    call_all(context, count, "/post/x", size, seconds)


@when("{count:d} callers stream with {size:d} MiB each")
def large_streams(context, count, size):
    call_all(context, count, "/draft/x", size, 15, **SMALL_PROMPT)


@then("all of them are served")
def all_served(context):
    assert all(reply.status == 200 and reply.whole for reply in context.replies), [
        (reply.status, reply.body[:200]) for reply in context.replies
    ]


@then("some are served and the others refused as not run, with a retry time")
def some_served(context):
    statuses = [reply.status for reply in context.replies]
    assert set(statuses) == {200, 503}, statuses
    (endpoint,) = context.case.endpoints.values()
    assert len(endpoint.ran) == statuses.count(200)
    for reply in context.replies:
        if reply.status == 503:
            assert float(reply.headers["retry-after"]) > 0
            assert b'"run": "not-run"' in reply.body, reply.body


@then("no endpoint held more than {size:d} MiB of bodies")
def most_bodies(context, size):
    found = [each.max_held_bytes for each in context.case.endpoints.values()]
    assert 0 < max(found) <= size * MIB, found


@given(
    "a site whose gateway is a process with an unread timeout of {timeout:g} seconds"
)
def process_site(context, timeout):
    start_site(context, plain=1)

    async def play():
        gateway = Gateway(
            name="g9",
            platform=context.case.store.address,
            options={"unread_timeout_s": timeout},
        )
        flags = [part for flag in gateway.flags for part in ("--set", flag)]
        context.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "baobabturn.gateway",
            *flags,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await eventually(gateway.is_ready, "the process is ready", END_S)
        context.gateway = gateway

    async def end():
        context.process.kill()
        await context.process.wait()

    context.add_cleanup(lambda: run(context, end()))
    run(context, play())


@when("the gateway's process is paused for {seconds:g} seconds")
def process_paused(context, seconds):
    async def play():
        context.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        context.process.send_signal(signal.SIGCONT)

    run(context, play())
