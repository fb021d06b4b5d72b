"""Steps of the product's policy in one pool, with no network."""

import time
import types

from behave import given, then, when

from baobabturn.config.declared import Endpoint
from baobabturn.core.metrics import Metrics
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import WaitingRequest
from baobabturn.settings.load import load
from baobabturn.wire.messages import Admit, Holding, ProgressItem, Release

DEADLINE_S = 600.0


class Future:
    """A future that keeps its grant."""

    def __init__(self):
        self.grant = None

    def done(self):
        """Return whether there is a grant."""
        return self.grant is not None

    def set_result(self, grant):
        """Keep the grant."""
        self.grant = grant


def engines(context, leaving=()):
    declared = [
        Endpoint(name=f"e{n}", url=f"http://e{n}", memory_tokens=context.memory)
        for n in range(context.count)
    ]
    context.pool.set_endpoints(declared, set(leaving))


def ask(context, kind, shared=False, left_s=DEADLINE_S, estimate=0):
    context.number += 1
    now = time.monotonic()
    prefixes = [7, 8, 9] if shared else [context.number * 10]
    waiting = WaitingRequest(
        admit=Admit(
            request=f"q{context.number}",
            reservation=f"g{context.number}",
            workspace="w",
            model="m",
            kind=kind,
            prompt_tokens=200 if shared else 20,
            max_tokens=4000,
            estimated_tokens=estimate,
            prefixes=prefixes,
        ),
        holder=None,
        arrived_at=now,
        deadline=now + left_s,
        future=Future(),
    )
    context.asked.append(waiting)
    context.pool.enqueue(waiting, now)
    return waiting


def placed(context):
    return [waiting for waiting in context.asked if waiting.future.done()]


def first_token(context, waiting, produced=1):
    name = waiting.admit.reservation
    context.pool.progress(ProgressItem(reservation=name, produced=produced))


def make_pool(seed=1, flags=None):
    """Return a pool that has settled, with a policy of some seed."""
    settings = load(None, flags).settings
    silent = types.SimpleNamespace(emit=lambda *names, **fields: None)
    program = types.SimpleNamespace(
        settings=settings, metrics=Metrics(role="scheduler"), events=silent
    )
    policy = POLICIES["baobabturn"](settings=settings.scheduler, seed=seed)
    pool = PoolScheduler(name="p", program=program, policy=policy)
    pool.schedule_dispatch = pool.dispatch
    pool.settled = True
    return pool


@given("a pool of {count:d} engine with {memory:d} tokens of memory")
@given("a pool of {count:d} engines with {memory:d} tokens of memory")
def step_pool(context, count, memory):
    context.pool = make_pool()
    context.count, context.memory = count, memory
    context.number, context.asked = 0, []
    engines(context)


@given(
    '"{long}" answers are known to be of about {many:d} tokens, '
    '"{short}" of about {few:d}'
)
def step_known(context, long, many, short, few):
    for turn in range(200):
        lengths = context.pool.policy.lengths
        lengths.observe("w", "m", long, many - 50 + turn % 100, True)
        lengths.observe("w", "m", short, few - 4 + turn % 8, True)


@when('{count:d} requests of "{kind}" come')
@when('{count:d} request of "{kind}" comes')
def step_come(context, count, kind):
    for _ in range(count):
        waiting = ask(context, kind)
        context.pool.dispatch()
        if waiting.future.done():
            first_token(context, waiting)


@when('1 request of "{kind}" comes with an estimate of {estimate:d}')
def step_estimate(context, kind, estimate):
    for _ in range(50):
        context.pool.policy.lengths.observe("w", "m", kind, 400, True, 400)
        context.pool.policy.lengths.observe("w", "m", kind, 8, True, 8)
    ask(context, kind, estimate=estimate)
    context.pool.dispatch()


@then("the last request isn't urgent")
def step_not_urgent(context):
    assert not context.asked[-1].urgent


@when('{count:d} requests of "{kind}" with a shared beginning come')
def step_shared(context, count, kind):
    for _ in range(count):
        waiting = ask(context, kind, shared=True)
        context.pool.dispatch()
        if waiting.future.done():
            first_token(context, waiting)


@when('1 request of "{kind}" with {left:d} seconds left comes first of all')
def step_hopeless(context, kind, left):
    context.hopeless = ask(context, kind, left_s=left)
    context.hopeless.arrived_at -= 100
    context.hopeless.initial_finish_chance = 1.0


@when("one that was placed ends")
def step_ends(context):
    name = placed(context)[0].admit.reservation
    context.pool.release(Release(reservation=name, produced=400, outcome="finished"))


@when("all of them progress and end as they get places")
def step_all(context):
    ended = set()
    while len(ended) < len(context.asked):
        waiting = next(w for w in placed(context) if w.admit.reservation not in ended)
        name = waiting.admit.reservation
        first_token(context, waiting, produced=9)
        release = Release(reservation=name, produced=12, outcome="finished")
        context.pool.release(release)
        ended.add(name)


@when("the first engine is leaving")
def step_leaving(context):
    engines(context, leaving=("e0",))


def hold(context, name, engine, tokens, produced):
    """Let another entry hold a place at an engine."""
    holding = Holding(
        reservation=name,
        endpoint=engine,
        workspace="w",
        model="m",
        kind="summary",
        prompt_tokens=tokens,
        max_tokens=4000,
        produced=produced,
    )
    context.pool.hold(None, holding)


@given('another entry runs {tokens:d} tokens at the engine "{engine}"')
def step_runs(context, tokens, engine):
    hold(context, "runs", engine, tokens, produced=1)


@when('another entry has sent a prompt of {tokens:d} tokens to the engine "{engine}"')
def step_sent(context, tokens, engine):
    hold(context, "sent", engine, tokens, produced=0)


@when("that prompt is read")
def step_read(context):
    context.pool.progress(ProgressItem(reservation="sent", produced=1))


@then('the last request is at "{engine}"')
def step_there(context, engine):
    assert context.asked[-1].future.grant.endpoint == engine


@given(
    "{entries:d} entries that know {count:d} free engines and nothing of each other yet"
)
def step_entries(context, entries, count):
    context.count, context.memory = count, 30000
    context.number, context.asked = 0, []
    context.pools = [
        make_pool(seed, ["scheduler.choice_spread=0.2"]) for seed in range(entries)
    ]


@when("each entry gets 1 request")
def step_each(context):
    for pool in context.pools:
        context.pool = pool
        engines(context)
        ask(context, "summary")
        pool.dispatch()


@then("no engine is chosen by more than {most:d} of them")
def step_most(context, most):
    chosen = [waiting.future.grant.endpoint for waiting in placed(context)]
    assert len(chosen) == len(context.pools), chosen
    assert max(map(chosen.count, chosen)) <= most, chosen


@then("between {low:d} and {high:d} of them are placed and the others wait")
def step_some(context, low, high):
    count = len(placed(context))
    assert low <= count <= high, count
    assert len(context.pool.state.queue) == len(context.asked) - count


@then("the last request is placed")
def step_last(context):
    assert context.asked[-1].future.done()


@then('the engine is told to prefer "{one}" to "{other}"')
def step_prefer(context, one, other):
    kinds = {w.admit.kind: w.future.grant.engine_priority for w in placed(context)}
    assert kinds[one] < kinds[other], kinds


@then("the requests are at {count:d} engine")
@then("the requests are at {count:d} engines")
def step_spread(context, count):
    names = {waiting.future.grant.endpoint for waiting in placed(context)}
    assert len(names) == count, names


@then("the request with {left:d} seconds left still waits")
def step_still(context, left):
    assert not context.hopeless.future.done()
    assert len(placed(context)) > 1


@then("nothing waits and the engines' counts are zero")
def step_zero(context):
    assert not context.pool.state.queue and not context.pool.reservations
    assert not context.pool.policy.flows.flows
    for endpoint in context.pool.state.endpoints.values():
        assert (endpoint.used_tokens, endpoint.normal_count) == (0, 0)
        assert endpoint.prefill_tokens == 0 and endpoint.in_flight == 0
        assert max(endpoint.growth.means) < 0.001
        assert max(endpoint.normal_growth.means) < 0.001


@when(
    'the engine "{closed}" is in "{domain}" and closed, and "{other}" is in "{second}"'
)
def close_engine(context, closed, domain, other, second):
    states = context.pool.state.endpoints
    states[closed].failure_domain, states[closed].closed = domain, True
    states[other].failure_domain = second


def only_closed_serves(context, domains):
    admit = Admit(request="q", reservation="g", failure_domains=domains.split())
    return context.pool.state.only_closed_could_serve(admit)


@then('only closed engines could serve requests that need "{domains}"')
def closed_serve(context, domains):
    assert only_closed_serves(context, domains)


@then(
    'open engines could serve requests that need "{one}", "{more}" or no failure domain'
)
def open_serve(context, one, more):
    for domains in (one, more, ""):
        assert not only_closed_serves(context, domains), domains


@given("urgent requests take {tokens:d} tokens each")
def urgent_size(context, tokens):
    context.pool.policy.reserve.record_request(tokens)


def engines_with_full_reserve(context):
    """Return the engines that new requests may use whose reserve is full."""
    reserve = context.pool.policy.reserve
    return [
        name
        for name, state in context.pool.state.endpoints.items()
        if not (state.closed or state.leaving)
        and reserve.ratio(name) == reserve.max_ratio
    ]


@when("the engine with a full reserve becomes {state:w} after {seconds:d} seconds")
def reserve_moves(context, state, seconds):
    policy, pool = context.pool.policy, context.pool.state
    now = time.monotonic()
    for second in range(seconds + 1):
        policy.choose_hedges(pool, now + second)
    (context.reserved,) = engines_with_full_reserve(context)
    setattr(pool.endpoints[context.reserved], state, True)
    policy.choose_hedges(pool, now + seconds + 1)


@then("one other engine has a full reserve")
def other_reserved(context):
    (name,) = engines_with_full_reserve(context)
    assert name != context.reserved
