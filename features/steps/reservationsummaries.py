"""Steps on summaries of reservations between failure domains."""

import collections
import pathlib
import re
import tempfile

import attrs
import capnp
from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.core.results import Code
from baobabturn.gateway.peer import NEVER
from baobabturn.gateway.reservationsummary import (
    Step,
    Summary,
    SummaryCheck,
    digest_of,
)
from baobabturn.membership.datagrams import TAG_BYTES
from baobabturn.wire import codec
from baobabturn.wire.codec import Envelope, pack_small, unpack_small
from baobabturn.wire.gatewaymessages import (
    GatewayState,
    ReservationAsk,
    ReservationNews,
)
from baobabturn.wire.messages import Holding, Holdings
from features.steps.gatewayfleet import near
from features.steps.reservationexchange import (
    MOMENT_S,
    forget_sent,
    forwarder_of,
    sent,
)

# More heartbeats than a round has.
ROUND_HEARTBEATS = 20
# The fields and messages that the release before summaries doesn't have.
NEW_FIELDS = re.compile(
    r"^  (compares|summary|digest|changed|changedMs|produced) @(16|17|18|19|20|21) .*\n"
    r"( {20,}#.*\n)*|^    reservationAsk @46 .*\n",
    re.MULTILINE,
)
# A heartbeat and a full state with one reservation, as that release wrote them.
OLD_HEARTBEAT = bytes.fromhex(
    "101950030111011b01050000500507010301090105337017f40101fa11191a11191a111972111d07"
    "111d07111d72112106036731037a31ff31302e302e302e31001f3a38373430500102500202ff3130"
    "2e302e302e31001f3a38373431"
)
OLD_FULL_STATE = bytes.fromhex(
    "103250030111011b01050000500507010301090107337017f40101fa11191a11191a111972111d1f"
    "118107118172118506036731037a31ff31302e302e302e31001f3a38373430510401020000110512"
    "110567017051040408302c0101040001111d3a111d12111d0a111d0a111d0a111d0a111d0a111d0a"
    "3f67312f372f7201650005500202ff31302e302e302e31001f3a38373431"
)


def body_of(data):
    """Return the message of a datagram."""
    return unpack_small(data[TAG_BYTES:]).body


def is_summary(message):
    """Return whether a message is a summary."""
    return isinstance(message, GatewayState) and message.summary


def is_question(message):
    """Return whether a message asks for a full state."""
    return isinstance(message, ReservationAsk)


def is_full_state(message):
    """Return whether a message is a full state."""
    return isinstance(message, GatewayState) and message.full


def is_forwarded(message):
    """Return whether a message brings forwarded changes."""
    return isinstance(message, ReservationNews) and message.forwarded


KINDS = {
    "summary": is_summary,
    "question": is_question,
    "full state": is_full_state,
}


def counts_of(fleet, is_kind):
    """Return how many messages of a kind went from gateway to gateway."""
    counts = collections.Counter()
    for gateway in fleet.gateways:
        for receiver, message, _ in sent(
            fleet, gateway, (GatewayState, ReservationAsk)
        ):
            if is_kind(message):
                counts[gateway.name, receiver.name] += 1
    return counts


def lose(fleet, is_kind):
    """Let all messages of a kind get lost."""
    fleet.is_lost = lambda sender, receiver, data: is_kind(body_of(data))


def lose_nothing(fleet):
    """Let no further message get lost."""
    fleet.is_lost = None


def new_name(context, gateway):
    """Return the name of a reservation that no other has."""
    context.name_count = getattr(context, "name_count", 0) + 1
    return f"{gateway.name}/{context.name_count}/8f14e45fceea167a5a36dedd4bea2543"


@when("the gateway {number:d} holds {count:d} reservations")
def holds(context, number, count):
    context.subject = context.fleet.gateways[number]
    for _ in range(count):
        context.subject.take(new_name(context, context.subject), tokens=3079)
    context.fleet.settle(MOMENT_S)
    forget_sent(context.fleet)


@when("the gateway {number:d} makes {count:d} reservations with long names")
def holds_long(context, number, count):
    holds(context, number, count)


@then(
    "the gateway {number:d} sent summaries of at most {size:d} bytes to other failure"
    " domains"
)
def short_summaries(context, number, size):
    gateway = context.fleet.gateways[number]
    sizes = [
        length
        for receiver, state, length in sent(context.fleet, gateway, GatewayState)
        if receiver.domain != gateway.domain and state.summary
    ]
    assert len(sizes) >= 42 and max(sizes) <= size, sizes


@then("no gateway asked for a full state")
def none_asked(context):
    asked = counts_of(context.fleet, is_question)
    assert not asked, asked
    for gateway in context.fleet.gateways:
        events = gateway.peers.program.events.ring
        assert not any(Event.RESERVATIONS_DIFFER.value in line for line in events)


@then("no full state went to another failure domain")
def no_full_across(context):
    domains = {each.name: each.domain for each in context.fleet.gateways}
    for sender, receiver in counts_of(context.fleet, is_full_state):
        assert domains[sender] == domains[receiver], (sender, receiver)


@then("gateways of the own failure domain got full states as before")
def full_within(context):
    counts = counts_of(context.fleet, is_full_state)
    for gateway in context.fleet.gateways:
        for other in near(context.fleet, gateway):
            if other.domain == gateway.domain:
                assert counts[gateway.name, other.name], (gateway.name, other.name)


@then("the metrics count the summaries and what was done about them")
def metrics_count(context):
    summaries = counts_of(context.fleet, is_summary)
    for gateway in context.fleet.gateways:
        metrics = gateway.peers.program.metrics
        came = sum(
            count for (_, name), count in summaries.items() if name == gateway.name
        )
        confirmed = metrics.value("reservation_summaries", step=Step.CONFIRM.value)
        assert confirmed >= came > 0, (gateway.name, confirmed, came)
        labels = {"kind": "gatewayStateSummary", "domain": "other"}
        assert metrics.value("datagrams_sent", **labels), gateway.name


def make_another(context, gateway):
    """Make a reservation."""
    gateway.take(new_name(context, gateway), tokens=211)


def release_one(context, gateway):
    """Release the first reservation."""
    gateway.release(min(gateway.reservations.own))


def release_all(context, gateway):
    """Release all reservations."""
    for name in sorted(gateway.reservations.own):
        gateway.release(name)


def learn_version(context, gateway):
    """Publish another software version of an engine."""
    name = min(gateway.reservations.own)
    gateway.reservations.own[name].software_version = "v2"
    gateway.advance(name, 0)


def advance_one(context, gateway):
    """Publish the first tokens of a generation."""
    gateway.advance(min(gateway.reservations.own), 1)


CHANGES = {
    "makes another one": make_another,
    "releases one of them": release_one,
    "releases all of them": release_all,
    "learns another software version": learn_version,
    "advances one of them": advance_one,
}


@when("the gateway {number:d} {change} while forwarded changes get lost")
def lost_change(context, number, change):
    fleet = context.fleet
    lose(fleet, is_forwarded)
    CHANGES[change](context, fleet.gateways[number])
    fleet.settle(MOMENT_S)
    lose_nothing(fleet)
    if change == "releases all of them":
        # Else nothing is held, and the comparison of all replicas would be void.
        fleet.gateways[0].take("other")
        fleet.settle(MOMENT_S)


@then(
    "{count:d} gateways asked the gateway {number:d}, once each, and got a full state"
)
def asked_once(context, count, number):
    name = context.fleet.gateways[number].name
    asked = counts_of(context.fleet, is_question)
    assert len(asked) == count, len(asked)
    assert all(each == 1 for each in asked.values()), asked
    assert all(receiver == name for _, receiver in asked), asked
    answers = counts_of(context.fleet, is_full_state)
    for asker, _ in asked:
        assert answers[name, asker] == 1, (asker, answers[name, asker])
        gateway = next(each for each in context.fleet.gateways if each.name == asker)
        lines = [
            line
            for line in gateway.peers.program.events.ring
            if f"event={Event.RESERVATIONS_DIFFER.value} gateway={name} " in line
        ]
        assert len(lines) == 1, lines


@when("the gateway {number:d} produces {count:d} tokens and publishes nothing")
def silent_progress(context, number, count):
    for holding in context.fleet.gateways[number].reservations.own.values():
        holding.produced = count


@when("reservations of the gateway {number:d} get lost one after another")
def lost_again(context, number):
    fleet = context.fleet
    lose(fleet, is_forwarded)
    for _ in range(5):
        make_another(context, fleet.gateways[number])
        fleet.deliver()
        fleet.pass_time(1)
    lose_nothing(fleet)


@when(
    'the gateway {number:d} makes a reservation, and its forwarder in "{domain}" dies'
    " with it"
)
def forwarder_dies(context, number, domain):
    context.subject = context.fleet.gateways[number]
    forget_sent(context.fleet)
    forwarder_of(context.fleet, context.subject, domain).alive = False
    context.subject.take("r1", tokens=3000)
    context.fleet.settle(MOMENT_S)


@when("the gateway {number:d} makes a reservation, and summaries overtake it")
def overtaken(context, number):
    gateway = context.fleet.gateways[number]
    make_another(context, gateway)
    context.fleet.deliver()
    send_round(context.fleet, gateway)


def send_round(fleet, gateway):
    """Send all heartbeats of a round of one gateway at once."""
    for _ in range(ROUND_HEARTBEATS):
        gateway.peers.send_heartbeat()
    fleet.deliver()


@when("the gateway {number:d} has a pending change, and a round of heartbeats is sent")
def pending(context, number):
    gateway = context.fleet.gateways[number]
    holding = Holding(reservation=new_name(context, gateway), endpoint="e")
    gateway.reservations.own[holding.reservation] = holding
    # As if a timer would send it.
    gateway.peers.flush_scheduled = True
    gateway.peers.publish_reservation("p", holding)
    send_round(context.fleet, gateway)
    assert holding.reservation in gateway.peers.exchange.published


@then("gateways wait for changes")
def some_wait(context):
    waiting = [
        gateway.name
        for gateway in context.fleet.gateways
        if gateway is not context.subject
        and gateway.peers.table.peers[context.subject.name].reservation_order.check
    ]
    # All of the other domains but the forwarders, which have the change.
    assert len(waiting) == 40, waiting


@when(
    "the gateway {number:d} releases an older reservation and makes another one",
)
def older_and_newer(context, number):
    gateway = context.fleet.gateways[number]
    context.released = min(gateway.reservations.own)
    release_one(context, gateway)
    make_another(context, gateway)
    context.made = list(gateway.reservations.own)[-1]
    context.fleet.deliver()


@when(
    "the gateway {number:d} releases an older reservation and makes another one, which"
    " overtake what is on its way"
)
def newer_first(context, number):
    fleet = context.fleet
    held = []

    def is_held(sender, receiver, data):
        """Return whether a message brings forwarded changes, and keep it."""
        if not is_forwarded(body_of(data)):
            return False
        held.append((sender.address, receiver.address, data))
        return True

    fleet.is_lost = is_held
    fleet.settle(MOMENT_S)
    lose_nothing(fleet)
    older_and_newer(context, number)
    fleet.settle(MOMENT_S)
    fleet.datagrams.extend(held)
    fleet.deliver()


@when("the gateway {number:d} is restarted, and all but new summaries for it get lost")
def restarted_and_summaries(context, number):
    gateway = context.fleet.gateways[number]
    restarted_unheard(context, number)
    make_another(context, context.fleet.gateways[1])
    send_round(context.fleet, context.fleet.gateways[1])
    context.restarted = gateway


@then("it asked the gateway {number:d} at once, once for each summary")
def asked_now(context, number):
    name = context.fleet.gateways[number].name
    asked = counts_of(context.fleet, is_question)[context.restarted.name, name]
    came = counts_of(context.fleet, is_summary)[name, context.restarted.name]
    assert asked == came > 0, (asked, came)


@then("all gateways know these last changes of the gateway {number:d}")
def know_last(context, number):
    subject = context.fleet.gateways[number]
    for gateway in near(context.fleet, subject):
        known = gateway.reservations.by_peer[subject.name]
        assert context.released not in known, gateway.name
        assert context.made in known, gateway.name


@when("each gateway of another domain loses the first {kind}")
def loses_first(context, kind):
    lost = set()

    def is_first(sender, receiver, data):
        """Return whether it is the first such message between two gateways."""
        pair = (sender.name, receiver.name)
        if sender.domain == receiver.domain or pair in lost:
            return False
        if context.subject not in (sender, receiver):
            return False
        is_kind = KINDS[kind](body_of(data))
        if is_kind:
            lost.add(pair)
        return is_kind

    context.fleet.is_lost = is_first


@when("full states to other domains are held back")
def held_back(context):
    context.held_back = []

    def is_held(sender, receiver, data):
        """Return whether a message is held back, and keep it."""
        if sender.domain == receiver.domain or not is_full_state(body_of(data)):
            return False
        context.held_back.append((sender.address, receiver.address, data))
        return True

    context.fleet.is_lost = is_held


@when("what was held back arrives")
def arrives(context):
    lose_nothing(context.fleet)
    assert len(context.held_back) >= 40, len(context.held_back)
    context.fleet.datagrams.extend(context.held_back)
    context.fleet.deliver()


@when("the gateway {number:d} is restarted as usual")
def restarted(context, number):
    context.subject = context.fleet.gateways[number]
    context.subject.start()
    records = [each.record for each in context.fleet.gateways]
    context.subject.peers.add_gateways(records)
    context.fleet.deliver()


@when("the gateway {number:d} is restarted while full states get lost")
def restarted_unheard(context, number):
    lose(context.fleet, is_full_state)
    restarted(context, number)
    lose_nothing(context.fleet)


@then("all gateways know the address, domain and capacity of the gateway {number:d}")
def know_identity(context, number):
    subject = context.fleet.gateways[number]
    for gateway in context.fleet.running():
        if gateway is subject:
            continue
        peer = gateway.peers.table.peers[subject.name]
        assert peer.heard_at != NEVER
        assert peer.incarnation == subject.peers.program.identity.incarnation
        assert peer.callers == subject.record.callers, (gateway.name, peer.callers)
        assert peer.relay == subject.record.relay, (gateway.name, peer.relay)
        assert peer.failure_domain == subject.domain, gateway.name
        assert peer.capacity == subject.peers.own_load.capacity, gateway.name


@when(
    '"{first}" and "{second}" are cut off from each other for {seconds:g} seconds while'
    " the gateway {number:d} makes a reservation"
)
def cut(context, first, second, seconds, number):
    fleet = context.fleet
    for gateway in fleet.gateways:
        if gateway.domain in (first, second):
            gateway.deaf_to = {
                each.address
                for each in fleet.gateways
                if each.domain in (first, second) and each.domain != gateway.domain
            }
    make_another(context, fleet.gateways[number])
    fleet.pass_time(seconds)
    far = next(each for each in fleet.gateways if each.domain == second)
    assert not far.sees(fleet.gateways[number])
    for gateway in fleet.gateways:
        gateway.deaf_to = set()


@when("the gateway {number:d} drops what it recorded of the gateway {other:d}")
def drops_recorded(context, number, other):
    recorded = context.fleet.gateways[number].reservations.by_peer
    recorded[context.fleet.gateways[other].name].clear()


@then("all gateways know exactly the reservations of those near them")
def near_known(context):
    for gateway in context.fleet.running():
        for other in near(context.fleet, gateway):
            known = gateway.reservations.by_peer[other.name]
            assert known == other.reservations.own, (gateway.name, other.name)


@then("no summary and no question was sent")
def nothing_new(context):
    assert not counts_of(context.fleet, is_summary)
    assert not counts_of(context.fleet, is_question)
    assert counts_of(context.fleet, is_full_state)


@given("its gateways {numbers} don't know summaries")
def dont_know(context, numbers):
    context.old = [context.fleet.gateways[int(n)] for n in numbers.split(",")]
    for gateway in context.old:
        peers = gateway.peers
        del peers.handlers[ReservationAsk]
        make_state = peers.make_state
        handle_state = peers.handle_state

        def old_state(make_state=make_state, **words):
            return attrs.evolve(make_state(**words), compares=False)

        def old_handle(state, address, handle_state=handle_state):
            handle_state(attrs.evolve(state, compares=False, summary=False), address)

        peers.make_state = old_state
        peers.handle_state = old_handle
    # The others have heard of them as of gateways of this release.
    for gateway in context.fleet.gateways:
        gateway.peers.introduce(gateway.peers.table.near())
    context.fleet.deliver()
    forget_sent(context.fleet)


@then("those were sent full states, and neither a summary nor a question")
def only_full(context):
    summaries = counts_of(context.fleet, is_summary)
    questions = counts_of(context.fleet, is_question)
    full = counts_of(context.fleet, is_full_state)
    for gateway in context.old:
        for other in near(context.fleet, gateway):
            assert not summaries[other.name, gateway.name], other.name
            assert not summaries[gateway.name, other.name], other.name
            assert not questions[other.name, gateway.name], other.name
            assert full[other.name, gateway.name], other.name


def old_schema():
    """Return the schema of the release before summaries."""
    path = pathlib.Path(codec.__file__).with_name("schema.capnp")
    text, count = NEW_FIELDS.subn("", path.read_text())
    assert count == 7, count
    with tempfile.TemporaryDirectory() as directory:
        old = pathlib.Path(directory, "old.capnp")
        old.write_text(text)
        return capnp.SchemaParser().load(str(old))


@then("a heartbeat and a full state as that release wrote them are read")
def old_bytes(context):
    common = {
        "node": "g1",
        "failure_domain": "z1",
        "callers": "10.0.0.1:8740",
        "incarnation": 3,
        "sequence": 9,
        "serving": True,
        "next_ms": 6000,
        "relay": "10.0.0.1:8741",
        "forwards": True,
        "capacity": 500,
        "load": 250,
    }
    assert unpack_small(OLD_HEARTBEAT).body == GatewayState(**common)
    holding = Holding(reservation="g1/7/r", endpoint="e", prompt_tokens=300, produced=4)
    holdings = [Holdings(pool="p", items=[holding])]
    full = GatewayState(**common, full=True, holdings=holdings)
    assert unpack_small(OLD_FULL_STATE).body == full


@then("a decoder with its schema reads a summary as a heartbeat")
def old_reads_summary(context):
    summary = GatewayState(
        node="g1",
        incarnation=3,
        sequence=9,
        serving=True,
        next_ms=6000,
        forwards=True,
        load=250,
        compares=True,
        summary=True,
        digest=(1 << 64) - 1,
        changed=8,
        changed_ms=1000,
        produced=[1, 70_000],
    )
    data = pack_small(Envelope(body=summary, hlc=5))
    assert unpack_small(data).body == summary
    read = old_schema().Envelope.from_bytes_packed(data).body.gatewayState
    assert not hasattr(read, "digest")
    assert (read.node, read.incarnation, read.sequence) == ("g1", 3, 9)
    assert read.serving and read.forwards and not read.full
    assert (read.nextMs, read.load, len(read.holdings)) == (6000, 250, 0)


@then("that decoder takes a question for a message of unknown kind")
def old_reads_question(context):
    data = pack_small(Envelope(body=ReservationAsk(node="g1"), hlc=5))
    assert unpack_small(data).body == ReservationAsk(node="g1")
    envelope = old_schema().Envelope.from_bytes_packed(data)
    assert codec.envelope_in(envelope).code is Code.UNSUPPORTED


def reservation(name):
    """Return a reservation in its pool."""
    return ("p", Holding(reservation=name, endpoint="e"))


@given("a summary with number 8 that was sent {sent_s:g} s after the change 7")
def summary_eight(context, sent_s):
    context.summary = Summary(
        sequence=8,
        digest=digest_of([reservation("a"), reservation("b")]),
        changed=7,
        changed_s=sent_s,
    )


# For each state of a replica: its reservations and the number of its newest change when
# the summary comes, and the numbers and reservations of the messages that come after.
REPLICAS = {
    "is the same": ("ab", 7, []),
    "lacks the change": ("a", 5, []),
    "lacks the change and isn't whole": ("a", 5, []),
    "gets the change": ("a", 5, [(7, "ab")]),
    "gets the change and a newer one": ("a", 5, [(9, ""), (7, "b")]),
    "gets a newer change alone": ("a", 5, [(9, "")]),
    "gets the change and lacks an older one": ("", 4, [(7, "b")]),
    "lacks an older change": ("b", 7, []),
    "has one that ended": ("abc", 7, []),
}


@then("the step is {step} when the replica {replica} and {passed_s:g} s have passed")
def step_is(context, step, replica, passed_s):
    names, newest, messages = REPLICAS[replica]
    digest = digest_of(map(reservation, names))
    check = SummaryCheck(
        summary=context.summary, replica_digest=digest, newest=newest, now=100.0
    )
    for sequence, names in messages:
        after = digest_of(map(reservation, names))
        check.record(sequence, digest, after)
        digest = after
    is_whole = "isn't whole" not in replica
    found = check.step(is_whole=is_whole, now=100.0 + passed_s)
    assert found is Step(step), found


@then("none after a summary that agrees")
def none_kept(context):
    order = context.order
    summary = Summary(sequence=context.count + 1, digest=0, changed=context.count)
    order.compare(summary, 100.0)
    order.confirm(summary)
    assert not order.ended
    assert not order.early_progress
