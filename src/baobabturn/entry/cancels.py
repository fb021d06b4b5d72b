"""Cancels generations at their engines, and asks first who holds them."""

from __future__ import annotations

import asyncio
import time

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.endpoints.engine import Engine
from baobabturn.entry.resume import Place
from baobabturn.entry.schedulers import Schedulers
from baobabturn.wire.messages import Held, Holding, WhoHolds
from baobabturn.wire.words import ABANDONED

RETRY_S = 0.5
TRIES = 10
ASK_AGAIN_S = 0.5
ASK_LIMIT_S = 15.0


class Cancels:
    """Cancels what a caller has left, unless another entry goes on with it.

    ``open`` counts the cancellations in progress; a draining entry waits for
    them.
    """

    def __init__(
        self,
        *,
        program: Program,
        state: ConfigState,
        schedulers: Schedulers,
        engine: Engine,
    ):
        self.program = program
        self.state = state
        self.schedulers = schedulers
        self.engine = engine
        self.open = 0

    def start(self, place: Place, pool: str) -> None:
        """Cancel a generation now, in the background."""
        work = self.now(place, pool)
        self.program.background.start(work, f"cancel-{place.generation}")

    def after_grace(self, place: Place, pool: str, held: Holding) -> None:
        """Cancel a generation unless it is resumed within the grace time.

        Until then its place stays held, since the engine still runs it.
        """
        work = self.later(place, pool, held)
        self.program.background.start(work, f"cancel-{place.generation}")

    async def now(self, place: Place, pool: str) -> None:
        """Cancel a generation unless another entry is known to hold it."""
        self.open += 1
        try:
            if await self.held_elsewhere(place, pool) is not True:
                await self.until_confirmed(place)
        finally:
            self.open -= 1

    async def later(self, place: Place, pool: str, held: Holding) -> None:
        """Wait for the grace time, then cancel what nobody has resumed."""
        self.open += 1
        try:
            await asyncio.sleep(self.program.settings.entry.resume_grace_s)
            if not self.schedulers.holds(held):
                return
            if await self.is_resumed(place, pool):
                if self.schedulers.holds(held):
                    self.schedulers.drop(place.generation)
                return
            if not self.schedulers.holds(held):
                return
            await self.until_confirmed(place)
            if self.schedulers.holds(held):
                self.schedulers.release(place.generation, pool, ABANDONED)
        finally:
            self.open -= 1

    async def is_resumed(self, place: Place, pool: str) -> bool:
        """Return whether another entry holds a generation.

        Where no scheduler can say so the question is put again for a while,
        since a cancellation in error would cut a stream.
        """
        end = time.monotonic() + ASK_LIMIT_S
        while time.monotonic() < end:
            known = await self.held_elsewhere(place, pool)
            if known is not None:
                return known
            await asyncio.sleep(ASK_AGAIN_S)
        return False

    async def held_elsewhere(self, place: Place, pool: str) -> bool | None:
        """Return whether another entry holds a generation, None if unknown."""
        client = self.schedulers.link(pool)
        if client is None:
            return None
        asked = WhoHolds(endpoint=place.endpoint, generations=[place.generation])
        answer = await client.call(asked)
        if not isinstance(answer, Held):
            return None
        if place.generation in answer.generations:
            return True
        return False if answer.settled else None

    async def once(self, place: Place) -> bool:
        """Try to cancel a generation; return whether the engine confirmed it."""
        endpoint = self.state.endpoints.get(place.endpoint)
        if endpoint is None:
            return True
        confirmed = await self.engine.cancel(endpoint.url, place.generation)
        if confirmed is not True:
            return False
        self.program.events.emit(
            Event.GENERATION_CANCELLED,
            request=place.request,
            attempt=place.generation,
            endpoint=place.endpoint,
        )
        return True

    async def until_confirmed(self, place: Place) -> None:
        """Cancel a generation and repeat until the engine has confirmed it.

        One that can't be confirmed is left to the controllers' sweep.
        """
        for _ in range(TRIES):
            if await self.once(place):
                return
            await asyncio.sleep(RETRY_S)
