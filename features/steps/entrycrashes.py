"""Steps on prompts that crash engines, sent to the entries of a fleet."""

import contextlib
import http.client
import itertools
import json

from behave import given, then, when
from helper import send, start_fleet

# The beginning that all prompts share, and the part that crashes engines; each fills
# blocks of the hashes by which prompts with an equal beginning are told.
SHARED = "You are a clerk of the herd ledger. ".ljust(255, ".") + "\n"
BAD_MARK = "calf-count-of-zero"
BAD = SHARED + (BAD_MARK + " ").ljust(255, "!") + "\n"
SERVED, NOT_RUN = 200, 503
QUARANTINED = 1610
CALLER_TIMEOUT_S = 3.0


@given(
    'a "{name}" fleet of {hosts:d} hosts, {engines:d} engines and {workers:d} workers'
    " that a prompt crashes"
)
def crashing_fleet(context, name, hosts, engines, workers):
    start_fleet(context, name, False, hosts=hosts, engines=engines, workers=workers)
    context.numbers = itertools.count(1)
    for engine in engine_names(context):
        context.fleet.control(engine, crash_on=BAD_MARK)
    for entry in range(hosts):
        answer = ask(context, entry, SHARED)
        assert answer.status == SERVED, answer


def engine_names(context):
    """Return the names of the engines."""
    return [
        each["name"] for each in context.fleet.endpoints if each["kind"] == "engine"
    ]


def ask(context, entry, beginning, stream=False):
    """Send a prompt that begins so and is unlike all others."""
    number = next(context.numbers)
    body = {
        "model": context.fleet.deployment.model,
        "prompt": f"{beginning}[tag=c{number} length=3]",
        "max_tokens": 3,
        "stream": stream,
    }
    url = context.fleet.entry(entry) + "/v1/completions"
    return send(url, key="key-buyers", body=body, timeout_s=CALLER_TIMEOUT_S)


@when("{count:d} {kind} prompts that crash engines come at all entries")
def bad_prompts(context, count, kind):
    hosts = len(context.fleet.hosts)
    for number in range(count):
        # A caller who gives up is no failure here.
        with contextlib.suppress(OSError, http.client.HTTPException):
            ask(context, number % hosts, BAD, stream=kind == "streamed")


@when('the <program> of a host starts again, for each of "{programs}"')
def starts_again(context, programs):
    host = context.fleet.hosts[0].name
    for program in programs.split(", "):
        context.fleet.kill(f"{program}@{host}")
        context.fleet.restart(f"{program}@{host}")
        context.fleet.wait_ready()


@then("at least {count:d} engines still run")
def still_run(context, count):
    running = [
        name
        for name in engine_names(context)
        if context.fleet.processes[name].poll() is None
    ]
    assert len(running) >= count, running


@then("sound prompts with the same beginning are answered at all entries")
def sound_answered(context):
    for entry in range(len(context.fleet.hosts)):
        answer = ask(context, entry, SHARED)
        assert answer.status == SERVED, answer


@then("a prompt that crashes engines is refused at all entries")
def bad_refused(context):
    for entry in range(len(context.fleet.hosts)):
        answer = ask(context, entry, BAD)
        assert answer.status == NOT_RUN, answer
        assert answer.error["code"] == QUARANTINED, answer


SERVICE = "corral"


@given(
    'a "{name}" fleet of {hosts:d} hosts, {engines:d} engines and {workers:d} workers'
    " that a call crashes"
)
def crashing_workers(context, name, hosts, engines, workers):
    start_fleet(context, name, False, hosts=hosts, engines=engines, workers=workers)
    context.numbers = itertools.count(1)
    for worker in worker_names(context):
        context.fleet.control(worker, crash_on=BAD_MARK)


def worker_names(context):
    """Return the names of the plain endpoints."""
    return [
        each["name"] for each in context.fleet.endpoints if each["kind"] != "engine"
    ]


def call(context, entry, tag):
    """Call an operation; equal tags make equal calls."""
    url = f"{context.fleet.entry(entry)}/v1/services/{SERVICE}/checks"
    return send(url, key="key-buyers", body={"tag": tag}, timeout_s=CALLER_TIMEOUT_S)


@when("{count:d} calls that crash workers come at all entries")
def bad_calls(context, count):
    for number in range(count):
        # A caller who gives up is no failure here.
        with contextlib.suppress(OSError, http.client.HTTPException):
            call(context, number % len(context.fleet.hosts), BAD_MARK)


@then("at least {count:d} workers still run")
def workers_run(context, count):
    running = [
        name
        for name in worker_names(context)
        if context.fleet.processes[name].poll() is None
    ]
    assert len(running) >= count, running


@then("sound calls are answered at all entries")
def sound_calls(context):
    for entry in range(len(context.fleet.hosts)):
        answer = call(context, entry, f"c{next(context.numbers)}")
        assert answer.status == SERVED, answer


@then("a call that crashes workers is refused at all entries")
def bad_call_refused(context):
    for entry in range(len(context.fleet.hosts)):
        answer = call(context, entry, BAD_MARK)
        assert answer.status == NOT_RUN, answer
        assert answer.error["code"] == QUARANTINED, answer


@given(
    'a "{name}" fleet of {hosts:d} hosts, {engines:d} engines and {workers:d} workers'
    " that end in the middle of answers"
)
def ending_workers(context, name, hosts, engines, workers):
    start_fleet(context, name, False, hosts=hosts, engines=engines, workers=workers)
    for worker in worker_names(context):
        context.fleet.control(worker, end_within_answer=True)


@when("a call comes whose answer has no length")
def unframed_call(context):
    context.answer = call(context, 0, "unframed")


@then("the call is answered whole, or as one that may have run")
def whole_or_unknown(context):
    answer = context.answer
    if answer.status == SERVED:
        assert json.loads(answer.body)["tag"] == "unframed", answer
        return
    assert answer.error["run"] == "unknown", answer
