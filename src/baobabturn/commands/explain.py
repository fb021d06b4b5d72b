"""``baobabturn explain``: shows what decided one request's fate."""

from __future__ import annotations

from baobabturn.commands.common import CommandError, print_json
from baobabturn.commands.timeline import read_log, show
from baobabturn.core.results import Code, Failure
from baobabturn.timeline.explain import explain
from baobabturn.timeline.merge import Wanted, merge, parse_lines


def run(request: str, *files: str, json: bool = False) -> int:
    """Print a request's events, what its processes believed, and how it ended.

    Parameters
    ----------
    request:
        The request's id.
    files:
        Log files of any processes; - is standard input.
    json:
        Print as JSON.
    """
    lines = [line for file in files for line in parse_lines(read_log(file))]
    found = explain(merge(lines, Wanted()), request)
    if found is None:
        reason = f"no event names the request {request}"
        raise CommandError(Failure(Code.NOT_FOUND, reason))
    if json:
        events = [line.fields for line in found.lines]
        print_json({"outcome": found.outcome, "events": events})
        return 0
    for line in found.lines:
        print(show(line))
    print(f"outcome: {found.outcome}")
    return 0
