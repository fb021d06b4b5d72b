"""Steps of pool ownership and hand-over."""

import signal
import threading

from behave import given, then, when
from helper import open_stream, scrape, token_indexes, wait_for

BYTES_PER_TOKEN = 4


def body(context, tag, length, padding=""):
    return {
        "model": context.fleet.deployment.model,
        "prompt": f"[tag={tag} length={length}]{padding}",
        "stream": True,
    }


def collect(context, workspace, tag, length, entry, padding=""):
    """Stream a generation and return the indexes of its tokens."""
    stream = open_stream(
        entry + "/v1/completions",
        key=f"key-{workspace}",
        body=body(context, tag, length, padding),
    )
    assert stream.status == 200, (stream.status, stream.answer.read())
    events = list(stream.events())
    assert events[-1].data == "[DONE]", events[-1]
    return token_indexes([event.text for event in events[:-2]], tag)


def in_background(context, workspace, tag, length, entry, padding=""):
    """Stream a generation in a thread that notes its tokens, or its error."""
    kept = context.threads = getattr(context, "threads", {})

    def run():
        try:
            found = collect(context, workspace, tag, length, entry, padding)
            kept[tag][1].append(found)
        except (AssertionError, OSError) as error:
            kept[tag][1].append(error)

    thread = threading.Thread(target=run, daemon=True)
    kept[tag] = (thread, [], length)
    thread.start()


def joined(context, tag):
    thread, found, length = context.threads[tag]
    thread.join(60)
    assert found and found[0] == list(range(length)), (tag, found[:1])


def metric(context, number, role, name):
    """Return one metric's value at a host, None where it has none."""
    text = scrape(context.fleet.entry(number)).text
    for line in text.splitlines():
        if line.startswith(f'baobabturn_{name}{{role="{role}"'):
            return float(line.rpartition(" ")[2])
    return None


def owners(context):
    """Return the numbers of the hosts whose scheduler says that it owns a pool."""
    return [
        number
        for number in range(len(context.fleet.hosts))
        if metric(context, number, "scheduler", "pools_owned")
    ]


def single(found):
    """Return a list that holds one thing, None for any other."""
    return found if len(found) == 1 else None


def one_owner(context, not_host=None):
    found = owners(context)
    return len(found) == 1 and found[0] != not_host


@given(
    '"{workspace}" streams "{tag}" of {n:d} tokens at entry {at:d} in the background'
)
def background_stream(context, workspace, tag, n, at):
    in_background(context, workspace, tag, n, context.fleet.entry(at))
    wait_for(lambda: started(context, tag), f"{tag} to start")


def started(context, tag):
    return any(
        context.fleet.counts(e["name"])["started"].get(tag)
        for e in context.fleet.endpoints
        if e["kind"] == "engine"
    )


def owner_process(context):
    context.owner = wait_for(lambda: single(owners(context)), "one owner")[0]
    return f"scheduler@{context.fleet.hosts[context.owner].name}"


@when("the scheduler that owns the pool is killed")
def kill_owner(context):
    context.process = owner_process(context)
    context.fleet.kill(context.process)


@when("the scheduler that owns the pool is paused")
def pause_owner(context):
    context.process = owner_process(context)
    context.fleet.signal(context.process, signal.SIGSTOP)


@when("the paused scheduler wakes")
def wake_owner(context):
    context.fleet.signal(context.process, signal.SIGCONT)


@when("the scheduler that owns the pool is terminated")
def terminate_owner(context):
    context.process = owner_process(context)
    context.fleet.signal(context.process, signal.SIGTERM)
    context.fleet.processes[context.process].wait(20)


@then("another scheduler owns the pool within {limit:d} s")
def another_owner(context, limit):
    def check():
        return any(number != context.owner for number in owners(context))

    wait_for(check, "another owner", limit)


@then('"{workspace}" gets "{tag}" of {n:d} tokens whole from every entry')
def whole_everywhere(context, workspace, tag, n):
    for number, entry in enumerate(context.fleet.entries()):
        name = f"{tag}{number}"
        assert collect(context, workspace, name, n, entry) == list(range(n))


@then("the new owner counts the places that the entries hold")
def counts_places(context):
    def check():
        held = [
            metric(context, number, "scheduler", "places_held")
            for number in owners(context)
        ]
        return sum(each or 0 for each in held) >= 1

    wait_for(check, "the held place")


@then('the stream "{tag}" is whole')
def stream_whole(context, tag):
    joined(context, tag)


@then("the killed scheduler is started again")
@then("the terminated scheduler is started again")
def start_again(context):
    context.fleet.restart(context.process)
    wait_for(lambda: one_owner(context), "one owner again")


@then("all hosts agree again on who owns the pool")
def agree(context):
    wait_for(lambda: one_owner(context), "one owner")


def engines(context):
    return [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]


@given("both engines are frozen")
def frozen(context):
    for name in engines(context):
        context.fleet.control(name, frozen=True)


@given('"{workspace}" asks for {count:d} generations of a third of an engine\'s memory')
def thirds(context, workspace, count):
    context.waiting = [f"third{number}" for number in range(count)]
    prompt = "y" * int(context.fleet.deployment.memory_tokens * BYTES_PER_TOKEN / 3)
    for number, tag in enumerate(context.waiting):
        entry = context.fleet.entry(number % len(context.fleet.hosts))
        in_background(context, workspace, tag, 3, entry, prompt)
    engine_count = len(engines(context))
    wait_for(lambda: queued(context) >= count - 3 * engine_count, "requests to wait")


def queued(context):
    """Return how many requests wait at the schedulers."""
    found = [
        metric(context, number, "scheduler", "requests_waiting")
        for number in range(len(context.fleet.hosts))
    ]
    return sum(each or 0 for each in found)


@then("all {count:d} generations are whole once the engines go on")
def whole_at_last(context, count):
    for name in engines(context):
        context.fleet.control(name, frozen=False)
    assert len(context.waiting) == count
    for tag in context.waiting:
        joined(context, tag)
