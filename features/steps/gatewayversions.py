"""Steps on streams at engines of several software versions."""

import asyncio
import itertools
import re
import time

import attrs
from behave import given, then, when

from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.versionrecords import VersionRecorder
from fakes.callers import Reply, read_reply, request_bytes, request_headers
from fakes.siteconfig import ENGINE_SERVICE, OTHER_API_KEY
from features.sitecase import CURRENT_GATEWAY, eventually
from features.steps.gateway import run, start

PATH = "/check/x"
EVENT_COUNT = 60
LONG_EVENT_COUNT = 120
EVENT_INTERVAL_S = 0.05
# Later than this an engine's crash isn't blamed on a prompt that it runs.
RUN_BEFORE_CRASH_S = 1.3
NOT_RUN, SERVED = 503, 200
TEXT = re.compile(rb"id: (\d+)\ndata: ([a-z0-9]+)-\d+\n\n")


@attrs.define(kw_only=True, eq=False)
class CallerStream:
    """A caller's stream, in what its attempts have brought.

    ``events`` holds the engine of each event by the event's id.
    """

    number: int
    gateway: int
    events: dict[int, str] = attrs.Factory(dict)
    first_attempt: str = ""
    ended: bool = False
    reply: Reply | None = None
    took_s: float = 0.0

    def add(self, data: bytes) -> None:
        """Add the whole events in some bytes."""
        for number, engine in TEXT.findall(data):
            self.events[int(number)] = engine.decode()

    @property
    def versions(self) -> set[str]:
        """Return the versions of the engines whose events it holds."""
        return {engine[:2] for engine in self.events.values()}


@given('engines of versions "{versions}" and {gateways:d} gateways')
def versioned_site(context, versions, gateways):
    start(context, plain=0, engines=0, gateways=gateways)
    context.numbers = itertools.count(1)
    context.streams = []

    async def add():
        for number, version in enumerate(versions.split(",")):
            await add_engine(context, number, version)
        for gateway in range(gateways):
            probe = lambda gateway=gateway: serves(context, gateway)
            await eventually(probe, "the engines are known")
        await asyncio.sleep(0.3)

    run(context, add())


async def add_engine(context, number, version):
    """Start an engine whose name begins with its version."""
    named = "" if version == "-" else version
    prefix = named or f"n{number}"
    endpoint = await context.case.add(
        f"{prefix}x{number}", ENGINE_SERVICE, EVENT_COUNT, version=named
    )
    endpoint.event_interval_s = EVENT_INTERVAL_S
    return endpoint


async def serves(context, gateway):
    """Return whether a gateway begins a stream."""
    stream = CallerStream(number=next(context.numbers), gateway=gateway)
    reading = asyncio.create_task(open_stream(context, stream))
    try:
        await asyncio.wait({reading}, timeout=0.3)
        return bool(stream.events)
    finally:
        reading.cancel()


async def open_stream(context, stream, **headers):
    """Send a stream's request and read until it ends or breaks off."""
    address = context.case.gateways[stream.gateway].addresses["callers"]
    host, _, port = address.rpartition(":")
    attempt = f"{next(context.numbers):016x}"
    more = {"X_Attempt_Id": attempt, "Connection": "close", **headers}
    sent = request_headers(PATH, more)
    began_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    if not stream.events:
        stream.first_attempt = attempt
    try:
        writer.write(request_bytes("POST", PATH, sent, b"{}"))
        copy = asyncio.StreamReader()
        reply = asyncio.create_task(read_reply(copy))
        held = b""
        while data := await reader.read(4096):
            copy.feed_data(data)
            held += data
            # The chunks of the transfer encoding hold one event each.
            stream.add(held)
        copy.feed_eof()
        stream.reply = await reply
        stream.ended = stream.reply.whole and stream.reply.status == SERVED
    except (ConnectionError, asyncio.IncompleteReadError):
        stream.reply = None
    finally:
        stream.took_s = time.monotonic() - began_at
        writer.close()


def begin(context, count):
    """Begin streams at all gateways in turn; return the tasks that read them."""
    gateways = itertools.cycle(range(len(context.case.gateways)))
    tasks = []
    for _ in range(count):
        stream = CallerStream(number=next(context.numbers), gateway=next(gateways))
        context.streams.append(stream)
        tasks.append(asyncio.create_task(open_stream(context, stream)))
    return tasks


def engines_of(context, version):
    """Return the engines of a version that have not been stopped."""
    return [
        endpoint
        for endpoint in context.case.endpoints.values()
        if endpoint.version == version and endpoint.server is not None
    ]


async def end_engine(context, engine, how):
    """Let an engine leave, and end a little later, or crash."""
    if how.startswith("crash"):
        await engine.stop()
        engine.server = None
        return
    context.case.leave(engine.name)
    await asyncio.sleep(1.5)
    await engine.stop()
    engine.server = None


@when("{count:d} streams have begun, and the first engine of each version {ends}")
def first_of_each(context, count, ends):
    end_some(context, count, ends, ["v1", "v2"])


@when("{count:d} streams have begun, and the first engine of {version} {ends}")
def first_of_one(context, count, version, ends):
    end_some(context, count, ends, [version])


def end_some(context, count, ends, versions):
    async def play():
        tasks = begin(context, count)
        await asyncio.sleep(RUN_BEFORE_CRASH_S)
        ending = [engines_of(context, version)[0] for version in versions]
        await asyncio.gather(*(end_engine(context, each, ends) for each in ending))
        await asyncio.gather(*tasks)

    run(context, play())


BORN_MS = 1_700_000_000_000


def last_engine(context):
    """Return the engine that was added last."""
    return list(context.case.endpoints.values())[-1]


def write_entry(context, engine, born, **fields):
    """Write an engine's entry with the time of its start, which its reports say too."""
    engine.report_fields["born"] = born
    context.case.store.write("servers", engine.name, engine.entry(born=born, **fields))
    run(context, asyncio.sleep(0.3))


@given("the entry of the last engine says when it started")
def says_when(context):
    write_entry(context, last_engine(context), BORN_MS)


@when("{count:d} streams have begun, none at the last engine")
def begun_elsewhere(context, count):
    last = last_engine(context)

    async def play():
        context.case.leave(last.name)
        await asyncio.sleep(0.3)
        context.tasks = begin(context, count)
        await asyncio.sleep(RUN_BEFORE_CRASH_S)

    run(context, play())
    write_entry(context, last, BORN_MS + 1)


@when("the last engine starts again with v2, and its entry isn't changed")
def starts_again(context):
    engine = last_engine(context)
    engine.report_fields["born"] = BORN_MS + 2
    engine.ran.clear()


@when("the first engine crashes")
def first_crashes(context):
    async def play():
        await end_engine(context, engines_of(context, "v1")[0], "crash")
        await asyncio.gather(*context.tasks)

    run(context, play())


@when("all gateways die and callers take it up")
def die_and_take_up(context):
    gateways = context.case.gateways
    context.killed, context.lost_gateways = gateways, range(len(gateways))

    async def play():
        await asyncio.gather(*(gateway.stop() for gateway in gateways))
        await end_engine(context, engines_of(context, "v1")[0], "crash")
        await leave_lost(context)

    run(context, play())
    take_up(context)


@then("the last engine has run nothing of theirs")
def ran_nothing(context):
    ran = last_engine(context).ran
    assert not ran, [request.attempt_id for request in ran]


@when("{count:d} streams have begun, and all but the last engine crash")
def all_but_one(context, count):
    async def play():
        tasks = begin(context, count)
        await asyncio.sleep(RUN_BEFORE_CRASH_S)
        for engine in list(context.case.endpoints.values())[:-1]:
            await end_engine(context, engine, "crash")
        await asyncio.gather(*tasks)

    run(context, play())


@when("{count:d} streams have run for {seconds:g} seconds, and {which} are killed")
def run_and_kill(context, count, seconds, which):
    gateways = context.case.gateways
    killed = gateways if which == "all the gateways" else gateways[:2]
    context.lost_gateways = range(len(killed))

    async def play():
        context.tasks = begin(context, count)
        await asyncio.sleep(seconds)
        await asyncio.gather(*(gateway.stop() for gateway in killed))
        await leave_lost(context)
        context.killed = killed

    run(context, play())


@when("{count:d} streams have run for {seconds:g} seconds")
def only_run(context, count, seconds):
    context.killed, context.lost_gateways = [], range(2)

    async def play():
        context.tasks = begin(context, count)
        await asyncio.sleep(seconds)

    run(context, play())


@when("the store is down, and two gateways are cut off from their callers")
def cut_off(context):
    context.case.store.failing_status = NOT_RUN

    run(context, leave_lost(context))


async def leave_lost(context):
    """Let the callers leave the gateways that they have lost."""
    for stream, task in zip(context.streams, context.tasks, strict=True):
        if stream.gateway in context.lost_gateways:
            task.cancel()
    await asyncio.sleep(0.2)


@when("an engine of v2 replaces each engine of v1")
def replaced(context):
    async def play():
        for number, engine in enumerate(engines_of(context, "v1")):
            await engine.stop()
            engine.server = None
            context.case.store.remove("servers", engine.name)
            await add_engine(context, 10 + number, "v2")

    run(context, play())


@when("their callers take them up")
@when("their callers take them up naming {attempt}")
def take_up(context, attempt="their own"):
    naming = {
        "their own": lambda stream: {"Resumes": stream.first_attempt},
        "no attempt": lambda stream: {},
        "an unknown attempt": lambda stream: {"Resumes": "f" * 16},
        "another's attempt": lambda stream: {
            "Resumes": stream.first_attempt,
            "Authorization": f"Bearer {OTHER_API_KEY}",
        },
    }
    last = len(context.case.gateways) - 1

    async def resume(stream):
        stream.gateway = last
        headers = naming[attempt](stream)
        await open_stream(
            context, stream, Last_Event_Id=str(max(stream.events)), **headers
        )

    async def play():
        for gateway in context.killed:
            gateway.restart()
        for gateway in context.killed:
            await eventually(gateway.is_ready, "a gateway is ready")
        lost = context.lost_gateways
        context.taken_up = [
            each for each in context.streams if not each.ended and each.gateway in lost
        ]
        assert all(each.events for each in context.taken_up)
        await asyncio.gather(*(resume(each) for each in context.taken_up))
        await asyncio.gather(*context.tasks, return_exceptions=True)
        others = [each for each in context.streams if each not in context.taken_up]
        await eventually(lambda: all(each.ended for each in others), "the others end")

    run(context, play())


@then("no stream holds events of two versions")
@then("no stream holds events of two engines")
def one_version(context):
    joined = [stream for stream in context.streams if len(stream.versions) > 1]
    assert not joined, (len(joined), [sorted(each.versions) for each in joined])


def is_complete(stream):
    """Return whether a stream has all events, and its end."""
    return stream.ended and set(stream.events) == set(range(1, EVENT_COUNT + 1))


@then("all streams are complete")
def all_complete(context):
    broken = [each for each in context.streams if not is_complete(each)]
    assert not broken, (len(broken), broken[:2])


@then("all streams of {version} are complete")
def version_complete(context, version):
    chosen = [each for each in context.streams if version in each.versions]
    broken = [each for each in chosen if not is_complete(each)]
    assert chosen and not broken, (len(broken), broken[:2])


@then("at least {count:d} streams go on")
def go_on(context, count):
    complete = [each for each in context.streams if is_complete(each)]
    assert len(complete) >= count, (len(complete), context.taken_up[:2])


@then("all take-ups were refused as not run, within {seconds:g} seconds")
def refused(context, seconds):
    assert context.taken_up
    for stream in context.taken_up:
        reply = stream.reply
        assert reply is not None and reply.status == NOT_RUN, (stream, reply)
        assert reply.headers.get("retry-after"), reply
        assert stream.took_s <= seconds, stream


@when("the first engine breaks off whatever it is sent")
def breaks_off(context):
    next(iter(context.case.endpoints.values())).cut_after_events = 1
    context.changed_at = time.monotonic()


@then("every run since then began where its caller was")
def began_there(context):
    runs = [
        request
        for endpoint in context.case.endpoints.values()
        for request in endpoint.ran
        if request.arrived_at > context.changed_at
    ]
    assert len(runs) > len(context.taken_up), len(runs)
    began_at = [request.headers.get("last-event-id", "") for request in runs]
    assert all(began_at), began_at


@given("the record of versions is written, and can't be written any more")
def no_records(context):
    store = context.case.store
    run(
        context,
        eventually(lambda: store.objects.get("baobabturn-versions"), "the record"),
    )
    apply_write = store.apply_write

    def refuse(method, kind, name, body, query):
        if kind == "baobabturn-versions":
            return NOT_RUN, {}
        return apply_write(method, kind, name, body, query)

    store.apply_write = refuse


# What a gateway out of step doesn't do.
OUT_OF_STEP = {
    "is cut off from the others": [
        (Peers, "datagram_received"),
        (Peers, "send_message"),
    ],
    "stands still": [
        (Peers, "datagram_received"),
        (Peers, "send_message"),
        (Endpoints, "apply_list"),
        (Endpoints, "apply_change"),
        (VersionRecorder, "observe"),
    ],
}


def put_out_of_step(context, gateway, how):
    """Let one gateway of this process do nothing of some things."""
    for owner, name in OUT_OF_STEP[how]:
        method = getattr(owner, name)

        def unless_out(self, *args, method=method):
            if CURRENT_GATEWAY.get() == gateway.name:
                return None
            return method(self, *args)

        setattr(owner, name, unless_out)
        context.add_cleanup(setattr, owner, name, method)


async def begin_at_others(context, version):
    """Begin streams at the other gateways until a few have events of a version."""
    context.tasks = []

    def found():
        return [each for each in context.streams if version in each.versions]

    for number in range(24):
        stream = CallerStream(number=next(context.numbers), gateway=number % 2)
        context.streams.append(stream)
        context.tasks.append(asyncio.create_task(open_stream(context, stream)))
        await asyncio.sleep(EVENT_INTERVAL_S)
        if len(found()) >= 4:
            break
    context.killed, context.lost_gateways = [], range(2)
    await eventually(lambda: all(each.events for each in context.streams), "events")
    await leave_lost(context)


@when(
    "the last gateway {how} while an engine of v2 joins and begins streams of the"
    " others"
)
def out_of_step(context, how):
    put_out_of_step(context, context.case.gateways[-1], how)

    async def play():
        await add_engine(context, 9, "v2")
        await begin_at_others(context, "v2")

    run(context, play())


@when("the last gateway is cut off from the others while streams begin there")
def cut_off_alone(context):
    how = "is cut off from the others"
    put_out_of_step(context, context.case.gateways[-1], how)
    run(context, begin_at_others(context, "v1"))


@then("at least {count:d} streams of v2 were taken up")
def v2_taken_up(context, count):
    begun = [each for each in context.taken_up if "v2" in each.versions]
    assert len(begun) >= count, context.taken_up


@when("the store is down, and the last engine starts again with v2")
def starts_in_outage(context):
    engine, store = last_engine(context), context.case.store
    for each in context.case.endpoints.values():
        each.event_count = LONG_EVENT_COUNT
    store.failing_status = NOT_RUN
    store.reset_connections()
    context.restarted_born = BORN_MS + 2
    engine.report_fields["born"] = context.restarted_born
    engine.version, engine.event_name = "v2", engine.name.replace("v1", "v2")


@when("{count:d} streams begin, and {then}")
def begin_in_outage(context, count, then):
    endings = {
        "the store comes back with its new entry": store_returns,
        "its callers take them up at the first gateway": taken_up_elsewhere,
    }

    async def play():
        context.tasks = begin(context, count)
        # By then the gateways know that the store is silent.
        await asyncio.sleep(2.6)
        await endings[then](context)
        await asyncio.gather(*context.tasks, return_exceptions=True)

    run(context, play())


async def store_returns(context):
    """Let the store answer again, and the engine write its entry."""
    engine = last_engine(context)
    context.case.store.failing_status = 0
    entry = engine.entry(born=context.restarted_born)
    context.case.store.write("servers", engine.name, entry)


async def taken_up_elsewhere(context):
    """Let callers of other gateways lose them, and resume at the first one."""
    context.lost_gateways = [1, 2]
    await leave_lost(context)
    for stream in context.streams:
        if stream.gateway in context.lost_gateways:
            stream.gateway = 0
            more = {"Resumes": stream.first_attempt}
            work = open_stream(
                context, stream, Last_Event_Id=str(max(stream.events)), **more
            )
            context.tasks.append(asyncio.create_task(work))


@then("at least {count:d} streams began at v2")
def began_at_v2(context, count):
    begun = [each for each in context.streams if each.events.get(1, "")[:2] == "v2"]
    assert len(begun) >= count, [each.events.get(1) for each in context.streams]


@when("{count:d} streams have begun, and the last engine's entry goes and returns")
def lapses(context, count):
    engine, store = last_engine(context), context.case.store

    async def play():
        tasks = begin(context, count)
        await asyncio.sleep(0.5)
        store.remove("servers", engine.name)
        await asyncio.sleep(0.5)
        store.write("servers", engine.name, engine.entry(born=BORN_MS))
        await asyncio.gather(*tasks)

    run(context, play())
