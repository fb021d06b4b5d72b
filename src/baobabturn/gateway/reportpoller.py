"""Detects engines that are leaving by their own reports while the store is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.dialect import Mover
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.pools import EnginePools

POLL_INTERVAL_S = 0.35
REPORT_TIMEOUT_S = 0.3
# Polling starts after this silence; a store that works answers some gateway of the
# fleet much more often.
STORE_SILENCE_LIMIT_S = 0.8


class ReportPoller:
    """Polls the engines that run this gateway's generations for their reports.

    A report costs a call, so engines are polled only while the store answers no
    gateway and can't announce which endpoints are leaving.
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
        """Poll for as long as the process runs."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.store_silence_s() < STORE_SILENCE_LIMIT_S:
                continue
            names = {place.endpoint for place in self.pools.held.values()}
            endpoints = [self.endpoints.by_name.get(name) for name in names]
            polled = [
                each for each in endpoints if each is not None and not each.leaving
            ]
            await asyncio.gather(*(self.poll(endpoint) for endpoint in polled))

    async def poll(self, endpoint: Endpoint) -> None:
        """Read one engine's report and mark the engine if it is leaving.

        An engine that doesn't answer is left as it is.
        """
        leaves = await self.mover.leaves(endpoint.record.address, REPORT_TIMEOUT_S)
        self.program.metrics.count("reports_read")
        if isinstance(leaves, Failure) or not leaves:
            return
        self.endpoints.mark_leaving(endpoint, "its report says that it is leaving")
        self.endpoints.notify()
