"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import attrs

ID_FIELD = b"id:"
COMMENT_START = b":"
RESPONSE_HEAD_START = b"HTTP/1."
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES = 4
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class SseEvent:
    """The unchanged bytes of an event and its id, empty if the event has none."""

    data: bytes
    event_id: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether the event consists of comment lines only."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(COMMENT_START) for line in lines)

    @property
    def is_response_head(self) -> bool:
        """Return whether this is no event but the head of an HTTP response."""
        return self.data.lstrip().startswith(RESPONSE_HEAD_START)

    @property
    def number(self) -> int | None:
        """Return the id as a number, None if it isn't one."""
        return int(self.event_id) if self.event_id.isdigit() else None


class EventSplitter:
    """Collects bytes and returns the events that are complete.

    Example::

        >>> EventSplitter().feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        [SseEvent(data=b'id: 1\\ndata: a\\n\\n', event_id=b'1')]
    """

    def __init__(self):
        self.pending = b""

    @property
    def overflowed(self) -> bool:
        """Return whether the pending event is larger than any is expected to be."""
        return len(self.pending) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[SseEvent]:
        """Add bytes to the stream; return the events that they complete."""
        searched_bytes = max(0, len(self.pending) - MAX_TERMINATOR_BYTES)
        self.pending += data
        events: list[SseEvent] = []
        while True:
            end = find_event_end(self.pending, searched_bytes)
            if end < 0:
                return events
            event, self.pending = self.pending[:end], self.pending[end:]
            searched_bytes = 0
            events.append(SseEvent(event, parse_event_id(event)))


def find_event_end(data: bytes, start: int) -> int:
    """Return the index after the first event that ends after ``start``, or -1."""
    ends = [
        position + len(end)
        for end in EVENT_TERMINATORS
        if (position := data.find(end, start)) >= 0
    ]
    return min(ends, default=-1)


def parse_event_id(event: bytes) -> bytes:
    """Return an event's id, empty if it has none."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""
