"""Reads event lines and merges them in causal order.

The stamps are hybrid logical clocks, so an event that a message brought about
sorts after the event that sent the message.
"""

from __future__ import annotations

import re

import attrs

PAIR = re.compile(r"([a-z_]+)=('(?:[^'\\]|\\.)*'|\S+)")
ESCAPE = re.compile(r"\\(u[0-9a-f]{6}|.)")
FIRST = "hlc="
HEAD = ("hlc", "node", "role", "domain", "event")
ATTEMPT_FIELDS = ("attempt", "generation")


@attrs.frozen(kw_only=True)
class Line:
    """One event: its stamp and all of its fields."""

    stamp: tuple[int, int]
    fields: dict[str, str]

    @property
    def process(self) -> str:
        """Return the process that the event is of."""
        return f"{self.fields['node']}/{self.fields['role']}"

    @property
    def rest(self) -> str:
        """Return the fields that not every event has, as text."""
        return " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in HEAD
        )


@attrs.frozen(kw_only=True)
class Wanted:
    """Which events to keep; an empty field keeps all."""

    request: str = ""
    node: str = ""
    event: str = ""


def unescaped(found: re.Match[str]) -> str:
    """Return the character that an escape in a log line stands for."""
    text = found[1]
    if text == "n":
        return "\n"
    return chr(int(text[1:], 16)) if len(text) > 1 else text


def unquoted(text: str) -> str:
    """Return a value as it was before it was quoted for the log."""
    if text[:1] != "'":
        return text
    return ESCAPE.sub(unescaped, text[1:-1])


def parse_line(text: str) -> Line | None:
    """Return the event in a log line, None where it holds none.

    What collects logs may put words of its own before the event.
    """
    start = text.find(FIRST)
    if start < 0 or (start and text[start - 1] != " "):
        return None
    text = text[start:]
    fields = {name: unquoted(value) for name, value in PAIR.findall(text)}
    if not all(name in fields for name in HEAD):
        return None
    ms, _, counter = fields["hlc"].partition(".")
    if not (ms.isdecimal() and counter.isdecimal()):
        return None
    return Line(stamp=(int(ms), int(counter)), fields=fields)


def parse_lines(text: str) -> list[Line]:
    """Return the events in a log's text."""
    found = (parse_line(line) for line in text.split("\n"))
    return [line for line in found if line is not None]


def attempts_of(lines: list[Line], request: str) -> set[str]:
    """Return the attempts of a request, for events that name those alone."""
    return {
        line.fields[name]
        for line in lines
        for name in ATTEMPT_FIELDS
        if line.fields.get("request") == request and name in line.fields
    }


def is_wanted(line: Line, wanted: Wanted, attempts: set[str]) -> bool:
    """Return whether an event is to be kept."""
    fields = line.fields
    if wanted.node not in ("", fields["node"], line.process):
        return False
    if wanted.event not in ("", fields["event"]):
        return False
    if wanted.request in ("", fields.get("request")):
        return True
    return any(fields.get(name) in attempts for name in ATTEMPT_FIELDS)


def merge(lines: list[Line], wanted: Wanted) -> list[Line]:
    """Return the wanted events of all processes, each once, in causal order."""
    attempts = attempts_of(lines, wanted.request) if wanted.request else set()
    unique = {
        tuple(line.fields.items()): line
        for line in lines
        if is_wanted(line, wanted, attempts)
    }
    return sorted(unique.values(), key=lambda line: (line.stamp, line.process))
