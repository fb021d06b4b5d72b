"""Sends one response to its caller, buffers what may be, and ends one left unread."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.entry.bodies import BodyMemory
from baobabturn.gateway.callerconnection import CallerConnection
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.routes import RouteKind
from baobabturn.gateway.unreadresponses import (
    STREAM_RULE,
    UnreadResponse,
    UnreadResponses,
    response_rule,
)

# How often a response that waits for its caller is looked at.
CHECK_INTERVAL_S = 0.25
# Less than this isn't worth a caller's response where body memory is short.
MIN_YIELD_BYTES = 65_536
START = "http.response.start"
STREAM_STATUS = 200


class CallerStalled(Exception):
    """The caller takes nothing or too little, so its response has to be ended."""

    def __init__(self, failure: Failure):
        super().__init__(str(failure))
        self.failure = failure


class CallerSend:
    """The ASGI ``send`` of one request, which raises ``CallerStalled``.

    What a caller hasn't taken waits in its connection's write buffer: of a stream up
    to ``gateway.caller_buffer_bytes``, for which ``held_bytes`` of body memory are
    held.  While the caller keeps up nothing waits, and each message is passed on as it
    is.
    """

    def __init__(
        self,
        *,
        send: Any,
        connection: CallerConnection,
        request: CallerRequest,
        program: Program,
        memory: BodyMemory,
        unread: UnreadResponses,
    ):
        self.send = send
        self.connection = connection
        self.request = request
        self.program = program
        self.memory = memory
        self.unread = unread
        self.is_stream = False
        self.held_bytes = 0
        self.stop_logged = False

    async def __call__(self, message: Any) -> None:
        """Send a message once there is room for it."""
        if self.held_bytes or self.connection.unsent_bytes():
            await self.wait_for_room(message)
        if message["type"] == START:
            self.begin(message["status"])
        await self.send(message)

    def begin(self, status: int) -> None:
        """Begin a response, which is a stream or a plain one."""
        is_stream_route = self.request.route.kind is RouteKind.STREAM
        self.is_stream = is_stream_route and status == STREAM_STATUS
        if self.is_stream:
            limit_bytes = self.program.settings.gateway.caller_buffer_bytes
            self.connection.set_limit(limit_bytes)
        else:
            self.connection.reset_limit()

    async def wait_for_room(self, message: Any) -> None:
        """Wait until a part of the body may be buffered.

        The head and the last part wait until nothing is, so that a response begins and
        ends only after its caller has taken what came before.
        """
        size_bytes = len(message.get("body", b""))
        is_last = not message.get("more_body", False)
        if is_last:
            self.connection.set_limit(0)
        needs_buffer = self.is_stream and not is_last
        if self.has_room(size_bytes, needs_buffer):
            return
        if needs_buffer:
            self.log_stop()
        now = time.monotonic()
        gateway = self.program.settings.gateway
        unread = UnreadResponse(
            rule=STREAM_RULE
            if needs_buffer
            else response_rule(gateway.unread_timeout_s),
            workspace=self.request.workspace,
            holds_memory=self.held_bytes + self.request.held_bytes() >= MIN_YIELD_BYTES,
            untaken_bytes=self.connection.untaken_bytes(),
            observed_at=now,
        )
        self.unread.awaited.add(unread)
        try:
            while not self.has_room(size_bytes, needs_buffer):
                left_s = max(0.0, unread.ends_at - unread.observed_at)
                await self.connection.wait(min(left_s, CHECK_INTERVAL_S))
                self.check(unread, time.monotonic())
        finally:
            self.unread.awaited.discard(unread)

    def check(self, unread: UnreadResponse, now: float) -> None:
        """Raise ``CallerStalled`` if a response may wait no longer."""
        unread.observe(self.connection.untaken_bytes(), now)
        failure = self.unread.failure(unread, now)
        if failure is None and unread.rule is STREAM_RULE:
            failure = self.deadline_failure(now)
        if failure is not None and not self.connection.is_closing:
            raise CallerStalled(failure)

    def deadline_failure(self, now: float) -> Failure | None:
        """Return the failure of a stream whose deadline has passed, otherwise None."""
        if now < self.request.deadline:
            return None
        return Failure(Code.DEADLINE_PARTIAL, "the deadline passed")

    def has_room(self, size_bytes: int, needs_buffer: bool) -> bool:
        """Return whether a part of the body of some size may be sent now.

        Behind what waits already it needs body memory, if it ``needs_buffer``.
        """
        if self.connection.is_closing:
            return True
        if self.connection.is_full:
            return False
        unsent_bytes = self.connection.unsent_bytes()
        return self.hold(
            unsent_bytes + size_bytes if needs_buffer and unsent_bytes else 0
        )

    def hold(self, size_bytes: int) -> bool:
        """Hold this much body memory from now on; return whether there is enough."""
        more_bytes = size_bytes - self.held_bytes
        workspace = self.request.workspace
        if more_bytes > 0 and not self.memory.try_acquire(workspace, more_bytes):
            return False
        if more_bytes < 0:
            self.memory.release(workspace, -more_bytes)
        self.held_bytes = size_bytes
        return True

    def log_stop(self) -> None:
        """Log once that the engine of a stream isn't read for a while."""
        if self.stop_logged:
            return
        self.stop_logged = True
        self.program.events.emit(
            Event.READING_STOPPED,
            request=self.request.request_id,
            unsent_bytes=self.connection.unsent_bytes(),
        )

    async def reset(self) -> None:
        """Reset the connection, and let the HTTP server see that before it goes on."""
        self.connection.reset()
        await asyncio.sleep(0)

    def close(self) -> None:
        """Release the memory, and prepare the connection for its next request."""
        self.hold(0)
        self.connection.reset_limit()
