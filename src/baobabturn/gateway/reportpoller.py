"""Polls engines' reports while the store answers no gateway.

They show which engines are leaving or have started again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.platforminterface import CacheCopier
from baobabturn.gateway.pools import EnginePools

POLL_INTERVAL_S = 0.35
REPORT_TIMEOUT_S = 0.3
# Polling starts when nothing has been known of the store for this long.  From a store
# that works, something is known more recently: the wait of a watch and the times at
# which gateways ask one another add up to less.
STALENESS_LIMIT_S = 1.9


class ReportPoller:
    """Polls the engines that run this gateway's generations for their reports.

    A report costs a call, so engines are polled only while the store can't announce
    which endpoints are leaving.
    """

    def __init__(
        self,
        *,
        program: Program,
        staleness_s: Callable[[], float],
        endpoints: Endpoints,
        pools: EnginePools,
        cache_copier: CacheCopier,
    ):
        self.program = program
        self.staleness_s = staleness_s
        self.endpoints = endpoints
        self.pools = pools
        self.cache_copier = cache_copier

    async def run(self) -> None:
        """Poll for as long as the process runs."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.staleness_s() < STALENESS_LIMIT_S:
                continue
            names = {
                reservation.endpoint for reservation in self.pools.reservations.values()
            }
            endpoints = [self.endpoints.by_name.get(name) for name in names]
            polled = [
                each for each in endpoints if each is not None and not each.leaving
            ]
            await asyncio.gather(*(self.poll(endpoint) for endpoint in polled))

    async def poll(self, endpoint: Endpoint) -> None:
        """Read one engine's report, and apply that it is leaving or has started again.

        An engine that doesn't answer is left as it is.
        """
        report = await self.cache_copier.report(
            endpoint.record.address, REPORT_TIMEOUT_S
        )
        self.program.metrics.count("reports_read")
        if isinstance(report, Failure):
            return
        self.endpoints.apply_report(endpoint, report.incarnation)
        if not report.leaving:
            return
        self.endpoints.mark_announced_leaving(
            endpoint, "its report says that it is leaving"
        )
