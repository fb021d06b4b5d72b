"""Steps of a graceful stop of an entry."""

import signal

from behave import given, then, when
from helper import open_stream, send, token_indexes, wait_for


def body(tag, length, stream):
    prompt = f"[tag={tag} length={length}]"
    return {"model": "rumia", "prompt": prompt, "stream": stream}


def hosts_at(context, number):
    """Return the hosts that an entry's address answer names."""
    answer = send(context.fleet.entry(number) + "/v1/entries", method="GET")
    return [line["host"] for line in answer.body["entries"]]


@given('a stream of "{tag}" with {length:d} tokens at entry {number:d}')
def stream_at_entry(context, tag, length, number):
    url = context.fleet.entry(number) + "/v1/completions"
    context.stream = open_stream(url, key="key-buyers", body=body(tag, length, True))
    context.stopped = number, tag
    context.tokens = context.stream.events()
    context.texts = [next(context.tokens).text]


@when('the entry of "{host}" gets SIGTERM')
def entry_terminated(context, host):
    context.fleet.signal(f"entry@{host}", signal.SIGTERM)


@then('the address answers of entries {first:d} and {second:d} soon leave "{host}" out')
def left_out(context, first, second, host):
    for number in (first, second):
        wait_for(
            lambda number=number: host not in hosts_at(context, number),
            f"entry {number} to leave {host} out",
        )


@then("a caller who still holds its address is served there")
def still_served(context):
    number, _ = context.stopped
    url = context.fleet.entry(number) + "/v1/completions"
    answer = send(url, key="key-buyers", body=body("late", 5, False))
    assert answer.status == 200, answer.text
    texts = answer.body["choices"][0]["text"].split()
    assert token_indexes(texts, "late") == list(range(5))


@then("the stream delivers all of its {count:d} tokens and its finish marker")
def stream_whole(context, count):
    *tokens, last, done = context.tokens
    texts = context.texts + [event.text for event in tokens]
    assert token_indexes(texts, context.stopped[1]) == list(range(count))
    assert last.values["choices"][0]["finish_reason"] == "stop"
    assert done.data == "[DONE]"


@then('the entry of "{host}" ends with code {code:d} and no engine holds a generation')
def entry_ended(context, host, code):
    process = context.fleet.processes[f"entry@{host}"]
    assert process.wait(30) == code, process.returncode
    engines = [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]
    assert not [name for e in engines for name in context.fleet.counts(e)["open"]]


@when('the entry of "{host}" is started again')
def entry_started(context, host):
    context.fleet.restart(f"entry@{host}")


@then('the address answers of entries {first:d} and {second:d} soon name "{host}"')
def named_again(context, first, second, host):
    for number in (first, second):
        wait_for(
            lambda number=number: host in hosts_at(context, number),
            f"entry {number} to name {host}",
        )
