"""Steps of the platform's client: outages, budgets, and what follows them."""

import asyncio
import json
import time

from behave import given, then, when
from helper import start_fleet, wait_for

from baobabturn.core.clock import HybridClock
from baobabturn.core.events import EventLog
from baobabturn.core.results import Failure
from baobabturn.store.httpstore import HttpStore
from baobabturn.store.objects import CLAIM_KIND
from baobabturn.store.sweep import ClaimSweep
from baobabturn.store.version import ABSENT, StoreVersion
from bench.members import settings_for
from fakes.platform import FakePlatform

KIND = "thing"
OUTAGE_SETTINGS = {"calls_per_s": 10, "burst_calls": 20}


def run(context, work):
    return context.runner.run(work)


@given("a client of a platform of its own")
def client(context):
    client_with(context, 40, 20)


@given(
    "a client of a platform of its own that may make {burst:d} calls at once"
    " and {rate:d} a second"
)
def client_with(context, burst, rate):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.fake = FakePlatform(seed=3)
    url = run(context, context.fake.start())
    context.add_cleanup(lambda: run(context, context.fake.stop()))
    flags = [
        f"platform.url={url}",
        f"platform.calls_per_s={rate}",
        f"platform.burst_calls={burst}",
    ]
    settings = settings_for(0, 1, 0, flags).platform
    clock = HybridClock()
    context.log = EventLog(node="n", role="r", failure_domain="d", clock=clock)

    async def make():
        return HttpStore(settings=settings, seed=3, events=context.log)

    context.client = run(context, make())
    context.add_cleanup(lambda: run(context, context.client.close()))


class RepeatingServer:
    """Answers each read with the object's name, and again a moment later."""

    def __init__(self, *, repeat_after_s):
        self.repeat_after_s = repeat_after_s

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        loop = asyncio.get_running_loop()
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                name = head.split(b" ")[1].rpartition(b"/")[2].decode()
                body = json.dumps({"name": name, "version": 1, "value": {}}).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                answer += b"Content-Length: %d\r\n\r\n" % len(body) + body
                writer.write(answer)
                loop.call_later(self.repeat_after_s, writer.write, answer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


@given("a client of a platform that sends each answer again {seconds:g} s later")
def repeating_platform(context, seconds):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def begin():
        server = RepeatingServer(repeat_after_s=seconds)
        context.server = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        host, port = context.server.sockets[0].getsockname()[:2]
        flags = [f"platform.url=http://{host}:{port}"]
        return HttpStore(settings=settings_for(0, 1, 0, flags).platform, seed=3)

    context.client = run(context, begin())
    context.add_cleanup(context.server.close)
    context.add_cleanup(lambda: run(context, context.client.close()))


@when("it reads {count:d} objects one after another with {seconds:g} s between them")
def reads_objects(context, count, seconds):
    async def play():
        found = []
        for number in range(count):
            found.append(await context.client.get(KIND, f"n{number}"))
            await asyncio.sleep(seconds)
        return found

    context.found = run(context, play())


@then("each answer was the object that was asked for")
def own_answers(context):
    names = [getattr(found, "name", str(found)) for found in context.found]
    assert names == [f"n{number}" for number in range(len(names))], names


@when("the client's platform is down and {count:d} calls have failed")
def down(context, count):
    context.fake.faults["down"] = True
    for _ in range(count):
        found = run(context, context.client.get(KIND, "x"))
        assert isinstance(found, Failure)
    assert context.client.budget.is_down


@then("the next call fails at once with a time to come back")
def fails_at_once(context):
    calls = context.client.calls
    found = run(context, context.client.put(KIND, "x", {}, ABSENT))
    assert isinstance(found, Failure) and 0 < found.retry_after_s <= 2.5
    assert context.client.calls == calls


@when("the client's platform is up again")
def up_again(context):
    context.fake.faults["down"] = False


@when("the answer to 1 write is lost")
def lose_one(context):
    context.fake.faults["lose_answers"] = 1.0
    found = run(context, context.client.put(KIND, "lost", {}, ABSENT))
    assert isinstance(found, Failure)
    context.fake.faults["lose_answers"] = 0.0


@when("the client's platform takes {seconds:d} s for each answer")
def slow(context, seconds):
    context.fake.faults["slow_s"] = seconds


@then("a write succeeds within {limit:g} s of it")
def write_succeeds(context, limit):
    async def work():
        end = time.monotonic() + limit
        while True:
            found = await context.client.put(KIND, "y", {}, ABSENT)
            if not isinstance(found, Failure):
                return
            assert time.monotonic() < end, found
            await asyncio.sleep(0.05)

    run(context, work())


def logged(context, event):
    return any(f"event={event}" in line for line in context.log.ring)


@then('the client logged "{event}"')
def has_logged(context, event):
    assert logged(context, event)


@then('the client did not log "{event}"')
def has_not_logged(context, event):
    assert not logged(context, event)


@when("it makes {count:d} calls at once")
def many_calls(context, count):
    async def work():
        calls = [context.client.put(KIND, f"n{n}", {}, ABSENT) for n in range(count)]
        return await asyncio.gather(*calls)

    began = time.monotonic()
    context.results = run(context, work())
    context.took_s = time.monotonic() - began


@then("all {count:d} have succeeded and took longer than {limit:g} s")
def all_succeeded(context, count, limit):
    good = [one for one in context.results if not isinstance(one, Failure)]
    assert len(good) == count and context.took_s > limit, context.took_s


@when(
    "as many calls as the client lets through are made for {span:d} s after it answered"
)
def calls_after(context, span):
    async def work():
        while context.client.budget.is_down:
            await context.client.get(KIND, "x")
            await asyncio.sleep(0.02)
        before = context.client.calls
        end = time.monotonic() + span
        while time.monotonic() < end:
            await context.client.get(KIND, "x")
        return context.client.calls - before

    context.made = run(context, work())


@then("they were at most {limit:d}")
def at_most(context, limit):
    assert context.made <= limit, context.made


@given("a fleet of {hosts:d} hosts whose processes may make 10 calls a second each")
def budget_fleet(context, hosts):
    start_fleet(
        context,
        "herd",
        False,
        hosts=hosts,
        engines=1,
        workers=1,
        overrides={"platform": OUTAGE_SETTINGS},
    )


def per_second(context):
    counted = context.fleet.counts("platform")["per_second"]
    return {int(second): count for second, count in counted.items()}


@when("its platform is down for {span:d} s")
def fleet_outage(context, span):
    context.fleet.control("platform", down=True)
    context.down_at = int(time.time()) + 1
    time.sleep(span)
    context.fleet.control("platform", down=False)
    context.up_at = int(time.time())


@then("in each of the {span:d} s after it the platform saw at most {limit:d} calls")
def calls_after_outage(context, span, limit):
    time.sleep(span)
    seen = per_second(context)
    after = [seen.get(context.up_at + n, 0) for n in range(span)]
    assert max(after) <= limit, after
    assert sum(after) > 0, after
    print(f"calls in the seconds after the outage: {after}")


@then("while it was down it saw at most {limit:d} calls a second")
def calls_while_down(context, limit):
    seen = per_second(context)
    during = [seen.get(n, 0) for n in range(context.down_at, context.up_at)]
    assert max(during) <= limit, during
    print(f"calls in the seconds of the outage: {during}")


@then('every host has logged "{one}" and "{other}"')
def hosts_logged(context, one, other):
    fleet = context.fleet
    watching = [host.name for host in fleet.hosts]
    for name in watching:
        log = fleet.log(f"controller@{name}")
        for event in (one, other):
            wait_for(
                lambda e=event, at=log: f"event={e}" in at.read_text(),
                f"{event} at {name}",
                10,
            )


ODD_ITEMS = {
    "in another encoding": b'{"name": "odd", "version": 2, "value": "Tarraz\xfa"}',
    "cut off in a text": b'{"name": "odd", "version": 2, "value": "cut',
    "without a name": b'{"version": 2, "value": 1}',
    "named with a number": b'{"name": 7, "version": 2, "value": 1}',
    "a number": b"7",
}
SOUND_NAMES = ["a", "z"]


def sound_items(path):
    """Return the sound items that a path's list has."""
    if path.startswith("/hosts"):
        fields = ("address", "failure_domain", "region", "role", "state")
        return [{"name": n, **dict.fromkeys(fields, "x")} for n in SOUND_NAMES]
    return [{"name": name, "version": 2, "value": {}} for name in SOUND_NAMES]


def odd_list(path, odd):
    """Return the bytes of a list with an odd item in its middle."""
    first, last = (json.dumps(item).encode() for item in sound_items(path))
    key = "hosts" if path.startswith("/hosts") else "objects"
    key = "changes" if "watch=" in path else key
    return b'{"%s": [%s, %s, %s], "version": 3}' % (key.encode(), first, odd, last)


@given("a client of a platform whose lists have an item that is {what}")
def odd_platform(context, what):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        body = odd_list(head.split(b" ")[1].decode(), ODD_ITEMS[what])
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)
        writer.close()

    async def begin():
        context.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = context.server.sockets[0].getsockname()[:2]
        flags = [f"platform.url=http://{host}:{port}"]
        return HttpStore(settings=settings_for(0, 1, 0, flags).platform, seed=3)

    context.client = run(context, begin())
    context.add_cleanup(context.server.close)
    context.add_cleanup(lambda: run(context, context.client.close()))


@when("it lists, finds and watches objects, and lists the hosts")
def read_all(context):
    client = context.client

    async def play():
        snapshot = await client.snapshot(KIND)
        found = await client.find(KIND, "")
        watched = await client.watch(KIND, StoreVersion(0, 1), 0.1)
        hosts = await client.hosts()
        return [snapshot.changes, found, watched.changes, hosts]

    context.lists = run(context, play())


@then("it gets all the other objects and hosts")
def all_others(context):
    for each in context.lists:
        names = [item.name for item in each if item.name != "odd"]
        assert names == SOUND_NAMES, each


@when("expired claims are swept, one of which is a text")
def sweep_with_odd(context):
    async def play():
        claim = {"nonce": "n", "state": "done", "request": "r"}
        for name, value in (("ca", claim), ("cb", "a text"), ("cc", claim)):
            await context.client.put(CLAIM_KIND, name, value, ABSENT)
        sweep = ClaimSweep(
            store=context.client,
            lifetime_s=0,
            interval_s=1,
            owns_prefix=lambda prefix: True,
        )
        await sweep.sweep("c")
        return await context.client.find(CLAIM_KIND, "c")

    context.found = run(context, play())


@then("only the claim that is a text is left")
def odd_claim_left(context):
    assert [each.name for each in context.found] == ["cb"], context.found
