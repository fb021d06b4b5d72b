"""Steps of settings and their mistakes."""

import json
import pathlib
import shlex
import socket
import tempfile

from behave import given, then, when
from helper import run_module

# An address that no other test connects from, so that its ports are free.
ADDRESS = "127.0.0.77"


@given("a settings file")
def settings_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = str(pathlib.Path(folder.name) / "settings.jsonc")
    pathlib.Path(context.file).write_text(context.text)


@when('"{command}" runs with it')
def command_runs(context, command):
    arguments = [*shlex.split(command), "--settings", context.file]
    context.done = run_module("baobabturn.commands", *arguments)
    assert context.done.returncode == 0, context.done.stderr


@then('the setting "{name}" is {value} from the file')
def setting_from_file(context, name, value):
    setting_from(context, name, value, context.file)


@then('the setting "{name}" is {value} from "{source}"')
def setting_from(context, name, value, source):
    found = json.loads(context.done.stdout)[name]
    assert found == {"value": json.loads(value), "source": source}, found


@when('the program "{program}" starts with it')
def program_with_file(context, program):
    context.done = run_module(f"baobabturn.{program}", "--settings", context.file)


@when('the program "{program}" starts with "{flags}"')
def program_with_flags(context, program, flags):
    context.done = run_module(f"baobabturn.{program}", *shlex.split(flags))


@then('it ends with code {code:d} and one line that has "{text}"')
def one_line(context, code, text):
    assert context.done.returncode == code, context.done
    lines = [
        line
        for line in context.done.stderr.splitlines()
        if not line.startswith("hlc=")  # the event log is on standard error too
    ]
    assert len(lines) == 1, context.done.stderr
    assert text in lines[0], lines[0]


@given("another process listens on an address")
def address_taken(context):
    listener = socket.create_server((ADDRESS, 0))
    context.add_cleanup(listener.close)
    context.port = listener.getsockname()[1]


@when('the program "{program}" starts on that address')
def program_on_address(context, program):
    address, flag = f"host.address={ADDRESS}", f"ports.{program}={context.port}"
    flags = ("--set", address, "--set", flag)
    context.done = run_module(f"baobabturn.{program}", *flags)


@given("another process receives datagrams on an address")
def datagrams_taken(context):
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(receiver.close)
    receiver.bind((ADDRESS, 0))
    context.port = receiver.getsockname()[1]
