"""``baobabturn timeline``: merges the events of all processes in causal order."""

from __future__ import annotations

import asyncio
import pathlib

from baobabturn.commands.common import (
    CommandError,
    ask_entry,
    print_json,
    read_settings,
)
from baobabturn.core.results import Code, Failure
from baobabturn.timeline.merge import Line, merge, parse_lines


def run(
    *files: str,
    entry: list[str] | None = None,
    request: str = "",
    node: str = "",
    event: str = "",
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Print the merged time line.

    Parameters
    ----------
    files:
        Log files of any processes.
    entry:
        The URL of an entry whose host's newest events are read; may be repeated.
    request:
        Keep the events of this request only.
    node:
        Keep the events of this host only.
    event:
        Keep the events of this name only.
    settings:
        The settings file; its admin key is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print as JSON.
    """
    key = read_settings(settings, set).entry.admin_key
    lines = [line for file in files for line in parse_lines(read_log(file))]
    for url in entry or []:
        lines.extend(parse_lines(asyncio.run(ask_entry(url, "/admin/events", key))))
    wanted = {"request": request, "node": node, "event": event}
    found = merge(lines, {name: value for name, value in wanted.items() if value})
    if json:
        print_json([line.fields for line in found])
    else:
        print("\n".join(show(line) for line in found))
    return 0


def read_log(file: str) -> str:
    """Return a log file's text."""
    try:
        return pathlib.Path(file).read_text("utf-8", "replace")
    except OSError as error:
        failure = Failure(Code.BAD_FIELD, f"{file}: {error.strerror}")
        raise CommandError(failure) from None


def show(line: Line) -> str:
    """Return a line of the time line for people."""
    rest = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in HEAD
    )
    fields = line.fields
    who = f"{fields['node']}/{fields['role']}"
    return f"{fields['hlc']:<20} {who:<24} {fields['event']:<22} {rest}"


HEAD = ("hlc", "node", "role", "domain", "event")
