"""Steps of the model check of claims."""

import attrs
from behave import given, then
from schedules import search

ABSENT, CLAIMED, SENDING, DONE = "absent", "claimed", "sending", "done"
IDLE, HOLDS, SENDS, ENDED = "idle", "holds", "sends", "ended"
NOBODY = -1
STATE_LIMIT = 400_000


@attrs.frozen(cache_hash=True)
class Call:
    """A call with the key: its phase, the version it knows, its own write.

    ``write`` is the state it is writing, ``expect`` the version that the write
    needs, ``effect`` None before the write took effect, then whether it did.
    """

    phase: str = IDLE
    version: int = 0
    write: str = ""
    expect: int = 0
    effect: bool | None = None
    lost: bool = False


@attrs.frozen(cache_hash=True)
class World:
    """The stored claim, the calls, the number of sends, and late writes."""

    version: int
    state: str
    holder: int
    calls: tuple[Call, ...]
    sends: int = 0
    late: frozenset[tuple[int, str, int]] = frozenset()


@attrs.define(kw_only=True)
class Rules:
    """The bounds of the model, and the faults that it may be given."""

    versions: int
    takes_sending: bool = False
    trusts_lost: bool = False


def stored(world, expect, state, number):
    """Return the fields that a conditional write changes, and if it took effect."""
    if expect != world.version:
        return {}, False
    holder = NOBODY if state == ABSENT else number
    changed = {"version": world.version + 1, "state": state, "holder": holder}
    return changed, True


def with_call(world, number, call, **changes):
    calls = list(world.calls)
    calls[number] = call
    return attrs.evolve(world, calls=tuple(calls), **changes)


def begin(world, number, call, state, expect):
    """Return the state after a call sent a write."""
    writing = attrs.evolve(call, write=state, expect=expect, effect=None)
    return with_call(world, number, writing)


def successors(rules):
    """Return the function that gives a state's successors."""

    def following(world):
        found = []
        for number, call in enumerate(world.calls):
            if call.phase != ENDED:
                found.extend(moves(world, number, call, rules))
                found.append(crash(world, number, call))
        for each in world.late:
            changes, _ = stored(world, *each)
            found.append(attrs.evolve(world, late=world.late - {each}, **changes))
        return [pruned(each) for each in found if each.version <= rules.versions]

    return following


def pruned(world):
    """Return a state without the late writes that can no longer take effect."""
    late = frozenset(each for each in world.late if each[0] == world.version)
    return attrs.evolve(world, late=late)


def crash(world, number, call):
    """Return the state after a call's process ended; its write may be late."""
    late = world.late
    if call.write and call.effect is None:
        late |= {(call.expect, call.write, number)}
    return with_call(world, number, Call(phase=ENDED), late=late)


def moves(world, number, call, rules):
    """Return the states that one call's next steps lead to."""
    if call.write:
        yield from write_moves(world, number, call, rules)
    elif call.lost:
        yield read_back(world, number, call)
    elif call.phase == IDLE:
        takes = world.state == CLAIMED
        takes = takes or (rules.takes_sending and world.state == SENDING)
        if world.state == ABSENT or takes:
            yield begin(world, number, call, CLAIMED, world.version)
    elif call.phase == HOLDS:
        yield begin(world, number, call, SENDING, call.version)
        yield begin(world, number, call, ABSENT, call.version)
    elif call.phase == SENDS:
        done = attrs.evolve(call, phase=ENDED)
        yield with_call(world, number, done, sends=world.sends + 1)


def write_moves(world, number, call, rules):
    """Return the states after a write took effect, was answered, or was lost."""
    if call.effect is None:
        changes, done = stored(world, call.expect, call.write, number)
        yield with_call(world, number, attrs.evolve(call, effect=done), **changes)
        late = world.late | {(call.expect, call.write, number)}
        yield with_call(world, number, lost(call, rules), late=late)
        return
    yield with_call(world, number, lost(call, rules))
    if call.effect:
        yield with_call(world, number, succeeded(call, call.expect + 1))
    else:
        yield with_call(world, number, attrs.evolve(call, write="", lost=True))


def succeeded(call, version):
    """Return a call after its write is known to have taken effect."""
    phase = {CLAIMED: HOLDS, SENDING: SENDS, ABSENT: ENDED}[call.write]
    return Call(phase=phase, version=version)


def lost(call, rules):
    """Return a call whose write's answer was lost."""
    if rules.trusts_lost and call.write == SENDING:
        return Call(phase=SENDS)
    return attrs.evolve(call, write="", effect=None, lost=True)


def read_back(world, number, call):
    """Return the state after a call read the claim to learn what is stored."""
    if world.holder != number:
        fresh = IDLE if call.phase == IDLE else ENDED
        return with_call(world, number, Call(phase=fresh))
    phase = {CLAIMED: HOLDS, SENDING: SENDS}.get(world.state, ENDED)
    return with_call(world, number, Call(phase=phase, version=world.version))


@given("the claim model with {calls:d} calls and {versions:d} versions")
def claim_model(context, calls, versions):
    context.rules = Rules(versions=versions)
    context.world = World(0, ABSENT, NOBODY, tuple(Call() for _ in range(calls)))


@given("takeovers don't spare claims that are being sent")
def takes_sending(context):
    context.rules.takes_sending = True


@given("a holder sends although its start's answer was lost")
def trusts_lost(context):
    context.rules.trusts_lost = True


def checked(context):
    once = lambda world: world.sends <= 1
    return search(context.world, successors(context.rules), once, STATE_LIMIT)


@then("in no reachable state was the key sent twice")
def sent_once(context):
    count, bad = checked(context)
    assert bad is None, bad
    assert count > 500, count
    print(f"{count} states")


@then("in some reachable state the key was sent twice")
def sent_twice(context):
    _, bad = checked(context)
    assert bad is not None
