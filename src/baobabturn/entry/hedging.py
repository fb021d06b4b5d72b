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
FIRST_HEDGE_ATTEMPT = 100

ItemList = list[list[Chunk] | Restart | Failure]


@attrs.define(kw_only=True, eq=False)
class Contender:
    """One of the two racing runs, with the task that reads its first items."""

    run: GenerationRun
    items: Items
    task: asyncio.Task[ItemList]

    async def stop(self) -> None:
        """Stop the losing run and cancel its generation at the engine."""
        self.run.resumable = False
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
        await self.items.aclose()


class HedgedRun:
    """One caller's generation, hedged at a second endpoint if advised.

    ``whole_response`` says that the response is sent whole at its end, not streamed.
    """

    def __init__(
        self, *, node: Node, generation_request: GenerationRequest, whole_response: bool
    ):
        self.node = node
        self.generation_request = generation_request
        self.whole_response = whole_response
        self.request_id = generation_request.request_id
        self.deadline = generation_request.deadline
        self.winner = self.new_run()
        self.winner.resumable = not whole_response

    @property
    def location(self) -> GenerationLocation | None:
        """Return the location of the winner's generation."""
        return self.winner.location

    @property
    def produced(self) -> int:
        """Return how many tokens the winner has delivered."""
        return self.winner.produced

    def new_run(self) -> GenerationRun:
        """Return a new run of the request."""
        return GenerationRun(
            node=self.node,
            generation_request=self.generation_request,
            whole_response=self.whole_response,
        )

    async def chunks(self) -> Items:
        """Yield the winner's items; the last one has the finish or is a failure."""
        contenders = [self.start_contender(self.winner)]
        try:
            winner = await self.race(contenders)
            self.winner = winner.run
            for collected_item in winner.task.result():
                yield collected_item
            if not self.whole_response:
                async for item in winner.items:
                    yield item
        finally:
            for contender in contenders:
                contender.task.cancel()
                await contender.items.aclose()

    def start_contender(self, run: GenerationRun) -> Contender:
        """Start a run and the task that reads its first items."""
        items = run.chunks()
        reading = collect_items(items) if self.whole_response else first_item(items)
        return Contender(run=run, items=items, task=asyncio.create_task(reading))

    async def race(self, contenders: list[Contender]) -> Contender:
        """Return the winner; start the second run if the scheduler advises it.

        The loser is stopped.
        """
        first = contenders[0]
        advised = asyncio.create_task(first.run.hedge_advised.wait())
        try:
            await asyncio.wait(
                {first.task, advised}, return_when=asyncio.FIRST_COMPLETED
            )
            if first.task.done():
                return first
            hedge = self.start_contender(self.new_hedge(first.run))
            contenders.append(hedge)
            return await self.pick_winner(first, hedge)
        finally:
            advised.cancel()

    def new_hedge(self, first: GenerationRun) -> GenerationRun:
        """Return the hedge of the first run, at another endpoint."""
        run = self.new_run()
        run.resumable = False
        run.first_attempt = FIRST_HEDGE_ATTEMPT
        run.started_at = first.started_at
        if first.location is not None:
            run.hedges = first.location.generation
            run.excluded.append(first.location.endpoint)
        self.node.metrics.count("hedges_started")
        return run

    async def pick_winner(self, first: Contender, hedge: Contender) -> Contender:
        """Return the run that yields first, and stop the other.

        If that run failed, the other one wins unless it fails too.
        """
        tasks = {first.task, hedge.task}
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        winner, loser = (first, hedge) if first.task.done() else (hedge, first)
        if has_failed(winner.task.result()):
            await asyncio.wait({loser.task})
            if not has_failed(loser.task.result()) or winner is hedge:
                winner, loser = loser, winner
        await loser.stop()
        if winner is hedge:
            self.node.metrics.count("hedges_won")
            winner.run.resumable = not self.whole_response
        return winner


def has_failed(collected: ItemList) -> bool:
    """Return whether a run yielded no items, or a failure as its last one."""
    return not collected or isinstance(collected[-1], Failure)


async def first_item(items: Items) -> ItemList:
    """Return the first item of a run that is not None, in a list."""
    async for item in items:
        if item is not None:
            return [item]
    return []


async def collect_items(items: Items) -> ItemList:
    """Return all items of a run since its last restart."""
    collected: ItemList = []
    async for item in items:
        if isinstance(item, Restart):
            collected.clear()
        elif item is not None:
            collected.append(item)
    return collected
