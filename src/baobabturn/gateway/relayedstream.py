"""Relays one generation to its caller, across engines if one fails or leaves."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure
from baobabturn.entry.outcome import (
    AttemptState,
    attempt_state,
    failure_from_exception,
    may_retry,
)
from baobabturn.gateway.callersend import CallerStalled
from baobabturn.gateway.endpointclient import OpenResponse
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.eventreader import EventReader, stall_timeout_s
from baobabturn.gateway.httpheaders import end_to_end_headers
from baobabturn.gateway.plain import more_significant
from baobabturn.gateway.platforminterface import Continuation
from baobabturn.gateway.pools import HeldReservation
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.responsewatch import ResponseWatch
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.sse import SseEvent
from baobabturn.gateway.streamparts import StreamParts, tokens_per_event
from baobabturn.gateway.streamtimes import StreamTimes
from baobabturn.gateway.streamversion import StreamVersion
from baobabturn.quarantine.refusal import is_quarantined
from baobabturn.wire.words import ABANDONED, FAILED, FINISHED, REFUSED

MS_PER_S = 1000
# A request may wait for a reservation for this share of its route's goal for the
# first event, and for this long at most.
QUEUE_TIMEOUT_GOAL_RATIO = 0.9
MAX_QUEUE_TIMEOUT_S = 4.0
RETRY_AFTER_S = 0.5
MIN_REMAINING_S = 0.05
# Minimum time between two reports of a generation's progress to its pool.
PROGRESS_INTERVAL_S = 0.25
# Engines run lower numbers first.
URGENT_ENGINE_PRIORITY, NORMAL_ENGINE_PRIORITY = 4, 5
MAX_ENGINES_TRIED = 4
# How often one stream may be continued at another engine.
MAX_CONTINUATIONS = 12

# How a reservation ends whose attempt failed.  An engine that this gateway can't
# connect to hasn't refused it, and others may reach it.
RELEASE_OUTCOMES = {AttemptState.UNSENT: ABANDONED, AttemptState.REFUSED: REFUSED}

Send = Callable[[Any], Any]
ContinuationFuture = asyncio.Future[tuple[HeldReservation, Continuation] | None]


class RelayedStream:
    """Relays one generation to one caller, wherever it runs.

    ``last_event_id`` is the id of the last event that the caller has.  A migration
    sets ``continuation_future`` to the reservation and the copied KV cache with
    which the generation continues, or to None if the migration failed.
    ``stop_asked`` says that a migration has asked the engine to stop the generation,
    after which the response's end may not be that of the answer.
    ``version`` is the software version that began the stream.
    """

    def __init__(self, *, parts: StreamParts, request: CallerRequest, send: Send):
        self.parts = parts
        self.pools = parts.pools
        self.program = parts.program
        self.request = request
        self.send = send
        self.reservation: HeldReservation | None = None
        self.endpoint: Endpoint | None = None
        self.response: OpenResponse | None = None
        self.continuation_future: ContinuationFuture | None = None
        self.stop_asked = False
        self.excluded: list[str] = []
        self.abort_scope = asyncio.timeout(None)
        resumption = request.resumption
        self.last_event_id = (
            resumption.last_event_id.encode("latin-1") if resumption else b""
        )
        self.version = StreamVersion(endpoints=parts.endpoints, pools=parts.pools)
        self.attempts_sent = 0
        self.responses = ResponseWatch(
            crash_watch=parts.crash_watch,
            endpoint_client=parts.endpoint_client,
            request=request,
        )
        self.head_sent = False
        self.ended = False
        self.progress_recorded_at = 0.0
        self.times = StreamTimes(
            metrics=parts.program.metrics,
            route=request.route.name,
            arrived_at=request.arrived_at,
        )

    async def run(self) -> Failure | None:
        """Relay the whole stream; return why it failed, None if it is complete.

        Nothing has been sent to the caller while ``head_sent`` is false.
        """
        try:
            failure = await self.start()
            for _ in range(MAX_CONTINUATIONS):
                if failure is not None:
                    return failure
                interruption = await self.relay_events()
                if interruption is None:
                    await self.send({"type": "http.response.body", "body": b""})
                    return None
                failure = await self.continue_elsewhere(interruption)
            return failure or Failure(Code.GENERATION_CUT, "continued too often")
        except (asyncio.CancelledError, CallerStalled):
            self.finish(ABANDONED)
            raise
        finally:
            self.finish(FAILED)

    def finish(self, outcome: str) -> None:
        """Close the response, release the reservation and end the stream."""
        self.ended = True
        self.drop_continuation()
        if self.response is not None:
            self.response.close()
        if self.reservation is not None:
            self.pools.release(self.reservation, outcome)

    def abort_failure(self) -> Failure:
        """Return the failure of a stream that was aborted for its prompt."""
        refusal = self.parts.crash_watch.refusal(self.request)
        if refusal is not None and not self.request.sent:
            return refusal
        return Failure(Code.OUTCOME_UNKNOWN, "its prompt crashes engines")

    def drop_continuation(self) -> None:
        """Release the reservation of a migration that this stream no longer follows."""
        future, self.continuation_future = self.continuation_future, None
        if future is None or future.cancel() or future.cancelled():
            return
        result = future.result()
        if result is not None:
            self.pools.release(result[0], ABANDONED)

    async def start(self) -> Failure | None:
        """Find an engine that accepts the request; return why none did."""
        failure: Any = await self.bind_to_origin()
        if failure is not None:
            return failure
        for attempt in range(MAX_ENGINES_TRIED):
            remaining_s = self.request.remaining_s()
            queue_timeout_s = min(self.queue_timeout_s(), remaining_s - MIN_REMAINING_S)
            refusal = self.parts.crash_watch.refusal(self.request)
            if refusal is not None:
                return failure or refusal
            if queue_timeout_s <= 0:
                return failure or Failure(Code.DEADLINE_NOT_RUN, "no time was left")
            if self.attempts_sent and not self.try_spend_retry():
                return failure
            reservation = await self.pools.admit(
                self.request,
                queue_timeout_s=queue_timeout_s,
                excluded=self.excluded,
                attempt=attempt + 1,
                software_version=self.version.key,
            )
            if isinstance(reservation, Failure):
                return failure or to_caller_failure(reservation)
            attempt_failure = await self.open_at(reservation, None)
            if attempt_failure is None:
                return None
            failure = (
                attempt_failure
                if failure is None
                else more_significant(failure, attempt_failure)
            )
            if not self.may_try_other_engine(attempt_failure):
                return failure
            if not self.parts.paths.reaches(self.request.service.name):
                return failure
        return failure

    async def bind_to_origin(self) -> Failure | None:
        """Bind a stream that its caller resumes to its origin; return why it can't be.

        It goes to the service that began it, also if the route has others by now.
        """
        if self.request.resumption is None:
            return None
        origin = await self.parts.resumed_streams.origin(self.request)
        if isinstance(origin, Failure):
            return origin
        table = self.parts.table()
        service = table.services.get(origin.service) if table is not None else None
        if service is None or not self.request.route.has_service(origin.service):
            reason = f"the route doesn't lead to {origin.service} any more"
            return Failure(Code.STREAM_ORIGIN_UNKNOWN, reason)
        self.request.service = service
        self.version.key = origin.software_version
        return None

    def queue_timeout_s(self) -> float:
        """Return how long the request may still wait for a reservation."""
        waited_s = time.monotonic() - self.request.arrived_at
        goal_s = QUEUE_TIMEOUT_GOAL_RATIO * self.request.route.answer_goal_s
        return min(goal_s, MAX_QUEUE_TIMEOUT_S) - waited_s

    def try_spend_retry(self) -> bool:
        """Return whether the retry budget allows another attempt; spend it if so."""
        return self.parts.budget.try_spend(self.request.service.name)

    def may_try_other_engine(self, failure: Failure) -> bool:
        """Return whether another engine may be tried after a failure."""
        if attempt_state(failure) in (AttemptState.UNSENT, AttemptState.REFUSED):
            return True
        if self.parts.crash_watch.may_crash_endpoints(self.request):
            return False
        repeatable = self.request.route.repeatable
        attempts_left = self.attempts_sent < self.request.route.attempt_limit
        return attempts_left and may_retry(failure, repeatable)

    async def open_at(
        self, reservation: HeldReservation, continuation: Continuation | None
    ) -> Failure | None:
        """Send the request to a reservation's engine; return why it wasn't accepted."""
        endpoint = self.parts.endpoints.by_name.get(reservation.endpoint)
        if endpoint is None:
            self.pools.release(reservation, REFUSED)
            return Failure(Code.NO_ENDPOINT, f"{reservation.endpoint} is unknown")
        refusal = self.version.refusal(endpoint)
        if self.parts.endpoints.is_closed(endpoint):
            refusal = Failure(Code.NO_ENDPOINT, f"{endpoint.name} is evacuated")
        refusal = refusal or self.pools.home_refusal(self.request, endpoint)
        if refusal is None and self.version.key and continuation_is_rerun(continuation):
            refusal = await self.parts.incarnations.refusal(
                endpoint, self.request.remaining_s()
            )
        refusal = refusal or self.parts.crash_watch.refusal(self.request)
        if refusal is not None:
            self.excluded.append(endpoint.name)
            self.pools.release(reservation, ABANDONED)
            return refusal
        self.reservation, self.endpoint = reservation, endpoint
        self.request.sent = True
        self.program.events.emit(
            Event.ATTEMPT_SENT,
            request=self.request.request_id,
            endpoint=endpoint.name,
            version=endpoint.record.software_version.key,
            after=self.last_event_id.decode("latin-1"),
            waited_ms=int((time.monotonic() - self.request.arrived_at) * MS_PER_S),
        )
        response = await self.parts.endpoint_client.open(
            self.request,
            endpoint,
            timeout_s=self.request.remaining_s(),
            engine_priority=URGENT_ENGINE_PRIORITY
            if reservation.urgent
            else NORMAL_ENGINE_PRIORITY,
            continuation=continuation,
        )
        if isinstance(response, Failure):
            self.record_refusal(reservation, response)
            return response
        self.response = response
        self.stop_asked = False
        self.responses.begin(endpoint, response)
        self.attempts_sent += 1
        return await self.send_head(response)

    def record_refusal(self, reservation: HeldReservation, failure: Failure) -> None:
        """Release a failed attempt's reservation, exclude its engine, and log it."""
        self.excluded.append(reservation.endpoint)
        state = attempt_state(failure)
        self.attempts_sent += state is not AttemptState.UNSENT
        self.pools.release(reservation, RELEASE_OUTCOMES.get(state, FAILED))
        self.program.events.emit(
            Event.ATTEMPT_REFUSED,
            request=self.request.request_id,
            endpoint=reservation.endpoint,
            code=int(failure.code),
            reason=failure.reason,
        )

    async def send_head(self, response: OpenResponse) -> Failure | None:
        """Send the response's head to the caller, unless it was sent before."""
        if self.head_sent:
            return self.responses.check_continuation()
        if response.status >= 500 and self.request.route.repeatable:
            # The engine itself failed, so another one may succeed.
            failure = Failure(Code.OUTCOME_UNKNOWN, f"status {response.status}")
            if self.attempts_sent < self.request.route.attempt_limit:
                response.close()
                self.excluded.append(endpoint_name(self))
                if self.reservation is not None:
                    self.pools.release(self.reservation, FAILED)
                return failure
        self.head_sent = True
        self.responses.record_head()
        headers = end_to_end_headers(response.headers) + self.parts.connection_headers()
        await self.send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        return None

    async def relay_events(self) -> Failure | None:
        """Pass events on until the response ends; return how it was interrupted."""
        assert self.response is not None and self.endpoint is not None
        if self.response.status != 200:
            return await self.relay_body(self.endpoint, self.response)
        reader = EventReader(
            response=self.response.response,
            remaining_s=self.request.remaining_s(),
            stall_timeout_s=stall_timeout_s(self.request.route),
        )
        while events := await reader.next_events():
            if isinstance(events, Failure):
                return events
            for event in events:
                failure = await self.relay_event(event)
                if failure is not None:
                    return failure
            # The time that a slow caller takes isn't counted.
            if not all(event.is_comment for event in events):
                reader.restart_stall_timer()
        failure = await self.check_end()
        if failure is not None:
            return failure
        self.responses.record_answer()
        self.finish(FINISHED)
        return None

    async def check_end(self) -> Failure | None:
        """Return why a response that has ended is incomplete, None if it isn't.

        An engine that a migration has asked to stop ends a response without a length
        or chunks as a complete one, unless it says that it had ended it before.
        """
        if self.response is not None and not self.response.framed:
            await self.wait_for_migration()
            if self.stop_asked:
                return Failure(Code.GENERATION_CUT, "its migration has stopped it")
        return await self.responses.check_end()

    async def wait_for_migration(self) -> None:
        """Wait for the outcome of a migration, if there is one, until the deadline."""
        if self.continuation_future is not None:
            timeout_s = max(0.0, self.request.remaining_s())
            await asyncio.wait({self.continuation_future}, timeout=timeout_s)

    async def relay_body(
        self, endpoint: Endpoint, response: OpenResponse
    ) -> Failure | None:
        """Pass on a response that is not a stream."""
        try:
            async with asyncio.timeout(max(0.0, self.request.remaining_s())):
                body = await self.parts.endpoint_client.read_body(
                    self.request, endpoint, response
                )
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, "the deadline passed")
        except (aiohttp.ClientError, OSError) as error:
            return failure_from_exception(error)
        if isinstance(body, Failure):
            return body
        self.finish(FAILED)
        await body.send_to(self.send)
        return None

    async def relay_event(self, event: SseEvent) -> Failure | None:
        """Send an event to the caller, unless it was sent before or one is missing."""
        number = event.number
        last = int(self.last_event_id) if self.last_event_id.isdigit() else None
        if number is not None and last is not None and number <= last:
            return None
        failure = self.responses.check_event(event, last)
        if failure is not None:
            return failure
        await self.send(
            {"type": "http.response.body", "body": event.data, "more_body": True}
        )
        self.record_event(event)
        return None

    def record_event(self, event: SseEvent) -> None:
        """Record an event's time, and the generation's progress at intervals."""
        times = self.times
        if event.event_id:
            self.last_event_id = event.event_id
        times.record_event(endpoint_name(self))
        is_first = times.event_count == 1
        if is_first:
            self.version.record_first(self.reservation)
            self.program.events.emit(
                Event.FIRST_TOKEN,
                request=self.request.request_id,
                endpoint=endpoint_name(self),
                after_ms=times.first_event_ms,
            )
        since_progress_s = times.last_event_at - self.progress_recorded_at
        if self.reservation is not None and (
            is_first or since_progress_s >= PROGRESS_INTERVAL_S
        ):
            self.progress_recorded_at = times.last_event_at
            produced = times.event_count * tokens_per_event(self.request)
            self.pools.record_progress(self.reservation, produced)
        self.responses.record_event(times.last_event_at)
        self.version.check_incarnation(self.endpoint, self.reservation)

    async def continue_elsewhere(self, interruption: Failure) -> Failure | None:
        """Continue an interrupted stream at another engine; return why that failed."""
        self.program.events.emit(
            Event.STREAM_CUT,
            request=self.request.request_id,
            endpoint=endpoint_name(self),
            events=self.times.event_count,
            began_ms=self.responses.began_ms(),
            reason=str(interruption),
            moving=self.continuation_future is not None,
        )
        if self.response is not None:
            self.response.close()
        if self.continuation_future is None:
            await self.responses.record_broken(self.times.event_count)
        if interruption.code in (Code.DEADLINE_PARTIAL, Code.DEADLINE_UNKNOWN):
            return interruption
        migration_result = await self.await_migration()
        if migration_result is not None:
            return await self.continue_from_copy(*migration_result)
        if self.reservation is not None:
            self.pools.release(self.reservation, FAILED)
        return await self.continue_by_rerun(interruption)

    async def await_migration(self) -> tuple[HeldReservation, Continuation] | None:
        """Return what a migration provides to continue, None if there is none."""
        await self.wait_for_migration()
        future = self.continuation_future
        if future is None:
            return None
        if not future.done():
            self.drop_continuation()
            return None
        self.continuation_future = None
        return future.result()

    async def continue_from_copy(
        self, reservation: HeldReservation, continuation: Continuation
    ) -> Failure | None:
        """Continue from the copied KV cache at another engine."""
        old_reservation = self.reservation
        if old_reservation is not None and old_reservation is not reservation:
            self.pools.release(old_reservation, FAILED)
        continuation = Continuation(
            last_event_id=self.last_event_id.decode("latin-1"),
            cache_handle=continuation.cache_handle,
        )
        paused_s = time.monotonic() - self.times.last_event_at
        # A continuation counts as the same attempt.
        self.attempts_sent -= 1
        failure = await self.open_at(reservation, continuation)
        if (
            failure is not None
            and old_reservation is not None
            and old_reservation is not reservation
        ):
            # The engine that stopped the generation still has its KV cache.
            failure = await self.open_at(
                self.pools.record_reservation(old_reservation), continuation
            )
        self.program.events.emit(
            Event.RUN_MOVED if failure is None else Event.MOVE_FAILED,
            request=self.request.request_id,
            endpoint=reservation.endpoint,
            events=self.times.event_count,
            paused_ms=int(paused_s * MS_PER_S),
            reason=failure.reason if failure is not None else "",
        )
        return failure

    async def continue_by_rerun(self, interruption: Failure) -> Failure | None:
        """Run the rest of the generation at another engine, if the route allows it."""
        route = self.request.route
        if not route.continuable or self.attempts_sent >= route.attempt_limit:
            return interruption
        if self.parts.crash_watch.may_crash_endpoints(self.request):
            return interruption
        if self.request.remaining_s() < MIN_REMAINING_S or not self.try_spend_retry():
            return interruption
        self.excluded.append(endpoint_name(self))
        failure: Failure | None = None
        for _ in range(MAX_ENGINES_TRIED):
            failure = await self.rerun(interruption)
            if failure is None or failure is interruption:
                return failure
            state = attempt_state(failure)
            if state not in (AttemptState.UNSENT, AttemptState.REFUSED):
                break
            # An engine that has refused the request has got it.
            if state is AttemptState.REFUSED and not self.try_spend_retry():
                break
        return interruption if is_quarantined(failure) else failure

    async def rerun(self, interruption: Failure) -> Failure | None:
        """Run the rest of the generation at one more engine; return why not.

        That is the interruption itself if no engine is left or has room in time.
        """
        reservation = await self.pools.admit(
            self.request,
            queue_timeout_s=min(MAX_QUEUE_TIMEOUT_S, self.request.remaining_s()),
            excluded=self.excluded,
            attempt=self.attempts_sent + 1,
            software_version=self.version.key,
        )
        if isinstance(reservation, Failure):
            return interruption
        continuation = Continuation(last_event_id=self.last_event_id.decode("latin-1"))
        return await self.open_at(reservation, continuation)


def continuation_is_rerun(continuation: Continuation | None) -> bool:
    """Return whether an engine runs a generation again, without a copied KV cache.

    An engine that has started again knows no copy.
    """
    return continuation is None or not continuation.cache_handle


def endpoint_name(stream: RelayedStream) -> str:
    """Return the name of the endpoint where a generation runs or ran last."""
    return stream.endpoint.name if stream.endpoint is not None else ""


def to_caller_failure(failure: Failure) -> Failure:
    """Return the failure to send to a caller; a queue timeout becomes SATURATED."""
    if failure.code is not Code.DEADLINE_NOT_RUN:
        return failure
    return Failure(
        Code.SATURATED, failure.reason, retry_after_s=spread_retry_s(RETRY_AFTER_S)
    )
