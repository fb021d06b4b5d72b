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

from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunk, ChunkStream
from baobabturn.entry.node import Node
from baobabturn.entry.resumetokens import GenerationLocation
from baobabturn.entry.retries import backoff_s

RECONNECT_TRIES = 3
RECONNECT_LIMIT_S = 2.0
# A wait that ends later than this after its limit means that this process itself
# was paused.
OWN_PAUSE_S = 0.5


class Seen(enum.Enum):
    """State of a generation in its engine's list of open generations."""

    WAITING = "waiting"
    RUNNING = "running"
    UNLISTED = "unlisted"
    UNREACHABLE = "unreachable"


class Following:
    """Reads one generation's chunks, each token once and in order.

    ``next`` is the index of the next token, ``deadline`` is in monotonic
    seconds.  ``silent_s`` is the time spent waiting for the engine since the
    last chunk, without the time in which ``read`` was not called.  ``cuts``
    counts lost connections since the last chunk, from ``cut_since`` on.
    """

    def __init__(
        self,
        *,
        node: Node,
        place: GenerationLocation,
        url: str,
        first: int,
        deadline: float,
    ):
        self.node = node
        self.place = place
        self.url = url
        self.next = first
        self.deadline = deadline
        self.stream: ChunkStream | None = None
        self.opening: asyncio.Task | None = None
        self.silent_s = 0.0
        self.cuts = 0
        self.cut_since = 0.0
        self.reopened = False
        self.finished = False

    def start(self, chat: bool, body: dict[str, Any]) -> None:
        """Start the generation in a task that ``read`` awaits."""
        work = self.node.engine.start(self.url, chat, body)
        self.opening = asyncio.create_task(work)

    def resume(self) -> None:
        """Connect to a running generation in a task that ``read`` awaits."""
        work = self.node.engine.resume(self.url, self.place.generation, self.next - 1)
        self.opening = asyncio.create_task(work)

    async def read(self) -> list[Chunk] | Failure | None:
        """Return the next chunks, at least one, or the failure.

        None means that the generation is silent but may still run, or that this
        process itself was paused, so that its wait says nothing of the engine.
        """
        probe_s = self.node.settings.entry.probe_s
        while True:
            began = time.monotonic()
            if began >= self.deadline:
                return self.deadline_passed()
            limit = min(probe_s, self.deadline - began)
            try:
                async with asyncio.timeout(limit):
                    got = await self.receive()
            except TimeoutError:
                waited = time.monotonic() - began
                if waited > limit + OWN_PAUSE_S:
                    return None
                self.silent_s += waited
                return await self.judge_silence()
            if isinstance(got, Failure):
                failure = await self.after_cut(got)
                if failure is not None:
                    return failure
                continue
            fresh = self.fresh(got)
            if isinstance(fresh, Failure):
                failure = await self.after_cut(fresh)
                if failure is not None:
                    return failure
            elif fresh:
                self.silent_s = 0.0
                self.cuts = 0
                return fresh

    async def receive(self) -> list[Chunk] | Failure:
        """Return the chunks that arrive next, after connecting if necessary."""
        if self.stream is None:
            if self.opening is None:
                return Failure(Code.GENERATION_CUT, "not connected to the engine")
            opened = await asyncio.shield(self.opening)
            self.opening = None
            if isinstance(opened, Failure):
                return opened
            self.stream = opened
        return await self.stream.read()

    def fresh(self, chunks: list[Chunk]) -> list[Chunk] | Failure:
        """Return the chunks not returned before; a missing token is a failure."""
        kept: list[Chunk] = []
        for chunk in chunks:
            if chunk.index > self.next:
                if kept:
                    return kept
                return Failure(Code.GENERATION_CUT, f"token {self.next} is missing")
            if chunk.index < self.next:
                continue
            kept.append(chunk)
            if chunk.finish is not None:
                self.finished = True
                return kept
            self.next += 1
        return kept

    async def after_cut(self, failure: Failure) -> Failure | None:
        """Reconnect after a wait; return the failure if that can't help."""
        self.cuts += 1
        if self.cuts == 1:
            self.cut_since = time.monotonic()
        if self.gives_up(failure):
            return failure
        await asyncio.sleep(backoff_s(self.cuts))
        missed = await self.reopen()
        self.reopened = missed is None
        if missed is not None and missed.code is Code.GENERATION_GONE:
            return failure
        return None

    def gives_up(self, failure: Failure) -> bool:
        """Return whether a lost connection is not opened again.

        Once tokens were delivered, a connection that opens and is lost again is
        retried for as long as a silent one would be awaited.  Before that the
        number of losses is bounded, since another engine may be tried.
        """
        if failure.code not in (Code.GENERATION_CUT, Code.OUTCOME_UNKNOWN):
            return True
        if self.next and self.reopened:
            lasted = time.monotonic() - self.cut_since
            return lasted >= self.node.settings.entry.stall_timeout_s
        return self.cuts > RECONNECT_TRIES

    async def reopen(self) -> Failure | None:
        """Open a new connection at the next token; return the failure if any."""
        work = self.node.engine.resume(self.url, self.place.generation, self.next - 1)
        try:
            async with asyncio.timeout(RECONNECT_LIMIT_S):
                opened = await work
        except TimeoutError:
            return Failure(
                Code.OUTCOME_UNKNOWN, "the engine did not respond to a reconnect"
            )
        if isinstance(opened, Failure):
            return opened
        self.close()
        self.stream = opened
        self.node.metrics.count("engine_reconnects")
        return None

    async def judge_silence(self) -> Failure | None:
        """Return the failure of a generation that is silent for too long.

        None means that it may still run; its connection is then opened again
        unless the engine lists the generation as waiting.
        """
        if time.monotonic() >= self.deadline:
            return self.deadline_passed()
        seen = await self.look()
        if seen is Seen.WAITING:
            self.silent_s = 0.0
            return None
        entry = self.node.settings.entry
        patient = seen is Seen.RUNNING and self.next == 0
        limit = entry.first_token_timeout_s if patient else entry.stall_timeout_s
        if self.silent_s >= limit:
            return Failure(
                Code.GENERATION_STALLED,
                f"generation {seen.value}, no token for {limit:g} s",
            )
        failure = await self.reopen()
        started = self.stream is not None
        if started and failure is not None and failure.code is Code.GENERATION_GONE:
            return failure
        return None

    async def look(self) -> Seen:
        """Return the generation's state in its engine's list."""
        listed = await self.node.engine.open_generations(self.url)
        if isinstance(listed, Failure):
            return Seen.UNREACHABLE
        found = listed.get(self.place.generation)
        if found is None:
            return Seen.UNLISTED
        return Seen.WAITING if found.waiting else Seen.RUNNING

    def deadline_passed(self) -> Failure:
        """Return the failure for the deadline, by whether tokens were delivered."""
        if self.next:
            return Failure(
                Code.DEADLINE_PARTIAL, "the deadline passed during the generation"
            )
        return Failure(
            Code.DEADLINE_UNKNOWN, "the deadline passed before the first token"
        )

    def close(self) -> None:
        """Close the connection; the engine goes on generating."""
        if self.opening is not None:
            self.opening.add_done_callback(drop_opened)
            self.opening.cancel()
            self.opening = None
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def drop_opened(opening: asyncio.Task) -> None:
    """Close a connection that was opened after its reader had been closed."""
    if not opening.cancelled() and not isinstance(opening.result(), Failure):
        opening.result().close()
