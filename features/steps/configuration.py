"""Steps of the configuration: publishing, following, and replaced hosts."""

import asyncio
import json
import pathlib
import signal
import urllib.error

from behave import given, then, when
from helper import send, wait_for

from baobabturn.commands.apply import conflict
from baobabturn.config import state as state_module
from baobabturn.config.declared import Document, Workspace
from baobabturn.config.parts import Manifest, digest, split, write_manifest
from baobabturn.config.publish import current, publish
from baobabturn.config.state import ConfigState
from baobabturn.controller.configsync import ConfigSync
from baobabturn.controller.partsweep import PREFIXES, PartSweep
from baobabturn.core.results import Code, Failure
from baobabturn.store.httpstore import HttpStore
from baobabturn.store.objects import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    PART_KIND,
    encode_body,
    manifest_value,
)
from baobabturn.store.version import ABSENT, ANY_VERSION
from baobabturn.wire.messages import ConfigUpdate, Part
from bench.members import MemberFleet
from dev.fleet import ADMIN_KEY, call
from fakes.platform import FakePlatform

VALUE_LIMIT = 1_000_000
KEEP_S = 1.0
ROLES = ("controller", "scheduler", "entry")


def document(count, priority=0):
    return Document(
        workspaces=tuple(
            Workspace(name=f"space-{n}", priority=priority if n == 3 else 0)
            for n in range(count)
        )
    )


def run(context, work):
    return context.runner.run(work)


def apply(context, priority, *options):
    fleet = context.fleet
    path = pathlib.Path(fleet.folder / "configuration.json")
    values = json.loads(path.read_text())
    next(s for s in values["workspaces"] if s["name"] == "buyers")["priority"] = (
        priority
    )
    path.write_text(json.dumps(values))
    settings = fleet.settings_path(fleet.hosts[0].name)
    return fleet.command("apply", str(path), "--settings", settings, *options)


def revision_at(fleet, number):
    try:
        return call(fleet.entry(number) + "/readyz")["revision"]
    except (urllib.error.URLError, OSError):
        return 0


@when('workspace "buyers" is given priority {priority:d} and applied')
def apply_priority(context, priority):
    apply(context, priority, "--wait", "--entry", context.fleet.entry(0))
    context.newest = revision_at(context.fleet, 0)


@then(
    'workspace "buyers" can be given priority {priority:d} and applied within {limit} s'
)
def apply_within(context, priority, limit):
    wait = ("--wait", "--wait-s", limit, "--entry", context.fleet.entry(0))
    apply(context, priority, *wait)


@when("the platform goes down")
def platform_down(context):
    context.fleet.control("platform", down=True)


@when("the platform comes back")
def platform_up(context):
    context.fleet.control("platform", down=False)


@when("the platform's reads are frozen as they are now")
def freeze_reads(context):
    fleet = context.fleet
    listed = call(fleet.platform + f"/objects/{MANIFEST_KIND}")
    context.newest = revision_at(fleet, 0)
    context.stale_at = listed["version"]


@when('workspace "buyers" is given priority {priority:d} and its peers have it')
def apply_then_freeze(context, priority):
    before = context.newest
    apply_priority(context, priority)
    assert context.newest == before + 1
    context.fleet.control("platform", stale_at=context.stale_at)


@when("the platform's reads are fresh again")
def fresh_reads(context):
    context.fleet.control("platform", stale_at=0)


@when("all processes of host {number:d} are replaced")
def replace_host(context, number):
    fleet = context.fleet
    host = fleet.hosts[number].name
    context.replaced_logs = {}
    for role in ROLES:
        name = f"{role}@{host}"
        fleet.kill(name)
        context.replaced_logs[name] = fleet.log(name).stat().st_size
    for role in ROLES:
        fleet.restart(f"{role}@{host}")


@then("entry {number:d} has the newest revision in force")
def newest_in_force(context, number):
    wait_for(
        lambda: revision_at(context.fleet, number) == context.newest,
        f"revision {context.newest} at entry {number}",
    )


@then("no process of host {number:d} ever had an older one in force since")
def never_older(context, number):
    for name, size in context.replaced_logs.items():
        if name.startswith("controller"):
            continue
        lines = context.fleet.log(name).read_bytes()[size:].decode().splitlines()
        found = [line for line in lines if "event=config-in-force" in line]
        wrong = [one for one in found if f"revision={context.newest}" not in one]
        assert not wrong, wrong


def others(context, number):
    hosts = [host.name for host in context.fleet.hosts]
    return [f"controller@{name}" for name in hosts if name != hosts[number]]


@when("the controllers of all hosts but {number:d} are paused")
def pause_others(context, number):
    for name in others(context, number):
        context.fleet.signal(name, signal.SIGSTOP)


@when("the controllers of all hosts but {number:d} are woken")
def wake_others(context, number):
    for name in others(context, number):
        context.fleet.signal(name, signal.SIGCONT)


def readiness(fleet, number):
    return call(fleet.entry(number) + "/readyz")


@then("entry {number:d} says in status and readiness that it is cut off")
def says_cut_off(context, number):
    fleet = context.fleet
    wait_for(lambda: readiness(fleet, number)["cut_off"], "the host to say so", 45)
    headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
    status = send(fleet.entry(number) + "/admin/status", method="GET", headers=headers)
    assert status.body["cut_off"] is True, status.text
    assert status.body["platform_silent_s"] > 0 and status.body["peers_silent_s"] > 0
    assert readiness(fleet, number)["ready"] is True


@then("entry {number:d} says that it isn't cut off")
def says_not_cut_off(context, number):
    wait_for(lambda: not readiness(context.fleet, number)["cut_off"], "contact", 45)


@given("a platform of its own that loses {share:g} of the answers to writes")
def own_platform(context, share):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.fake = FakePlatform(seed=7)
    url = run(context, context.fake.start())
    context.add_cleanup(lambda: run(context, context.fake.stop()))
    context.fake.faults["lose_answers"] = share
    context.members = MemberFleet(
        size=1,
        flags=[
            f"platform.url={url}",
            "platform.calls_per_s=1000",
            "platform.backoff_first_s=0.05",
            f"controller.part_keep_s={KEEP_S}",
        ],
    )
    program = context.members.hosts[0].program

    async def make():
        return HttpStore(settings=program.settings.platform, seed=7)

    context.store = run(context, make())
    context.add_cleanup(lambda: run(context, context.store.close()))


def publish_document(context, wanted):
    async def work():
        base = await current(context.store)
        assert not isinstance(base, Failure), base
        made = await publish(context.store, wanted, base, "operator", VALUE_LIMIT)
        assert isinstance(made, Manifest), made
        return made

    return run(context, work())


@when("a document of {count:d} workspaces is published on what is there")
def publish_count(context, count):
    publish_document(context, document(count))


@then("the platform holds revision {revision:d} with all its parts")
def holds_revision(context, revision):
    context.fake.faults["lose_answers"] = 0
    found = run(context, current(context.store))
    assert found.manifest.revision == revision
    assert len(found.document.workspaces) == 30


@when('two operators change the priority of "space-3" on top of it at once')
def race(context):
    async def work():
        base = await current(context.store)
        made = [
            publish(context.store, document(30, p), base, f"op-{p}", VALUE_LIMIT)
            for p in (5, 6)
        ]
        results = await asyncio.gather(*made)
        return results, await current(context.store)

    context.results, context.now = run(context, work())


@then('one of them is told of a conflict that names "{name}" and both priorities')
def told_conflict(context, name):
    lost = [p for p, r in zip((5, 6), context.results, strict=True) if is_conflict(r)]
    assert len(lost) == 1, context.results
    shown = conflict(context.now, document(30, lost[0]), "apply").reason
    assert name in shown and "5" in shown and "6" in shown, shown


def is_conflict(result):
    return isinstance(result, Failure) and result.code is Code.CONFIG_CONFLICT


@given("a host that follows it")
def follower(context):
    host = context.members.hosts[0]
    context.state = ConfigState(pool_size=4)

    async def begin():
        context.sync = ConfigSync(
            program=host.program,
            store=context.store,
            state=context.state,
            membership=host.membership,
            on_change=lambda: None,
        )
        host.program.background.start(context.sync.watch(), "watch")

    run(context, begin())
    context.add_cleanup(lambda: run(context, host.program.background.stop()))


@when("a manifest is written before its parts")
def manifest_first(context):
    context.bodies = split(document(3))
    sums = {name: digest(body) for name, body in context.bodies.items()}
    value = manifest_value(Manifest(revision=1, parts=sums))
    run(context, context.store.put(MANIFEST_KIND, MANIFEST_NAME, value, ABSENT))
    run(context, asyncio.sleep(0.5))


@when("the parts are written")
def parts_then(context):
    for body in context.bodies.values():
        name = digest(body)
        run(context, context.store.put(PART_KIND, name, encode_body(body), ABSENT))


@then("the host has revision {revision:d} in force")
def has_revision(context, revision):
    assert context.state.revision == revision


@then("the host gets revision {revision:d} in force")
def gets_revision(context, revision):
    check = lambda: context.state.revision == revision
    run(context, context.members.until(check, 15))


@when("the platform forgets its history")
def forget_history(context):
    context.fake.faults["forget_before"] = context.fake.version + 1000


@then('the platform has answered a watch "too old"')
def answered_too_old(context):
    assert context.fake.counts["list"] > 1, context.fake.counts


@when("the host reads the manifest of revision 1 again")
def read_old(context):
    old = next(
        held["value"] for kind, held in context.fake.history if kind == MANIFEST_KIND
    )
    assert run(context, context.sync.apply_manifest(old)) is None


@when("documents with {count:d} priorities of one workspace are published in turn")
def publish_turns(context, count):
    for priority in range(count):
        publish_document(context, document(30, priority + 1))


def sweeper(context):
    host = context.members.hosts[0]
    return PartSweep(
        program=host.program, store=context.store, membership=host.membership
    )


def sweep_twice(context, between):
    async def work():
        sweep = sweeper(context)
        for prefix in PREFIXES:
            assert await sweep.sweep(prefix) is None
        await asyncio.sleep(KEEP_S)
        await between()
        for prefix in PREFIXES:
            assert await sweep.sweep(prefix) is None
        return sweep.deleted

    context.deleted = run(context, work())


@when("the host sweeps, waits for as long as parts are kept, and sweeps again")
def sweep_and_wait(context):
    sweep_twice(context, lambda: asyncio.sleep(0))


@when("the host sweeps, all parts are written anew, and it sweeps again")
def sweep_written_anew(context):
    async def write_anew():
        for kind, name in list(context.fake.objects):
            if kind == PART_KIND:
                value = context.fake.objects[(kind, name)]["value"]
                await context.store.put(kind, name, value, ANY_VERSION)

    sweep_twice(context, write_anew)


@then("only the parts that the manifest names are left")
def only_named(context):
    assert context.deleted == 4, context.deleted
    found = run(context, current(context.store))
    left = {name for kind, name in context.fake.objects if kind == PART_KIND}
    assert left == set(found.manifest.parts.values())


@then("no part was deleted by the last sweep")
def none_deleted(context):
    assert context.deleted == 0


def update_to(context, wanted, revision, held):
    context.bodies = split(wanted)
    sums = {name: digest(body) for name, body in context.bodies.items()}
    parts = [
        Part(name=name, digest=sums[name], body=body)
        for name, body in context.bodies.items()
        if sums[name] not in held
    ]
    manifest = Manifest(revision=revision, parts=sums)
    return ConfigUpdate(
        revision=revision, manifest=write_manifest(manifest), parts=parts
    )


@given("a document of {count:d} workspaces in force")
def large_document(context, count):
    context.state = ConfigState(pool_size=16)
    context.count = count
    assert context.state.accept(update_to(context, document(count), 1, set())) is True


@when("one workspace changes")
def one_changes(context):
    update = update_to(
        context, document(context.count, 5), 2, set(context.state.bodies)
    )
    context.update = update
    read = state_module.read_part
    context.reread = []

    def counted(name, body):
        context.reread.append(name)
        return read(name, body)

    state_module.read_part = counted
    try:
        assert context.state.accept(update) is True
    finally:
        state_module.read_part = read
    assert context.state.workspaces["space-3"].priority == 5


@then("the update carries {parts:d} part and {reread:d} part is reread")
def one_part(context, parts, reread):
    assert len(context.update.parts) == parts
    assert len(context.reread) == reread


@then("every value on the platform is smaller than {limit:d} bytes")
def small_values(context, limit):
    sizes = [len(json.dumps(encode_body(body))) for body in context.bodies.values()]
    manifest = Manifest(
        revision=2, parts={n: digest(b) for n, b in context.bodies.items()}
    )
    sizes.append(len(json.dumps(manifest_value(manifest))))
    assert max(sizes) < limit, max(sizes)
