"""Steps on explaining one request."""

import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when

from features.helper import ROOT


@given("logs of a gateway, as a collector passes them on")
def collected(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log = pathlib.Path(folder.name) / "all.log"
    context.log.write_text(context.text + "\n")


@when('the request "{request}" is explained')
def explained(context, request):
    command = ["baobabturn.commands", "explain", request, str(context.log), "--json"]
    context.explained = subprocess.run(
        [sys.executable, "-m", *command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def printed(context):
    """Return what the command printed."""
    assert context.explained.returncode == 0, context.explained.stderr
    return json.loads(context.explained.stdout)


@then('the events are "{names}"')
def events_are(context, names):
    found = [event["event"] for event in printed(context)["events"]]
    assert found == names.split(), found


@then('the outcome begins with "{text}"')
def outcome_begins(context, text):
    found = printed(context)["outcome"]
    assert found.startswith(text), found


@then('the outcome names "{text}"')
def outcome_names(context, text):
    assert text in printed(context)["outcome"], printed(context)


@then('the command fails with one line that names "{text}"')
def one_line(context, text):
    lines = context.explained.stderr.splitlines()
    assert context.explained.returncode == 1, context.explained
    assert len(lines) == 1 and text in lines[0], lines
