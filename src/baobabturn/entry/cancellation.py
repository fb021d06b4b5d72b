"""Cancels generations at engines unless another entry has resumed them."""

from __future__ import annotations

import asyncio
import time

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.endpoints.engine import Engine
from baobabturn.entry.resumetokens import GenerationLocation
from baobabturn.entry.schedulers import Schedulers
from baobabturn.wire.messages import Held, Holding, WhoHolds
from baobabturn.wire.words import ABANDONED

RETRY_S = 0.5
TRIES = 10
ASK_AGAIN_S = 0.5
ASK_LIMIT_S = 15.0


class Cancels:
    """Cancels abandoned generations unless another entry has resumed them.

    ``open`` counts the cancellations in progress; a draining entry waits until
    it is 0.
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

    def start(self, place: GenerationLocation, pool: str) -> None:
        """Start to cancel a generation in the background."""
        work = self.now(place, pool)
        self.program.background.start(work, f"cancel-{place.generation}")

    def after_grace(self, place: GenerationLocation, pool: str, held: Holding) -> None:
        """Cancel a generation in the background unless resumed within the grace time.

        Its reservation stays until then, since the engine still runs it.
        """
        work = self.later(place, pool, held)
        self.program.background.start(work, f"cancel-{place.generation}")

    async def now(self, place: GenerationLocation, pool: str) -> None:
        """Cancel a generation unless a scheduler says that another entry holds it."""
        self.open += 1
        try:
            if await self.held_elsewhere(place, pool) is not True:
                await self.until_confirmed(place)
        finally:
            self.open -= 1

    async def later(self, place: GenerationLocation, pool: str, held: Holding) -> None:
        """Wait for the grace time, then cancel a generation that nobody has resumed.

        Ownership is checked after each wait: a stream of this entry may have
        resumed the generation meanwhile.
        """
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

    async def is_resumed(self, place: GenerationLocation, pool: str) -> bool:
        """Return whether another entry holds a generation.

        While no scheduler knows, the query is repeated for ``ASK_LIMIT_S``,
        since a wrong cancellation would cut a resumed stream.
        """
        end = time.monotonic() + ASK_LIMIT_S
        while time.monotonic() < end:
            known = await self.held_elsewhere(place, pool)
            if known is not None:
                return known
            await asyncio.sleep(ASK_AGAIN_S)
        return False

    async def held_elsewhere(self, place: GenerationLocation, pool: str) -> bool | None:
        """Ask the scheduler if another entry holds a generation; None if unknown."""
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

    async def once(self, place: GenerationLocation) -> bool:
        """Send one cancellation; return whether the engine confirmed it.

        A generation whose endpoint is no longer declared counts as confirmed.
        """
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

    async def until_confirmed(self, place: GenerationLocation) -> None:
        """Send cancellations until the engine confirms one, at most ``TRIES``.

        After that the generation is left to the controllers' orphan sweep.
        """
        for _ in range(TRIES):
            if await self.once(place):
                return
            await asyncio.sleep(RETRY_S)
