"""Steps of the declaration library."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when
from helper import run_module

from dev.deployments import DEPLOYMENTS

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEAD = "from baobabturn import declare\nconfig = declare.Configuration()\n"
ENDPOINTS = [
    {
        "name": f"{kind}-{number}",
        "kind": kind,
        "url": f"http://127.0.0.1:{number}",
        "failure_domain": "d",
        "region": "r",
        "memory_tokens": 1000 if kind == "engine" else 0,
        "checks_fencing": False,
    }
    for kind in ("service", "engine")
    for number in (2, 1)
]


def printed(path, *arguments, seed="0"):
    """Run a declaration program and return what it did."""
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT / "src"),
        "PYTHONHASHSEED": seed,
    }
    return subprocess.run(
        [sys.executable, str(path), *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


def folder(context):
    """Return a folder of the scenario."""
    if not hasattr(context, "folder"):
        made = tempfile.TemporaryDirectory()
        context.add_cleanup(made.cleanup)
        context.folder = pathlib.Path(made.name)
    return context.folder


@when(
    'the declaration of "{name}" is printed under hash seeds'
    " {first:d}, {second:d} and {third:d}"
)
def declaration_printed(context, name, first, second, third):
    endpoints = folder(context) / "endpoints.json"
    endpoints.write_text(json.dumps(ENDPOINTS))
    program = ROOT / DEPLOYMENTS[name].program
    context.texts = [
        printed(program, str(endpoints), seed=str(seed)).stdout
        for seed in (first, second, third)
    ]


@then("all of them are the same bytes")
def same_bytes(context):
    assert context.texts[0] and len(set(context.texts)) == 1, context.texts


@then('"baobabturn check" finds them valid')
def found_valid(context):
    done = run_module("baobabturn.commands", "check", "-", stdin=context.texts[0])
    assert done.returncode == 0 and done.stdout.startswith("valid: "), done


def write_program(context, name):
    path = folder(context) / name
    path.write_text(HEAD + context.text + "\nconfig.print()\n")
    return path


@given("a declaration program")
def declaration_program(context):
    context.program = write_program(context, "one.py")


@given("another declaration program")
def another_program(context):
    context.other = write_program(context, "two.py")


@then("both print the same bytes")
def both_same(context):
    one, two = printed(context.program), printed(context.other)
    assert one.stdout and one.stdout == two.stdout, (one, two)


@when("the program runs")
def program_runs(context):
    context.done = printed(context.program)
