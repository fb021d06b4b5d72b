"""Steps on the order of what the store says."""

from behave import given, then, when

from baobabturn.core.clock import HybridClock
from baobabturn.core.events import EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.configinforce import ConfigInForce
from baobabturn.gateway.departures import Departures
from baobabturn.gateway.mirror import Mirror, StoreContact
from baobabturn.gateway.platforminterface import EndpointRecord
from baobabturn.gateway.softwareversion import SoftwareVersion
from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.platform.objectstore import PlatformObjectStore
from baobabturn.store.interface import Change, Changes
from baobabturn.store.version import StoreVersion
from baobabturn.wire.codec import Envelope, pack_small, unpack_small
from baobabturn.wire.gatewaymessages import StoreNews, StoreState, StoreVouch
from fakes.site import SiteStore
from fakes.siteconfig import configuration
from features.sitecase import eventually
from features.steps.gateway import run


def version_of(text):
    """Return the version that a step names, ``era.revision``."""
    era, revision = text.split(".")
    return StoreVersion(int(era), int(revision))


def event_log():
    """Return an event log of nobody."""
    return EventLog(node="n", role="r", failure_domain="d", clock=HybridClock())


@then("version {newer} is newer than version {older}")
def is_newer(context, newer, older):
    assert version_of(newer) > version_of(older)
    assert str(version_of(newer)) == newer


@then("versions get through a message between gateways unchanged")
def through_message(context):
    before, version = StoreVersion(3, 2**40), StoreVersion(4, 1)
    news = StoreNews(node="g", kind="k", before=before, version=version, full=True)
    vouch = StoreVouch(node="g", items=[StoreState(kind="k", version=version)])
    for message in (news, vouch):
        assert unpack_small(pack_small(Envelope(body=message))).body == message


@given('a mirror that listed "{name}" at version {version}')
def listed_mirror(context, name, version):
    context.confirmed = []
    context.mirror = Mirror(
        store=None,
        contact=StoreContact(events=event_log()),
        kind="things",
        wait_s=1.0,
        on_list=lambda changes: None,
        on_change=lambda change: None,
        on_confirm=context.confirmed.append,
    )
    assert context.mirror.apply_snapshot(snapshot_of(name, version))


def snapshot_of(name, version):
    """Return a list with one object."""
    change = Change(name=name, version=version_of(version), value={})
    return Changes(changes=(change,), version=version_of(version))


@when('an update with all objects, "{name}", of version {version} comes')
def full_update(context, name, version):
    assert context.mirror.apply_snapshot(snapshot_of(name, version))


@when('an update of "{name}" from version {before} to version {version} comes')
def partial_update(context, name, before, version):
    change = Change(name=name, version=version_of(version), value={})
    context.is_applied = context.mirror.apply_update(
        version_of(before), version_of(version), [change]
    )


@then('the mirror holds "{name}" at version {version}')
def holds(context, name, version):
    assert list(context.mirror.objects) == [name], context.mirror.objects
    assert context.mirror.last_change_version == version_of(version)


@then("the mirror needs a list")
def needs_list(context):
    assert not context.is_applied
    assert list(context.mirror.objects) == ["a"]


@when("the store returns from a copy between two pages of a list")
def return_between_pages(context):
    store = context.case.store
    answer = store.list
    context.pages = []

    def page(kind, query):
        if kind == "servers" and query.get("after") and store.era == 1:
            store.era += 1
        context.pages.append((kind, query.get("after", ""), store.era))
        return answer(kind, query)

    store.list = page
    store.write("notes", "x", {})
    store.discard_history()
    store.reset_connections()


@then("a list of the new era is soon read from its first page")
def read_anew(context):
    first_page = ("servers", "", 2)
    run(context, eventually(lambda: first_page in context.pages, "a list of era 2"))
    assert context.pages.index(first_page) > 0, context.pages


@given("a client of a store that returned from a copy")
def client_of_returned(context):
    async def begin():
        context.store = SiteStore()
        await context.store.start()
        context.transport = Transport(connect_timeout_s=1.0)
        context.client = PlatformObjectStore(
            address=context.store.address,
            transport=context.transport,
            events=event_log(),
        )
        context.store.write("things", "x", "before")
        context.read = await context.client.get("things", "x")
        copied = context.store.take_copy()
        context.store.restore(copied)
        await context.client.find("things", "")

    run(context, begin())

    async def end():
        await context.transport.close()
        await context.store.stop()

    context.add_cleanup(lambda: run(context, end()))


@when("it replaces an object that it read before the return")
def replaces(context):
    put = context.client.put("things", "x", "after", context.read.version)
    context.written = run(context, put)


@then("the write fails as a conflict, and the object is as it was")
def conflict(context):
    assert isinstance(context.written, Failure), context.written
    assert context.written.code is Code.VERSION_CONFLICT
    assert context.store.objects["things"]["x"]["spec"] == "before"


class SteppedClock:
    """A clock that stands until it is set."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


def configuration_change(revision, version):
    """Return the configuration of a revision as it was read at a version."""
    value = configuration(revision)
    return Change(name="main", version=version_of(version), value=value)


@given("a configuration {revision:d} in force, read at version {version}")
def config_in_force(context, revision, version):
    context.clock = SteppedClock()
    context.in_force = ConfigInForce(
        object_codec=PlatformObjectCodec(),
        events=event_log(),
        on_table=lambda table: None,
        clock=context.clock,
    )
    context.in_force.apply(configuration_change(revision, version))


@when("the store holds configuration {revision:d} at version {version}")
def store_holds(context, revision, version):
    context.in_force.apply(configuration_change(revision, version))


@when(
    "another gateway has configuration {revision:d} of version {version}, and the store"
    " is behind for {seconds:g} seconds"
)
def peer_has(context, revision, version, seconds):
    change = configuration_change(revision, version)
    context.in_force.apply_from_peer(change, seconds)


@when("{seconds:d} seconds go by")
def seconds_pass(context, seconds):
    context.clock.now += seconds
    if hasattr(context, "in_force"):
        context.in_force.check_behind()


@then("configuration {revision:d} is in force")
def is_in_force(context, revision):
    assert context.in_force.revision == revision, context.in_force.revision


def endpoint_record(number):
    """Return the record of one of many endpoints."""
    return EndpointRecord(
        name=f"e{number}",
        service="s",
        address=f"127.0.0.1:{number}",
        failure_domain="z",
        slots=1,
        leaving=False,
        software_version=SoftwareVersion(name="v1"),
    )


@given("{count:d} endpoints that left in era {era:d}")
def many_left(context, count, era):
    context.clock = SteppedClock()
    context.departures = Departures(clock=context.clock)
    for number in range(count):
        context.departures.add(endpoint_record(number), era)
    context.newest = endpoint_record(count - 1)


@then("{count:d} of them are remembered")
def remembered(context, count):
    assert len(context.departures.by_identity) == count


@then("the newest one left before era {later:d}, and not before era {own:d}")
def left_before(context, later, own):
    assert context.departures.left_before(context.newest, later)
    assert not context.departures.left_before(context.newest, own)


@then("the newest one may be used in era {era:d}")
def may_be_used(context, era):
    assert not context.departures.left_before(context.newest, era)
    assert not context.departures.recent(10)
