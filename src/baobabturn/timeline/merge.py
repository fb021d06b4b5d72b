"""Reads event lines and merges them in causal order.

The stamps are hybrid logical clocks, so an event that a message brought about
sorts after the event that sent the message.
"""

from __future__ import annotations

import re

import attrs

PAIR = re.compile(r"([a-z_]+)=('(?:[^'\\]|\\.)*'|\S+)")
ESCAPE = re.compile(r"\\(.)")


@attrs.frozen(kw_only=True)
class Line:
    """One event: its stamp and all of its fields."""

    stamp: tuple[int, int]
    fields: dict[str, str]


def unquoted(text: str) -> str:
    """Return a value as it was before it was quoted for the log."""
    if text[:1] != "'":
        return text
    return ESCAPE.sub(lambda found: found[1].replace("n", "\n"), text[1:-1])


def parse_line(text: str) -> Line | None:
    """Return the event in a log line, None where it holds none."""
    if not text.startswith("hlc="):
        return None
    fields = {name: unquoted(value) for name, value in PAIR.findall(text)}
    ms, _, counter = fields["hlc"].partition(".")
    if not (ms.isdigit() and counter.isdigit() and "event" in fields):
        return None
    return Line(stamp=(int(ms), int(counter)), fields=fields)


def parse_lines(text: str) -> list[Line]:
    """Return the events in a log's text."""
    found = (parse_line(line) for line in text.splitlines())
    return [line for line in found if line is not None]


def merge(lines: list[Line], wanted: dict[str, str]) -> list[Line]:
    """Return the events that have the wanted fields, in causal order."""
    kept = [
        line
        for line in lines
        if all(line.fields.get(name) == value for name, value in wanted.items())
    ]
    unique = {tuple(line.fields.items()): line for line in kept}
    return sorted(
        unique.values(), key=lambda line: (line.stamp, line.fields.get("node", ""))
    )
