"""Steps of endpoints that are slow for a while."""

import threading

from behave import given, then, when
from helper import scrape, send, token_indexes, wait_for

from baobabturn.scheduler.stragglers import StragglerDetector
from baobabturn.settings.load import load

MS = 0.001
STEP_S = 0.1
STREAMS = 8
SLOW_FACTOR = 40
LIMIT_S = 60


def pass_time(context, seconds, gaps, batches=None, silent=()):
    """Let the endpoints' streams report ten times a second."""
    batches = {**dict.fromkeys(context.names, STREAMS), **(batches or {})}
    for turn in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for name in context.names:
            if name in silent:
                continue
            for _ in range(STREAMS):
                tokens = STEP_S / gaps.get(name, context.gap_s)
                context.watch.record_tokens(name, tokens, STEP_S, context.now)
        quiet = (turn + 1) * STEP_S * STREAMS
        seen = {
            name: (batches[name], quiet if name in silent else 0.0)
            for name in context.names
        }
        context.watch.classify(seen, context.now)


def takes(context, in_flight=STREAMS):
    return {
        name
        for name in context.names
        if context.watch.accepts_requests(name, in_flight, context.now)
    }


@given("{count:d} endpoints whose tokens come every {gap:d} ms")
def step_endpoints(context, count, gap):
    context.watch = StragglerDetector(settings=load().settings.scheduler)
    context.names = [f"e{n}" for n in range(count)]
    context.gap_s = gap * MS
    context.now = 100.0
    pass_time(context, 2, {})


@when('"{name}" has gaps of {gap:d} ms for {seconds:d} second')
@when('"{name}" has gaps of {gap:d} ms for {seconds:d} seconds')
def step_slow(context, name, gap, seconds):
    pass_time(context, seconds, {name: gap * MS})


@when('"{name}" has a batch of {batch:d} and gaps of {gap:d} ms for 1 second')
def step_batch(context, name, batch, gap):
    pass_time(context, 1, {name: gap * MS}, batches={name: batch})


@when("all have gaps of {gap:d} ms for {seconds:d} second")
def step_all_slow(context, gap, seconds):
    pass_time(context, seconds, dict.fromkeys(context.names, gap * MS))


@when('"{name}" is silent for {seconds:d} second')
def step_silent(context, name, seconds):
    pass_time(context, seconds, {}, silent=(name,))


@when('nothing is seen of "{name}" for {seconds:d} seconds, while requests run there')
def step_unseen(context, name, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        context.watch.classify({name: (STREAMS, 0.0)}, context.now)


@then('"{name}" gets no new work and the others do')
def step_none(context, name):
    assert takes(context) == set(context.names) - {name}


@then("all endpoints get new work")
def step_all(context):
    assert takes(context) == set(context.names)


@then('"{name}" gets a probe after {seconds:d} seconds, and no second one')
def step_probe(context, name, seconds):
    assert name not in takes(context, in_flight=0)
    context.now += seconds
    assert name in takes(context, in_flight=0)
    context.watch.record_grant(name, context.now)
    assert name not in takes(context, in_flight=0)


def engine_names(context):
    return [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]


def ask_whole(context, tag, length, entry):
    body = {
        "model": context.fleet.deployment.model,
        "prompt": f"[tag={tag} length={length}]",
    }
    url = context.fleet.entry(entry) + "/v1/completions"
    context.answers[tag] = send(url, key="key-buyers", body=body, timeout_s=LIMIT_S)


@when(
    "{count:d} whole answers of {length:d} tokens are asked for "
    "while the first engine is slow"
)
def step_whole(context, count, length):
    context.slow = engine_names(context)[0]
    context.answers, context.length = {}, length
    context.fleet.control(context.slow, slow_factor=SLOW_FACTOR)
    threads = [
        threading.Thread(
            target=ask_whole, args=(context, f"hedged-{n}", length, n % 3), daemon=True
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(LIMIT_S)
    context.fleet.control(context.slow, slow_factor=1)
    assert len(context.answers) == count, sorted(context.answers)


@then("each whole answer is right and from one generation")
def step_right(context):
    for tag, answer in context.answers.items():
        assert answer.status == 200, answer.text
        text = answer.body["choices"][0]["text"]
        indexes = token_indexes(text.split(), tag)
        assert indexes == list(range(context.length)), (tag, indexes)


@then("a second attempt was made and won")
def step_won(context):
    total = 0.0
    for entry in context.fleet.entries():
        text = scrape(entry).text
        for line in text.splitlines():
            if line.startswith("baobabturn_hedges_won"):
                total += float(line.rpartition(" ")[2])
    assert total >= 1, total


@then("no generation is left open at the engines")
def step_no_open(context):
    def none_open():
        names = engine_names(context)
        return not any(context.fleet.counts(name)["open"] for name in names)

    wait_for(none_open, "the engines to have nothing open")
