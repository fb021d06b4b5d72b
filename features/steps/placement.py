"""Steps of placement by expected completion, with no network."""

import bisect
import time
import types
from unittest import mock

from behave import given, then, when

from baobabturn.config.declared import Workspace
from baobabturn.core.results import Code, Failure
from baobabturn.entry.endpointranking import EndpointRanking
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.relayedstream import to_caller_failure
from baobabturn.placement.urgentreserve import PriorityMix, UrgentReserve
from baobabturn.wire.messages import Holding, ProgressItem, Release
from baobabturn.wire.words import FAILED, FINISHED
from features.placementcase import AllAlike, Placement

BEGIN_S = 1000.0
MS = 0.001


@given("{count:d} engines at {a:g}, {b:g} and {c:g} times the usual time")
def step_uneven(context, count, a, b, c):
    factors = [(a, b, c)[number % 3] for number in range(count)]
    context.slowdowns = [lambda now, f=factor: f for factor in factors]


@given("{count:d} equal engines")
def step_equal(context, count):
    context.slowdowns = [lambda now: 1.0] * count


@given(
    "{count:d} equal engines, the first {slow:d} of them {factor:g} times slower "
    "from {begin:d} s to {end:d} s"
)
def step_slow_period(context, count, slow, factor, begin, end):
    step_equal(context, count)
    context.slowdowns[:slow] = [
        lambda now: factor if BEGIN_S + begin <= now < BEGIN_S + end else 1.0
    ] * slow


@when(
    "{reports:g} reports and {checks:g} checks a second come for {seconds:d} s, "
    "on the seeds {first:d} to {last:d}"
)
def step_load(context, reports, checks, seconds, first, last):
    context.runs, context.unlearned = [], []
    context.load = seconds, {"report": reports, "check": checks}
    for seed in range(first, last + 1):
        for runs, speeds in ((context.runs, None), (context.unlearned, AllAlike())):
            placement = Placement(slowdowns=context.slowdowns, seed=seed, speeds=speeds)
            placement.run(*context.load)
            runs.append(placement)


@then(
    "the engines at 1.7 get between {low:d} and {high:d} % of the requests on each seed"
)
def step_slow_share(context, low, high):
    for run in context.runs:
        share = sum(run.share(f"e{n}") for n in range(2, len(run.engines), 3))
        assert low <= 100 * share <= high, share


@then(
    "the mean time to the end is at least {percent:d} % below that "
    "without learned speeds"
)
def step_mean(context, percent):
    for run, unlearned in zip(context.runs, context.unlearned, strict=True):
        limit_s = unlearned.mean_s() * (1 - percent / 100)
        assert run.mean_s() <= limit_s, (run.mean_s(), unlearned.mean_s())


@then("no engine is a straggler")
def step_no_straggler(context):
    for run in context.runs:
        stats = run.pool.policy.stragglers.stats_by_endpoint
        assert not [name for name, each in stats.items() if each.is_straggler]


def count_at_slow(context, runs, slow):
    """Return how many requests the first engines got in a span of time, of how many."""
    begin, end = context.span
    chosen = [
        int(endpoint[1:]) < slow
        for run in runs
        for at, _, endpoint in run.placed
        if begin <= at - BEGIN_S < end
    ]
    return sum(chosen), len(chosen)


@then(
    "the first {slow:d} get {which} than 3/4 of an even share "
    "from {begin:g} s to {end:g} s"
)
def step_even_share(context, slow, which, begin, end):
    context.span, context.slow = (begin, end), slow
    count, total = count_at_slow(context, context.runs, slow)
    limit = 0.75 * total * slow / len(context.slowdowns)
    assert count < limit if which == "less" else count > limit, (count, limit)


@then("fewer requests there than without learned speeds")
def step_fewer(context):
    count, _ = count_at_slow(context, context.runs, context.slow)
    unlearned, _ = count_at_slow(context, context.unlearned, context.slow)
    assert count < unlearned, (count, unlearned)


@then("each request is at the engine that is chosen without learned speeds")
def step_as_before(context):
    for run, unlearned in zip(context.runs, context.unlearned, strict=True):
        assert run.placed == unlearned.placed


@given("{count:d} engines whose other generations take {gap:d} ms for a token")
def step_generations(context, count, gap):
    context.runs = [Placement(slowdowns=[lambda now: 1.0] * count)]
    for number in range(count):
        generate(context, f"other{number}", f"e{number}", 100 * gap * MS)


def send(context, call, after_s=0.0):
    """Hand a message to the gateway after some time; let it look at its engines."""
    run = context.runs[0]
    run.now += after_s
    with mock.patch.object(time, "monotonic", lambda: run.now):
        call(run.pool)
        run.pool.policy.classified_at = 0.0
        run.pool.advise_hedges()


def hold(context, name, endpoint, produced=0, workspace="w"):
    holding = Holding(
        reservation=name,
        endpoint=endpoint,
        workspace=workspace,
        model="m",
        kind="report",
        prompt_tokens=2000,
        max_tokens=1000,
        produced=produced,
    )
    send(context, lambda pool: pool.hold(None, holding, watched=False))


def report(context, name, produced, after_s):
    item = ProgressItem(reservation=name, produced=produced)
    send(context, lambda pool: pool.progress(item), after_s)


def end(context, name, produced, after_s, outcome=FINISHED):
    release = Release(reservation=name, produced=produced, outcome=outcome)
    send(context, lambda pool: pool.release(release), after_s)


def generate(context, name, endpoint, seconds, outcome=FINISHED):
    """Let a peer's generation of 104 tokens run for some seconds."""
    hold(context, name, endpoint)
    report(context, name, 4, after_s=0.16)
    end(context, name, 104, after_s=seconds, outcome=outcome)


@when(
    'a generation is moved to "{name}" and goes on there after {wait:d} s '
    "at {gap:d} ms for a token"
)
def step_moved(context, name, wait, gap):
    hold(context, "moved", name, produced=300)
    report(context, "moved", 304, after_s=wait)
    end(context, "moved", 504, after_s=200 * gap * MS)


@when(
    'a generation at "{name}" is cut after {tokens:d} tokens '
    "and {silent:d} s of silence"
)
def step_cut(context, name, tokens, silent):
    assert tokens == 100
    generate(context, "cut", name, 1.0 + silent, outcome=FAILED)


@when('the first token of a prompt at "{name}" hasn\'t come after {seconds:d} s')
def step_no_first(context, name, seconds):
    hold(context, "awaited", name)
    send(context, lambda pool: None, after_s=seconds)


@then("no engine is slower than the others")
def step_none_slower(context):
    assert not context.runs[0].pool.policy.speeds.slowdowns


@then('"{name}" is slower than the others')
def step_slower(context, name):
    speeds = context.runs[0].pool.policy.speeds
    slowest = max(("e0", "e1", "e2"), key=speeds.slowdown)
    assert (slowest, speeds.slowdown(name) > 1.2) == (name, True), speeds.slowdowns


@given("{count:d} equal engines, the second in another failure domain")
def step_domains(context, count):
    step_equal(context, count)
    context.runs = [Placement(slowdowns=context.slowdowns)]
    settings = types.SimpleNamespace(host=types.SimpleNamespace(failure_domain="e0"))
    pools = types.SimpleNamespace(
        program=types.SimpleNamespace(settings=settings),
        prefer_own_domain=lambda: False,
        failure_domain_of=lambda name: name,
    )
    pool = context.runs[0].pool
    EnginePools.set_distance_costs(pools, pool, pool.state.endpoints)


def choose(context, count):
    """Return the engines that are chosen for a prompt, one choice after another."""
    run = context.runs[0]
    run.ask("check")
    (waiting,) = run.waiting.values()
    choices = [
        run.pool.policy.choose_endpoint(run.pool.state, waiting, run.now).name
        for _ in range(count)
    ]
    run.pool.dequeue(run.waiting.popitem()[1])
    return choices


@when("1 prompt is sent to the first one for each of {count:d} choices")
def step_busy_home(context, count):
    hold(context, "busy", "e0")
    context.choices = choose(context, count)
    end(context, "busy", 0, after_s=0.1)


@when("no prompt is sent for each of {count:d} choices")
def step_idle(context, count):
    context.choices = choose(context, count)


@then("all choices are the second one")
def step_all_second(context):
    assert set(context.choices) == {"e1"}


@then("between {low:d} and {high:d} % of the choices are the first one")
def step_choices(context, low, high):
    percent = 100 * context.choices.count("e0") / len(context.choices)
    assert low <= percent <= high, percent


@given('an engine that {count:d} peers have filled with one request each of "{name}"')
def step_filled(context, count, name):
    context.runs = [Placement(slowdowns=[lambda now: 1.0])]
    for number in range(count):
        hold(context, f"peer{number}", "e0", workspace=name)


@when('a request of "{first}" comes, and then one of "{second}"')
def step_two(context, first, second):
    run = context.runs[0]
    context.asked = [run.ask("report", workspace=name) for name in (first, second)]
    send(context, lambda pool: pool.dispatch())
    assert not any(waiting.future.done() for waiting in context.asked)


@when("a request of a peer ends")
def step_peer_ends(context):
    for number in range(62):
        end(context, f"peer{number}", 748, after_s=0.01)
        send(context, lambda pool: pool.dispatch())
        if any(waiting.future.done() for waiting in context.asked):
            return


@then('the request of "{name}" is placed first')
def step_placed_first(context, name):
    placed = [w.admit.workspace for w in context.asked if w.future.done()]
    assert placed == [name], placed


@then('"{name}" is refused at a limit of {limit:d} requests, and "{other}" is not')
def step_limit(context, name, limit, other):
    limits = context.runs[0].pool.limits
    for each in (name, other):
        workspace = Workspace(name=each, concurrent_requests=limit)
        refusal = limits.refusal(workspace, context.runs[0].now)
        assert (refusal is not None) == (each == name), each


@when("then {reports:g} reports and {checks:g} checks a second for {seconds:d} s")
def step_more_load(context, reports, checks, seconds):
    for run in context.runs:
        run.run(seconds, {"report": reports, "check": checks})


@then("at least {count:d} reports and no checks are refused")
def step_reports_refused(context, count):
    for run in context.runs:
        assert run.refused["report"] >= count, run.refused
        assert not run.refused["check"], run.refused


@then("the first event of each check comes within {limit:g} s")
def step_first_events(context, limit):
    for run in context.runs:
        assert max(run.first_times["check"]) <= limit, max(run.first_times["check"])


class FixedReserve(UrgentReserve):
    """A reserve of the same size whatever is needed."""

    def update(self, needed_tokens, memory_tokens, now):
        """Keep the size."""


@then("more reports end than with a reserve that doesn't follow the need")
def step_more_reports(context):
    for run in context.runs:
        fixed = Placement(slowdowns=context.slowdowns, seed=run.seed)
        fixed.pool.policy.reserve = FixedReserve(max_ratio=0.1)
        fixed.run(*context.load)
        assert len(run.times["report"]) > 1.02 * len(fixed.times["report"])


@given(
    "a reserve of up to {percent:d} % for {count:d} engines of {memory:d} tokens, "
    "{tokens:d} for each request"
)
def step_reserve(context, percent, count, memory, tokens):
    context.reserve = UrgentReserve(max_ratio=percent / 100)
    context.reserve.record_request(tokens)
    context.memory = {f"e{number}": memory for number in range(count)}
    context.now = BEGIN_S


@when("urgent work has used {tokens:d} tokens for {seconds:g} s")
def step_used(context, tokens, seconds):
    for _ in range(round(seconds * 10)):
        context.now += 0.1
        context.reserve.update(tokens, context.memory, context.now)


@then("{count:d} engine has a full reserve")
@then("{count:d} engines have a full reserve")
def step_full_reserve(context, count):
    ratios = list(map(context.reserve.ratio, context.memory))
    assert ratios.count(context.reserve.max_ratio) == count, ratios


@given("recent requests with the priorities {priorities}")
def step_priorities(context, priorities):
    few, _, many = priorities.partition(" and 30 x ")
    context.mix = PriorityMix()
    for priority in [*few.split(), *[many] * 30]:
        if priority:
            context.mix.record(int(priority), BEGIN_S)


@then("one of priority {priority:d} that is {length} is {urgency}")
def step_urgency(context, priority, length, urgency):
    urgent = context.mix.is_urgent(priority, length == "short")
    assert urgent == (urgency == "urgent")


@when("{count:d} callers are refused because their time to wait has passed")
def step_refused(context, count):
    failure = Failure(Code.DEADLINE_NOT_RUN, "the deadline passed")
    context.back_s = [to_caller_failure(failure).retry_after_s for _ in range(count)]


@then(
    "they come back between {low:g} and {high:g} s later, "
    "at most {most:d} in any {ms:d} ms"
)
def step_come_back_later(context, low, high, most, ms):
    assert low <= min(context.back_s) and max(context.back_s) <= high
    times = sorted(context.back_s)
    counts = [
        bisect.bisect(times, begin + ms * MS) - i for i, begin in enumerate(times)
    ]
    assert max(counts) <= most, times


@given("plain endpoints that take {a:d}, {b:d} and {c:d} ms")
def step_plain(context, a, b, c):
    context.ranking, context.now = EndpointRanking(), BEGIN_S
    context.latency_s = {"w0": a * MS, "w1": b * MS, "w2": c * MS}
    context.plain = [
        types.SimpleNamespace(name=name, failure_domain="d")
        for name in context.latency_s
    ]


def at_time(context, call, *args):
    with mock.patch.object(time, "monotonic", lambda: context.now):
        return call(*args)


def best(context):
    return at_time(context, context.ranking.rank, context.plain, "d")[0].name


def attempt(context, name, seconds):
    at_time(context, context.ranking.record_start, name)
    context.now += seconds
    at_time(context, context.ranking.record_end, name, seconds, True)


def attempts(context, count, pause_ms):
    """Return the endpoints of some requests, one after another."""
    chosen = []
    for _ in range(count):
        chosen.append(best(context))
        attempt(context, chosen[-1], context.latency_s[chosen[-1]])
        context.now += pause_ms * MS - context.latency_s[chosen[-1]]
    return chosen


@when("{count:d} requests come, one each {pause:d} ms")
def step_requests(context, count, pause):
    context.chosen = attempts(context, count, pause)


@then("the third plain endpoint gets between {low:d} and {high:d} of them")
def step_third(context, low, high):
    assert low <= context.chosen.count("w2") <= high, context.chosen


@given("plain endpoints that take {a:d}, {b:d} and {c:d} ms, all measured a moment ago")
def step_measured(context, a, b, c):
    step_plain(context, a, b, c)
    for name, seconds in context.latency_s.items():
        attempt(context, name, seconds)


@given("{count:d} others that are gone, one of them with a request outstanding")
def step_gone(context, count):
    best(context)
    for number in range(count):
        attempt(context, f"gone{number}", 30 * MS)
    at_time(context, context.ranking.record_start, "gone0")


@when("requests come for {seconds:d} s")
def step_requests_for(context, seconds):
    attempts(context, seconds, 1000)


@then("{count:d} endpoints are remembered")
def step_remembered(context, count):
    assert len(context.ranking.stats) == count, sorted(context.ranking.stats)


@when("a request at the first one is outstanding for {ms:d} ms")
def step_outstanding(context, ms):
    at_time(context, context.ranking.record_start, "w0")
    context.now += ms * MS


@when("it is outstanding for {ms:d} ms more")
def step_outstanding_more(context, ms):
    context.now += ms * MS


@then("the next request goes to the first one")
def step_goes_first(context):
    assert best(context) == "w0"


@then("the next request goes to another one")
def step_goes_elsewhere(context):
    assert best(context) != "w0"


@when("a later request at the first one has ended in {ms:d} ms")
def step_later_ended(context, ms):
    attempt(context, "w0", ms * MS)


@when("the first one takes {ms:d} ms for a request")
def step_takes(context, ms):
    attempt(context, "w0", ms * MS)


@then("the next {count:d} requests, one each {pause:d} ms, go elsewhere")
def step_elsewhere(context, count, pause):
    assert "w0" not in attempts(context, count, pause)


@then("the first one is tried again within {seconds:d} s")
def step_tried(context, seconds):
    assert "w0" in attempts(context, seconds * 2, 500)
