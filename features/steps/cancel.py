"""Steps of cancellation and of generations that nobody owns."""

import json
import signal
import threading
import time

from behave import given, then, when
from helper import connect, open_stream, send, wait_for


def engine_names(context):
    names = [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]
    return [name for name in names if context.fleet.processes[name].poll() is None]


def body_of(context, tag, length, stream):
    return {
        "model": context.fleet.deployment.model,
        "prompt": f"[tag={tag} length={length}]",
        "stream": stream,
    }


def engine_of(context, tag):
    """Return the engine that has started a tag, None before that."""
    for name in engine_names(context):
        if context.fleet.counts(name)["started"].get(tag):
            return name
    return None


@given(
    '"{workspace}" waits at entry {number:d} for the whole of "{tag}" of {n:d} tokens'
)
def wait_whole(context, workspace, number, tag, n):
    url = context.fleet.entry(number) + "/v1/completions"
    context.connection, path = connect(url, 30)
    data = json.dumps(body_of(context, tag, n, False)).encode()
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer key-{workspace}",
    }
    context.connection.request("POST", path, data, headers)
    wait_for(lambda: engine_of(context, tag), f"{tag} to start")


@when("that caller leaves")
def caller_leaves(context):
    context.connection.close()


@then("the engines cancelled {count:d} generation")
def cancelled_count(context, count):
    def cancelled():
        found = [context.fleet.counts(n)["cancelled"] for n in engine_names(context)]
        return sum(found) - context.cancelled

    wait_for(lambda: cancelled() >= count, "the cancellation", 5)
    assert cancelled() == count, cancelled()


@when(
    '"{workspace}" asks for the whole of "{tag}" of {length:d} tokens'
    " within {limit:d} s"
)
def ask_within(context, workspace, tag, length, limit):
    context.answer = send(
        context.fleet.entry(0) + "/v1/completions",
        key=f"key-{workspace}",
        body=body_of(context, tag, length, False),
        headers={"x-baobabturn-deadline": str(limit)},
    )


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    time.sleep(seconds)


@when('the engine that runs "{tag}" is paused')
def pause_engine(context, tag):
    context.paused = engine_of(context, tag)
    context.fleet.signal(context.paused, signal.SIGSTOP)


@when("the paused engine wakes")
def wake_engine(context):
    context.fleet.signal(context.paused, signal.SIGCONT)


@given('another client reads "{tag}" of {length:d} tokens straight from an engine')
def foreign_client(context, tag, length):
    url = context.fleet.endpoint_url(engine_names(context)[0]) + "/v1/completions"
    values = {**body_of(context, tag, length, True), "request_id": "other-1"}
    context.foreign = []

    def run():
        stream = open_stream(url, key="none", body=values)
        context.foreign.extend(stream.events())

    context.thread = threading.Thread(target=run, daemon=True)
    context.thread.start()


@then("the other client's stream is whole")
def foreign_whole(context):
    context.thread.join(30)
    assert context.foreign[-1].data == "[DONE]", context.foreign[-1:]
    last = context.foreign[-2].values["choices"][0]
    assert last["finish_reason"] == "stop", last
