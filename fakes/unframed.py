"""An engine whose streams have neither a length nor chunks."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from fakes.rawhttp import response_bytes
from fakes.site import RESPONSE_STAMP, SiteEndpoint
from fakes.siteconfig import ENGINE_SERVICE

EVENT_INTERVAL_S = 0.01
# So many events come before a stream breaks off.
BROKEN_AFTER_EVENTS = 5
# The value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def end_inside_event(
    engine: UnframedEngine, writer: asyncio.StreamWriter, number: int
) -> None:
    """Close the connection in the middle of an event."""
    writer.write(b"id: %d\ndata: half" % number)


def reset(engine: UnframedEngine, writer: asyncio.StreamWriter, number: int) -> None:
    """Reset the connection after a whole event."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def end_process(
    engine: UnframedEngine, writer: asyncio.StreamWriter, number: int
) -> None:
    """Close the connection after a whole event, and the listener with it."""
    if engine.server is not None:
        engine.server.close()


def no_change(
    engine: UnframedEngine, writer: asyncio.StreamWriter, number: int
) -> None:
    """Close the connection as after a whole stream."""


Ending = Callable[["UnframedEngine", asyncio.StreamWriter, int], None]
ENDINGS: dict[str, Ending] = {
    "inside an event": end_inside_event,
    "with a reset": reset,
    "with its engine": end_process,
    "before its first event": no_change,
    "after its last event": no_change,
}


class UnframedEngine(SiteEndpoint):
    """An engine whose streams end with their connection; the first one ends badly.

    ``ending`` is a key of ``ENDINGS``; all later streams are whole.
    """

    def __init__(self, *, name: str, events: int, ending: str):
        super().__init__(name=name, service=ENGINE_SERVICE, events=events)
        self.ending = ending

    def event_limit(self) -> int:
        """Return after how many events this stream ends."""
        if self.ending == "after its last event":
            return self.event_count
        return 0 if self.ending == "before its first event" else BROKEN_AFTER_EVENTS

    async def stream(self, request, reader, writer) -> None:
        """Stream events from the one after the request's Last-Event-ID."""
        headers = {
            "X-Attempt-Id": request.attempt_id,
            "X-Response-Stamp": RESPONSE_STAMP,
            "Content-Type": "text/event-stream",
        }
        writer.write(response_bytes(200, b"", headers, length=False))
        first = int(request.headers.get("last-event-id") or 0)
        limit = self.event_limit()
        for number in range(first + 1, limit + 1):
            writer.write(b"id: %d\ndata: %d\n\n" % (number, number))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        ending, self.ending = self.ending, "after its last event"
        ENDINGS[ending](self, writer, limit + 1)
