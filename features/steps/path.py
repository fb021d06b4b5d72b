"""Steps of the whole path."""

from behave import given, then, when
from helper import open_stream, send, start_fleet, token_indexes


@given(
    'a shared "{name}" fleet of {hosts:d} hosts, {engines:d} engines'
    " and {workers:d} workers"
)
def shared_fleet(context, name, hosts, engines, workers):
    fleet = getattr(context.feature, "fleet", None)
    if fleet is None:
        fleet = start_fleet(
            context, name, True, hosts=hosts, engines=engines, workers=workers
        )
    context.fleet = fleet


@when('"{workspace}" asks for the addresses to use')
def ask_addresses(context, workspace):
    answer = send(context.fleet.entry(0) + "/v1/entries", method="GET")
    context.addresses = [line["url"] for line in answer.body["entries"]]
    assert len(context.addresses) == len(context.fleet.hosts)


def stream(context, workspace, tag, length, url):
    opened = open_stream(
        url + "/v1/completions",
        key=f"key-{workspace}",
        body={
            "model": context.fleet.deployment.model,
            "prompt": f"[tag={tag} length={length}]",
            "stream": True,
        },
    )
    assert opened.status == 200, opened.status
    context.events = list(opened.events())
    context.request = opened.answer.headers["x-request-id"]


@when('"{workspace}" streams "{tag}" of {length:d} tokens at the first of them')
def stream_first(context, workspace, tag, length):
    stream(context, workspace, tag, length, context.addresses[0])


@when('"{workspace}" streams "{tag}" of {length:d} tokens at entry {number:d}')
def stream_at(context, workspace, tag, length, number):
    stream(context, workspace, tag, length, context.fleet.entry(number))


@then('each of the {count:d} tokens of "{tag}" came once and in order')
def tokens_once(context, count, tag):
    texts = [event.text for event in context.events[:-2]]
    assert token_indexes(texts, tag) == list(range(count))


@then("the stream ended with its finish marker")
def finish_marker(context):
    last, done = context.events[-2:]
    assert last.values["choices"][0]["finish_reason"] == "stop"
    assert done.data == "[DONE]"


@when('"{workspace}" posts the tally "{tag}" with key "{key}" at entry {number:d}')
def post_tally(context, workspace, tag, key, number):
    answer = send(
        context.fleet.entry(number) + "/v1/services/corral/tally",
        key=f"key-{workspace}",
        body={"tag": tag},
        headers={"Idempotency-Key": key},
    )
    context.answers = [*getattr(context, "answers", []), answer]


@then("both answers are the same")
def same_answers(context):
    first, second = context.answers
    assert (first.status, first.text) == (
        second.status,
        second.text,
    ) and first.status == 200


@then('the workers ran "{tag}" {times:d} time')
def ran_times(context, tag, times):
    workers = [e["name"] for e in context.fleet.endpoints if e["kind"] == "service"]
    ran = sum(context.fleet.counts(name)["ran"].get(tag, 0) for name in workers)
    assert ran == times, ran


@then('the time line of that request names "{names}"')
def time_line(context, names):
    settings = context.fleet.settings_path(context.fleet.hosts[0].name)
    entries = [part for url in context.fleet.entries() for part in ("--entry", url)]
    printed = context.fleet.command(
        "timeline", *entries, "--request", context.request, "--settings", settings
    )
    found = [line.split()[2] for line in printed.splitlines()]
    assert found == names.split(", "), printed
