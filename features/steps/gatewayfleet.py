"""Steps on what hundreds of gateways know of one another."""

import asyncio
import time

from behave import given, then, when

from baobabturn.config.declared import Endpoint
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.mirror import Mirror, StoreContact, boot_time_s
from baobabturn.gateway.peer import parse_address
from baobabturn.gateway.peertable import MAX_EXACT_FLEET_SIZE
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.gateway.watchers import rank
from baobabturn.placement.homes import DomainRegions
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.store.interface import Change, Changes
from baobabturn.store.version import StoreVersion
from baobabturn.wire.gatewaymessages import EngineLoad, StoreState, StoreVouch
from baobabturn.wire.messages import Admit
from features.fleetcase import SETTINGS, Fleet
from features.steps.gateway import run

LIKELIEST_COUNT = 3


@given("a fleet of {size:d} gateways in {domains:d} failure domains")
def whole_fleet(context, size, domains):
    context.fleet = Fleet(size=size, domains=domains)
    context.fleet.introduce()


@given(
    "a fleet of {size:d} gateways in {domains:d} failure domains of which {late:d}"
    " start late"
)
def fleet_with_late_ones(context, size, domains, late):
    context.fleet = Fleet(size=size, domains=domains)
    context.late = context.fleet.gateways[-late:]
    for gateway in context.late:
        gateway.alive = False
    context.fleet.introduce()


@given(
    "a fleet of {size:d} gateways in {domains:d} failure domains without its likeliest"
    " watchers"
)
def fleet_without_watchers(context, size, domains):
    context.fleet = Fleet(size=size, domains=domains)
    for domain in {each.domain for each in context.fleet.gateways}:
        for gateway in likeliest(context.fleet, domain):
            gateway.alive = False
    context.fleet.introduce()


def likeliest(fleet, domain):
    """Return the gateways of a domain that are looked for as its watcher first."""
    members = [each for each in fleet.gateways if each.domain == domain]
    members.sort(key=lambda each: rank(domain, each.name), reverse=True)
    return members[:LIKELIEST_COUNT]


def near(fleet, gateway):
    """Return the other running gateways that are near one."""
    return [
        each
        for each in fleet.running()
        if each is not gateway
        and (
            len(fleet.gateways) - 1 <= MAX_EXACT_FLEET_SIZE
            or each.domain == gateway.domain
        )
    ]


def silent_lines(gateway):
    """Return a gateway's log lines on silent ones."""
    word = f"event={Event.GATEWAY_SILENT.value} "
    return [line for line in gateway.peers.program.events.ring if word in line]


@when("the fleet runs for {seconds:g} seconds")
@then("the fleet runs for {seconds:g} seconds")
def time_passes(context, seconds):
    context.began = context.fleet.clock.now
    for gateway in context.fleet.gateways:
        gateway.received = gateway.received_bytes = 0
    context.fleet.pass_time(seconds)


@then(
    "no gateway has received more than {size:d} bytes or {count:d} datagrams a second"
)
def within_budget(context, size, count):
    elapsed_s = context.fleet.clock.now - context.began
    for gateway in context.fleet.gateways:
        bytes_per_s = gateway.received_bytes / elapsed_s
        datagrams_per_s = gateway.received / elapsed_s
        assert bytes_per_s <= size, (gateway.name, bytes_per_s)
        assert datagrams_per_s <= count, (gateway.name, datagrams_per_s)


@when("the gateway {number:d} dies")
def dies(context, number):
    context.subject = context.fleet.gateways[number]
    context.subject.alive = False
    context.dead = [context.subject]


@when("every second gateway dies")
def half_dies(context):
    context.dead = context.fleet.gateways[::2]
    for gateway in context.dead:
        gateway.alive = False


@when("the gateway {number:d} is restarted")
def restarted(context, number):
    context.subject = context.fleet.gateways[number]
    context.subject.start()
    records = [each.record for each in context.fleet.gateways]
    context.subject.peers.add_gateways(records)
    context.fleet.deliver()


@then("no gateway near it takes it for alive")
@then("no gateway near them takes one of the dead for alive")
def not_alive(context):
    for dead in context.dead:
        for gateway in near(context.fleet, dead):
            assert not gateway.sees(dead), (gateway.name, dead.name)


@then("all others are taken for alive by those near them")
def others_alive(context):
    for gateway in context.fleet.running():
        for other in near(context.fleet, gateway):
            assert other.sees(gateway), (other.name, gateway.name)


@when("the gateway {number:d} makes a reservation")
def takes(context, number):
    context.subject = context.fleet.gateways[number]
    context.subject.take("r1", tokens=3000)
    context.fleet.deliver()


@when("the gateway {number:d} releases it")
def gives_back(context, number):
    context.fleet.gateways[number].release("r1")
    context.fleet.deliver()


@then("all gateways near it hold the reservation")
def near_hold(context):
    subject = context.subject
    for gateway in near(context.fleet, subject):
        assert "r1" in gateway.reservations.by_peer[subject.name], gateway.name


@then("no gateway near it holds a reservation of it")
def near_hold_nothing(context):
    subject = context.subject
    for gateway in near(context.fleet, subject):
        assert not gateway.reservations.by_peer[subject.name], gateway.name


@then("all other failure domains count {count:d} request at the engine")
@then("all other failure domains count {count:d} requests at the engine")
def far_count(context, count):
    domain = context.subject.domain
    for gateway in context.fleet.running():
        if gateway.domain != domain:
            loads = gateway.reservations.remote[domain]
            assert sum(load.requests for load in loads) == count, gateway.name


@when("a monitor of the gateway {number:d} doesn't hear it any more")
def deaf_monitor(context, number):
    context.subject = context.fleet.gateways[number]
    monitor = context.subject.peers.table.monitors()[0]
    context.deaf = next(
        each for each in context.fleet.gateways if each.name == monitor.name
    )
    context.deaf.deaf_to.add(context.subject.address)


@then("all others but that monitor take the gateway {number:d} for alive")
def all_but_deaf(context, number):
    assert silent_lines(context.deaf), "the monitor hasn't noticed"
    for gateway in near(context.fleet, context.subject):
        assert gateway is context.deaf or gateway.sees(context.subject), gateway.name


@when("the gateway {number:d} is paused for {seconds:g} seconds and wakes")
def paused(context, number, seconds):
    context.subject = context.fleet.gateways[number]
    context.subject.alive = False
    context.fleet.pass_time(seconds)
    context.subject.alive = True
    context.subject.peers.resume_after_pause()
    context.subject.peers.check_silence()
    context.fleet.deliver()


@then("it reports nobody as silent")
def reports_nobody(context):
    assert not silent_lines(context.subject), silent_lines(context.subject)


@when("the late ones start")
def late_start(context):
    records = [each.record for each in context.fleet.gateways]
    for gateway in context.late:
        gateway.alive = True
        gateway.start()
        gateway.peers.add_gateways(records)
    context.fleet.deliver()


@then("no gateway was reported as silent")
def none_silent(context):
    for gateway in context.fleet.running():
        assert not silent_lines(gateway), (gateway.name, silent_lines(gateway))


@when("the gateway {number:d} is cut off from those near it for {seconds:g} seconds")
def cut_off(context, number, seconds):
    context.subject = context.fleet.gateways[number]
    others = near(context.fleet, context.subject)
    for gateway in others:
        gateway.deaf_to.add(context.subject.address)
    context.subject.deaf_to = {each.address for each in others}
    context.fleet.pass_time(seconds)
    for gateway in (context.subject, *others):
        gateway.deaf_to.clear()


@when("the watchers of all failure domains die")
def watchers_die(context):
    for gateway in context.fleet.running():
        if gateway.watchers.is_watcher():
            gateway.alive = False


@when("the calls of a gateway that isn't the root have failed")
def calls_failed(context):
    gateways = context.fleet.gateways
    gateway = next(each for each in gateways if not each.watchers.is_root())
    contact = StoreContact(events=gateway.peers.program.events)
    context.updates = StoreUpdates(
        peers=gateway.peers, watchers=gateway.watchers, contact=contact, mirrors=[]
    )
    contact.record_failure(Failure(Code.PLATFORM_UNREACHABLE, "status 503"), "things")


@when("it is confirmed again by the others")
def confirmed_again(context):
    context.updates.confirmed_at = boot_time_s()


def is_place(gateway, place):
    """Return whether a gateway, not the root, is the watcher of its domain or not."""
    watches = gateway.watchers.is_watcher()
    return not gateway.watchers.is_root() and watches == (place == "watcher")


@when(
    "for {seconds:g} seconds a {place} hears only that nothing was newer when they"
    " began"
)
def old_confirmations(context, seconds, place):
    gateways = context.fleet.gateways
    gateway = next(each for each in gateways if is_place(each, place))
    contact = StoreContact(events=gateway.peers.program.events)
    mirror = Mirror(
        store=None,
        contact=contact,
        kind="things",
        wait_s=0.6,
        on_list=lambda changes: None,
        on_change=lambda change: None,
    )
    context.updates = StoreUpdates(
        peers=gateway.peers,
        watchers=gateway.watchers,
        contact=contact,
        mirrors=[mirror],
    )
    began_at = boot_time_s()
    while (now := boot_time_s()) < began_at + seconds:
        assert not context.updates.should_watch() or now > began_at + 1
        state = StoreState(kind="things", age_ms=int(1000 * (now - began_at)))
        vouch = StoreVouch(node="g1", stamp=int(1_000_000 * now), items=[state])
        context.updates.handle_confirmation(vouch, None)
        time.sleep(0.1)


@then("it watches the store itself")
def watches_itself(context):
    assert context.updates.should_watch()


class ListedStore:
    """A store whose list has one object, at a version of its own."""

    def __init__(self, version):
        self.version = version

    async def snapshot(self, kind):
        """Return all objects."""
        change = Change(name="main", version=self.version, value={"version": 7})
        return Changes(changes=(change,), version=self.version)


@when("a watcher has listed the store after a change that others have missed")
def listed_after_gap(context):
    context.subject = next(
        each for each in context.fleet.gateways if each.watchers.is_watcher()
    )
    contact = StoreContact(events=context.subject.peers.program.events)
    store = ListedStore(StoreVersion(1, 5))
    mirror = Mirror(
        store=store,
        contact=contact,
        kind="things",
        wait_s=0.6,
        on_list=lambda changes: None,
        on_change=lambda change: None,
    )
    context.updates = StoreUpdates(
        peers=context.subject.peers,
        watchers=context.subject.watchers,
        contact=contact,
        mirrors=[mirror],
    )
    run(context, mirror.list())
    context.fleet.datagrams.clear()
    store.version = StoreVersion(1, 9)
    mirror.invalidate()
    run(context, mirror.list())


@then("it has sent all objects to the gateways of its domain")
def sent_all(context):
    sent = {address for _, address, _ in context.fleet.datagrams}
    domain = context.subject.domain
    others = [each for each in context.fleet.gateways if each is not context.subject]
    assert sent == {each.address for each in others if each.domain == domain}, sent


@then("sends them to a gateway that asks with the version before")
def sent_on_question(context):
    known = StoreState(kind="things", version=StoreVersion(1, 5))
    updates = context.updates.missed_updates(known)
    assert [each.full for each in updates] == [True], updates
    assert updates[0].version == StoreVersion(1, 9), updates


@then("it isn't cut off from the store")
def not_cut_off(context):
    assert not context.updates.is_cut_off()


@then("every gateway has a fresh aggregate of each other failure domain")
def fresh_loads(context):
    domains = {each.domain for each in context.fleet.gateways}
    for gateway in context.fleet.running():
        missing = domains - set(gateway.watchers.received) - {gateway.domain}
        assert not missing, (gateway.name, missing)


@then(
    "every gateway names {count:d} others, of each failure domain {low:d} to {high:d}"
)
def names_all_domains(context, count, low, high):
    for gateway in context.fleet.running():
        named = named_domains(context, gateway)
        assert len(named) == count, (gateway.name, len(named))
        for domain in {each.domain for each in context.fleet.gateways}:
            assert low <= named.count(domain) <= high, (gateway.name, named)


def named_domains(context, gateway):
    """Return the failure domain of each gateway that one names to callers."""
    hosts = {each.address[0]: each.domain for each in context.fleet.gateways}
    return [
        hosts[parse_address(address)[0]] for address in gateway.directory.addresses()
    ]


@when('the failure domain "{domain}" goes dark')
def domain_dark(context, domain):
    for gateway in context.fleet.gateways:
        gateway.alive = gateway.alive and gateway.domain != domain


@then('no gateway names one of "{domain}"')
def names_none(context, domain):
    for gateway in context.fleet.running():
        assert domain not in named_domains(context, gateway), gateway.name


@when('all gateways of "{domain}" but one die')
def one_left(context, domain):
    members = [each for each in context.fleet.gateways if each.domain == domain]
    context.subject = members[0]
    for gateway in members[1:]:
        gateway.alive = False


@then("the one that is left names {count:d} gateways or more")
def names_many(context, count):
    assert len(named_domains(context, context.subject)) >= count


POOL = "p"
ENGINE_TOKENS = 40_000


@given("a pool of two engines of which others far away fill the first")
def two_engines(context):
    program = Program(role="gateway", settings=SETTINGS)
    policy = POLICIES["baobabturn"](settings=SETTINGS.scheduler, seed=1)
    pool = PoolScheduler(name=POOL, program=program, policy=policy)
    pool.settle()
    context.pools = EnginePools(
        program=program, endpoints=None, regions=DomainRegions(by_domain={})
    )
    context.pools.pools[POOL] = pool
    context.pool = pool
    set_engines(pool)
    load = EngineLoad(pool=POOL, endpoint="first", tokens=38_000, requests=8)
    context.pools.remote_loads.replace("z2", [load])


def set_engines(pool):
    """Declare the two engines of a pool."""
    pool.set_endpoints(
        [
            Endpoint(
                name=name,
                url=f"http://{name}",
                failure_domain="z1",
                service=POOL,
                memory_tokens=ENGINE_TOKENS,
                concurrency=8,
            )
            for name in ("first", "second")
        ],
        set(),
    )


@when("a long request comes")
def long_request(context):
    admit = Admit(
        request="r",
        reservation=f"r{len(context.pool.reservations)}",
        pool=POOL,
        workspace="w",
        model="m",
        kind="k",
        prompt_tokens=3000,
        max_tokens=2000,
        deadline_ms=500,
    )
    context.grant = run(context, context.pool.admit(None, admit))


@then("it goes to the {name} engine")
def goes_to(context, name):
    assert context.grant.endpoint == name, context.grant


@when("the far ones are gone and the second fills up")
def far_gone(context):
    async def play():
        context.pools.apply_domain_load("z2", [])
        load = EngineLoad(pool=POOL, endpoint="second", tokens=38_000, requests=8)
        context.pools.apply_domain_load("z3", [load])
        await asyncio.sleep(0)

    run(context, play())
