"""One stream: its admission, its relay, and its going on at another engine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import aiohttp

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure
from baobabturn.entry.outcome import Attempt, attempt_state, from_error, may_retry
from baobabturn.gateway.call import Call
from baobabturn.gateway.dialect import Continuation
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.exchange import Opened, read_whole
from baobabturn.gateway.httpheaders import end_to_end_headers
from baobabturn.gateway.plain import graver
from baobabturn.gateway.pools import Place
from baobabturn.gateway.sse import Splitter, SseEvent
from baobabturn.wire.words import ABANDONED, FAILED, FINISHED, REFUSED

if TYPE_CHECKING:
    from baobabturn.gateway.streaming import Streams

MS = 1000
# A request waits for a place up to this share of the time that its route
# promises, and then no longer than this.
PATIENCE_SHARE = 0.9
PATIENCE_LIMIT_S = 4.0
RETRY_AFTER_S = 0.5
LEAST_LEFT_S = 0.05
# How often a run's progress is told to the pool.
PROGRESS_S = 0.25
URGENT, USUAL = 4, 5
ENGINES_LIMIT = 4
# How many times one stream may go on elsewhere.
CONTINUATIONS_LIMIT = 12

Send = Callable[[Any], Any]
Onward = asyncio.Future[tuple[Place, Continuation] | None]


class StreamRun:
    """One generation for one caller, wherever it runs.

    ``after`` is the id of the last event that the caller got, ``onward`` is
    settled by a move with the place where the run goes on, or with None where
    it doesn't.
    """

    def __init__(self, *, streams: Streams, call: Call, send: Send):
        self.streams = streams
        self.pools = streams.pools
        self.program = streams.program
        self.call = call
        self.send = send
        self.place: Place | None = None
        self.endpoint: Endpoint | None = None
        self.opened: Opened | None = None
        self.onward: Onward | None = None
        self.excluded: list[str] = []
        self.after = b""
        self.events = 0
        self.sent = 0
        self.began = False
        self.ended = False
        self.told = 0.0
        self.last_event = 0.0
        self.first_us = 0.0
        self.longest_gap_us = 0.0
        self.longest_gap_at = ""

    async def run(self) -> Failure | None:
        """Relay the whole stream; return why it could not be, None if it was.

        Nothing has been sent to the caller as long as ``began`` is false.
        """
        try:
            failure = await self.start()
            for _ in range(CONTINUATIONS_LIMIT):
                if failure is not None:
                    return failure
                cut = await self.relay()
                if cut is None:
                    await self.send({"type": "http.response.body", "body": b""})
                    return None
                failure = await self.go_on(cut)
            return failure or Failure(Code.GENERATION_CUT, "moved too often")
        except asyncio.CancelledError:
            self.finish(ABANDONED)
            raise
        finally:
            self.finish(FAILED)

    def finish(self, outcome: str) -> None:
        """Close what is open and give the place back."""
        self.ended = True
        self.drop_onward()
        if self.opened is not None:
            self.opened.close()
        if self.place is not None:
            self.pools.release(self.place, outcome)

    def drop_onward(self) -> None:
        """Give back the place of a move that this run doesn't follow any more."""
        onward, self.onward = self.onward, None
        if onward is None or onward.cancel() or onward.cancelled():
            return
        found = onward.result()
        if found is not None:
            self.pools.release(found[0], ABANDONED)

    async def start(self) -> Failure | None:
        """Find an engine that takes the request; return why there is none."""
        failure: Any = None
        for attempt in range(ENGINES_LIMIT):
            left_s = self.call.left_s()
            patience_s = min(self.patience_s(), left_s - LEAST_LEFT_S)
            if patience_s <= 0:
                return failure or Failure(Code.DEADLINE_NOT_RUN, "no time was left")
            if self.sent and not self.may_send_again():
                return failure
            place = await self.pools.admit(
                self.call,
                patience_s=patience_s,
                excluded=self.excluded,
                attempt=attempt + 1,
            )
            if isinstance(place, Failure):
                return failure or refusal(place)
            latest = await self.open(place, None)
            if latest is None:
                return None
            failure = latest if failure is None else graver(failure, latest)
            if not self.may_try_elsewhere(latest):
                return failure
        return failure

    def patience_s(self) -> float:
        """Return how long the request may still wait for a place."""
        waited_s = time.monotonic() - self.call.arrived
        goal_s = PATIENCE_SHARE * self.call.route.answer_goal_s
        return min(goal_s, PATIENCE_LIMIT_S) - waited_s

    def may_send_again(self) -> bool:
        """Return whether the budget lets the request reach another engine."""
        return self.streams.budget.take(self.call.service.name)

    def may_try_elsewhere(self, failure: Failure) -> bool:
        """Return whether another engine may be tried after a failure."""
        if attempt_state(failure) in (Attempt.UNSENT, Attempt.REFUSED):
            return True
        repeatable = self.call.route.repeatable
        within = self.sent < self.call.route.attempt_limit
        return within and may_retry(failure, repeatable)

    async def open(self, place: Place, onward: Continuation | None) -> Failure | None:
        """Send the request to a place's engine; return why it wasn't taken."""
        endpoint = self.streams.endpoints.by_name.get(place.endpoint)
        if endpoint is None:
            self.pools.release(place, REFUSED)
            return Failure(Code.NO_ENDPOINT, f"{place.endpoint} is gone")
        self.place, self.endpoint = place, endpoint
        self.program.events.emit(
            Event.ATTEMPT_SENT,
            request=self.call.ident,
            endpoint=endpoint.name,
            after=self.after.decode("latin-1"),
            waited_ms=int((time.monotonic() - self.call.arrived) * MS),
        )
        opened = await self.streams.exchange.open(
            self.call,
            endpoint,
            limit_s=self.call.left_s(),
            urgency=URGENT if place.urgent else USUAL,
            onward=onward,
        )
        if isinstance(opened, Failure):
            self.note_refusal(place, opened)
            return opened
        self.opened = opened
        self.sent += 1
        return await self.begin(opened)

    def note_refusal(self, place: Place, failure: Failure) -> None:
        """Give a place back whose engine didn't take the request."""
        self.excluded.append(place.endpoint)
        refused = attempt_state(failure) in (Attempt.UNSENT, Attempt.REFUSED)
        self.sent += attempt_state(failure) is not Attempt.UNSENT
        self.pools.release(place, REFUSED if refused else FAILED)
        self.program.events.emit(
            Event.ATTEMPT_REFUSED,
            request=self.call.ident,
            endpoint=place.endpoint,
            code=int(failure.code),
            reason=failure.reason,
        )

    async def begin(self, opened: Opened) -> Failure | None:
        """Send the head of the answer to the caller, once."""
        if self.began:
            if opened.status == 200:
                return None
            return Failure(Code.GENERATION_CUT, f"status {opened.status} on the way")
        if opened.status >= 500 and self.call.route.repeatable:
            # The engine's own failure: another one may do better.
            failure = Failure(Code.OUTCOME_UNKNOWN, f"status {opened.status}")
            if self.sent < self.call.route.attempt_limit:
                opened.close()
                self.excluded.append(opened_name(self))
                if self.place is not None:
                    self.pools.release(self.place, FAILED)
                return failure
        self.began = True
        headers = end_to_end_headers(opened.headers) + self.streams.connection_headers()
        await self.send(
            {
                "type": "http.response.start",
                "status": opened.status,
                "headers": headers,
            }
        )
        return None

    async def relay(self) -> Failure | None:
        """Pass events on until the engine's answer ends; return how it was cut."""
        assert self.opened is not None
        if self.opened.status != 200:
            return await self.relay_plain(self.opened)
        splitter = Splitter()
        limit_s = self.call.left_s()
        try:
            async with asyncio.timeout(limit_s):
                async for data in self.opened.response.content.iter_any():
                    for event in splitter.feed(data):
                        failure = await self.pass_on(event)
                        if failure is not None:
                            return failure
        except TimeoutError:
            return Failure(Code.DEADLINE_PARTIAL, "the deadline passed")
        except (aiohttp.ClientError, OSError) as error:
            return from_error(error)
        if splitter.rest.strip():
            return Failure(Code.GENERATION_CUT, "ended within an event")
        self.finish(FINISHED)
        return None

    async def relay_plain(self, opened: Opened) -> Failure | None:
        """Pass on an answer that is no stream."""
        try:
            async with asyncio.timeout(max(0.0, self.call.left_s())):
                body = await read_whole(opened.response)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, "the deadline passed")
        except (aiohttp.ClientError, OSError) as error:
            return from_error(error)
        if isinstance(body, Failure):
            return body
        await self.send({"type": "http.response.body", "body": body, "more_body": True})
        self.finish(FAILED)
        return None

    async def pass_on(self, event: SseEvent) -> Failure | None:
        """Send one event to the caller, if it is the next one."""
        number = event.number
        last = int(self.after) if self.after.isdigit() else None
        if number is not None and last is not None and number <= last:
            return None
        if number is not None and last is not None and number > last + 1:
            return Failure(Code.GENERATION_CUT, f"event {number} after {last}")
        await self.send(
            {"type": "http.response.body", "body": event.data, "more_body": True}
        )
        self.note_event(event)
        return None

    def note_event(self, event: SseEvent) -> None:
        """Count an event and tell the pool of the run's progress at times."""
        now = time.monotonic()
        call = self.call
        if event.ident:
            self.after = event.ident
        if not self.events:
            first_us = self.first_us = (now - call.arrived) * 1_000_000
            self.program.metrics.record(
                "time_to_first_event_us", first_us, route=call.route.name
            )
            self.program.events.emit(
                Event.FIRST_TOKEN,
                request=call.ident,
                endpoint=opened_name(self),
                after_ms=int(first_us / MS),
            )
        else:
            gap_us = (now - self.last_event) * 1_000_000
            if gap_us > self.longest_gap_us:
                self.longest_gap_us = gap_us
                self.longest_gap_at = f"{opened_name(self)}/{self.events}"
            self.program.metrics.record(
                "time_between_events_us", gap_us, route=call.route.name
            )
        self.events += 1
        self.last_event = now
        if self.place is not None and (
            self.events == 1 or now - self.told >= PROGRESS_S
        ):
            self.told = now
            per_event = self.streams.tokens_per_event(call)
            self.pools.progressed(self.place, self.events * per_event)

    async def go_on(self, cut: Failure) -> Failure | None:
        """Let a stream that was cut go on elsewhere; return why it can't."""
        self.program.events.emit(
            Event.STREAM_CUT,
            request=self.call.ident,
            endpoint=opened_name(self),
            events=self.events,
            reason=str(cut),
            moving=self.onward is not None,
        )
        if self.opened is not None:
            self.opened.close()
        if cut.code in (Code.DEADLINE_PARTIAL, Code.DEADLINE_UNKNOWN):
            return cut
        moved = await self.moved()
        if moved is not None:
            return await self.go_on_moved(*moved)
        if self.place is not None:
            self.pools.release(self.place, FAILED)
        return await self.go_on_anew(cut)

    async def moved(self) -> tuple[Place, Continuation] | None:
        """Return where a move has taken the run, None where there is no move."""
        onward = self.onward
        if onward is None:
            return None
        await asyncio.wait({onward}, timeout=max(0.0, self.call.left_s()))
        if not onward.done():
            self.drop_onward()
            return None
        self.onward = None
        return onward.result()

    async def go_on_moved(self, place: Place, onward: Continuation) -> Failure | None:
        """Go on from the copy of the run's memory at another engine."""
        old = self.place
        if old is not None and old is not place:
            self.pools.release(old, FAILED)
        onward = Continuation(after=self.after.decode("latin-1"), memory=onward.memory)
        paused_s = time.monotonic() - self.last_event
        # It counts as the run that it was.
        self.sent -= 1
        failure = await self.open(place, onward)
        if failure is not None and old is not None and old is not place:
            # The engine that stopped the run still has its memory.
            failure = await self.open(self.pools.hold(old), onward)
        self.program.events.emit(
            Event.RUN_MOVED if failure is None else Event.MOVE_FAILED,
            request=self.call.ident,
            endpoint=place.endpoint,
            events=self.events,
            paused_ms=int(paused_s * MS),
            reason=failure.reason if failure is not None else "",
        )
        return failure

    async def go_on_anew(self, cut: Failure) -> Failure | None:
        """Run the rest at another engine, where the route lets that be done."""
        route = self.call.route
        if not route.continuable or self.sent >= route.attempt_limit:
            return cut
        if self.call.left_s() < LEAST_LEFT_S or not self.may_send_again():
            return cut
        self.excluded.append(opened_name(self))
        place = await self.pools.admit(
            self.call,
            patience_s=min(PATIENCE_LIMIT_S, self.call.left_s()),
            excluded=self.excluded,
            attempt=self.sent + 1,
        )
        if isinstance(place, Failure):
            return cut
        onward = Continuation(after=self.after.decode("latin-1"))
        return await self.open(place, onward)


def opened_name(run: StreamRun) -> str:
    """Return the name of the endpoint where a run is or was last."""
    return run.endpoint.name if run.endpoint is not None else ""


def refusal(failure: Failure) -> Failure:
    """Return what a caller is told whose request found no place in time."""
    if failure.code is not Code.DEADLINE_NOT_RUN:
        return failure
    return Failure(Code.SATURATED, failure.reason, retry_after_s=RETRY_AFTER_S)
