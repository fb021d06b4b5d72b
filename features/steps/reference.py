"""Steps that compare the reference pages with the code."""

import pathlib
import re

from behave import then

from baobabturn.commands.main import app
from baobabturn.core.events import Event
from baobabturn.core.results import Code, error_table
from baobabturn.settings.load import packaged_defaults
from dev.reference import BEGIN, END, PAGES

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ROW_NAME = re.compile(r"^\| `([^`]+)`", re.MULTILINE)
RECORDED = re.compile(r"\.(?:count|gauge|record)\(\s*f?\"([a-z_]+)\"")
EXPLAINED = re.compile(r"^\| `([^`]+)` \| (?:.+ \| )?[^|]{10,} \|$", re.MULTILINE)
UNION_MEMBER = re.compile(r"^\s+(\w+) @\d+ :(\w+);", re.MULTILINE)


def page(name):
    return (ROOT / "docs" / name).read_text()


def names_in(name):
    """Return the names in a page's table, each of them with an explanation."""
    found = ROW_NAME.findall(page(name))
    assert len(found) == len(set(found)), sorted(found)
    return set(found)


def explained_in(name):
    found = set(EXPLAINED.findall(page(name)))
    assert found == names_in(name), names_in(name) ^ found
    return found


@then('the page "{name}" was written from the code')
def page_written(context, name):
    table = PAGES[name.rpartition("/")[2]]()
    assert BEGIN + table + END in page(name), "run python -m dev.reference"


@then('the page "{name}" holds the table of result codes')
def errors_page(context, name):
    assert error_table() in page(name)
    for code in Code:
        assert f"| {int(code)} | " in page(name), code


@then('the page "{name}" explains each event once')
def events_page(context, name):
    wanted = {event.value for event in Event}
    assert explained_in(name) == wanted, names_in(name) ^ wanted


@then('the page "{name}" explains each setting with its default and range')
def settings_page(context, name):
    wanted = {
        f"{section}.{field}"
        for section, fields in packaged_defaults().items()
        for field in fields
    }
    assert explained_in(name) == wanted, names_in(name) ^ wanted
    row = "| `entry.retry_share` | `0.1` | number, 0 to 1 | retries per request"
    assert row in page(name)


@then('the page "{name}" explains each metric that the code records')
def metrics_page(context, name):
    wanted = set()
    for path in sorted((ROOT / "src").rglob("*.py")):
        wanted.update(RECORDED.findall(path.read_text()))
    assert explained_in(name) == wanted, names_in(name) ^ wanted


@then('the page "{name}" describes each subcommand')
def cli_page(context, name):
    for command in app:
        if not command.startswith("-"):
            assert f"### baobabturn {command}\n" in page(name), command


@then('the page "{name}" lists each message of the schema')
def protocol_page(context, name):
    schema = (ROOT / "src/baobabturn/wire/schema.capnp").read_text()
    union = schema[schema.index("union {") :]
    wanted = {kind for _, kind in UNION_MEMBER.findall(union[: union.index("}")])}
    assert wanted and names_in(name) == wanted, names_in(name) ^ wanted
