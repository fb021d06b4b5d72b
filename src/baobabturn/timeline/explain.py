"""Finds in merged events what decided one request's fate."""

from __future__ import annotations

import attrs

from baobabturn.core.events import Event
from baobabturn.core.results import CODE_TABLE, Code
from baobabturn.timeline.merge import Line

# What a process came to believe up to this long before a request may explain it.
BEFORE_MS = 6000
AFTER_MS = 500

# Events that change what a process believes, not what happens to one request.
STATE_EVENTS = frozenset(
    event.value
    for event in (
        Event.CONFIG_IN_FORCE,
        Event.KEYS_CONFIRMED,
        Event.KEYS_UNCONFIRMED,
        Event.PLATFORM_DOWN,
        Event.PLATFORM_UP,
        Event.STORE_ERA,
        Event.PROCESS_STARTED,
        Event.PROCESS_DRAINING,
        Event.PROCESS_STOPPED,
        Event.SETTINGS_READ,
        Event.ENDPOINT_SEEN,
        Event.ENDPOINT_LEAVING,
        Event.ENDPOINT_SUSPECT,
        Event.ENDPOINT_RESTORED,
        Event.ENTRY_UNREADABLE,
    )
)
ENDPOINT_FIELDS = ("endpoint", "target")


@attrs.frozen(kw_only=True)
class Explanation:
    """A request's own events, what its processes believed, and how it ended."""

    lines: list[Line]
    outcome: str


def endpoints_of(lines: list[Line]) -> set[str]:
    """Return the endpoints that some events name."""
    return {
        line.fields[name]
        for line in lines
        for name in ENDPOINT_FIELDS
        if line.fields.get(name)
    }


def explain(lines: list[Line], request: str) -> Explanation | None:
    """Return what the events say of a request, None where they don't name it.

    Of what its processes came to believe meanwhile, only that is kept which
    concerns an endpoint of the request, or no endpoint at all.
    """
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    first, last = own[0].stamp[0] - BEFORE_MS, own[-1].stamp[0] + AFTER_MS
    processes = {line.process for line in own}
    endpoints = endpoints_of(own)

    def belongs(line: Line) -> bool:
        if line.fields.get("request") == request:
            return True
        if line.process not in processes or line.fields["event"] not in STATE_EVENTS:
            return False
        named = line.fields.get("endpoint")
        in_time = first <= line.stamp[0] <= last
        return in_time and (named is None or named in endpoints)

    found = [line for line in lines if belongs(line)]
    return Explanation(lines=found, outcome=outcome(own))


def outcome(own: list[Line]) -> str:
    """Return in words how a request ended, by its own events."""
    for line in reversed(own):
        code = line.fields.get("code", "")
        if line.fields["event"] == Event.REQUEST_FINISHED.value:
            return f"answered with status {line.fields.get('status', '?')}"
        if code.isdigit() and int(code) in CODE_TABLE:
            row = CODE_TABLE[Code(int(code))]
            reason = line.fields.get("reason") or "no further reason"
            run = line.fields.get("run") or row.run.value
            return f"failed with {code}: {row.meaning} ({reason}; run: {run})"
    return "no end in these logs: its process may have been killed"
