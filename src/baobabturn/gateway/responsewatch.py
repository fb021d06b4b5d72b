"""Watches how the responses of one stream's attempts begin, go on and end."""

from __future__ import annotations

import time

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.crashwatch import SOUND_AGE_S, CrashWatch
from baobabturn.gateway.endpointclient import EndpointClient, OpenResponse
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.httpheaders import media_type
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.sse import SseEvent

MS_PER_S = 1000
STREAM_STATUS = 200


class ResponseWatch:
    """Reports to the crash watch whether engines answer a prompt or break off.

    ``endpoint`` and ``response`` are those of the newest attempt that has a response,
    ``event_count`` counts its events, ``answered`` says that it has shown the prompt to
    be sound.  ``media_type`` is that of the response that began the stream, None before
    it has begun; later ones have to go on with it.
    """

    def __init__(
        self,
        *,
        crash_watch: CrashWatch,
        endpoint_client: EndpointClient,
        request: CallerRequest,
    ):
        self.crash_watch = crash_watch
        self.endpoint_client = endpoint_client
        self.request = request
        self.endpoint: Endpoint | None = None
        self.response: OpenResponse | None = None
        self.event_count = 0
        self.media_type: bytes | None = None
        self.is_continuation = False
        self.answered = False

    def begin(self, endpoint: Endpoint, response: OpenResponse) -> None:
        """Watch the response of another attempt from now on."""
        self.endpoint, self.response = endpoint, response
        self.event_count = 0
        self.answered = False

    def record_head(self) -> None:
        """Record that the caller has the newest response's head."""
        if self.response is not None:
            self.media_type = media_type(self.response.headers)

    def check_continuation(self) -> Failure | None:
        """Return why the newest response can't continue the stream, None if it can."""
        assert self.response is not None
        self.is_continuation = True
        if self.response.status != STREAM_STATUS:
            reason = f"status {self.response.status} mid-stream"
            return Failure(Code.GENERATION_CUT, reason)
        found = media_type(self.response.headers)
        if found != self.media_type:
            reason = f"a response of type {found.decode('latin-1')!r} mid-stream"
            return Failure(Code.GENERATION_CUT, reason)
        return None

    def check_event(self, event: SseEvent, last_number: int | None) -> Failure | None:
        """Return why an event can't follow the last one, None if it can.

        ``last_number`` is that of the last event that the caller has, None without
        numbers.
        """
        number = event.number
        if event.is_response_head:
            return Failure(Code.GENERATION_CUT, "the head of a response mid-stream")
        if number is None or last_number is None:
            is_unnumbered = number is None and last_number is not None
            if self.is_continuation and is_unnumbered and not event.is_comment:
                return Failure(Code.GENERATION_CUT, "no event in a continuation")
            return None
        if number > last_number + 1:
            reason = f"event {number} after {last_number}"
            return Failure(Code.GENERATION_CUT, reason)
        return None

    def began_ms(self) -> int:
        """Return for how long the response has been under way."""
        if self.response is None:
            return 0
        return int((time.monotonic() - self.response.began_at) * MS_PER_S)

    def record_event(self, now: float) -> None:
        """Record that an event came at a monotonic time."""
        self.event_count += 1
        if self.response and now - self.response.began_at >= SOUND_AGE_S:
            self.record_answer()

    def record_answer(self) -> None:
        """Record once that the engine has answered the prompt."""
        if self.response is not None and not self.answered:
            self.answered = True
            self.crash_watch.record_answer(
                self.request, began_at=self.response.began_at
            )

    async def record_broken(self, event_count: int) -> None:
        """Find out whether the engine crashed as the response broke off."""
        if self.endpoint is not None and self.response is not None:
            await self.crash_watch.record_broken(
                self.request,
                self.endpoint,
                began_at=self.response.began_at,
                event_count=event_count,
            )

    async def check_end(self) -> Failure | None:
        """Return why a response that has ended is incomplete, None if it isn't.

        Only one in chunks can end without an event: it goes on after the last one.
        """
        response, endpoint = self.response, self.endpoint
        if response is None or endpoint is None:
            return None
        is_empty = not self.event_count
        needs_event = self.is_continuation or not response.framed
        if is_empty and needs_event and not response.chunked:
            return Failure(Code.GENERATION_CUT, "the response had no event")
        return await self.endpoint_client.check_end(self.request, endpoint, response)
