"""Reads the events of an engine's stream, and gives up on a stalled engine."""

from __future__ import annotations

import asyncio

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.entry.outcome import failure_from_exception
from baobabturn.gateway.routes import Route
from baobabturn.gateway.sse import MAX_EVENT_BYTES, EventSplitter, SseEvent

# An engine counts as stalled when it has sent no event for this multiple of the
# route's goal for the first event, or of its goal for the gap between two events.
# Callers give up sooner, after four and eight times these goals.
STALL_ANSWER_GOALS = 6
STALL_GAP_GOALS = 12
MIN_STALL_TIMEOUT_S = 5.0


def stall_timeout_s(route: Route) -> float:
    """Return after how many seconds without an event an engine counts as stalled."""
    return max(
        MIN_STALL_TIMEOUT_S,
        STALL_ANSWER_GOALS * route.answer_goal_s,
        STALL_GAP_GOALS * route.event_gap_goal_s,
    )


class EventReader:
    """Reads one response; times are those of the event loop's clock.

    Bytes that complete no event, and comments, don't show that the engine works on
    its answer.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        remaining_s: float,
        stall_timeout_s: float,
    ):
        self.content = response.content
        self.splitter = EventSplitter()
        self.deadline = asyncio.get_running_loop().time() + remaining_s
        self.stall_timeout_s = stall_timeout_s
        self.stalled_at = 0.0
        self.restart_stall_timer()

    def restart_stall_timer(self) -> None:
        """Count the time without an event from now on."""
        now = asyncio.get_running_loop().time()
        self.stalled_at = now + self.stall_timeout_s

    async def next_events(self) -> list[SseEvent] | Failure | None:
        """Return the next events, None after the last, or why none follow."""
        while True:
            try:
                async with asyncio.timeout_at(min(self.deadline, self.stalled_at)):
                    data = await self.content.readany()
            except TimeoutError:
                return self.timeout_failure()
            except (aiohttp.ClientError, OSError) as error:
                return failure_from_exception(error)
            if not data:
                return self.end()
            events = self.splitter.feed(data)
            if self.splitter.overflowed:
                reason = f"an event exceeds {MAX_EVENT_BYTES} bytes"
                return Failure(Code.GENERATION_CUT, reason)
            if events:
                return events

    def timeout_failure(self) -> Failure:
        """Return the failure for the limit that has been reached."""
        if self.deadline <= self.stalled_at:
            return Failure(Code.DEADLINE_PARTIAL, "the deadline passed")
        reason = f"no event for {self.stall_timeout_s:g} s"
        return Failure(Code.GENERATION_CUT, reason)

    def end(self) -> Failure | None:
        """Return what is wrong with the end of the response, None if it is complete."""
        if self.splitter.pending.strip():
            return Failure(Code.GENERATION_CUT, "the response ended within an event")
        return None
