"""Steps on the ports that tests take for their servers."""

import json
import pathlib
import subprocess
import sys

from behave import then, when

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TAKE_PORTS = """
import json, sys
from fakes.ports import free_port
print(json.dumps([free_port() for _ in range(int(sys.argv[1]))]), flush=True)
sys.stdin.read()
"""


def start_taking(count):
    """Start a process that takes some ports and keeps them until its input ends."""
    return subprocess.Popen(
        [sys.executable, "-c", TAKE_PORTS, str(count)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def taken(process):
    """Return the ports that a process has taken."""
    return json.loads(process.stdout.readline())


@when("two test processes take {count:d} ports each")
def two_take(context, count):
    processes = [start_taking(count) for _ in range(2)]
    context.ports = [port for process in processes for port in taken(process)]
    context.wanted = 2 * count
    for process in processes:
        process.communicate()


@then("all these ports are different")
def all_different(context):
    assert len(context.ports) == len(set(context.ports)) == context.wanted


@when("a test process takes a port {count:d} times, each time anew")
def taken_anew(context, count):
    context.ports = []
    context.wanted = count
    for _ in range(count):
        process = start_taking(1)
        context.ports += taken(process)
        process.communicate()


@then("each time there was one")
def one_each(context):
    assert len(context.ports) == context.wanted
