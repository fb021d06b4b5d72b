"""Steps of the operators' command."""

import json
import pathlib
import shlex
import signal

from behave import given, then, when
from helper import run_module, send

from dev.fleet import ADMIN_KEY


def places(context):
    """Return what the braces in a command line stand for."""
    fleet = context.fleet
    return {
        "file": str(fleet.folder / "configuration.json"),
        "made": str(fleet.folder / "made.json"),
        "entry": fleet.entry(0),
        "settings": fleet.settings_path(fleet.hosts[0].name),
        "base": getattr(context, "base", 0),
    }


@when('the operator runs "{arguments}"')
def operator_runs(context, arguments):
    words = [word.format(**places(context)) for word in shlex.split(arguments)]
    context.done = run_module("baobabturn.commands", *words)


@given("a configuration file")
def configuration_file(context):
    context.base = published(context)
    pathlib.Path(places(context)["made"]).write_text(context.text)


def published(context):
    """Return the revision in force at the first entry."""
    done = run_module(
        "baobabturn.commands",
        *("status", context.fleet.entry(0), "--json"),
        *("--settings", places(context)["settings"]),
    )
    return json.loads(done.stdout)["revision"]


@then("the platform's configuration hasn't changed")
def configuration_same(context):
    assert published(context) == context.base


def change(context, field, value, workspace, name):
    """Write the fleet's configuration with one field changed; return its path."""
    values = json.loads(pathlib.Path(places(context)["file"]).read_text())
    for space in values["workspaces"]:
        if space["name"] == workspace:
            space[field] = value
    path = context.fleet.folder / name
    path.write_text(json.dumps(values))
    return str(path)


@given('a configuration with {field} {value:d} for "{workspace}"')
def changed_configuration(context, field, value, workspace):
    change(context, field, value, workspace, "made.json")


@given("the operator noted the published revision")
def noted_revision(context):
    context.base = published(context)


@given(
    'another operator applied a configuration with {field} {value:d} for "{workspace}"'
)
def other_applied(context, field, value, workspace):
    path = change(context, field, value, workspace, "other.json")
    settings = places(context)["settings"]
    context.fleet.command("apply", path, "--wait", "--settings", settings)


@given('the controller of "{host}" is paused')
def controller_paused(context, host):
    name = f"controller@{host}"
    context.fleet.signal(name, signal.SIGSTOP)
    context.add_cleanup(context.fleet.signal, name, signal.SIGCONT)


@then('it printed the line "{text}"')
def printed_line(context, text):
    assert context.done.returncode == 0, context.done.stderr
    assert text in context.done.stdout.splitlines(), context.done.stdout


@then('the JSON has "{name}" of {value}')
def json_has(context, name, value):
    found = json.loads(context.done.stdout)
    assert found[name] == json.loads(value), found


@then("the JSON is {value}")
def json_is(context, value):
    assert json.loads(context.done.stdout) == json.loads(value), context.done.stdout


@then('the table has the columns "{columns}"')
def table_columns(context, columns):
    assert context.done.stdout.splitlines()[0].split() == columns.split()


@then('it lists "{first}", "{second}" and "{third}"')
def table_lists(context, first, second, third):
    found = {line.split()[0] for line in context.done.stdout.splitlines()[1:]}
    assert found == {first, second, third}, context.done.stdout


@then("each engine is listed once, serving, with its owner")
def engines_listed(context):
    found = json.loads(context.done.stdout)
    lines = [
        (endpoint["endpoint"], endpoint["state"], pool["owner"])
        for pool in found["pools"]
        for endpoint in pool["endpoints"]
    ]
    assert sorted(line[0] for line in lines) == ["rumia-1", "rumia-2"], lines
    assert {line[1] for line in lines} == {"serving"}, lines
    hosts = {host.name for host in context.fleet.hosts}
    assert {line[2] for line in lines} <= hosts and found["unanswered"] == []


@then('the JSON names "{first}", "{second}" and "{third}" as in force')
def json_in_force(context, first, second, third):
    assert context.done.returncode == 0, context.done.stderr
    found = json.loads(context.done.stdout)["in_force_s"]
    assert sorted(found) == [first, second, third], found


@then("it ended with code {code:d}")
def ended_with(context, code):
    assert context.done.returncode == code, context.done


@then('standard error said "{text}"')
def standard_error_said(context, text):
    assert text in context.done.stderr, context.done.stderr


@then('the time line names "{first}", "{second}" and "{third}"')
def time_line_names(context, first, second, third):
    found = {line.split()[1] for line in context.done.stdout.splitlines()}
    assert found == {first, second, third}, context.done.stdout


@when("{body} is posted to drain the first entry")
def drain_posted(context, body):
    url = context.fleet.entry(0) + "/admin/drain"
    context.answer = send(url, key=ADMIN_KEY, body=body.encode())


@then("the operators' answer is status {status:d} with code {code:d}")
def operators_answer(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.error["code"] == code, context.answer


@then("the host is not draining")
def not_draining(context):
    answer = send(context.fleet.entry(0) + "/readyz", method="GET")
    listed = send(context.fleet.entry(1) + "/v1/entries", method="GET").body
    assert answer.status == 200
    assert "heredia-1" in [line["host"] for line in listed["entries"]]
