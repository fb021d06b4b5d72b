"""Cancels orphaned generations, which run at an engine while no entry holds them.

The controller that polls an endpoint lists its open generations and asks the
local scheduler, which owns the endpoint's pool, which of them an entry holds.  The
controller keeps the times since when each has had no holder, so that they survive
the death of a scheduler.  They start again only when another controller takes over
the endpoint.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from baobabturn.config.declared import Endpoint
from baobabturn.core.events import Event
from baobabturn.core.idents import request_of
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.endpoints.engine import Engine
from baobabturn.wire.messages import Held, WhoHolds


class OrphanSweep:
    """Sweeps the endpoints that this controller polls.

    ``unheld_since`` maps, for each endpoint, a generation to the time since when
    it has had no holder, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        program: Program,
        engine: Engine,
        endpoints: Callable[[], list[Endpoint]],
        ask_scheduler: Callable[[WhoHolds], Awaitable[object]],
    ):
        self.program = program
        self.engine = engine
        self.endpoints = endpoints
        self.ask_scheduler = ask_scheduler
        self.unheld_since: dict[str, dict[str, float]] = {}

    async def run(self) -> None:
        """Sweep all engines for ever, every ``orphan_sweep_s``."""
        while True:
            await asyncio.sleep(self.program.settings.controller.orphan_sweep_s)
            engines = [e for e in self.endpoints() if e.kind == "engine"]
            names = {endpoint.name for endpoint in engines}
            for name in [name for name in self.unheld_since if name not in names]:
                del self.unheld_since[name]
            await asyncio.gather(*[self.sweep(endpoint) for endpoint in engines])

    async def sweep(self, endpoint: Endpoint) -> None:
        """Cancel the generations of an engine that are past the grace time.

        Generations whose name belongs to no request are foreign and left alone.
        Nothing is cancelled while the scheduler rebuilds the pool (not ``settled``).
        """
        listed = await self.engine.open_generations(endpoint.url)
        if isinstance(listed, Failure):
            return
        unheld = self.unheld_since.setdefault(endpoint.name, {})
        own_names = [name for name in listed if request_of(name)]
        for name in [name for name in unheld if name not in listed]:
            del unheld[name]
        if not own_names:
            return
        answer = await self.ask_scheduler(
            WhoHolds(endpoint=endpoint.name, generations=own_names)
        )
        if not isinstance(answer, Held) or not answer.settled:
            return
        for name in self.record_unheld(unheld, own_names, set(answer.generations)):
            await self.cancel(endpoint, name)

    def record_unheld(
        self, unheld: dict[str, float], names: list[str], held: set[str]
    ) -> list[str]:
        """Record which generations have no holder; return those past the grace."""
        now = time.monotonic()
        grace_s = self.program.settings.controller.orphan_grace_s
        for name in names:
            if name in held:
                unheld.pop(name, None)
            else:
                unheld.setdefault(name, now)
        return [name for name, since in unheld.items() if now - since >= grace_s]

    async def cancel(self, endpoint: Endpoint, generation: str) -> None:
        """Cancel a generation; if unconfirmed, the next sweep cancels it again."""
        fields = {"request": request_of(generation), "attempt": generation}
        self.program.events.emit(Event.ORPHAN_FOUND, endpoint=endpoint.name, **fields)
        self.program.metrics.count("orphans")
        confirmed = await self.engine.cancel(endpoint.url, generation)
        if confirmed is True:
            self.program.events.emit(
                Event.GENERATION_CANCELLED, endpoint=endpoint.name, **fields
            )
