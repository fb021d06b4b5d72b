"""Steps of the membership: many members in one process, and one real fleet."""

import asyncio
import signal
import time

import attrs
from behave import given, then, when
from helper import start_fleet, wait_for

from baobabturn.controller.views import ViewPublisher
from baobabturn.membership.datagrams import DatagramSigner
from baobabturn.membership.owners import ALIVE, DEAD
from baobabturn.membership.table import DEAD_RETENTION_S, MemberTable
from baobabturn.membership.view import merge_view
from baobabturn.wire.messages import Member
from bench.members import MemberFleet

FAST = [
    "membership.interval_s=0.2",
    "membership.suspect_s=1.6",
    "membership.dead_s=4",
]
SETTLE_S = 2.0
MEASURE_S = 3.0


def run(context, work):
    return context.runner.run(work)


def start_members(context, count, domains):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.members = MemberFleet(size=count, domains=domains, flags=FAST, seeds=1)
    run(context, context.members.start())
    context.add_cleanup(lambda: run(context, context.members.stop()))


@given("{count:d} members in {domains:d} failure domains")
def members(context, count, domains):
    start_members(context, count, domains)


@when("all members agree within {limit:d} s")
@then("all members agree within {limit:d} s")
def agree(context, limit):
    run(context, context.members.until(context.members.agreed, limit))


@when("member {number:d} is killed")
def kill_member(context, number):
    run(context, context.members.hosts[number].stop())


@when("member {number:d} is replaced at the same address")
def replace_member(context, number):
    run(context, context.members.replace(number))


@when("members {first:d} to {last:d} are replaced at once")
def replace_members(context, first, last):
    async def replace():
        for number in range(first, last + 1):
            await context.members.hosts[number].stop()
        await asyncio.sleep(0.3)
        for number in range(first, last + 1):
            await context.members.replace(number)

    run(context, replace())


@when("member {number:d} leaves")
def leave(context, number):
    run(context, context.members.hosts[number].membership.leave())


@then('all others see member {number:d} as "{state}" within {limit:d} s')
def seen_as(context, number, state, limit):
    fleet = context.members
    name = fleet.hosts[number].name

    def check():
        return all(
            seen == state for host, seen in fleet.states(name).items() if host != name
        )

    run(context, fleet.until(check, limit))


@when("datagrams from member {one:d} to member {other:d} are lost for {span:d} s")
def one_way(context, one, other, span):
    hosts = context.members.hosts
    context.members.cut.add((hosts[one].name, hosts[other].name))
    run(context, asyncio.sleep(span))


@when("failure domain 1 is cut off until both sides take each other for dead")
def cut_domain(context):
    fleet = context.members
    inner = [h.name for h in fleet.hosts if h.membership.me.failure_domain[-1] == "1"]
    outer = [host.name for host in fleet.hosts if host.name not in inner]
    fleet.cut_between(inner, outer)

    def apart():
        return all(
            fleet.alive_at(host) == len(inner if host.name in inner else outer)
            for host in fleet.hosts
        )

    run(context, fleet.until(apart, 20))


@when("the cut is healed")
def heal(context):
    context.members.cut.clear()


@then("nobody was taken for suspect or dead")
def no_false_words(context):
    assert not any(context.members.false_words().values()), context.members.changes


@then("nobody but member {number:d} was taken for suspect or dead")
def no_other_false_words(context, number):
    down = [context.members.hosts[number].name]
    assert not any(context.members.false_words(down).values())


@then("nobody but members {first:d} to {last:d} was taken for suspect or dead")
def no_false_words_but(context, first, last):
    down = [context.members.hosts[n].name for n in range(first, last + 1)]
    assert not any(context.members.false_words(down).values())


@when("the bytes each of {small:d} and of {large:d} members sends are measured")
def measure_bytes(context, small, large):
    async def measure(fleet):
        fleet.introduce()
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        before = fleet.bytes_sent()
        await asyncio.sleep(MEASURE_S)
        sent = (fleet.bytes_sent() - before) / MEASURE_S / len(fleet.hosts)
        await fleet.stop()
        return sent

    context.rates = [
        asyncio.run(measure(MemberFleet(size=size, flags=FAST)))
        for size in (small, large)
    ]


@then("the larger fleet sends at most {times:g} times as much for each member")
def compare_bytes(context, times):
    small, large = context.rates
    assert large <= times * small, context.rates


@given('a table that has forgotten the dead member "{name}" of incarnation {number:d}')
def forgotten(context, name, number):
    now = [1000.0]
    table = MemberTable(me=Member(name="me", state=ALIVE), clock=lambda: now[0])
    table.apply(Member(name=name, incarnation=number, state=ALIVE))
    table.set_state(name, DEAD)
    now[0] += DEAD_RETENTION_S + 1
    assert [member.name for member in table.expire_dead()] == [name]
    context.member_table = table


@then('word that "{name}" is alive in incarnation {number:d} is refused')
def refused(context, name, number):
    word = Member(name=name, incarnation=number, state=ALIVE)
    assert not context.member_table.is_superseded_by(word)


@then('word that "{name}" is alive in incarnation {number:d} is taken')
def taken(context, name, number):
    assert context.member_table.is_superseded_by(
        Member(name=name, incarnation=number, state=ALIVE)
    )


@given("a sealed datagram")
def sealed(context):
    context.signer = DatagramSigner(secret="one")
    context.datagram = context.signer.sign(b"the whole of it")


@then("it opens as it is, and not with any one byte changed")
def opens(context):
    datagram = context.datagram
    assert context.signer.verify(datagram) == b"the whole of it"
    assert DatagramSigner(secret="other").verify(datagram) is None
    for place in range(len(datagram)):
        changed = bytearray(datagram)
        changed[place] ^= 1
        assert context.signer.verify(bytes(changed)) is None, place


class Subscriber:
    """Takes pushes as an entry does."""

    def __init__(self):
        self.members = []
        self.views = []

    def send(self, view):
        """Lay a view over the one held."""
        self.views.append(view)
        self.members, _ = merge_view(self.members, view)


@given("a host that told {count:d} members to its subscribers")
def told_members(context, count):
    fleet = MemberFleet(size=1)
    membership = fleet.hosts[0].membership
    for number in range(count - 1):
        name = f"other-{number}"
        membership.table.apply(Member(name=name, incarnation=1, state=ALIVE))
    state = type("State", (), {"revision": 0})()
    context.significant = []
    context.views = ViewPublisher(
        membership=membership,
        state=state,
        may_serve=lambda: True,
        contact=lambda: (0, 0, False),
        on_significant=lambda: context.significant.append(True),
    )
    context.membership = membership
    context.link = Subscriber()
    context.views.subscribe(context.link, 0)
    assert len(context.link.members) == count


@then("nothing is pushed while nothing changes")
def nothing_pushed(context):
    before = len(context.link.views)
    context.significant.clear()
    context.views.push_members(with_revisions=True)
    assert len(context.link.views) == before
    assert not context.significant


@then("the death of one member is pushed as {count:d} record")
def death_pushed(context, count):
    context.membership.table.set_state("other-5", DEAD)
    context.significant.clear()
    context.views.push_members()
    assert len(context.significant) == 1
    assert len(context.link.views[-1].members) == count


@then("the view built from the pushes equals the host's own")
def same_view(context):
    held = {member.name: attrs.astuple(member) for member in context.link.members}
    own = context.membership.members()
    assert held == {member.name: attrs.astuple(member) for member in own}


@given("a fleet of {hosts:d} hosts with heartbeats {times:g} times the defaults")
def quick_fleet(context, hosts, times):
    beats = {"interval_s": 0.5 * times, "suspect_s": 2 * times, "dead_s": 6 * times}
    start_fleet(
        context,
        "herd",
        False,
        hosts=hosts,
        engines=1,
        workers=1,
        overrides={"membership": beats},
    )


def states(fleet, entry):
    settings = fleet.settings_path(fleet.hosts[0].name)
    printed = fleet.command("status", fleet.entry(entry), "--settings", settings)
    rows = [line.split() for line in printed.splitlines()[1:] if line.strip()]
    return {row[0]: row[3] for row in rows}


@when("the controller of host {number:d} is paused until the others take it for dead")
def pause_controller(context, number):
    fleet = context.fleet
    context.paused = fleet.hosts[number].name
    context.paused_at = time.monotonic()
    fleet.signal(f"controller@{context.paused}", signal.SIGSTOP)
    wait_for(
        lambda: states(fleet, 0).get(context.paused) == DEAD, "the paused host's death"
    )


@when("it is woken after {span:d} s in all")
def wake_controller(context, span):
    time.sleep(max(0, context.paused_at + span - time.monotonic()))
    context.fleet.signal(f"controller@{context.paused}", signal.SIGCONT)


@then("every host sees all hosts alive")
def all_alive(context):
    fleet = context.fleet
    wanted = {host.name: ALIVE for host in fleet.hosts}
    for number in range(len(fleet.hosts)):
        wait_for(lambda n=number: states(fleet, n) == wanted, f"host {number}'s view")


def event_lines(context, event):
    fleet = context.fleet
    found = []
    for host in fleet.hosts:
        log = fleet.log(f"controller@{host.name}").read_text()
        found += [
            (host.name, line) for line in log.splitlines() if f"event={event} " in line
        ]
    return found


@then("the woken controller objected")
def objected(context):
    assert any(
        name == context.paused for name, _ in event_lines(context, "member-refuted")
    )


@then("no host but {number:d} was ever taken for suspect or dead")
def no_other_death(context, number):
    for event in ("member-suspect", "member-dead"):
        for name, line in event_lines(context, event):
            assert f"member={context.paused} " in line + " ", (name, line)
