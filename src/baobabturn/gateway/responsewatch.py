"""Watches how the responses of one stream's attempts begin and end."""

from __future__ import annotations

import time

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.crashwatch import SOUND_AGE_S, CrashWatch
from baobabturn.gateway.endpointclient import EndpointClient, OpenResponse
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.request import CallerRequest

MS_PER_S = 1000


class ResponseWatch:
    """Reports to the crash watch whether engines answer a prompt or break off.

    ``endpoint`` and ``response`` are those of the newest attempt that has a response,
    ``answered`` says that it has shown the prompt to be sound.
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
        self.answered = False

    def begin(self, endpoint: Endpoint, response: OpenResponse) -> None:
        """Watch the response of another attempt from now on."""
        self.endpoint, self.response = endpoint, response
        self.answered = False

    def began_ms(self) -> int:
        """Return for how long the response has been under way."""
        if self.response is None:
            return 0
        return int((time.monotonic() - self.response.began_at) * MS_PER_S)

    def record_event(self, now: float) -> None:
        """Record that an event came at a monotonic time."""
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

    async def check_end(self, event_count: int) -> Failure | None:
        """Return why a response that has ended is incomplete, None if it isn't."""
        response, endpoint = self.response, self.endpoint
        if response is None or endpoint is None or response.framed:
            return None
        if not event_count:
            return Failure(Code.GENERATION_CUT, "the response had no event")
        return await self.endpoint_client.check_end(self.request, endpoint, response)
