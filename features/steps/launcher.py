"""Steps of the launcher and the demo, run as a user runs them."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request
from unittest import mock

from behave import given, then, when
from helper import run_module, wait_for

from dev.demo import Demo
from dev.deployments import DEPLOYMENTS

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LIMIT_S = 60


def environment():
    return {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}


def is_running(pid):
    """Return whether a process runs; an ended one that waits for its parent doesn't."""
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return False
    return state[0] != "Z"


@given('the launcher runs "{deployment}"')
def launcher_runs(context, deployment):
    context.launcher = subprocess.Popen(
        [sys.executable, "-m", "dev.fleet", deployment],
        cwd=ROOT,
        env=environment(),
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.launcher.wait)
    context.add_cleanup(context.launcher.terminate)
    line = context.launcher.stdout.readline()
    assert line.startswith("ready "), line
    context.ready = json.loads(line.removeprefix("ready "))


@then(
    'its ready line names {entries:d} callers, model "{model}" and service "{service}"'
)
def ready_line(context, entries, model, service):
    ready = context.ready
    assert len(ready["callers"]) == entries
    assert ready["models"] == [model] and ready["services"] == [service]
    assert ready["keys"] and all(ready["keys"].values())
    with urllib.request.urlopen(ready["platform"] + "/counts") as answer:
        assert answer.status == 200
    assert all(is_running(pid) for pid in ready["pids"].values())


@then('it names the engines and workers of "{deployment}" with their control paths')
def endpoints_named(context, deployment):
    sizes = DEPLOYMENTS[deployment]
    endpoints = context.ready["endpoints"]
    assert len(endpoints) == sizes.engines + sizes.workers
    for url in endpoints.values():
        request = urllib.request.Request(url + "/control", data=b"{}")
        with urllib.request.urlopen(request) as answer:
            assert answer.status == 200


@when('the launcher gets "{name}"')
def launcher_signalled(context, name):
    context.launcher.send_signal(getattr(signal, name))
    context.code = context.launcher.wait(LIMIT_S)


@then("it ends with code {code:d} and none of its processes is left")
def none_left(context, code):
    assert context.code == code, context.code
    pids = context.ready["pids"]
    wait_for(
        lambda: not [name for name, pid in pids.items() if is_running(pid)],
        "the end of all processes",
    )


@when('the launcher is asked for "{deployment}"')
def launcher_asked(context, deployment):
    context.done = run_module("dev.fleet", deployment)


@then('it says "{text}" with code {code:d}')
def says(context, text, code):
    assert context.done.stderr.strip() == text, context.done.stderr
    assert context.done.returncode == code


@when("the demo runs")
def demo_runs(context):
    began = time.monotonic()
    context.done = run_module("dev.demo")
    context.took_s = time.monotonic() - began


@then("it ends with code {code:d} within {seconds:d} s")
def demo_ends(context, code, seconds):
    assert context.done.returncode == code, context.done.stdout + context.done.stderr
    assert context.took_s < seconds


@then("it printed")
def it_printed(context):
    lines = context.done.stdout.splitlines()
    found = [line[10:] for line in lines if line[10:].startswith("ok")]
    assert found == context.text.splitlines(), context.done.stdout


@when("a demo meets a service that ran a tally correction twice")
def demo_meets(context):
    fleet = mock.Mock(endpoints=[{"name": "corral-1", "kind": "service"}])
    fleet.counts.return_value = {"ran": {"calf-17": 2}}
    context.demo = Demo(fleet=fleet)
    with mock.patch.object(context.demo, "post_tally", return_value="{}"):
        context.demo.tally()


@then('that demo has the wrong statement "{text}"')
def demo_wrong(context, text):
    assert context.demo.wrong == [text], context.demo.wrong
