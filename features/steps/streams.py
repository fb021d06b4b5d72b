"""Steps of streams that keep to one generation."""

import json
import time

from behave import given, then, when
from helper import (
    Reader,
    open_stream,
    scrape,
    send,
    start_fleet,
    token_indexes,
    wait_for,
)

from baobabturn.core.results import Failure
from baobabturn.entry.resumetokens import GenerationLocation, sign, verify

LIMITS = {
    "entry": {
        "probe_s": 0.3,
        "stall_timeout_s": 1.2,
        "resume_grace_s": 1.0,
        "address_lifetime_s": 1.0,
    },
    "controller": {"orphan_grace_s": 2.0, "orphan_sweep_s": 0.3},
}
NO_FAULTS = {
    "stall_after": -1,
    "cut_after": -1,
    "faulty_links": -1,
    "duplicate_chunks": False,
    "late_chunks": False,
    "no_room": False,
    "no_finish": False,
    "frozen": False,
    "hang_before_headers": False,
    "refuse": False,
    "leaving": False,
    "slow_factor": 1.0,
    "padding_bytes": 0,
}
PAGE_BYTES = 4096


def engines(context):
    """Return the names of the engines whose process runs."""
    names = [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]
    return [name for name in names if context.fleet.processes[name].poll() is None]


def prompt_body(context, tag, length, stream=True):
    return {
        "model": context.fleet.deployment.model,
        "prompt": f"[tag={tag} length={length}]",
        "stream": stream,
    }


def total(context, count, tag=None):
    """Return the sum of a count over all engines."""
    found = [context.fleet.counts(name)[count] for name in engines(context)]
    return sum(each.get(tag, 0) if tag else each for each in found)


@given(
    'a shared "{name}" fleet with short limits, {hosts:d} hosts, {engines:d} engines'
    " and {workers:d} workers"
)
def short_fleet(context, name, hosts, engines, workers, overrides=LIMITS):
    if getattr(context.feature, "fleet", None) is None:
        start_fleet(
            context,
            name,
            True,
            hosts=hosts,
            engines=engines,
            workers=workers,
            overrides=overrides,
        )
    context.fleet = context.feature.fleet
    for process in context.fleet.processes:
        if context.fleet.processes[process].poll() is not None:
            restart(context.fleet, process)
    clear_faults(context)
    wait_for(lambda: not open_at_engines(context), "engines to be idle")
    context.cancelled = total(context, "cancelled")


def restart(fleet, name):
    """Start again what a scenario that failed has left dead."""
    again = fleet.restart if "@" in name else fleet.restart_endpoint
    again(name)


def open_at_engines(context):
    return [
        name for each in engines(context) for name in context.fleet.counts(each)["open"]
    ]


@given(
    'a shared "{name}" fleet whose retries never run out, {hosts:d} hosts,'
    " {engines:d} engines and {workers:d} workers"
)
def retrying_fleet(context, name, hosts, engines, workers):
    entry = {**LIMITS["entry"], "retry_share": 1.0}
    overrides = {**LIMITS, "entry": entry}
    short_fleet(context, name, hosts, engines, workers, overrides)


@when("every engine has no fault")
def clear_faults(context):
    for name in engines(context):
        context.fleet.control(name, **NO_FAULTS)


@given('every engine has the fault "{settings}"')
@when('every engine has the fault "{settings}"')
def engines_fault(context, settings):
    for name in engines(context):
        context.fleet.control(name, **json.loads(settings))


@given('the engine {number:d} has the fault "{settings}"')
def engine_fault(context, number, settings):
    context.fleet.control(engines(context)[number], **json.loads(settings))


def read(context, workspace, tag, length, url, **headers):
    context.tag, context.length = tag, length
    context.reader = Reader(
        url=url + "/v1/completions",
        key=f"key-{workspace}",
        body=prompt_body(context, tag, length),
        headers=headers,
    )
    context.parts = []


@given('"{workspace}" reads "{tag}" of {length:d} tokens from entry {number:d}')
@when('"{workspace}" reads "{tag}" of {length:d} tokens from entry {number:d}')
def read_stream(context, workspace, tag, length, number):
    read(context, workspace, tag, length, context.fleet.entry(number))


@given(
    '"{workspace}" reads "{tag}" of {length:d} tokens from entry {number:d}'
    " and accepts a restart"
)
def read_restartable(context, workspace, tag, length, number):
    url = context.fleet.entry(number)
    read(context, workspace, tag, length, url, **{"x-baobabturn-restart": "allow"})


@given("{count:d} tokens of it have come")
def tokens_came(context, count):
    wait_for(lambda: len(context.reader.tokens) >= count, f"{count} tokens")


@when("the entry {number:d} is killed")
def kill_entry(context, number):
    context.fleet.kill(f"entry@{context.fleet.hosts[number].name}")


@then("the entry {number:d} is started again")
def start_entry(context, number):
    context.fleet.restart(f"entry@{context.fleet.hosts[number].name}")
    url = context.fleet.entry(number)
    wait_for(lambda: context.fleet.is_ready(url), f"{url} to be ready")


@when("the caller leaves")
def leave(context):
    context.reader.leave()


def go_on(context, number, workspace="herders-north", event_id="", **headers):
    old = context.reader
    return Reader(
        url=context.fleet.entry(number) + "/v1/completions",
        key=f"key-{workspace}",
        body=prompt_body(context, context.tag, context.length),
        headers={"Last-Event-ID": event_id or old.last_id, **headers},
    )


@when("the caller goes on at entry {number:d}")
def resume(context, number):
    old = context.reader
    old.ended()
    context.reader = go_on(context, number)
    context.parts.append(old)


@when("the caller goes on at entry {number:d} with a deadline of {limit:d} s")
def resume_deadline(context, number, limit):
    old = context.reader
    context.reader = go_on(context, number, **{"x-baobabturn-deadline": str(limit)})
    context.parts.append(old)


@when("the caller goes on at entry {number:d} and then leaves entry {left:d}")
def resume_both(context, number, left):
    old = context.reader
    kept = list(old.events)
    context.reader = go_on(context, number)
    wait_for(lambda: context.reader.tokens, "tokens at the other entry")
    old.leave()
    old.events[:] = kept
    context.parts.append(old)


def all_tokens(context):
    parts = [*context.parts, context.reader]
    return [text for part in parts for text in part.tokens]


@then('every token of "{tag}" has come once and in order')
def whole_and_once(context, tag):
    context.reader.ended(60)
    assert context.reader.status == 200, context.reader.text
    found = token_indexes(all_tokens(context), tag)
    assert found == list(range(context.length)), (found[:3], len(found))
    assert context.reader.is_whole, context.reader.events[-2:]


@then('the engines started "{tag}" once and cancelled none')
def started_once(context, tag):
    assert total(context, "started", tag) == 1, total(context, "started", tag)
    assert total(context, "cancelled") == context.cancelled


@then("the pool's owner counts {count:d} place")
def places(context, count):
    wait_for(lambda: places_held(context) == count, f"{count} places held", 5)


def places_held(context):
    """Return how many places the schedulers say are held."""
    found = 0
    for url in context.fleet.entries():
        text = scrape(url).text
        for line in text.splitlines():
            if line.startswith('baobabturn_places_held{role="scheduler"'):
                found += int(float(line.rpartition(" ")[2]))
    return found


@then('the stream ends with error {code:d}, run "{run}" and the count of its tokens')
def numbered_error(context, code, run):
    context.reader.ended()
    error = context.reader.error
    assert (error["code"], error["run"]) == (code, run), error
    sent = len(all_tokens(context))
    assert error["tokens"] == sent > 0, (error, sent)


@then("no generation is open within {limit:d} s")
def none_open(context, limit):
    clear_faults(context)
    wait_for(lambda: not open_at_engines(context), "no open generation", limit)


@when("every engine has no room for {seconds:d} s")
def no_room(context, seconds):
    engines_fault(context, '{"no_room": true}')
    time.sleep(seconds)
    engines_fault(context, '{"no_room": false}')


@then("comments came while it waited")
def comments(context):
    assert context.reader.stream.comments >= 2, context.reader.stream.comments


@when('"{workspace}" asks for the whole of "{tag}" of {length:d} tokens')
def ask_whole(context, workspace, tag, length):
    context.answer = send(
        context.fleet.entry(0) + "/v1/completions",
        key=f"key-{workspace}",
        body=prompt_body(context, tag, length, stream=False),
    )


@then("the answer is the error {code:d} and not a text")
def whole_error(context, code):
    assert context.answer.error["code"] == code, context.answer.text
    assert "choices" not in context.answer.body


def memory_mb(context, name):
    """Return the resident memory of a process in MB."""
    pid = context.fleet.processes[name].pid
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


@when('"{workspace}" opens "{tag}" of {length:d} tokens and stops to read for {s:d} s')
def stop_reading(context, workspace, tag, length, s):
    context.tag, context.length, context.parts = tag, length, []
    context.entry_name = f"entry@{context.fleet.hosts[0].name}"
    before = memory_mb(context, context.entry_name)
    context.slow = open_stream(
        context.fleet.entry(0) + "/v1/completions",
        key=f"key-{workspace}",
        body=prompt_body(context, tag, length),
    )
    time.sleep(s)
    context.grown = memory_mb(context, context.entry_name) - before
    context.unread = total(context, "unread_bytes")


@then("the entry's memory grew by less than {limit:d} MB meanwhile")
def memory_bounded(context, limit):
    assert context.grown < limit, context.grown


@then("the engine holds bytes back for the reader")
def held_back(context):
    assert context.unread > 0, context.unread


@when("the reader goes on")
def read_on(context):
    reader = context.reader = Reader.__new__(Reader)
    reader.events = list(context.slow.events())
    reader.status = context.slow.status
    reader.ended = lambda limit: reader.events


@when('the engine that runs "{tag}" is killed')
def kill_engine(context, tag):
    def running():
        for name in engines(context):
            if context.fleet.counts(name)["started"].get(tag):
                return name

    context.killed = wait_for(running, f"{tag} to start")
    context.fleet.kill(context.killed)


@then("the killed engine is started again")
def restart_engine(context):
    context.fleet.restart_endpoint(context.killed)


@when(
    '"{workspace}" reads {count:d} streams "{tag}" of {length:d} tokens'
    " from entry {number:d}"
)
def read_many(context, workspace, count, tag, length, number):
    context.readers = []
    for each in range(count):
        read_stream(context, workspace, f"{tag}-{each}", length, number)
        context.readers.append(context.reader)


@then("all {count:d} streams are whole")
def all_whole(context, count):
    for number, reader in enumerate(context.readers):
        reader.ended()
        assert reader.is_whole, (number, reader.status, reader.text)
    assert len(context.readers) == count


@then('no other engine started "{tag}"')
def no_other(context, tag):
    others = [name for name in engines(context) if name != context.killed]
    assert not any(context.fleet.counts(name)["started"].get(tag) for name in others)


@then("the stream has one restart event with the count of the tokens before it")
def one_restart(context):
    context.reader.ended(60)
    events = context.reader.events
    places = [n for n, event in enumerate(events) if event.name == "restart"]
    assert len(places) == 1, (places, events[-1])
    assert events[places[0]].values["tokens"] == places[0]


@when('"{workspace}" tries to go on with it at entry {number:d}')
def steal(context, workspace, number):
    context.thief = go_on(context, number, workspace)


@when('"{workspace}" tries to go on with a changed token at entry {number:d}')
def forge(context, workspace, number):
    mac, rest = context.reader.last_id.split(".", 1)
    changed = ("B" if mac[0] != "B" else "C") + mac[1:]
    context.thief = go_on(context, number, workspace, f"{changed}.{rest}")


@then("it is refused with error {code:d}")
def refused(context, code):
    context.thief.ended()
    assert context.thief.error["code"] == code, context.thief.text


@given('a token signed with the key "{key}"')
def signed(context, key):
    context.location = GenerationLocation(
        workspace="herders-north", endpoint="rumia-1", generation="g-00112233aabbccdd-1"
    )
    context.event_id = sign(context.location, [key]) + ".20000"


@then('it is valid for the keys "{one}", "{two}" and not for "{other}"')
def valid(context, one, two, other):
    for keys in (one, two):
        found = verify(context.event_id, "herders-north", keys.split(","))
        assert found == (context.location, 20000), found
    assert isinstance(verify(context.event_id, "herders-north", [other]), Failure)
    assert isinstance(verify(context.event_id, "buyers", [one]), Failure)


@then("its event ids are shorter than {limit:d} bytes")
def short(context, limit):
    assert len(context.event_id) < limit, context.event_id
