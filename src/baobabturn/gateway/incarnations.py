"""Finds out whether an engine still runs the process that its entry describes.

An engine may start again under its name with other software before its entry says so.
Engines don't check whose stream they go on with, so a stream that has begun goes on
only at an engine whose own report names the incarnation of its entry.
"""

from __future__ import annotations

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.platforminterface import CacheCopier, EngineReport

REPORT_TIMEOUT_S = 0.4


class IncarnationCheck:
    """Asks engines for their incarnation right before a stream goes on there."""

    def __init__(self, *, cache_copier: CacheCopier, events: EventLog):
        self.cache_copier = cache_copier
        self.events = events

    async def refusal(self, endpoint: Endpoint, limit_s: float) -> Failure | None:
        """Return why a stream can't go on at an engine, None if it can.

        An entry that names no incarnation can't be compared, and isn't.
        """
        expected = endpoint.record.incarnation
        if not expected:
            return None
        report = await self.cache_copier.report(
            endpoint.record.address, min(limit_s, REPORT_TIMEOUT_S)
        )
        if isinstance(report, Failure):
            reason = f"{endpoint.name} doesn't say which process it is: {report.reason}"
            return Failure(Code.NO_ENDPOINT, reason)
        if not self.is_other(endpoint, report):
            return None
        reason = f"{endpoint.name} has started again since its entry was written"
        return Failure(Code.NO_ENDPOINT, reason)

    async def is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether an engine's report shows that it has started again.

        An engine that gives no report may still be the same.
        """
        if not endpoint.record.incarnation:
            return False
        report = await self.cache_copier.report(
            endpoint.record.address, REPORT_TIMEOUT_S
        )
        return isinstance(report, EngineReport) and self.is_other(endpoint, report)

    def is_other(self, endpoint: Endpoint, report: EngineReport) -> bool:
        """Return whether a report is of another incarnation than an entry; log it."""
        expected = endpoint.record.incarnation
        if report.incarnation in (0, expected):
            return False
        self.events.emit(
            Event.ENTRY_OUTDATED,
            endpoint=endpoint.name,
            entry=expected,
            report=report.incarnation,
        )
        return True
