"""Asks engines themselves whether they leave while the store can't tell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.dialect import Mover
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.pools import EnginePools

# Pause between two reports of one engine.
PAUSE_S = 0.35
TIMEOUT_S = 0.3
# The store answers one gateway or another much more often than this.
PATIENCE_S = 0.8


class ReportPoller:
    """Reads the reports of the engines that hold this gateway's runs.

    A report costs a call, so they are read only while the store answers no gateway.
    """

    def __init__(
        self,
        *,
        program: Program,
        store_silence_s: Callable[[], float],
        endpoints: Endpoints,
        pools: EnginePools,
        mover: Mover,
    ):
        self.program = program
        self.store_silence_s = store_silence_s
        self.endpoints = endpoints
        self.pools = pools
        self.mover = mover

    async def run(self) -> None:
        """Ask for as long as the process runs."""
        while True:
            await asyncio.sleep(PAUSE_S)
            if self.store_silence_s() < PATIENCE_S:
                continue
            names = {place.endpoint for place in self.pools.held.values()}
            known = [self.endpoints.by_name.get(name) for name in names]
            asked = [each for each in known if each is not None and not each.leaving]
            await asyncio.gather(*(self.poll(endpoint) for endpoint in asked))

    async def poll(self, endpoint: Endpoint) -> None:
        """Read one engine's report; one that doesn't answer says nothing."""
        leaves = await self.mover.leaves(endpoint.record.address, TIMEOUT_S)
        self.program.metrics.count("reports_read")
        if isinstance(leaves, Failure) or not leaves:
            return
        self.endpoints.mark_leaving(endpoint, "its report says so")
        self.endpoints.notify()
