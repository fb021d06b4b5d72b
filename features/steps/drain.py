"""Steps of draining hosts and endpoints."""

import json
import pathlib
import signal

from behave import then, when
from helper import send, wait_for

ROLES = ("controller", "scheduler", "entry")


def ask(context, workspace, number, tag):
    return send(
        context.fleet.entry(number) + "/v1/completions",
        key=f"key-{workspace}",
        body={
            "model": context.fleet.deployment.model,
            "prompt": f"[tag={tag} length=3]",
        },
    )


def drain(context, number, *flags):
    settings = context.fleet.settings_path(context.fleet.hosts[number].name)
    url = context.fleet.entry(number)
    context.fleet.command("drain", url, *flags, "--settings", settings)


@when("the host of entry {number:d} is drained")
def drain_host(context, number):
    drain(context, number)


@when("the host of entry {number:d} is drained no longer")
def undrain_host(context, number):
    drain(context, number, "--off")


@then(
    '"{workspace}" is refused at entry {number:d} within {limit:d} s, not run,'
    " with {count:d} other addresses"
)
def refused_elsewhere(context, workspace, number, limit, count):
    def refused():
        answer = ask(context, workspace, number, "probe")
        return answer if answer.status != 200 else None

    error = wait_for(refused, "a refusal", limit).error
    assert (error["code"], error["run"]) == (1601, "not-run"), error
    urls = [line["url"] for line in error["entries"]]
    assert len(urls) == count and context.fleet.entry(number) not in urls, urls


@then('"{workspace}" is served at entry {number:d} within {limit:d} s')
def served(context, workspace, number, limit):
    wait_for(
        lambda: ask(context, workspace, number, "again").status == 200, "service", limit
    )


@when('the processes "{roles}" of host {number:d} get SIGTERM')
def terminate(context, roles, number):
    host = context.fleet.hosts[number].name
    context.stopped = [f"{role}@{host}" for role in roles.split(", ")]
    for name in context.stopped:
        context.fleet.signal(name, signal.SIGTERM)


@then("all processes of host {number:d} end with code 0")
@then("the stopped controller of host {number:d} ends with code 0")
def ended(context, number):
    for name in context.stopped:
        assert context.fleet.processes[name].wait(25) == 0, name


@then("they are started again")
def started_again(context):
    for name in context.stopped:
        context.fleet.restart(name)
    for url in context.fleet.entries():
        wait_for(lambda url=url: context.fleet.is_ready(url), f"{url} to be ready")


@when('the engine that runs "{tag}" leaves {how}')
def engine_leaves(context, tag, how):
    names = [e["name"] for e in context.fleet.endpoints if e["kind"] == "engine"]
    running = [n for n in names if context.fleet.counts(n)["started"].get(tag)]
    context.left, context.how = running[0], how
    set_leaving(context, True)


def set_leaving(context, leaving):
    if context.how == "by the host list":
        context.fleet.set_host_list((context.left,) if leaving else ())
    elif context.how == "by its own word":
        context.fleet.control(context.left, leaving=leaving)
    else:
        declare_role(context, "drain" if leaving else "serve")


def declare_role(context, role):
    path = pathlib.Path(context.fleet.declaration())
    values = json.loads(path.read_text())
    for endpoint in values["endpoints"]:
        if endpoint["name"] == context.left:
            endpoint["role"] = role
    path.write_text(json.dumps(values))
    settings = context.fleet.settings_path(context.fleet.hosts[0].name)
    context.fleet.command("apply", str(path), "--settings", settings)


def starts(context):
    return sum(context.fleet.counts(context.left)["started"].values())


@then("of {count:d} new requests none starts at that engine")
def none_starts(context, count):
    before = starts(context)
    for number in range(count):
        answer = ask(context, "buyers", number % 3, f"new{number}")
        assert answer.status == 200, answer.text
    assert starts(context) == before, starts(context) - before


@then("that engine is back in use")
def back_in_use(context):
    set_leaving(context, False)
    before = starts(context)

    def used():
        assert ask(context, "buyers", 0, "back").status == 200
        return starts(context) > before

    wait_for(used, f"{context.left} to be used")
