"""Hedges a generation: runs it at a second endpoint when its scheduler advises.

The scheduler advises it if the first endpoint is slow and the caller has
received nothing of the response.  The first of the two runs to yield a token
(streamed response) or to end (whole response) wins; the other is cancelled.
The caller gets the winner's output only.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from baobabturn.core.results import Failure
from baobabturn.endpoints.engine import Chunk
from baobabturn.entry.generations import GenerationRun, Items, Restart
from baobabturn.entry.node import Node
from baobabturn.entry.requests import GenerationRequest
from baobabturn.entry.resumetokens import GenerationLocation

# Keeps the generation ids of the hedge apart from those of the first run.
SECOND_ATTEMPT = 100

Got = list[list[Chunk] | Restart | Failure]


@attrs.define(kw_only=True, eq=False)
class Contender:
    """One of the two racing runs, with the task that reads its first items."""

    run: GenerationRun
    items: Items
    task: asyncio.Task[Got]

    async def stop(self) -> None:
        """Stop the losing run and cancel its generation at the engine."""
        self.run.resumable = False
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        await self.items.aclose()


class HedgedRun:
    """One caller's generation, hedged at a second endpoint if advised.

    ``whole`` says that the response is sent at once and not streamed.
    """

    def __init__(self, *, node: Node, wanted: GenerationRequest, whole: bool):
        self.node = node
        self.wanted = wanted
        self.whole = whole
        self.request = wanted.request
        self.deadline = wanted.deadline
        self.winner = self.new_run()
        self.winner.resumable = not whole

    @property
    def place(self) -> GenerationLocation | None:
        """Return the location of the winner's generation."""
        return self.winner.place

    @property
    def produced(self) -> int:
        """Return how many tokens the winner has delivered."""
        return self.winner.produced

    def new_run(self) -> GenerationRun:
        """Return a new run of the request."""
        return GenerationRun(
            node=self.node, wanted=self.wanted, silent_restart=self.whole
        )

    async def chunks(self) -> Items:
        """Yield the winner's items; the last one has the finish or is a failure."""
        contenders = [self.enter(self.winner)]
        try:
            best = await self.race(contenders)
            self.winner = best.run
            for early in best.task.result():
                yield early
            if not self.whole:
                async for item in best.items:
                    yield item
        finally:
            for each in contenders:
                each.task.cancel()
                await each.items.aclose()

    def enter(self, run: GenerationRun) -> Contender:
        """Start a run and the task that reads its first items."""
        items = run.chunks()
        read = gathered(items) if self.whole else begun(items)
        return Contender(run=run, items=items, task=asyncio.create_task(read))

    async def race(self, contenders: list[Contender]) -> Contender:
        """Return the winner; start the second run if the scheduler advises it.

        The loser is stopped.
        """
        first = contenders[0]
        asked = asyncio.create_task(first.run.hedge_asked.wait())
        try:
            await asyncio.wait({first.task, asked}, return_when=asyncio.FIRST_COMPLETED)
            if first.task.done():
                return first
            second = self.enter(self.second_run(first.run))
            contenders.append(second)
            return await self.decide(first, second)
        finally:
            asked.cancel()

    def second_run(self, first: GenerationRun) -> GenerationRun:
        """Return the hedge of the first run, at another endpoint."""
        run = self.new_run()
        run.resumable = False
        run.first_attempt = SECOND_ATTEMPT
        run.started = first.started
        if first.place is not None:
            run.hedges = first.place.generation
            run.excluded.append(first.place.endpoint)
        self.node.metrics.count("hedges_started")
        return run

    async def decide(self, first: Contender, second: Contender) -> Contender:
        """Return the run that yields first, and stop the other.

        If that run failed, the other one wins unless it fails too.
        """
        tasks = {first.task, second.task}
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        best, other = (first, second) if first.task.done() else (second, first)
        if has_failed(best.task.result()):
            await asyncio.wait({other.task})
            if not has_failed(other.task.result()) or best is second:
                best, other = other, best
        await other.stop()
        if best is second:
            self.node.metrics.count("hedges_won")
            best.run.resumable = not self.whole
        return best


def has_failed(got: Got) -> bool:
    """Return whether the items of a run are none or end with a failure."""
    return not got or isinstance(got[-1], Failure)


async def begun(items: Items) -> Got:
    """Return the first item of a run that is not None, in a list."""
    async for item in items:
        if item is not None:
            return [item]
    return []


async def gathered(items: Items) -> Got:
    """Return all items of a run since its last restart."""
    got: Got = []
    async for item in items:
        if isinstance(item, Restart):
            got.clear()
        elif item is not None:
            got.append(item)
    return got
