"""Steps of retries under endpoint failures."""

import collections
import threading
import time

from behave import given, then, when
from helper import scrape, send

CALLERS = 12
AT_ONCE_S = 3.0
PAUSE_S = 0.02


def engine_names(context):
    return [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]


def attempts(context):
    return sum(context.fleet.counts(n)["attempts"] for n in engine_names(context))


@given("half of the engines refuse work")
def half_refuse(context):
    names = engine_names(context)
    for name in names[: len(names) // 2]:
        context.fleet.control(name, refuse=True)


@when("requests come from all entries for {seconds:d} s")
def storm(context, seconds):
    context.answers, context.before = [], attempts(context)
    end = time.monotonic() + seconds

    def caller(number):
        serial = 0
        while time.monotonic() < end:
            serial += 1
            began = time.monotonic()
            answer = send(
                context.fleet.entry(number % len(context.fleet.hosts))
                + "/v1/completions",
                key="key-buyers",
                body={
                    "model": context.fleet.deployment.model,
                    "prompt": f"[tag=s{number}x{serial} length=3]",
                },
            )
            context.answers.append((answer, time.monotonic() - began))
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("the engines were asked less than {limit:g} times for each request")
def bounded(context, limit):
    share = (attempts(context) - context.before) / len(context.answers)
    print(f"attempts per request: {share:.3f} over {len(context.answers)} requests")
    assert share < limit, share


@then("each request that failed was told at once that it did not run")
def told_at_once(context):
    for answer, took in context.answers:
        if answer.status != 200:
            error = answer.error
            assert (error["code"], error["run"]) == (1406, "not-run"), error
            assert took < AT_ONCE_S, took


@then("no request ran twice")
def none_twice(context):
    total = collections.Counter()
    for name in engine_names(context):
        total.update(context.fleet.counts(name)["started"])
    hedges = [
        line
        for number in range(len(context.fleet.hosts))
        for line in scrape(context.fleet.entry(number)).text.splitlines()
        if "hedges_" in line and not line.startswith("#")
    ]
    assert max(total.values()) == 1, (total.most_common(3), hedges)


@then("a repeatable call and one that is not end so under each fault")
def service_table(context):
    workers = [e["name"] for e in context.fleet.endpoints if e["kind"] == "service"]
    for row in context.table:
        fault = row["fault"]
        context.fleet.control(workers[0], **{fault: True})
        reads = [call(context, "read", f"r-{fault}-{n}").status for n in range(4)]
        assert reads == [int(row["read"])] * 4, (fault, reads)
        for name in workers:
            context.fleet.control(name, **{fault: True})
        tag = f"t-{fault}"
        headers = call(context, "tally", tag).headers
        found = [headers.get(f"x-baobabturn-{name}", "-") for name in ("code", "run")]
        assert found == [row["tally code"], row["tally run"]], (fault, found)
        ran = sum(context.fleet.counts(name)["ran"].get(tag, 0) for name in workers)
        assert ran == int(row["tally ran"]), (fault, ran)
        for name in workers:
            context.fleet.control(name, **{fault: False})


def call(context, operation, tag):
    """Return the answer of a read or of a tally correction."""
    url = context.fleet.entry(0) + "/v1/services/corral/"
    if operation == "read":
        return send(f"{url}ledger/x?tag={tag}", key="key-buyers", method="GET")
    headers = {"Idempotency-Key": tag}
    return send(url + "tally", key="key-clerks", body={"tag": tag}, headers=headers)


@then("every request was answered whole")
def all_whole(context):
    failed = [answer.error for answer, _ in context.answers if answer.status != 200]
    assert not failed, (len(failed), len(context.answers), failed[0])


@when("the refusing engines take work again")
def take_again(context):
    names = engine_names(context)
    for name in names:
        context.fleet.control(name, refuse=False)
    context.started = {n: len(context.fleet.counts(n)["started"]) for n in names}


@then("each of them got new work")
def new_work(context):
    for name in engine_names(context):
        now = len(context.fleet.counts(name)["started"])
        assert now > context.started[name], name


def ask_once(context, tag):
    body = {"model": context.fleet.deployment.model, "prompt": f"[tag={tag} length=3]"}
    url = context.fleet.entry(0) + "/v1/completions"
    return send(url, key="key-buyers", body=body)


@given("every engine rejects requests as malformed")
def all_reject(context):
    for name in engine_names(context):
        context.fleet.control(name, reject=True)


@when('"buyers" asks once for a whole answer')
def asks_once(context):
    context.before = attempts(context)
    context.answer = ask_once(context, "rejected")


@then('the answer is the error {code:d} with run "{run}"')
def error_code(context, code, run):
    error = context.answer.error
    assert (error["code"], error["run"]) == (code, run), error


@then("the engines were asked {count:d} time for it")
def asked(context, count):
    assert attempts(context) - context.before == count
    for name in engine_names(context):
        context.fleet.control(name, reject=False)
