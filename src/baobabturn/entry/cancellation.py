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

CANCEL_RETRY_S = 0.5
MAX_CANCEL_CALLS = 10
HOLDER_RETRY_S = 0.5
HOLDER_QUERY_LIMIT_S = 15.0


class GenerationCanceller:
    """Cancels abandoned generations unless another entry has resumed them.

    ``open_count`` is the number of cancellations in progress; a draining entry
    waits until it is 0.
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
        self.open_count = 0

    def start(self, location: GenerationLocation, pool: str) -> None:
        """Start to cancel a generation in the background."""
        work = self.cancel_unless_held(location, pool)
        self.program.background.start(work, f"cancel-{location.generation}")

    def start_after_grace(
        self, location: GenerationLocation, pool: str, reservation: Holding
    ) -> None:
        """Cancel a generation in the background unless resumed within the grace time.

        Its reservation stays until then, since the engine still runs it.
        """
        work = self.cancel_after_grace(location, pool, reservation)
        self.program.background.start(work, f"cancel-{location.generation}")

    async def cancel_unless_held(self, location: GenerationLocation, pool: str) -> None:
        """Cancel a generation unless a scheduler says that another entry holds it."""
        self.open_count += 1
        try:
            if await self.is_held_elsewhere(location, pool) is not True:
                await self.cancel_until_confirmed(location)
        finally:
            self.open_count -= 1

    async def cancel_after_grace(
        self, location: GenerationLocation, pool: str, reservation: Holding
    ) -> None:
        """Wait for the grace time, then cancel a generation that nobody has resumed.

        Ownership is checked after each wait: a stream of this entry may have
        resumed the generation meanwhile.
        """
        self.open_count += 1
        try:
            await asyncio.sleep(self.program.settings.entry.resume_grace_s)
            if not self.schedulers.owns_reservation(reservation):
                return
            if await self.is_resumed(location, pool):
                if self.schedulers.owns_reservation(reservation):
                    self.schedulers.remove_reservation(location.generation)
                return
            if not self.schedulers.owns_reservation(reservation):
                return
            await self.cancel_until_confirmed(location)
            if self.schedulers.owns_reservation(reservation):
                self.schedulers.release(location.generation, pool, ABANDONED)
        finally:
            self.open_count -= 1

    async def is_resumed(self, location: GenerationLocation, pool: str) -> bool:
        """Return whether another entry holds a generation.

        While no scheduler knows, the query is repeated for ``HOLDER_QUERY_LIMIT_S``,
        since a wrong cancellation would cut a resumed stream.
        """
        deadline = time.monotonic() + HOLDER_QUERY_LIMIT_S
        while time.monotonic() < deadline:
            is_held = await self.is_held_elsewhere(location, pool)
            if is_held is not None:
                return is_held
            await asyncio.sleep(HOLDER_RETRY_S)
        return False

    async def is_held_elsewhere(
        self, location: GenerationLocation, pool: str
    ) -> bool | None:
        """Ask the scheduler if another entry holds a generation; None if unknown."""
        client = self.schedulers.link(pool)
        if client is None:
            return None
        query = WhoHolds(endpoint=location.endpoint, generations=[location.generation])
        reply = await client.call(query)
        if not isinstance(reply, Held):
            return None
        if location.generation in reply.generations:
            return True
        return False if reply.settled else None

    async def try_cancel(self, location: GenerationLocation) -> bool:
        """Send one cancellation; return whether the engine confirmed it.

        A generation whose endpoint is no longer declared counts as confirmed.
        """
        endpoint = self.state.endpoints.get(location.endpoint)
        if endpoint is None:
            return True
        confirmed = await self.engine.cancel(endpoint.url, location.generation)
        if confirmed is not True:
            return False
        self.program.events.emit(
            Event.GENERATION_CANCELLED,
            request=location.request_id,
            attempt=location.generation,
            endpoint=location.endpoint,
        )
        return True

    async def cancel_until_confirmed(self, location: GenerationLocation) -> None:
        """Send cancellations until the engine confirms one.

        After ``MAX_CANCEL_CALLS`` unconfirmed ones the generation is left to the
        controllers' orphan sweep.
        """
        for _ in range(MAX_CANCEL_CALLS):
            if await self.try_cancel(location):
                return
            await asyncio.sleep(CANCEL_RETRY_S)
