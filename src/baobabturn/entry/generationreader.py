"""Reads one generation from its engine and reconnects after lost connections.

A connection that closes early or is silent is opened again at the token after
the last one read, so that the caller gets one uninterrupted generation.
Silence alone proves nothing: the engine's list of open generations tells a
queued or preempted generation from a stalled one.
"""

from __future__ import annotations

import asyncio
import enum
import time
from typing import Any

import yarl

from baobabturn.core.probe import has_ended
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunk, ChunkStream
from baobabturn.entry.node import Node
from baobabturn.entry.resumetokens import GenerationLocation
from baobabturn.entry.retries import backoff_s

MAX_RECONNECTS = 3
RECONNECT_TIMEOUT_S = 2.0
# A wait that ends later than this after its limit means that this process itself
# was paused.
MIN_PROCESS_PAUSE_S = 0.5


class ListedState(enum.Enum):
    """State of a generation in its engine's list of open generations."""

    WAITING = "waiting"
    RUNNING = "running"
    UNLISTED = "unlisted"
    UNREACHABLE = "unreachable"


class GenerationReader:
    """Reads one generation's chunks, each token once and in order.

    ``next_index`` is the index of the next token, ``deadline`` is in monotonic
    seconds.  ``silent_s`` is the time spent waiting for the engine since the
    last chunk, without the time in which ``read`` was not called.
    ``lost_connections`` are counted since the last chunk, ``first_lost_at`` is
    the time of the first of them.  ``reconnected`` says whether the last reconnect
    succeeded.  ``began_at`` is when the response began, 0 before.
    """

    def __init__(
        self,
        *,
        node: Node,
        location: GenerationLocation,
        url: str,
        first_index: int,
        deadline: float,
    ):
        self.node = node
        self.location = location
        self.url = url
        self.next_index = first_index
        self.deadline = deadline
        self.stream: ChunkStream | None = None
        self.connecting: asyncio.Task | None = None
        self.silent_s = 0.0
        self.lost_connections = 0
        self.first_lost_at = 0.0
        self.reconnected = False
        self.finished = False
        self.began_at = 0.0
        self.crash_probe: asyncio.Task[bool] | None = None

    def start(self, chat: bool, body: dict[str, Any]) -> None:
        """Start the generation in a task that ``read`` awaits."""
        connection = self.node.engine.start(self.url, chat, body)
        self.connecting = asyncio.create_task(connection)

    def resume(self) -> None:
        """Connect to a running generation in a task that ``read`` awaits."""
        connection = self.node.engine.resume(
            self.url, self.location.generation, self.next_index - 1
        )
        self.connecting = asyncio.create_task(connection)

    async def read(self) -> list[Chunk] | Failure | None:
        """Return the next chunks, at least one, or the failure.

        None means that the generation is silent but may still run, or that this
        process itself was paused and hasn't yet read what arrived meanwhile.
        """
        probe_s = self.node.settings.entry.probe_s
        while True:
            started_at = time.monotonic()
            if started_at >= self.deadline:
                return self.deadline_failure()
            limit_s = min(probe_s, self.deadline - started_at)
            try:
                async with asyncio.timeout(limit_s):
                    received = await self.receive()
            except TimeoutError:
                waited_s = time.monotonic() - started_at
                if waited_s > limit_s + MIN_PROCESS_PAUSE_S:
                    return None
                self.silent_s += waited_s
                return await self.check_silence()
            if isinstance(received, Failure):
                failure = await self.handle_lost_connection(received)
                if failure is not None:
                    return failure
                continue
            unread = self.new_chunks(received)
            if isinstance(unread, Failure):
                failure = await self.handle_lost_connection(unread)
                if failure is not None:
                    return failure
            elif unread:
                self.silent_s = 0.0
                self.lost_connections = 0
                return unread

    async def receive(self) -> list[Chunk] | Failure:
        """Return the chunks that arrive next, after connecting if necessary."""
        if self.stream is None:
            if self.connecting is None:
                return Failure(Code.GENERATION_CUT, "not connected to the engine")
            new_stream = await asyncio.shield(self.connecting)
            self.connecting = None
            if isinstance(new_stream, Failure):
                return new_stream
            self.stream = new_stream
            self.began_at = self.began_at or time.monotonic()
        return await self.stream.read()

    def new_chunks(self, chunks: list[Chunk]) -> list[Chunk] | Failure:
        """Return the chunks not returned before; a missing token is a failure."""
        unread: list[Chunk] = []
        for chunk in chunks:
            if chunk.index > self.next_index:
                if unread:
                    return unread
                return Failure(
                    Code.GENERATION_CUT, f"token {self.next_index} is missing"
                )
            if chunk.index < self.next_index:
                continue
            unread.append(chunk)
            if chunk.finish is not None:
                self.finished = True
                return unread
            self.next_index += 1
        return unread

    async def handle_lost_connection(self, failure: Failure) -> Failure | None:
        """Reconnect after a wait; return the failure if that can't help."""
        self.lost_connections += 1
        if self.lost_connections == 1:
            self.first_lost_at = time.monotonic()
            self.probe_engine()
        if self.should_give_up(failure):
            return failure
        await asyncio.sleep(backoff_s(self.lost_connections))
        reconnect_failure = await self.reconnect()
        self.reconnected = reconnect_failure is None
        if (
            reconnect_failure is not None
            and reconnect_failure.code is Code.GENERATION_GONE
        ):
            return failure
        return None

    def probe_engine(self) -> None:
        """Find out whether the engine ended as it began to answer, in a task."""
        if self.began_at and not self.next_index and self.crash_probe is None:
            address = yarl.URL(self.url)
            self.crash_probe = asyncio.create_task(
                has_ended(str(address.host), int(address.port or 0))
            )

    async def has_engine_crashed(self) -> bool:
        """Return whether the engine ended as it began to answer."""
        return self.crash_probe is not None and await self.crash_probe

    def should_give_up(self, failure: Failure) -> bool:
        """Return whether a lost connection is not opened again.

        Once tokens were delivered, a connection that opens and is lost again is
        retried for as long as a silent one would be awaited.  Before that the
        number of losses is bounded, since another engine may be tried.
        """
        if failure.code not in (Code.GENERATION_CUT, Code.OUTCOME_UNKNOWN):
            return True
        if self.next_index and self.reconnected:
            lost_for_s = time.monotonic() - self.first_lost_at
            return lost_for_s >= self.node.settings.entry.stall_timeout_s
        return self.lost_connections > MAX_RECONNECTS

    async def reconnect(self) -> Failure | None:
        """Open a new connection at the next token; return the failure if any."""
        connection = self.node.engine.resume(
            self.url, self.location.generation, self.next_index - 1
        )
        try:
            async with asyncio.timeout(RECONNECT_TIMEOUT_S):
                new_stream = await connection
        except TimeoutError:
            return Failure(
                Code.OUTCOME_UNKNOWN, "the engine did not respond to a reconnect"
            )
        if isinstance(new_stream, Failure):
            return new_stream
        self.close()
        self.stream = new_stream
        self.node.metrics.count("engine_reconnects")
        return None

    async def check_silence(self) -> Failure | None:
        """Return the failure of a generation that is silent for too long.

        None means that it may still run; its connection is then opened again
        unless the engine lists the generation as waiting.
        """
        if time.monotonic() >= self.deadline:
            return self.deadline_failure()
        state = await self.listed_state()
        if state is ListedState.WAITING:
            self.silent_s = 0.0
            return None
        entry = self.node.settings.entry
        in_prefill = state is ListedState.RUNNING and self.next_index == 0
        limit_s = entry.first_token_timeout_s if in_prefill else entry.stall_timeout_s
        if self.silent_s >= limit_s:
            return Failure(
                Code.GENERATION_STALLED,
                f"generation {state.value}, no token for {limit_s:g} s",
            )
        failure = await self.reconnect()
        connected = self.stream is not None
        if connected and failure is not None and failure.code is Code.GENERATION_GONE:
            return failure
        return None

    async def listed_state(self) -> ListedState:
        """Return the generation's state in its engine's list."""
        generations = await self.node.engine.open_generations(self.url)
        if isinstance(generations, Failure):
            return ListedState.UNREACHABLE
        generation = generations.get(self.location.generation)
        if generation is None:
            return ListedState.UNLISTED
        return ListedState.WAITING if generation.waiting else ListedState.RUNNING

    def deadline_failure(self) -> Failure:
        """Return the failure for the deadline, by whether tokens were delivered."""
        if self.next_index:
            return Failure(
                Code.DEADLINE_PARTIAL, "the deadline passed during the generation"
            )
        return Failure(
            Code.DEADLINE_UNKNOWN, "the deadline passed before the first token"
        )

    def close(self) -> None:
        """Close the connection; the engine goes on generating."""
        if self.connecting is not None:
            self.connecting.add_done_callback(close_late_connection)
            self.connecting.cancel()
            self.connecting = None
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def close_late_connection(connecting: asyncio.Task) -> None:
    """Close a connection that was opened after its reader had been closed."""
    if not connecting.cancelled() and not isinstance(connecting.result(), Failure):
        connecting.result().close()
