"""Runs one generation: admission, attempts at engines, and what is reported."""

from __future__ import annotations

import asyncio
import time

import attrs

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.endpoints.engine import Chunk, Chunks
from baobabturn.entry.node import Node
from baobabturn.entry.outcome import may_retry
from baobabturn.entry.requests import GenerationRequest, engine_body
from baobabturn.entry.resume import Place
from baobabturn.wire.messages import Admit, Grant, Holding

US = 1_000_000
FINISHED = "finished"
FAILED = "failed"
ABANDONED = "abandoned"


class GenerationRun:
    """One caller's generation at this entry.

    ``place`` is set once an engine has been chosen.  ``produced`` counts the
    tokens handed to the caller.
    """

    def __init__(self, *, node: Node, wanted: GenerationRequest):
        self.node = node
        self.wanted = wanted
        self.place: Place | None = None
        self.produced = 0
        self.excluded: list[str] = []
        self.finished = False
        self.first_token_us = 0
        self.last_chunk_at = 0.0
        self.started = time.monotonic()

    async def chunks(self) -> Chunks:
        """Yield the generation's chunks, each token once and in order.

        The last item is the chunk with the finish marker, or a failure.  Before
        the first token another engine may be tried, after it none.
        """
        limit = self.node.settings.entry.attempt_limit
        for attempt in range(1, limit + 1):
            failure: Failure | None = None
            async for item in self.attempt(attempt):
                if isinstance(item, Failure):
                    failure = item
                    break
                yield item
            if failure is None:
                return
            if self.produced or attempt == limit or not self.retry(failure):
                yield self.final(failure)
                return

    def retry(self, failure: Failure) -> bool:
        """Return whether the next attempt may be made, within the budget."""
        if time.monotonic() >= self.wanted.deadline or self.place is None:
            return False
        if not may_retry(failure, repeatable=True):
            return False
        self.excluded.append(self.place.endpoint)
        return self.node.retries.take(self.place.endpoint)

    def final(self, failure: Failure) -> Failure:
        """Return a failure with the tokens that went out before it."""
        if not self.produced:
            return failure
        return attrs.evolve(failure, tokens=self.produced, run=Run.RAN)

    async def attempt(self, number: int) -> Chunks:
        """Yield the chunks of one attempt, the last one perhaps a failure."""
        grant = await self.admit(number)
        if isinstance(grant, Failure):
            yield grant
            return
        outcome = FAILED
        try:
            async for item in self.relay(grant):
                if isinstance(item, Chunk) and item.finish is not None:
                    outcome = FINISHED
                yield item
        except (GeneratorExit, asyncio.CancelledError):
            outcome = ABANDONED
            raise
        finally:
            self.ended(outcome)

    async def admit(self, number: int) -> Grant | Failure:
        """Return a place for the next attempt, or why there is none."""
        node, wanted = self.node, self.wanted
        pool = node.schedulers.pick_pool(node.state.pools_for(wanted.model.name))
        if pool is None:
            return Failure(Code.NO_ENDPOINT, f"no endpoint serves {wanted.model.name}")
        generation = node.next_generation()
        body = Admit(
            request=wanted.request,
            reservation=generation,
            pool=pool.name,
            workspace=wanted.workspace.name,
            model=wanted.model.name,
            kind=wanted.kind,
            priority=wanted.priority,
            prompt_tokens=wanted.prompt_tokens,
            max_tokens=wanted.max_tokens,
            deadline_ms=node.schedulers.left_ms(wanted.deadline),
            prefixes=wanted.prefixes,
            excluded=self.excluded,
            attempt=number,
        )
        try:
            grant = await node.schedulers.admit(body)
        except asyncio.CancelledError:
            node.schedulers.release(generation, pool.name, ABANDONED)
            raise
        if isinstance(grant, Failure):
            return grant
        self.place = Place(
            workspace=wanted.workspace.name,
            endpoint=grant.endpoint,
            generation=generation,
            pool=pool.name,
            model=wanted.model.name,
            chat=wanted.chat,
            request=wanted.request,
        )
        node.schedulers.hold(
            pool.name,
            Holding(
                reservation=generation,
                endpoint=grant.endpoint,
                workspace=wanted.workspace.name,
                model=wanted.model.name,
                kind=wanted.kind,
                priority=wanted.priority,
                prompt_tokens=wanted.prompt_tokens,
                max_tokens=wanted.max_tokens,
                generation=generation,
            ),
        )
        return grant

    async def relay(self, grant: Grant) -> Chunks:
        """Yield the chunks that the granted engine sends."""
        node, place = self.node, self.place
        endpoint = node.state.endpoints.get(grant.endpoint)
        if endpoint is None or place is None:
            yield Failure(Code.NO_ENDPOINT, f"{grant.endpoint} isn't declared")
            return
        node.events.emit(
            Event.ATTEMPT_SENT,
            request=self.wanted.request,
            attempt=place.generation,
            endpoint=endpoint.name,
        )
        body = engine_body(
            self.wanted, place.generation, grant.engine_priority, endpoint.takes_salt
        )
        sent = time.monotonic()
        stream = await node.engine.start(endpoint.url, self.wanted.chat, body)
        if isinstance(stream, Failure):
            yield stream
            return
        async for item in self.paced(stream, sent):
            yield item

    async def paced(self, stream: Chunks, sent: float) -> Chunks:
        """Yield a stream's chunks, each token once, within the time limits."""
        entry = self.node.settings.entry
        last = sent
        iterator = stream.__aiter__()
        while True:
            limit = (
                entry.stall_timeout_s if self.produced else entry.first_token_timeout_s
            )
            left = self.wanted.deadline - time.monotonic()
            try:
                async with asyncio.timeout(min(limit, max(left, 0.0))):
                    item = await anext(iterator)
            except StopAsyncIteration:
                return
            except TimeoutError:
                yield self.timed_out(left, limit)
                return
            if isinstance(item, Chunk):
                if item.finish is None and item.index < self.produced:
                    continue
                if item.index > self.produced:
                    yield Failure(
                        Code.GENERATION_CUT, f"token {self.produced} is missing"
                    )
                    return
                last = self.note(item, sent, last)
            yield item

    def timed_out(self, left: float, limit: float) -> Failure:
        """Return the failure of a stream that sent nothing for too long."""
        if left > limit:
            return Failure(Code.GENERATION_STALLED, f"nothing for {limit:g} s")
        if self.produced:
            return Failure(Code.DEADLINE_PARTIAL, "the deadline passed")
        return Failure(Code.DEADLINE_UNKNOWN, "the deadline passed with no token")

    def note(self, chunk: Chunk, sent: float, last: float) -> float:
        """Count a chunk and report its timing; return its time."""
        now = time.monotonic()
        metrics = self.node.metrics
        if chunk.finish is None:
            self.produced = chunk.index + 1
            gap_us = int((now - last) * US)
            if self.produced == 1:
                self.first_token_us = gap_us
                metrics.record("time_to_first_token_us", (now - self.started) * US)
                self.node.events.emit(Event.FIRST_TOKEN, request=self.wanted.request)
            else:
                metrics.record("time_between_tokens_us", gap_us)
            if self.place is not None:
                self.node.schedulers.note(
                    self.place.generation, self.produced, gap_us, self.first_token_us
                )
        else:
            self.finished = True
        return now

    def ended(self, outcome: str) -> None:
        """Give the place back and cancel what did not finish."""
        place = self.place
        if place is None:
            return
        self.node.schedulers.release(
            place.generation, place.pool, outcome, self.first_token_us
        )
        self.node.events.emit(
            Event.ATTEMPT_ENDED,
            request=self.wanted.request,
            attempt=place.generation,
            outcome=outcome,
            tokens=self.produced,
        )
        if outcome != FINISHED:
            grace = self.node.settings.entry.resume_grace_s
            self.node.cancel_later(place, grace if outcome == ABANDONED else 0.0)
