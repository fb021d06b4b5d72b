"""Runs one generation: admission, attempts at engines and progress reports."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator

import attrs

from baobabturn.config.state import Pool
from baobabturn.core.events import Event
from baobabturn.core.idents import generation_id
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunk
from baobabturn.entry.generationreader import GenerationReader
from baobabturn.entry.node import Node
from baobabturn.entry.outcome import (
    AttemptState,
    attempt_state,
    is_unavailable,
    may_restart,
    may_retry,
    with_run_state,
)
from baobabturn.entry.requests import GenerationRequest, engine_body
from baobabturn.entry.resumetokens import GenerationLocation
from baobabturn.entry.retries import backoff_s
from baobabturn.quarantine.refusal import is_quarantined
from baobabturn.wire.messages import Admit, Grant, Holding
from baobabturn.wire.words import ABANDONED, FAILED, FINISHED, REFUSED

US_PER_S = 1_000_000
RETRY_AFTER_S = 1.0


@attrs.frozen
class Restart:
    """Marks that the generation starts over after ``tokens`` were delivered."""

    tokens: int


Items = AsyncGenerator[list[Chunk] | Restart | Failure | None, None]


class Delivery:
    """Delivers a generation to one caller and reports its progress.

    ``location`` is set once an engine has been chosen.  ``produced`` counts the
    tokens of the generation that the caller has, including those before a
    resume.  A generation that isn't ``resumable`` is cancelled as soon as its
    caller disconnects; others are kept for the grace time.
    """

    def __init__(self, *, node: Node, request_id: str, deadline: float):
        self.node = node
        self.request_id = request_id
        self.deadline = deadline
        self.location: GenerationLocation | None = None
        self.pool = ""
        self.reservation: Holding | None = None
        self.produced = 0
        self.resumable = True
        self.first_token_us = 0
        self.started_at = time.monotonic()

    async def read_items(self, reader: GenerationReader) -> Items:
        """Yield a generation's chunks; the last item has its finish or is a failure.

        None items mean that the generation is silent but may still run.
        """
        outcome = ABANDONED
        try:
            while not reader.finished:
                wait_started_at = time.monotonic()
                item = await reader.read()
                if isinstance(item, list):
                    self.record_progress(item, time.monotonic() - wait_started_at)
                if isinstance(item, Failure):
                    outcome = REFUSED if is_unavailable(item) else FAILED
                elif reader.finished:
                    outcome = FINISHED
                    self.record_answer(reader)
                yield item
                if isinstance(item, Failure):
                    return
        finally:
            reader.close()
            self.end_attempt(outcome)

    def record_answer(self, reader: GenerationReader) -> None:
        """Record that the prompt has been answered, if it is known here."""

    def record_progress(self, chunks: list[Chunk], waited_s: float) -> None:
        """Record and report chunks that arrived together after a wait in seconds.

        The wait begins when the caller has received the earlier chunks, so a
        slow caller doesn't make the engine look slow.
        """
        tokens = len(chunks) - (chunks[-1].finish is not None)
        if not tokens or self.location is None:
            return
        metrics = self.node.metrics
        gap_us = int(waited_s * US_PER_S)
        if self.produced:
            metrics.record("time_between_tokens_us", gap_us)
        else:
            first_token_s = time.monotonic() - self.started_at
            self.first_token_us = gap_us
            metrics.record("time_to_first_token_us", first_token_s * US_PER_S)
            self.node.events.emit(Event.FIRST_TOKEN, request=self.request_id)
        self.produced += tokens
        self.node.schedulers.record_progress(
            self.location.generation, self.produced, gap_us, self.first_token_us
        )

    def end_attempt(self, outcome: str) -> None:
        """Release the reservation and cancel what the engine may still run.

        An abandoned generation that can be resumed keeps its reservation for
        the grace time.
        """
        location, reservation = self.location, self.reservation
        if location is None or reservation is None:
            return
        self.node.events.emit(
            Event.ATTEMPT_ENDED,
            request=self.request_id,
            attempt=location.generation,
            outcome=outcome,
            tokens=self.produced,
        )
        if not self.node.schedulers.owns_reservation(reservation):
            return
        before_deadline = time.monotonic() < self.deadline
        if outcome == ABANDONED and self.resumable and before_deadline:
            self.node.canceller.start_after_grace(location, self.pool, reservation)
            return
        self.node.schedulers.release(
            location.generation, self.pool, outcome, self.first_token_us
        )
        if outcome != FINISHED:
            self.node.canceller.start(location, self.pool)


class GenerationRun(Delivery):
    """One caller's new generation at this entry.

    ``whole_response`` says that the response is sent whole at its end.  Such a
    generation may restart without the caller's consent: the caller has seen
    nothing of it yet.
    ``hedges`` is the generation that this one is a hedge of, empty for none.
    """

    def __init__(
        self, *, node: Node, generation_request: GenerationRequest, whole_response: bool
    ):
        super().__init__(
            node=node,
            request_id=generation_request.request_id,
            deadline=generation_request.deadline,
        )
        self.generation_request = generation_request
        self.restart = generation_request.restart or whole_response
        self.excluded: list[str] = []
        self.whole_response = whole_response
        self.first_attempt = 1
        self.hedges = ""
        self.hedge_advised = asyncio.Event()

    def record_answer(self, reader: GenerationReader) -> None:
        """Record that the prompt has been answered."""
        watch = self.node.prompt_watch
        parts = self.generation_request.parts
        watch.publish(self.pool, watch.record_answer(parts, reader.began_at))

    async def record_crash(self, reader: GenerationReader) -> None:
        """Record that the engine ended as it began to answer, if it did."""
        if self.location is None or not await reader.has_engine_crashed():
            return
        watch = self.node.prompt_watch
        parts = self.generation_request.parts
        watch.record_crash(
            self.request_id,
            parts,
            self.location.endpoint,
            began_s=time.monotonic() - reader.began_at,
        )
        watch.publish(self.pool, parts)

    async def chunks(self) -> Items:
        """Yield the generation's chunks, each token once and in order.

        The last item holds the chunk with the finish reason, or is a failure.
        Another engine may be tried before the first token, and after it only if
        the caller accepts a restart.
        """
        failure: Failure | None = None
        for attempt in range(1, self.node.settings.entry.attempt_limit + 1):
            grant = await self.admit(attempt)
            if isinstance(grant, Failure):
                # An attempt before may have run, which the refusal of this one denies.
                earlier = failure if is_quarantined(grant) else None
                yield earlier or with_run_state(grant, self.produced)
                return
            failure = None
            reader = self.start_generation(grant)
            if isinstance(reader, Failure):
                failure = reader
                self.end_attempt(FAILED)
            else:
                items = self.read_items(reader)
                try:
                    async for item in items:
                        if isinstance(item, Failure):
                            failure = item
                            break
                        yield item
                finally:
                    await items.aclose()
                if failure is not None:
                    await self.record_crash(reader)
            if failure is None:
                return
            failure = with_run_state(failure, self.produced)
            if not self.may_try_again(failure, attempt):
                yield self.with_retry_time(failure)
                return
            await self.prepare_next_attempt(failure, attempt)
            if self.produced:
                yield Restart(self.produced)
                self.produced = 0

    def may_try_again(self, failure: Failure, attempt: int) -> bool:
        """Return whether another attempt is permitted; if so, spend a retry.

        The endpoint of the failed attempt is excluded from now on.
        """
        if attempt >= self.node.settings.entry.attempt_limit or self.location is None:
            return False
        self.excluded.append(self.location.endpoint)
        if time.monotonic() >= self.deadline or not self.untried_pools():
            return False
        if self.node.prompt_watch.may_crash_endpoints(self.generation_request.parts):
            return False
        allowed = may_retry(failure, repeatable=True)
        if not allowed and not (self.restart and may_restart(failure)):
            return False
        return self.node.retry_budget.try_spend(self.location.endpoint)

    def untried_pools(self) -> list[Pool]:
        """Return the pools with an endpoint that has not failed this request."""
        failed_endpoints = set(self.excluded)
        pools = self.node.state.pools_for(self.generation_request.model.name)
        return [
            pool for pool in pools if not failed_endpoints.issuperset(pool.endpoints)
        ]

    async def prepare_next_attempt(self, failure: Failure, attempt: int) -> None:
        """Cancel what the engine may still run, then wait for the backoff."""
        assert self.location is not None
        if attempt_state(failure) in (AttemptState.UNKNOWN, AttemptState.RAN):
            await self.node.canceller.try_cancel(self.location)
        await asyncio.sleep(backoff_s(attempt))

    def with_retry_time(self, failure: Failure) -> Failure:
        """Return a final failure, with a retry time if a retry may help."""
        if failure.tokens or not may_retry(failure, repeatable=True):
            return failure
        if time.monotonic() >= self.deadline:
            return failure
        return attrs.evolve(failure, retry_after_s=RETRY_AFTER_S)

    async def admit(self, attempt: int) -> Grant | Failure:
        """Return a grant for an attempt, or why there is none.

        The prompt may have been found to crash engines while the request waited.
        """
        node, generation_request = self.node, self.generation_request
        refusal = node.prompt_watch.refusal(generation_request.parts)
        if refusal is not None:
            return refusal
        pool = node.schedulers.pick_pool(self.untried_pools())
        if pool is None:
            return Failure(
                Code.NO_ENDPOINT, f"no endpoint serves {generation_request.model.name}"
            )
        attempt += self.first_attempt - 1
        generation = generation_id(generation_request.request_id, attempt)
        body = Admit(
            request=generation_request.request_id,
            reservation=generation,
            pool=pool.name,
            workspace=generation_request.workspace.name,
            model=generation_request.model.name,
            kind=generation_request.kind,
            priority=generation_request.priority,
            prompt_tokens=generation_request.prompt_tokens,
            max_tokens=generation_request.max_tokens,
            deadline_ms=node.schedulers.remaining_ms(generation_request.deadline),
            prefixes=generation_request.prefixes,
            excluded=self.excluded,
            attempt=attempt,
            hedgeable=self.whole_response,
            hedges=self.hedges,
        )
        try:
            grant = await node.schedulers.admit(body)
        except asyncio.CancelledError:
            node.schedulers.release(generation, pool.name, ABANDONED)
            raise
        if isinstance(grant, Failure):
            return grant
        self.pool = pool.name
        self.record_reservation(generation, grant)
        refusal = node.prompt_watch.refusal(generation_request.parts)
        if refusal is not None:
            self.end_attempt(REFUSED)
            return refusal
        if attempt == 1:
            node.retry_budget.record_request(grant.endpoint)
        return grant

    def record_reservation(self, generation: str, grant: Grant) -> None:
        """Record the reservation that was granted."""
        generation_request = self.generation_request
        self.location = GenerationLocation(
            workspace=generation_request.workspace.name,
            endpoint=grant.endpoint,
            generation=generation,
        )
        self.reservation = Holding(
            reservation=generation,
            endpoint=grant.endpoint,
            workspace=generation_request.workspace.name,
            model=generation_request.model.name,
            kind=generation_request.kind,
            priority=generation_request.priority,
            prompt_tokens=generation_request.prompt_tokens,
            max_tokens=generation_request.max_tokens,
            generation=generation,
            taken=self.node.program.clock.now(),
            hedges=self.hedges,
            hedgeable=self.whole_response,
        )
        self.node.schedulers.record_reservation(self.pool, self.reservation)
        self.node.schedulers.hedge_callbacks[generation] = self.hedge_advised.set

    def start_generation(self, grant: Grant) -> GenerationReader | Failure:
        """Start the generation at the granted engine; return its reader."""
        node, location = self.node, self.location
        endpoint = node.state.endpoints.get(grant.endpoint)
        if endpoint is None or location is None:
            return Failure(
                Code.NO_ENDPOINT, f"endpoint {grant.endpoint} is not declared"
            )
        node.events.emit(
            Event.ATTEMPT_SENT,
            request=self.request_id,
            attempt=location.generation,
            endpoint=endpoint.name,
        )
        body = engine_body(
            self.generation_request,
            location.generation,
            grant.engine_priority,
            endpoint.takes_salt,
        )
        reader = GenerationReader(
            node=node,
            location=location,
            url=endpoint.url,
            first_index=0,
            deadline=self.deadline,
        )
        reader.start(self.generation_request.chat, body)
        return reader


class ResumedRun(Delivery):
    """A running generation that a caller resumes at this entry."""

    def __init__(
        self,
        *,
        node: Node,
        location: GenerationLocation,
        received_tokens: int,
        deadline: float,
    ):
        super().__init__(node=node, request_id=location.request_id, deadline=deadline)
        self.location = location
        self.produced = received_tokens

    async def chunks(self) -> Items:
        """Yield the remaining chunks of the generation, or the failure."""
        node, location = self.node, self.location
        assert location is not None
        endpoint = node.state.endpoints.get(location.endpoint)
        pool = node.state.pool_of(location.endpoint)
        if endpoint is None or pool is None:
            failure = Failure(
                Code.GENERATION_GONE, "the generation's endpoint is no longer declared"
            )
            yield with_run_state(failure, self.produced)
            return
        self.pool = pool.name
        self.take_over_reservation()
        reader = GenerationReader(
            node=node,
            location=location,
            url=endpoint.url,
            first_index=self.produced,
            deadline=self.deadline,
        )
        reader.resume()
        items = self.read_items(reader)
        try:
            async for item in items:
                if isinstance(item, Failure):
                    item = with_run_state(item, self.produced)
                yield item
        finally:
            await items.aclose()

    def take_over_reservation(self) -> None:
        """Take the reservation over from the entry that held it."""
        location = self.location
        assert location is not None
        self.reservation = Holding(
            reservation=location.generation,
            endpoint=location.endpoint,
            workspace=location.workspace,
            produced=self.produced,
            generation=location.generation,
            taken=self.node.program.clock.now(),
        )
        self.node.schedulers.take_over(self.pool, self.reservation)
