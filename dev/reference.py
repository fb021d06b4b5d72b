"""Writes the tables of the reference pages from the code.

Each page holds its table between two marker lines; the text around them is
written by hand.  Run with ``python -m dev.reference``.
"""

from __future__ import annotations

import importlib.resources
import inspect
import json
import pathlib
import re
from collections.abc import Callable
from typing import Any

import attrs

from baobabturn.commands.main import app
from baobabturn.core.events import EVENT_MEANINGS, Event
from baobabturn.core.metrics import HELP, PREFIX
from baobabturn.core.results import error_table
from baobabturn.settings.load import packaged_defaults
from baobabturn.settings.model import Settings

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs" / "reference"
BEGIN = "<!-- begin: written by dev/reference.py -->\n"
END = "<!-- end -->\n"
SECTION = re.compile(r'^  "(\w+)": \{')
FIELD = re.compile(r'^    "(\w+)": .*?(?:"|\d|\]|\}|e),?\s+// (.*)$')
SCHEMA_MEMBER = re.compile(r"^\s+(\w+) @(\d+) :(\w+);", re.MULTILINE)
PARAMETER = re.compile(r"^(\w+):\n    (.*?)(?=\n\w+:\n|\Z)", re.MULTILINE | re.DOTALL)


def meanings() -> dict[str, str]:
    """Return the comment of each packaged default by dotted name."""
    text = importlib.resources.files("baobabturn.settings").joinpath("defaults.jsonc")
    found: dict[str, str] = {}
    section = ""
    for line in text.read_text("utf-8").splitlines():
        head, field = SECTION.match(line), FIELD.match(line)
        if head:
            section = head[1]
        elif field:
            found[f"{section}.{field[1]}"] = field[2]
    return found


def allowed(field: Any) -> str:
    """Return what a settings field may hold, in words."""
    if "low" in field.metadata:
        kind = "whole number" if field.type is int else "number"
        return f"{kind}, {field.metadata['low']:,} to {field.metadata['high']:,}"
    if "choices" in field.metadata:
        return " or ".join(f"`{word}`" for word in field.metadata["choices"])
    if "table" in field.metadata:
        return "table of texts"
    return {str: "text", bool: "true or false"}.get(field.type, "list of texts")


def settings_table() -> str:
    """Return the table of all settings."""
    defaults, comments = packaged_defaults(), meanings()
    lines = ["| setting | default | allowed | meaning |", "|---|---|---|---|"]
    attrs.resolve_types(Settings)
    for section in attrs.fields(Settings):
        kind: Any = section.type
        attrs.resolve_types(kind)
        for field in attrs.fields(kind):
            name = f"{section.name}.{field.name}"
            value = json.dumps(defaults[section.name][field.name])
            cells = (f"`{name}`", f"`{value}`", allowed(field), comments[name])
            lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def events_table() -> str:
    """Return the table of event names."""
    rows = [f"| `{event.value}` | {EVENT_MEANINGS[event]} |" for event in Event]
    return "\n".join(["| event | meaning |", "|---|---|", *rows]) + "\n"


def metrics_table() -> str:
    """Return the table of metrics."""
    rows = [f"| `{name}` | {text} |" for name, text in sorted(HELP.items())]
    head = f"| metric, after `{PREFIX}` | meaning |"
    return "\n".join([head, "|---|---|", *rows]) + "\n"


def protocol_table() -> str:
    """Return the table of the inner protocol's messages."""
    place = importlib.resources.files("baobabturn.wire").joinpath("schema.capnp")
    schema = place.read_text("utf-8")
    union = schema[schema.index("union {") :]
    rows = [
        f"| `{kind}` | {number} |"
        for _, number, kind in SCHEMA_MEMBER.findall(union[: union.index("}")])
    ]
    return "\n".join(["| message | number |", "|---|---|", *rows]) + "\n"


def command_text(name: str, run: Callable) -> str:
    """Return the description of one subcommand."""
    doc = inspect.cleandoc(run.__doc__ or "")
    head, _, parameters = doc.partition("\nParameters\n----------\n")
    lines = [f"### baobabturn {name}", "", head.strip(), ""]
    texts = dict(PARAMETER.findall(parameters))
    for parameter in inspect.signature(run).parameters.values():
        option = "--" + parameter.name.replace("_", "-")
        if parameter.kind is not inspect.Parameter.KEYWORD_ONLY:
            option = parameter.name.upper()
        text = " ".join(texts[parameter.name].split())
        lines.append(f"- `{option}`: {text}")
    return "\n".join(lines) + "\n"


def cli_text() -> str:
    """Return the description of all subcommands."""
    commands = [name for name in app if not name.startswith("-")]
    texts = [
        command_text(name, app[name].default_command)  # type: ignore[arg-type]
        for name in commands
    ]
    return "\n".join(texts)


PAGES: dict[str, Callable[[], str]] = {
    "errors.md": error_table,
    "settings.md": settings_table,
    "events.md": events_table,
    "metrics.md": metrics_table,
    "protocol.md": protocol_table,
    "cli.md": cli_text,
}


def main() -> None:
    """Write every page's table anew."""
    for name, table in PAGES.items():
        path = DOCS / name
        before, _, rest = path.read_text().partition(BEGIN)
        after = rest.partition(END)[2]
        path.write_text(before + BEGIN + table() + END + after)


if __name__ == "__main__":
    main()
