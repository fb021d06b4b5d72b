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
from baobabturn.commands.progress import with_progress
from baobabturn.core.program import complain
from baobabturn.core.results import Code, Failure
from baobabturn.timeline.merge import Line, Wanted, merge, parse_lines
from baobabturn.timeline.picture import picture


def run(
    *files: str,
    entry: list[str] | None = None,
    request: str = "",
    node: str = "",
    event: str = "",
    html: str = "",
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
        Keep the events of this request and of its attempts only.
    node:
        Keep the events of this host, or this host/role, only.
    event:
        Keep the events of this name only.
    html:
        Write a picture with a lane for each process to this file instead.
    settings:
        The settings file; its admin key is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print as JSON.
    """
    key = read_settings(settings, set).entry.admin_key
    lines = [line for file in files for line in parse_lines(read_log(file))]
    reading = with_progress(ask_all(entry or [], key), lambda: "reading the entries")
    lines.extend(asyncio.run(reading))
    found = merge(lines, Wanted(request=request, node=node, event=event))
    if html:
        write_page(html, picture(found))
    if json:
        print_json([line.fields for line in found])
    elif html:
        print(f"wrote {len(found)} events to {html}")
    else:
        for line in found:
            print(show(line))
    return 0


async def ask_all(entries: list[str], key: str) -> list[Line]:
    """Return the newest events of the hosts of some entries.

    One that doesn't answer is said and left out, as long as another answers.
    """
    found = await asyncio.gather(*(ask_events(url, key) for url in entries))
    failures = [each for each in found if isinstance(each, CommandError)]
    if failures and len(failures) == len(found):
        raise failures[0]
    for failure in failures:
        complain(f"left out: {failure.failure}")
    return [
        line for text in found if isinstance(text, str) for line in parse_lines(text)
    ]


async def ask_events(entry: str, key: str) -> str | CommandError:
    """Return the event lines of an entry's host, or why there are none."""
    try:
        return await ask_entry(entry, "/admin/events", key)
    except CommandError as error:
        return error


def read_log(file: str) -> str:
    """Return a log file's text."""
    try:
        return pathlib.Path(file).read_text("utf-8", "replace")
    except OSError as error:
        failure = Failure(Code.BAD_FIELD, f"{file}: {error.strerror}")
        raise CommandError(failure) from None


def write_page(file: str, text: str) -> None:
    """Write the picture's page."""
    try:
        pathlib.Path(file).write_text(text, "utf-8")
    except OSError as error:
        failure = Failure(Code.BAD_FIELD, f"{file}: {error.strerror}")
        raise CommandError(failure) from None


def show(line: Line) -> str:
    """Return a line of the time line for people."""
    event = line.fields["event"]
    text = f"{line.fields['hlc']:<20} {line.process:<24} {event:<22} {line.rest}"
    return text.rstrip()
