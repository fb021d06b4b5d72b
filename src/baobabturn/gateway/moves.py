"""Moves running generations away from engines that leave.

A run is copied while it goes on, and then once more with a stop, which takes
only what is new.  The caller sees a pause of the second copy alone.
"""

from __future__ import annotations

import asyncio
import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.dialect import Continuation, Copy, Mover
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.moveplan import Turn
from baobabturn.gateway.pools import EnginePools, Place
from baobabturn.gateway.streaming import Streams
from baobabturn.gateway.streamrun import Onward, StreamRun
from baobabturn.wire.words import ABANDONED, FAILED

MS = 1000
COPY_TIMEOUT_S = 2.5
# Longest time after a notice in which a move is still tried.
TRY_S = 2.2
RETRY_S = 0.08
# How often a run looks whether its turn has come.
TURN_CHECK_S = 0.01
# A copy of what is new that takes less than this found the link free.
QUICK_S = 0.06
# Time after a notice from which a run is stopped whether the link is free or not.
STOP_S = 1.25


class Evacuation:
    """Moves this gateway's runs away from engines that begin to leave."""

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        pools: EnginePools,
        streams: Streams,
        mover: Mover,
    ):
        self.program = program
        self.endpoints = endpoints
        self.pools = pools
        self.streams = streams
        self.mover = mover
        endpoints.leaving_listeners.append(self.begin)

    def begin(self, endpoint: Endpoint) -> None:
        """Start to move the runs of an endpoint that leaves."""
        service = endpoint.record.service
        traits = self.pools.traits.get(service)
        if traits is None or not traits.supports_migration:
            return
        plan = self.pools.move_plan(service, endpoint.name)
        for run in self.streams.at(endpoint):
            place = run.place
            turn = plan.get(place.holding.reservation) if place is not None else None
            if turn is None:
                self.program.events.emit(
                    Event.MOVE_PASSED, request=run.call.ident, endpoint=endpoint.name
                )
                continue
            self.program.background.start(
                self.evacuate(run, endpoint, turn), f"move-{run.call.ident}"
            )

    async def evacuate(self, run: StreamRun, source: Endpoint, turn: Turn) -> None:
        """Move one run, trying engines for as long as the source may live.

        A run that its engine doesn't know yet is asked for again.
        """
        noticed = time.monotonic()
        tried: set[str] = set()
        pool, name = source.record.service, source.name
        while not turn.has_come(
            self.pools.held_at(pool, name), time.monotonic() - noticed
        ):
            await asyncio.sleep(TURN_CHECK_S)
        while time.monotonic() - noticed < TRY_S:
            if run.ended or run.endpoint is not source or run.place is None:
                return
            target = self.pools.place_for_move(run.call, run.place, tried)
            if target is None:
                tried.clear()
                await asyncio.sleep(RETRY_S)
                continue
            failure = await self.move(run, source, target, noticed + STOP_S)
            if failure is None:
                return
            self.pools.release(target, FAILED)
            if failure.code is not Code.GENERATION_GONE:
                tried.add(target.endpoint)
            await asyncio.sleep(RETRY_S)

    async def move(
        self, run: StreamRun, source: Endpoint, target: Place, stop_by: float
    ) -> Failure | None:
        """Move a run to a place; return why it couldn't be moved there."""
        place = run.place
        assert place is not None
        began = time.monotonic()
        self.program.events.emit(
            Event.MOVE_STARTED,
            request=run.call.ident,
            endpoint=source.name,
            target=target.endpoint,
            tokens=place.holding.prompt_tokens + place.holding.produced,
        )
        first = await self.copy(run, source, target, stop=False)
        if isinstance(first, Failure):
            return self.failed(run, source, target, first)
        self.program.events.emit(
            Event.MOVE_COPIED,
            request=run.call.ident,
            endpoint=source.name,
            target=target.endpoint,
            took_ms=int((time.monotonic() - began) * MS),
        )
        await self.wait_for_link(run, source, target, stop_by)
        if run.ended or run.endpoint is not source:
            await self.mover.discard(source.record.address, first.memory)
            self.pools.release(target, FAILED)
            return None
        onward: Onward = asyncio.get_running_loop().create_future()
        run.onward = onward
        second = await self.copy(run, source, target, stop=True)
        if onward.done():
            # The caller left meanwhile: nobody goes on from the copy.
            if isinstance(second, Copy):
                await self.mover.discard(source.record.address, second.memory)
            self.pools.release(target, ABANDONED)
            return None
        if isinstance(second, Failure):
            onward.set_result(None)
            return self.failed(run, source, target, second)
        onward.set_result((target, Continuation(after="", memory=second.memory)))
        return None

    async def wait_for_link(
        self, run: StreamRun, source: Endpoint, target: Place, stop_by: float
    ) -> None:
        """Copy what is new until that is quick, so that a stop will be short.

        A copy waits behind those of other runs, and a stopped run waits with it.
        """
        while time.monotonic() < stop_by and not run.ended:
            began = time.monotonic()
            copied = await self.copy(run, source, target, stop=False)
            if isinstance(copied, Failure) or time.monotonic() - began < QUICK_S:
                return

    async def copy(
        self, run: StreamRun, source: Endpoint, target: Place, *, stop: bool
    ) -> Copy | Failure:
        """Copy a run's memory to a place's engine."""
        endpoint = self.endpoints.by_name.get(target.endpoint)
        if endpoint is None:
            return Failure(Code.NO_ENDPOINT, f"{target.endpoint} is gone")
        return await self.mover.copy(
            source.record.address,
            run.call.ident,
            endpoint.record.address,
            stop=stop,
            timeout_s=COPY_TIMEOUT_S,
        )

    def failed(
        self, run: StreamRun, source: Endpoint, target: Place, failure: Failure
    ) -> Failure:
        """Log a move that failed, and return why it did."""
        self.program.events.emit(
            Event.MOVE_FAILED,
            request=run.call.ident,
            endpoint=source.name,
            target=target.endpoint,
            reason=str(failure),
        )
        return failure
