"""Steps of metrics, health and readiness."""

import re
import signal

from behave import given, then, when
from helper import open_stream, scrape, send, wait_for

from baobabturn.core.metrics import Metrics

NAME = "[a-zA-Z_:][a-zA-Z0-9_:]*"
LABEL = r'[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*"'
SAMPLE = re.compile(rf"^({NAME})(\{{{LABEL}(?:,{LABEL})*\}})? (\S+)$")
SUFFIXES = ("_sum", "_count")


@when('"{workspace}" streams "{tag}" at entry {number:d} with the key "{key}"')
def stream_with_key(context, workspace, tag, number, key):
    stream = open_stream(
        context.fleet.entry(number) + "/v1/completions", key=key, body={}
    )
    stream.close()


@when("entry {number:d} is scraped")
def scraped(context, number):
    answer = scrape(context.fleet.entry(number))
    assert answer.status == 200
    assert answer.headers["content-type"].startswith("text/plain; version=0.0.4")
    context.exposition = answer.text


def samples(text):
    """Yield name, labels and value of each sample."""
    for line in text.splitlines():
        if not line.startswith("#"):
            found = SAMPLE.match(line)
            assert found, line
            yield found[1], found[2] or "", float(found[3])


def family_of(name, kinds):
    """Return the metric that a sample belongs to."""
    for suffix in SUFFIXES:
        base = name.removesuffix(suffix)
        if kinds.get(base) == "summary":
            return base
    return name


@then("the exposition is well formed")
def well_formed(context):
    lines = context.exposition.splitlines()
    heads = [line.split() for line in lines if line.startswith("# TYPE ")]
    kinds = {head[2]: head[3] for head in heads}
    assert len(kinds) == len(heads), "a type is said twice"
    assert set(kinds.values()) <= {"counter", "gauge", "summary"}
    seen = []
    for name, _, _ in samples(context.exposition):
        family = family_of(name, kinds)
        assert family in kinds, f"{name} has no type"
        if not seen or seen[-1] != family:
            assert family not in seen, f"{family} is in two places"
            seen.append(family)


def value_of(context, name, role):
    found = [
        value
        for sample, labels, value in samples(context.exposition)
        if sample == f"baobabturn_{name}" and f'role="{role}"' in labels
    ]
    assert found, f"{name} of {role} is missing"
    return sum(found)


@then('"{name}" is {value:d} for "{first}", "{second}" and "{third}"')
def value_for_all(context, name, value, first, second, third):
    for role in (first, second, third):
        assert value_of(context, name, role) == value, role


@then('"{name}" is {value:d} for "{role}"')
def value_for(context, name, value, role):
    assert value_of(context, name, role) == value


@then('"{name}" is over {value:d} for "{role}"')
def value_over(context, name, value, role):
    assert value_of(context, name, role) > value, value_of(context, name, role)


@given('metrics with the label value "{value}"')
def metrics_labelled(context, value):
    context.metrics = Metrics(role="entry")
    context.metrics.count("orders", kind=value)


@then('their exposition has the text "{text}"')
def exposition_has(context, text):
    assert text in context.metrics.exposition(), context.metrics.exposition()


@when('the scheduler of "{host}" is killed')
def scheduler_killed(context, host):
    context.fleet.kill(f"scheduler@{host}")


@when("entry {number:d} is drained by its operator with a stop")
def entry_stopped(context, number):
    name = context.fleet.hosts[number].name
    context.fleet.signal(f"entry@{name}", signal.SIGTERM)
    url = context.fleet.entry(number) + "/readyz"
    wait_for(lambda: send(url, method="GET").status != 200, "the draining")


@then('entry {number:d} answers "{one}" with {first:d} and "{two}" with {second:d}')
def answers_with(context, number, one, first, two, second):
    url = context.fleet.entry(number)
    found = [send(url + path, method="GET").status for path in (one, two)]
    assert found == [first, second], found


@when('entry {number:d} is scraped with the key "{key}"')
def scraped_with(context, number, key):
    context.answer = scrape(context.fleet.entry(number), key)


@then("it is refused with {status:d} and code {code:d}")
def scrape_refused(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.error["code"] == code, context.answer.text
