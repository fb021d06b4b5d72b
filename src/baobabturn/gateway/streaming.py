"""The streams of a gateway and the parts that they share."""

from __future__ import annotations

import asyncio

from baobabturn.core.events import Event
from baobabturn.core.results import Failure
from baobabturn.gateway.crashwatch import suspects
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.relayedstream import RelayedStream, Send
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.streamparts import StreamParts
from baobabturn.quarantine.record import PartRecord


class Streams:
    """Relays streams, and keeps the set of those that are active."""

    def __init__(self, *, parts: StreamParts):
        self.program = parts.program
        self.parts = parts
        self.active: set[RelayedStream] = set()
        parts.crash_watch.ledger.quarantine_listeners.append(self.abort_unanswered)

    async def forward(self, request: CallerRequest, send: Send) -> Failure | None:
        """Relay one stream; return why it failed, None if it was complete.

        A failure has ``tokens`` above 0 if the response's head has been sent.
        """
        stream = RelayedStream(parts=self.parts, request=request, send=send)
        self.active.add(stream)
        try:
            async with stream.abort_scope:
                failure = await stream.run()
        except TimeoutError:
            if not stream.abort_scope.expired():
                raise
            failure = stream.abort_failure()
        finally:
            self.active.discard(stream)
        times = stream.times
        if failure is None:
            self.program.events.emit(
                Event.STREAM_FINISHED,
                request=request.request_id,
                events=times.event_count,
                first_ms=times.first_event_ms,
                longest_gap_ms=times.longest_gap_ms,
                gap_at=times.longest_gap_at,
            )
        if failure is not None and stream.head_sent:
            return Failure(
                failure.code, failure.reason, tokens=max(1, times.event_count)
            )
        return failure

    def abort_unanswered(self, part: PartRecord) -> None:
        """Abort the streams whose prompt has a part that has just been quarantined.

        Those that have had an event go on, as their engine hasn't crashed.
        """
        now = asyncio.get_running_loop().time()
        for stream in self.active:
            is_unanswered = not stream.times.event_count
            is_aborted = stream.abort_scope.when() is not None
            if is_aborted or not is_unanswered:
                continue
            if part.part in suspects(stream.request):
                stream.abort_scope.reschedule(now)

    def active_at(self, endpoint: Endpoint) -> list[RelayedStream]:
        """Return the active streams whose generation is at an endpoint."""
        return [
            stream
            for stream in self.active
            if stream.endpoint is endpoint and not stream.ended
        ]
