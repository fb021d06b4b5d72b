"""Steps on the exchange of reservations between failure domains."""

import asyncio
import itertools
import random

from behave import given, then, when

from baobabturn.gateway.mirror import StoreContact, boot_time_s
from baobabturn.gateway.peers import CHANGE_BATCH_S
from baobabturn.gateway.reservationexchange import (
    FORWARD_BATCH_S,
    MAX_NEWS_BYTES,
    RECEIPT_DELAY_S,
    call_later,
)
from baobabturn.gateway.reservationorder import ReservationOrder
from baobabturn.gateway.reservationsummary import (
    Step,
    Summary,
    digest_of_holdings,
    produced_by_name,
)
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.membership.datagrams import TAG_BYTES
from baobabturn.wire.codec import unpack_small
from baobabturn.wire.gatewaymessages import (
    GatewayState,
    ReservationChanges,
    ReservationNews,
    ReservationReceipt,
)
from baobabturn.wire.messages import Holding, Holdings, ProgressItem, Release
from features.steps.gateway import run
from features.steps.gatewayfleet import near

CHANGE_COUNT = 400
# Longer than the batch of a forwarder, shorter than the delay of a confirmation.
MOMENT_S = 0.01


def named(fleet, name):
    """Return a gateway of a fleet."""
    return next(each for each in fleet.gateways if each.name == name)


def forwarder_of(fleet, gateway, domain):
    """Return the gateway that forwards another one's changes in a domain."""
    peers = gateway.peers
    alive = peers.table.near_alive()
    delivery = peers.exchange.forwarders.delivery(alive, fleet.clock.now)
    return next(
        named(fleet, peer.name)
        for peer in delivery.forwarders
        if peer.failure_domain == domain
    )


def sent(fleet, gateway, kind):
    """Return the messages of a kind that a gateway sent: receiver, message, size."""
    found = []
    for address, data in gateway.sent:
        body = unpack_small(data[TAG_BYTES:]).body
        if isinstance(body, kind):
            found.append((fleet.by_address[address], body, len(data)))
    return found


def forget_sent(fleet):
    """Count datagrams from now on."""
    for gateway in fleet.gateways:
        gateway.sent.clear()


@given("its gateways {numbers} are of an earlier release")
def earlier_release(context, numbers):
    context.old = [context.fleet.gateways[int(n)] for n in numbers.split(",")]
    for gateway in context.old:
        peers = gateway.peers
        for kind in (ReservationNews, ReservationReceipt):
            del peers.handlers[kind]
        make_state = peers.make_state

        def old_state(make_state=make_state, **words):
            state = make_state(**words)
            state.forwards = False
            return state

        def old_send(state, peers=peers):
            peers.send_message(state, peers.table.near_alive())

        peers.make_state = old_state
        peers.exchange.send = old_send
    # The others have heard of them as of gateways of this release.
    for gateway in context.fleet.gateways:
        gateway.peers.introduce(gateway.peers.table.near())
    context.fleet.deliver()


@then("no gateway of an earlier release was sent a message that it doesn't know")
def none_unknown(context):
    for gateway in context.fleet.gateways:
        for receiver, _, _ in sent(
            context.fleet, gateway, (ReservationNews, ReservationReceipt)
        ):
            assert receiver not in context.old, receiver.name


@when("every gateway makes, advances and releases reservations at random")
def at_random(context):
    chance = random.Random(7)
    forget_sent(context.fleet)
    for number in range(CHANGE_COUNT):
        gateway = chance.choice(context.fleet.gateways)
        own = gateway.reservations.own
        if not own or chance.random() < 0.4:
            gateway.take(f"{gateway.name}/{number}/request", tokens=100)
        elif chance.random() < 0.5:
            name = chance.choice(sorted(own))
            gateway.advance(name, own[name].produced + 4)
        else:
            gateway.release(chance.choice(sorted(own)))
        if chance.random() < 0.5:
            context.fleet.settle(0.003)
        if chance.random() < 0.02:
            context.fleet.pass_time(0.4)


@when("{seconds:g} seconds pass")
def moment_passes(context, seconds):
    context.fleet.settle(seconds)


@then("all gateways know exactly the reservations that the others hold")
def all_known(context):
    assert any(each.reservations.own for each in context.fleet.running())
    for gateway in context.fleet.running():
        for other in context.fleet.running():
            if other is gateway:
                continue
            known = gateway.reservations.by_peer[other.name]
            assert known == other.reservations.own, (gateway.name, other.name)


@when("the gateway {number:d} makes, advances and releases a reservation")
def whole_life(context, number):
    context.subject = context.fleet.gateways[number]
    forget_sent(context.fleet)
    name = f"{context.subject.name}/1/8f14e45fceea167a5a36dedd4bea2543"
    for step in (
        lambda: context.subject.take(name, tokens=3079),
        lambda: context.subject.advance(name, 4),
        lambda: context.subject.release(name),
    ):
        step()
        context.fleet.settle(MOMENT_S)


@then(
    "{count:d} datagrams with changes went to other failure domains, of at most"
    " {size:d} bytes"
)
def few_datagrams(context, count, size):
    domain = context.subject.domain
    across = [
        (gateway.name, len(data))
        for gateway in context.fleet.gateways
        for address, data in gateway.sent
        if context.fleet.by_address[address].domain != gateway.domain
    ]
    assert [name for name, _ in across] == [context.subject.name] * count, across
    assert max(length for _, length in across) <= size, across
    states = sent(context.fleet, context.subject, GatewayState)
    assert {receiver.domain for receiver, _, _ in states} == {domain}, states


@then("the forwarders sent each change to the {count:d} others of their domain")
def forwarded_to_all(context, count):
    for domain in {each.domain for each in context.fleet.gateways}:
        if domain == context.subject.domain:
            continue
        forwarder = forwarder_of(context.fleet, context.subject, domain)
        copies = sent(context.fleet, forwarder, ReservationNews)
        assert len(copies) == 3 * count, len(copies)
        assert all(news.forwarded for _, news, _ in copies)
        assert {receiver.domain for receiver, _, _ in copies} == {domain}


@then("the metrics count these datagrams")
def metrics_count(context):
    news = sent(context.fleet, context.subject, ReservationNews)
    metrics = context.subject.peers.program.metrics
    labels = {"kind": "reservationNews", "domain": "other"}
    assert metrics.value("datagrams_sent", **labels) == len(news)
    assert metrics.value("datagram_sent_bytes", **labels) == sum(
        size for _, _, size in news
    )


@then('the gateways of "{domain}" use {count:d} forwarders or more in "{other}"')
def spread(context, domain, count, other):
    used = {
        forwarder_of(context.fleet, each, other).name
        for each in context.fleet.gateways
        if each.domain == domain
    }
    assert len(used) >= count, used


@when('all gateways of "{domain}" make a reservation within a moment')
def all_make(context, domain):
    forget_sent(context.fleet)
    for gateway in context.fleet.gateways:
        if gateway.domain == domain:
            gateway.take(f"{gateway.name}/1/request")
    context.fleet.settle(MOMENT_S)


@then("no forwarder sent more than one datagram to any gateway")
def one_datagram(context):
    copies = 0
    for gateway in context.fleet.gateways:
        receivers = [
            receiver.name
            for receiver, news, _ in sent(context.fleet, gateway, ReservationNews)
            if news.forwarded
        ]
        assert len(receivers) == len(set(receivers)), (gateway.name, receivers)
        copies += len(receivers)
    assert copies


@then(
    "each gateway near it got {count:d} datagrams with its state, and none was"
    " forwarded"
)
def as_before(context, count):
    states = sent(context.fleet, context.subject, GatewayState)
    receivers = [receiver.name for receiver, _, _ in states]
    expected = [each.name for each in near(context.fleet, context.subject)]
    assert sorted(receivers) == sorted(expected * count), receivers
    for gateway in context.fleet.gateways:
        assert not sent(context.fleet, gateway, ReservationNews), gateway.name


@when("no datagram gets lost any more")
def no_loss(context):
    context.fleet.loss_ratio = 0.0


@when("the gateway {number:d} releases it while its monitors hear nothing")
def monitors_miss(context, number):
    subject = context.fleet.gateways[number]
    monitors = [
        named(context.fleet, peer.name) for peer in subject.peers.table.monitors()
    ]
    for gateway in monitors:
        gateway.alive = False
    subject.release("r1")
    context.fleet.settle(MOMENT_S)
    for gateway in monitors:
        gateway.alive = True
        assert gateway.reservations.by_peer[subject.name], gateway.name


def die(context, forwarder):
    """Kill a forwarder."""
    forwarder.alive = False


def cut_off(context, forwarder):
    """Let a forwarder hear nothing of the sender, nor the sender of it."""
    forwarder.deaf_to.add(context.subject.address)
    context.subject.deaf_to.add(forwarder.address)


def leave(context, forwarder):
    """Let a forwarder tell that it is about to end."""
    forwarder.serving = False
    forwarder.peers.send_state_to_near()
    context.fleet.deliver()


def restart(context, forwarder):
    """Let a new process take a forwarder's place."""
    forwarder.start()
    forwarder.peers.add_gateways([each.record for each in context.fleet.gateways])
    context.fleet.deliver()


FATES = {
    "dies": die,
    "is cut off": cut_off,
    "leaves": leave,
    "is restarted": restart,
}


@when('the forwarder of the gateway {number:d} in "{domain}" {fate}')
def forwarder_fails(context, number, domain, fate):
    context.subject = context.fleet.gateways[number]
    context.forwarder = forwarder_of(context.fleet, context.subject, domain)
    FATES[fate](context, context.forwarder)


@when('no gateway of "{domain}" serves')
def none_serves(context, domain):
    for gateway in context.fleet.gateways:
        if gateway.domain == domain:
            leave(context, gateway)


@then('the gateway {number:d} uses another forwarder in "{domain}"')
def another_forwarder(context, number, domain):
    gateway = context.fleet.gateways[number]
    assert forwarder_of(context.fleet, gateway, domain) is not context.forwarder


@then('all gateways of "{domain}" that hear it hold the reservation')
def domain_holds(context, domain):
    subject = context.subject
    members = [each for each in context.fleet.running() if each.domain == domain]
    hearing = [each for each in members if subject.address not in each.deaf_to]
    assert len(hearing) >= 20, len(hearing)
    for gateway in hearing:
        assert "r1" in gateway.reservations.by_peer[subject.name], gateway.name


@when("the gateway {number:d} makes a reservation in a running event loop")
def in_event_loop(context, number):
    fleet = context.fleet
    context.subject = fleet.gateways[number]
    for gateway in fleet.gateways:
        gateway.peers.exchange.schedule = call_later

    async def play():
        holding = Holding(reservation="r1", endpoint="e")
        context.subject.reservations.own["r1"] = holding
        context.subject.peers.publish_reservation("p", holding)
        for pause_s in (CHANGE_BATCH_S, FORWARD_BATCH_S, RECEIPT_DELAY_S):
            await asyncio.sleep(2 * pause_s)
            fleet.deliver()

    run(context, play())


@then("the gateway {number:d} awaits no confirmation")
def awaits_none(context, number):
    awaited = context.fleet.gateways[number].peers.exchange.forwarders.awaited
    assert len(awaited) == 2 and not any(awaited.values()), awaited


@when("the gateway {number:d} makes a reservation, and its forwarders hold that back")
def held_at_forwarders(context, number):
    context.subject = context.fleet.gateways[number]
    context.subject.take("r1")
    context.fleet.deliver()


@when("the forwarders send what they held back")
def send_held(context):
    context.fleet.settle(MOMENT_S)


@then("no gateway of another domain holds a reservation of it")
def none_far(context):
    forwarded = [
        news
        for gateway in context.fleet.gateways
        for _, news, _ in sent(context.fleet, gateway, ReservationNews)
        if news.forwarded
    ]
    assert forwarded
    for gateway in context.fleet.gateways:
        if gateway.domain != context.subject.domain:
            assert not gateway.reservations.by_peer[context.subject.name], gateway.name


@when("the gateway {number:d} is restarted, and its changes overtake its first state")
def changes_first(context, number):
    fleet = context.fleet
    context.subject = fleet.gateways[number]
    context.subject.start()
    context.subject.peers.add_gateways([each.record for each in fleet.gateways])
    first = list(fleet.datagrams)
    # It has heard the others, but they have not heard it.
    for gateway in fleet.gateways:
        if gateway is not context.subject:
            gateway.peers.introduce([gateway.peers.table.peers[context.subject.name]])
    answers = [each for each in fleet.datagrams if each not in first]
    fleet.datagrams.clear()
    fleet.datagrams.extend(answers)
    fleet.deliver()
    context.subject.take("r1")
    fleet.settle(MOMENT_S)
    for gateway in fleet.gateways:
        if gateway.domain != context.subject.domain:
            assert not gateway.reservations.by_peer[context.subject.name], gateway.name
    fleet.datagrams.extend(first)
    fleet.settle(MOMENT_S)


@when(
    "the gateway {number:d} dies while its changes are forwarded for {seconds:g}"
    " seconds"
)
def forwarded_after_death(context, number, seconds):
    fleet = context.fleet
    context.subject = fleet.gateways[number]
    context.dead = [context.subject]
    forwarder = forwarder_of(fleet, context.subject, "z2")
    context.subject.alive = False
    peers = context.subject.peers
    end = fleet.clock.now + seconds
    while fleet.clock.now < end:
        state = peers.make_state(full=False)
        state.holdings = [Holdings(pool="p", items=[Holding(reservation="r1")])]
        changes = peers.exchange.short_changes(state)
        changes.holdings = state.holdings
        forwarder.peers.exchange.forward(ReservationNews(changes=[changes]))
        fleet.pass_time(0.4)


@then("the gateway {number:d} avoids no forwarder")
def avoids_none(context, number):
    forwarders = context.fleet.gateways[number].peers.exchange.forwarders
    assert not forwarders.avoided_until, forwarders.avoided_until


@when("the gateway {number:d} makes {count:d} reservations at once")
def makes_many(context, number, count):
    context.subject = context.fleet.gateways[number]
    forget_sent(context.fleet)
    peers = context.subject.peers
    peers.flush_scheduled = True
    for each in range(count):
        holding = Holding(
            reservation=f"{context.subject.name}/{each}/{'r' * 40}",
            workspace="w" * 40,
        )
        context.subject.reservations.own[holding.reservation] = holding
        peers.publish_reservation("p", holding)
    peers.flush()


@then("no datagram of the exchange was larger than {size:d} bytes")
def small_enough(context, size):
    assert size == MAX_NEWS_BYTES
    for gateway in context.fleet.gateways:
        for _, _, length in sent(context.fleet, gateway, ReservationNews):
            assert length <= size, length


@then("the other domains know {count:d} reservations of the gateway {number:d}")
def know_many(context, count, number):
    subject = context.fleet.gateways[number]
    for gateway in context.fleet.gateways:
        if gateway.domain != subject.domain:
            known = gateway.reservations.by_peer[subject.name]
            assert len(known) == count, (gateway.name, len(known))


def make_messages(words):
    """Return the messages that one gateway sends, numbered as it sends them."""
    held = {}
    messages = []
    for number, word in enumerate(words.split(", "), start=1):
        kind, *rest = word.split()
        changes = ReservationChanges(incarnation=5, sequence=number)
        if kind == "made":
            held[rest[0]] = 0
            changes.holdings = [pool_of({rest[0]: 0})]
        elif kind == "progress":
            held[rest[0]] = int(rest[1])
            changes.progress = [
                ProgressItem(reservation=rest[0], produced=int(rest[1]))
            ]
        elif kind == "end":
            del held[rest[0]]
            changes.ended = [Release(reservation=rest[0])]
        elif kind == "summary":
            messages.append(summary_of(held, number))
            continue
        else:
            changes.full = True
            changes.holdings = [pool_of(held)]
        messages.append(changes)
    return messages


def pool_of(held):
    """Return the holdings in a pool, by their names and tokens produced."""
    return Holdings(
        pool="p",
        items=[
            Holding(reservation=name, produced=count) for name, count in held.items()
        ],
    )


def summary_of(held, number):
    """Return a summary of the holdings in a pool."""
    holdings = [pool_of(held)]
    return Summary(
        sequence=number,
        digest=digest_of_holdings(holdings),
        changed=number - 1,
        produced=produced_by_name(holdings),
    )


def review(order, message):
    """Return what follows from a message, also for a summary that waits."""
    accepted = []
    if isinstance(message, Summary):
        order.compare(message, 100.0)
    else:
        accepted.append(order.accept(message))
    check = order.check
    if check is not None:
        step = check.step(is_whole=order.is_whole, now=100.0)
        if step is Step.CONFIRM:
            accepted.append(order.confirm(check.summary))
        elif step is Step.ASK:
            order.check = None
    return accepted


def play(messages):
    """Return what a gateway that gets messages in this order records."""
    order = ReservationOrder()
    order.begin(5)
    table = {}
    for accepted in itertools.chain.from_iterable(
        review(order, message) for message in messages
    ):
        for _, holding in accepted.recorded:
            table[holding.reservation] = holding.produced
        for release in accepted.released:
            table.pop(release.reservation, None)
        if accepted.retained is not None:
            table = {name: table[name] for name in accepted.retained & table.keys()}
    return table


@given("the messages {words} of one gateway")
def messages_of_one(context, words):
    context.messages = make_messages(words)


@then(
    "every order of them, also with repeats, leaves the {held} with the progress"
    " {produced:d}"
)
def every_order(context, held, produced):
    expected = {} if held == "nothing" else {held: produced}
    for messages in itertools.permutations(context.messages):
        assert play(messages) == expected, messages
        assert play([*messages, *messages]) == expected, messages
        assert play([*messages, *reversed(messages)]) == expected, messages


@given("a gateway that ends {count:d} reservations without a full state")
def ends_many(context, count):
    context.order = ReservationOrder()
    context.order.begin(5)
    context.count = count
    for number in range(1, count + 1):
        release = Release(reservation=f"r{number}")
        progress = ProgressItem(reservation=f"other{number}", produced=1)
        context.order.accept(
            ReservationChanges(
                incarnation=5, sequence=number, progress=[progress], ended=[release]
            )
        )


@then("{count:d} of their names are kept")
def names_kept(context, count):
    assert len(context.order.ended) == count, len(context.order.ended)
    assert len(context.order.early_progress) == count


@then("none after its next full state")
def none_kept(context):
    state = ReservationChanges(incarnation=5, sequence=context.count + 1, full=True)
    context.order.accept(state)
    assert not context.order.ended
    assert not context.order.early_progress


def asked_domains(context, answered_at):
    """Return the failure domains that a gateway which doesn't watch asks."""
    gateway = next(
        each for each in context.fleet.gateways if not each.watchers.is_watcher()
    )
    updates = StoreUpdates(
        peers=gateway.peers,
        watchers=gateway.watchers,
        contact=StoreContact(events=gateway.peers.program.events),
        mirrors=[],
    )
    updates.confirmed_at = boot_time_s()
    updates.answered_at = answered_at
    asked = {peer.failure_domain for peer in updates.watchers_to_ask()}
    return asked - {gateway.domain}


@then("a gateway that was just confirmed asks its own domain alone")
def asks_own(context):
    assert not asked_domains(context, boot_time_s())


@then("one that wasn't asks another domain too")
def asks_another(context):
    assert len(asked_domains(context, boot_time_s() - 2)) == 1
