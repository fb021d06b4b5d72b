"""Steps on what gateways tell each other of the store."""

import asyncio
import time
import unittest.mock
from types import SimpleNamespace

from behave import given, then, when

from baobabturn.core.clock import HybridClock
from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.mirror import Mirror, StoreContact
from baobabturn.gateway.peers import Peer
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.store.interface import Change, Changes
from baobabturn.store.version import StoreVersion
from baobabturn.wire.gatewaymessages import StoreAsk, StoreNews, StoreState, StoreVouch
from fakes.proxy import Direction
from features.sitecase import eventually
from features.steps.gateway import begins_to_leave, run, start, status_of


def at(revision, era=0):
    """Return a version of the store."""
    return StoreVersion(era, revision)


class ScriptedStore:
    """Gives prepared answers; a watch waits until the script lets it end."""

    def __init__(self):
        self.lists = 0
        self.release = asyncio.Event()
        self.watched = asyncio.Event()
        self.found = Changes(changes=(), version=at(10))

    async def snapshot(self, kind):
        """Return an empty list."""
        self.lists += 1
        return Changes(changes=(), version=at(10 * self.lists))

    async def watch(self, kind, since, wait_s):
        """Wait for the script, then return what it prepared."""
        self.watched.set()
        await self.release.wait()
        self.release.clear()
        return self.found


@given("a mirror whose watch is under way")
def watch_under_way(context):
    async def begin():
        context.store = ScriptedStore()
        context.applied = []
        events = EventLog(node="n", role="r", failure_domain="d", clock=HybridClock())
        context.mirror = Mirror(
            store=context.store,
            contact=StoreContact(events=events),
            kind="things",
            wait_s=1.0,
            on_list=lambda changes: None,
            on_change=context.applied.append,
        )
        context.task = asyncio.create_task(context.mirror.run())
        await context.store.watched.wait()

    run(context, begin())
    context.add_cleanup(lambda: context.task.cancel())


@when("news show that a change was missed, and then the watch ends")
def missed(context):
    async def play():
        assert not context.mirror.apply_update(at(15), at(16), [])
        context.mirror.invalidate()
        context.store.release.set()
        await eventually(lambda: context.store.lists == 2, "a second list")

    run(context, play())


@then("the mirror lists the kind anew and goes on")
def goes_on(context):
    async def play():
        context.store.watched.clear()
        await asyncio.wait_for(context.store.watched.wait(), 2)

    if not context.store.watched.is_set():
        run(context, play())
    assert not context.task.done()


@when("news bring an endpoint's end, and the watch then brings its older entry")
def older_entry(context):
    ready = Change(name="e", version=at(11), value={"state": "ready"})
    gone = Change(name="e", version=at(12), value=None)

    async def play():
        assert context.mirror.apply_update(at(10), at(12), [ready, gone])
        context.store.found = Changes(changes=(ready,), version=at(11))
        context.store.watched.clear()
        context.store.release.set()
        await asyncio.wait_for(context.store.watched.wait(), 2)

    run(context, play())


@then("the mirror has applied the end alone")
def end_alone(context):
    assert [change.version for change in context.applied] == [at(11), at(12)], (
        context.applied
    )
    assert context.mirror.last_change_version == at(12)


@given("a mirror of a store that is away")
def store_away(context):
    events = EventLog(node="n", role="r", failure_domain="d", clock=HybridClock())
    context.mirror = Mirror(
        store=None,
        contact=StoreContact(events=events),
        kind="things",
        wait_s=1.0,
        on_list=lambda changes: None,
        on_change=lambda change: None,
    )


@when("another gateway is the watcher and the kind was listed before")
def follows_another(context):
    context.mirror.is_follower = lambda: True
    context.mirror.complete_version = at(1)


@then("after {count:d} failed calls it waits for {low:g} to {high:g} seconds")
def waits_after_failures(context, count, low, high):
    waits = []

    async def note(delay_s):
        waits.append(delay_s)

    async def play():
        failure = Failure(Code.PLATFORM_UNREACHABLE, "away")
        with unittest.mock.patch("asyncio.sleep", note):
            for _ in range(count):
                await context.mirror.wait_after(failure)

    run(context, play())
    assert low <= min(waits[-10:]) and max(waits[-10:]) <= high, waits[-10:]


class OnlyWatched:
    """The election as a gateway sees it that watches for nobody."""

    def is_watcher(self):
        """Return that another gateway is the watcher."""
        return False

    def is_root(self):
        """Return that another gateway is the root."""
        return False


@given("a gateway that knows the store up to revision {revision:d}")
def knows_revision(context, revision):
    events = EventLog(node="n", role="r", failure_domain="d", clock=HybridClock())
    context.sent = []
    record = SimpleNamespace(name="g1", failure_domain="d")
    peers = SimpleNamespace(
        record=record,
        handlers={},
        send_message=lambda message, to: context.sent.append((message, to)),
    )
    contact = StoreContact(events=events)
    context.mirror = Mirror(
        store=None,
        contact=contact,
        kind="things",
        wait_s=1.0,
        on_list=lambda changes: None,
        on_change=lambda change: None,
    )
    context.mirror.apply_snapshot(Changes(changes=(), version=at(revision)))
    context.updates = StoreUpdates(
        peers=peers, watchers=OnlyWatched(), contact=contact, mirrors=[context.mirror]
    )
    context.watcher = Peer(name="g0", address=("10.0.0.1", 7200))
    context.watcher.failure_domain = "d"


def take_update(context, before, version):
    """Let the gateway take an update of its watcher."""
    update = StoreNews(
        node="g0", kind="things", before=at(before), version=at(version), changes=[]
    )
    context.updates.handle_update(update, context.watcher)


@when("its watcher's update from {before:d} to {version:d} shows that one was lost")
def update_after_gap(context, before, version):
    async def play():
        take_update(context, before, version)

    run(context, play())


@when("its watcher confirms revision {version:d}")
def confirms_newer(context, version):
    async def play():
        item = StoreState(kind="things", version=at(version))
        vouch = StoreVouch(node="g0", stamp=1, items=[item])
        context.updates.handle_confirmation(vouch, context.watcher)

    run(context, play())


@then("it asks the watcher for changes since {revision:d}")
def asks_watcher(context, revision):
    (ask, to), *others = context.sent
    assert isinstance(ask, StoreAsk) and not others, context.sent
    assert to == [context.watcher], to
    assert [each.version for each in ask.known] == [at(revision)], ask


@when("the updates from {a:d} to {b:d} and from {c:d} to {d:d} come")
def updates_come(context, a, b, c, d):
    take_update(context, a, b)
    take_update(context, c, d)


@then(
    "after {seconds:g} seconds it knows revision {version:d}"
    " and hasn't listed the store"
)
def knows_without_list(context, seconds, version):
    run(context, asyncio.sleep(seconds))
    assert context.mirror.complete_version == at(version)
    assert context.mirror.watch_version is not None


@then("after {seconds:g} seconds it lists the store")
def lists_store(context, seconds):
    assert context.mirror.watch_version is not None
    run(context, asyncio.sleep(seconds))
    assert context.mirror.watch_version is None


@when(
    "a watch shows that the store is at revision {version:d} without a change of the"
    " kind"
)
def watch_without_change(context, version):
    context.mirror.complete_version = context.mirror.watch_version = at(version)


@then("a gateway that knows revision {version:d} has missed nothing")
def missed_nothing(context, version):
    known = StoreState(kind="things", version=at(version))
    assert not context.updates.missed_updates(known)


@then("a gateway that knows revision {version:d} has missed all objects")
def missed_all(context, version):
    known = StoreState(kind="things", version=at(version))
    assert [each.full for each in context.updates.missed_updates(known)] == [True]


@then("after {seconds:g} seconds one gateway alone calls the store")
def one_alone(context, seconds):
    run(context, asyncio.sleep(seconds))
    gateways = context.case.gateways
    before = [calls_of(gateway) for gateway in gateways]
    run(context, asyncio.sleep(2.5))
    after = [calls_of(gateway) for gateway in gateways]
    made = [new - old for old, new in zip(before, after, strict=True)]
    busy = [number for number, count in enumerate(made) if count > 1]
    assert len(busy) == 1, made
    context.watcher = gateways[busy[0]]


def calls_of(gateway):
    """Return how many calls to the store a gateway has made."""
    read = gateway.program.metrics.gauges["platform_calls", ()]
    return read()


@when("that gateway is gone")
def gone(context):
    run(context, context.watcher.stop())
    context.case.gateways.remove(context.watcher)


@then("requests with that key soon get 401 at every gateway")
@then("requests with that key soon get 401 at the others")
def all_refuse(context):
    async def check():
        numbers = range(len(context.case.gateways))
        found = [await status_of(context, gateway=number) for number in numbers]
        return set(found) == {401}

    run(context, eventually(check, "401 everywhere", 5.0))


@given(
    "a site with {count:d} plain endpoints and {gateways:d} gateways in {domains:d}"
    " failure domains"
)
def site_in_domains(context, count, gateways, domains):
    start(context, plain=count, gateways=gateways, domains=domains)


@when("the store answers nobody for {seconds:g} seconds")
def store_outage(context, seconds):
    store = context.case.store
    run(context, asyncio.sleep(1.5))
    store.failing_status = 503
    store.reset_connections()
    run(context, asyncio.sleep(seconds))
    store.failing_status = 0


@when("the store turns that gateway away")
def turned_away(context):
    number = context.case.gateways.index(context.watcher)
    context.others = [n for n in range(len(context.case.gateways)) if n != number]
    run(context, context.case.links[number].stop())


@then("requests with that key get 401 at the others within {seconds:g} seconds")
def others_refuse(context, seconds):
    async def check():
        found = [await status_of(context, gateway=n) for n in context.others]
        return set(found) == {401}

    run(context, eventually(check, "401 at the others", seconds))


RECORDS = "baobabturn-gateways"


@given(
    "a site with {count:d} plain endpoints and {gateways:d} gateways in domains of"
    " their own"
)
def domains_site(context, count, gateways):
    start(context, plain=count, gateways=gateways, domains=gateways)


@when("the first gateway's link to the store falls silent after {seconds:g} seconds")
def link_silent(context, seconds):
    run(context, asyncio.sleep(seconds))
    context.case.links[0].silence(Direction.TO_TARGET, Direction.TO_CALLER)


@when('after {seconds:g} seconds the endpoint "{name}" begins to leave')
def leaves_after(context, seconds, name):
    run(context, asyncio.sleep(seconds))
    begins_to_leave(context, name)


@then("for {seconds:g} seconds requests with a key are served at every gateway")
def served_for(context, seconds):
    async def play():
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            for number in range(len(context.case.gateways)):
                assert await status_of(context, gateway=number) == 200, context.reply
            await asyncio.sleep(0.2)

    run(context, play())


@when("the record of a gateway is spoilt")
def spoilt_record(context):
    context.case.store.write(RECORDS, "g9", {"peers": 7})


@then("the first gateway logs that it can't be read")
def record_logged(context):
    gateway = context.case.gateways[0]

    def logged():
        lines = gateway.logged(Event.ENTRY_UNREADABLE)
        return any("endpoint=g9" in line for line in lines)

    run(context, eventually(logged, "a line on the record"))


@when("a gateway that isn't heard of has had a record for 11 minutes")
def old_record(context):
    record = {"peers": "127.0.0.1:9", "callers": "127.0.0.1:9", "failure_domain": "z"}
    made = Peer.__init__

    def long_known(self, **fields):
        made(self, **fields, known_since=time.monotonic() - 660)

    Peer.__init__ = long_known
    context.add_cleanup(lambda: setattr(Peer, "__init__", made))
    context.case.store.write(RECORDS, "g9", record)
    context.name = "g9"


@then("its record is soon deleted")
def record_deleted(context):
    records = context.case.store.objects[RECORDS]
    run(context, eventually(lambda: context.name not in records, "its end"))


@when("the first gateway's record is deleted")
def delete_record(context):
    context.name = "g0"
    context.case.store.remove(RECORDS, "g0")


@then("its record is soon there again")
def record_back(context):
    records = context.case.store.objects[RECORDS]
    run(context, eventually(lambda: context.name in records, "the record"))
