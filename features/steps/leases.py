"""Steps of the lease protocol: real code over schedules, and a model check."""

import random

import attrs
from behave import given, then, when
from schedules import Driver, Process, ScheduledStore, StoreClient, search

from baobabturn.store.leases import Lease, LeaseTimes

DURATION_S = 6.0
MARGIN = 0.05
STATE_LIMIT = 400_000


@attrs.define(kw_only=True)
class Clock:
    """A process's clock; it runs at its own rate."""

    rate: float
    now: float = 1000.0

    def read(self):
        """Return the clock's time."""
        return self.now


@attrs.frozen(kw_only=True)
class HastyTimes(LeaseTimes):
    """Times of a challenger that doesn't wait long enough."""

    @property
    def challenger_wait_s(self):
        """Return half of the lease's time."""
        return self.duration_s / 2


@given("two processes that want one lease, with clocks that differ by the margin")
def two_processes(context):
    context.times = LeaseTimes(duration_s=DURATION_S, rate_margin=MARGIN)


@given("a challenger that waits only half of the lease's time")
def hasty(context):
    context.times = HastyTimes(duration_s=DURATION_S, rate_margin=MARGIN)


RETURN_SHARE = 0.02


def run_schedule(times, seed, steps, returns=False):
    """Return whether both held at once, whether any held, and holders by term.

    With ``returns`` the store returns from copies, some of them taken long before.
    """
    store = ScheduledStore()
    clocks = [Clock(rate=1 - MARGIN), Clock(rate=1 + MARGIN)]
    chance = random.Random(f"work/{seed}")
    leases = [
        Lease(
            store=StoreClient(store=store),
            name="shard",
            holder=f"p{i}",
            times=times,
            clock=c.read,
        )
        for i, c in enumerate(clocks)
    ]

    def work(lease):
        if lease.held and chance.random() < 0.1:
            return lease.release()
        return lease.acquire_or_renew()

    processes = [
        Process(name=each.holder, work=lambda each=each: work(each)) for each in leases
    ]
    driver = Driver(processes=processes, seed=seed)
    both = any_held = False
    terms = {}
    copies = [store.take_copy()]
    store.era = 1 if returns else 0
    for _ in range(steps):
        if returns and chance.random() < RETURN_SHARE:
            store.restore(chance.choice(copies[-20:]))
        copies.append(store.take_copy())
        driver.step()
        passed = driver.random.expovariate(2.0)
        for clock in clocks:
            clock.now += passed * clock.rate
        holding = [lease for lease in leases if lease.remaining_s() > 0]
        both = both or len(holding) > 1
        any_held = any_held or bool(holding)
        for lease in holding:
            terms.setdefault(lease.term, set()).add(lease.holder)
    for process in processes:
        if process.running is not None:
            process.running.close()
    return both, any_held, terms


@when(
    "{count:d} schedules of {steps:d} steps run with pauses, lost answers"
    " and late writes"
)
def run_schedules(context, count, steps):
    context.runs = [run_schedule(context.times, seed, steps) for seed in range(count)]


@when(
    "{count:d} schedules of {steps:d} steps run in which the store returns from copies"
)
def run_with_returns(context, count, steps):
    context.runs = [
        run_schedule(context.times, seed, steps, returns=True) for seed in range(count)
    ]


@then("at no step did both count on the lease")
def never_both(context):
    bad = [seed for seed, run in enumerate(context.runs) if run[0]]
    assert not bad, f"seeds {bad[:5]}"


@then("at some step both counted on the lease")
def some_both(context):
    assert any(run[0] for run in context.runs)


@then("no term was held by two processes")
def terms_apart(context):
    bad = [
        seed
        for seed, run in enumerate(context.runs)
        if any(len(holders) > 1 for holders in run[2].values())
    ]
    assert not bad, f"seeds {bad[:5]}"


@then("the lease was held in at least {count:d} of the schedules")
def was_held(context, count):
    held = sum(run[1] for run in context.runs)
    assert held >= count, held


@attrs.frozen
class Model:
    """The bounds of the lease model, times in ticks."""

    processes: int
    duration: int
    versions: int
    challenger: int


@attrs.frozen(cache_hash=True)
class Party:
    """A process of the model.

    ``seen`` is the version it saw, for ``age`` ticks; ``left`` the ticks it
    counts on the lease; ``write`` the version its own write expects, sent
    ``sent`` ticks ago, with ``effect`` None before the write took effect.
    """

    seen: int = 0
    owner: int = -1
    age: int = 0
    left: int = 0
    write: int | None = None
    sent: int = 0
    effect: bool | None = None


@attrs.frozen(cache_hash=True)
class World:
    """A state: the stored version and its holder, the parties, late writes."""

    version: int
    holder: int
    parties: tuple[Party, ...]
    late: frozenset[tuple[int, int]] = frozenset()


def with_party(world, number, party, **changes):
    parties = list(world.parties)
    parties[number] = party
    return attrs.evolve(world, parties=tuple(parties), **changes)


def tick(world, model):
    """Let a tick pass for everyone; ages stop at what makes a difference."""

    def older(party):
        return attrs.evolve(
            party,
            age=min(party.age + 1, model.challenger),
            left=max(party.left - 1, 0),
            sent=min(party.sent + 1, model.duration) if party.write is not None else 0,
        )

    return attrs.evolve(world, parties=tuple(older(p) for p in world.parties))


def apply(world, expect, number):
    """Return the store's version and holder after a conditional write."""
    if world.version != expect:
        return world.version, world.holder, False
    return world.version + 1, number, True


def successors(model):
    """Return the function that gives a state's successors."""

    def following(world):
        found = [tick(world, model)]
        for number, party in enumerate(world.parties):
            found.extend(moves(world, number, party, model))
        for expect, number in world.late:
            version, holder, _ = apply(world, expect, number)
            rest = world.late - {(expect, number)}
            found.append(attrs.evolve(world, version=version, holder=holder, late=rest))
        return [pruned(each) for each in found if each.version <= model.versions]

    return following


def pruned(world):
    """Return a state without the late writes that can no longer take effect."""
    late = frozenset(each for each in world.late if each[0] >= world.version)
    return world if late == world.late else attrs.evolve(world, late=late)


def moves(world, number, party, model):
    """Return the states that one party's next steps lead to."""
    if party.write is None:
        yield from idle_moves(world, number, party, model)
        return
    if party.effect is None:
        version, holder, done = apply(world, party.write, number)
        applied = attrs.evolve(party, effect=done)
        yield with_party(world, number, applied, version=version, holder=holder)
        lost = attrs.evolve(party, write=None, sent=0)
        late = world.late | {(party.write, number)}
        yield with_party(world, number, lost, late=late)
        return
    yield with_party(world, number, answered(world, number, party, model))
    lost = attrs.evolve(party, write=None, sent=0, effect=None)
    yield with_party(world, number, lost)


def idle_moves(world, number, party, model):
    """Return the states after a read or the sending of a write."""
    if party.seen != world.version:
        seen = attrs.evolve(party, seen=world.version, owner=world.holder, age=0)
        yield with_party(world, number, seen)
    free = party.owner in (-1, number)
    if party.left or free or party.age >= model.challenger:
        sent = attrs.evolve(party, write=party.seen, sent=0, effect=None)
        yield with_party(world, number, sent)


def answered(world, number, party, model):
    """Return a party after its write's answer arrived."""
    done = attrs.evolve(party, write=None, sent=0, effect=None)
    if not party.effect:
        return attrs.evolve(done, left=0)
    left = max(model.duration - party.sent, 0)
    seen = party.write + 1
    return attrs.evolve(done, seen=seen, owner=number, age=0, left=left)


@given(
    "the lease model with {n:d} processes, a lease of {ticks:d} ticks"
    " and {versions:d} versions"
)
def lease_model(context, n, ticks, versions):
    context.model = Model(n, ticks, versions, ticks + 1)


@given("a model challenger that waits {less:d} tick less")
def hasty_model(context, less):
    model = context.model
    context.model = attrs.evolve(model, challenger=model.challenger - 1 - less)


def at_most_one(world):
    return sum(party.left > 0 for party in world.parties) <= 1


def checked(context):
    model = context.model
    first = World(0, -1, tuple(Party() for _ in range(model.processes)))
    return search(first, successors(model), at_most_one, STATE_LIMIT)


@then("in no reachable state do two processes count on the lease")
def model_holds(context):
    count, bad = checked(context)
    assert bad is None, bad
    assert count > 1000, count


@then("in some reachable state two processes count on the lease")
def model_fails(context):
    _, bad = checked(context)
    assert bad is not None
