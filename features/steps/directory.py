"""Steps on what the directories of a fleet answer to callers."""

from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.gateway.peer import parse_address, ring_position
from baobabturn.gateway.platforminterface import CallerPlace
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.wire.codec import pack_item, unpack_item
from baobabturn.wire.gatewaymessages import GatewayState
from dev.wirerecords import load_old_schema
from fakes.siteconfig import SITE_HOST_NAME, configuration

CALLS = 20
USUAL_LOAD = 0.4


@given('the failure domains are in the regions "{regions}"')
@given('the failure domains are in the regions ""')
def domain_regions(context, regions=""):
    for number, region in enumerate(regions.split()):
        context.fleet.regions[f"z{number}"] = region
    tell_load(context, "", USUAL_LOAD)


@given('the routes\' home regions are "{homes}"')
def route_homes(context, homes):
    config = configuration()
    for route in config["routes"]:
        route["allowedRegions"] = homes.split()
    context.fleet.table = PlatformObjectCodec().decode_table(config)


def tell_load(context, domain, load):
    """Let the gateways of a domain, or all for none, tell a load from now on."""
    for gateway in context.fleet.gateways:
        if domain in ("", gateway.domain):
            gateway.peers.own_load.measure = lambda: None
            gateway.peers.own_load.ratio = load


@when(
    'the gateways of "{domain}" use {load:d}% of their capacity, and the others'
    " {others:d}%"
)
def use_capacity(context, domain, load, others):
    tell_load(context, "", others / 100)
    tell_load(context, domain, load / 100)


@when(
    'the gateways of "{domain}" tell neither capacity nor load, and the others use'
    " {others:d}%"
)
def tell_nothing(context, domain, others):
    tell_load(context, "", others / 100)
    for gateway in context.fleet.gateways:
        if gateway.domain == domain:
            gateway.peers.own_load.capacity = 0
            gateway.peers.own_load.told = lambda: 0


@when("{count:d} gateways that follow each other on the ring die")
def neighbours_die(context, count):
    ring = sorted(context.fleet.gateways, key=lambda each: ring_position(each.name))
    for gateway in ring[:count]:
        gateway.alive = False


def answers(context, domain="", region=""):
    """Return the gateways of some answers of each gateway that runs."""
    place = CallerPlace(host=SITE_HOST_NAME, region=region, failure_domain=domain)
    by_host = {each.address[0]: each for each in context.fleet.gateways}
    return [
        [
            by_host[parse_address(address)[0]]
            for address in gateway.directory.addresses(place)
        ]
        for gateway in context.fleet.running()
        for _ in range(CALLS)
    ]


@then('callers of "{domain}" are told of all {count:d} gateways')
@then("callers that state no failure domain are told of all {count:d} gateways")
def told_of_all(context, count, domain=""):
    for answer in answers(context, domain):
        assert len({each.name for each in answer}) == count, len(answer)


@then('callers of "{domain}" are told of {count:d} or more, of "{domains}"')
@then(
    'callers of "{domain}" in "{region}" are told of {count:d} or more, of "{domains}"'
)
@then('callers from nowhere are told of {count:d} or more, of "{domains}"')
def told_of_domains(context, domains, count, domain="", region=""):
    told = answers(context, domain, region)
    assert min(len({each.name for each in answer}) for answer in told) >= count
    found = {each.domain for answer in told for each in answer}
    assert found == set(domains.split()), found


@then('every gateway has logged once that those of "{domain}" are "{reason}"')
def logged_once(context, domain, reason):
    for gateway in context.fleet.running():
        lines = [
            line
            for line in gateway.peers.program.events.ring
            if f"event={Event.CALLERS_PLACED.value} " in line
        ]
        assert len(lines) == 1, lines
        assert f"failure_domain={domain} reason={reason}" in lines[0], lines


@then(
    "every gateway has counted addresses of the caller's and of other failure domains"
)
def addresses_counted(context):
    for gateway in context.fleet.running():
        metrics = gateway.peers.program.metrics
        own = metrics.value("addresses_listed", kind="own")
        other = metrics.value("addresses_listed", kind="other")
        assert own > other > 0, (own, other)


@when(
    'callers state {count:d} invented failure domains, in no region and in "{region}"'
)
def invented_domains(context, count, region):
    for number in range(count):
        for stated in ("", region):
            place = CallerPlace(
                host=SITE_HOST_NAME, region=stated, failure_domain=f"invented{number}"
            )
            for gateway in context.fleet.running():
                assert gateway.directory.addresses(place)


@then("no gateway has kept or logged any of them")
def none_kept(context):
    for gateway in context.fleet.running():
        kept = set(gateway.directory.logged)
        assert kept <= set(context.fleet.regions), kept
        lines = [
            each for each in gateway.peers.program.events.ring if "invented" in each
        ]
        assert not lines, lines[:1]


@then("no dead gateway is listed, and all others are")
def no_dead_listed(context):
    running = {each.name for each in context.fleet.running()}
    for gateway in context.fleet.running():
        listed = {each.record.callers for each in context.fleet.running()}
        dead = set(gateway.directory.addresses()) - listed
        assert not dead, (gateway.name, dead)
    named = {each.name for answer in answers(context) for each in answer}
    assert named == running, running - named


@given("a build that doesn't know capacity and load")
def older_build(context):
    context.older = load_old_schema().GatewayState


@then("its state tells neither here, and it reads the rest of a state of this build")
def read_each_other(context):
    data = context.older.new_message(node="g", serving=True).to_bytes_packed()
    state = unpack_item(GatewayState, data)
    assert (state.node, state.serving) == ("g", True), state
    assert (state.capacity, state.load) == (0, 0), state
    data = pack_item(GatewayState(node="g", relay="r", capacity=7, load=9))
    older = context.older.from_bytes_packed(data)
    assert (older.node, older.relay) == ("g", "r"), older
    assert not hasattr(older, "capacity")
