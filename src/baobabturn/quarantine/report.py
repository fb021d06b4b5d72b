"""Logs and counts the quarantines of parts of prompts."""

from __future__ import annotations

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.quarantine.ledger import CrashLedger
from baobabturn.quarantine.record import PartRecord

MS_PER_S = 1000


class QuarantineReport:
    """Logs each quarantine that begins in a ledger, and each crash and its end."""

    def __init__(self, *, program: Program, ledger: CrashLedger):
        self.program = program
        self.ledger = ledger
        ledger.quarantine_listeners.append(self.log_quarantine)

    def log_crash(
        self,
        request_id: str,
        endpoint: str,
        *,
        began_s: float,
        digest: str = "",
        parts: str = "",
    ) -> None:
        """Log that an endpoint crashed some seconds after it began to answer."""
        self.program.metrics.count("crashes_seen")
        self.program.events.emit(
            Event.ENDPOINT_CRASHED,
            request=request_id,
            endpoint=endpoint,
            began_ms=int(began_s * MS_PER_S),
            digest=digest,
            parts=parts,
        )

    def log_quarantine(self, record: PartRecord) -> None:
        """Log that a quarantine has begun, on this host or another one."""
        self.program.metrics.count("quarantines")
        self.program.events.emit(
            Event.PART_QUARANTINED,
            part=record.part,
            crashes=",".join(crash.endpoint for crash in record.crashes),
            answers=record.answers,
            term=record.term,
            for_s=int(self.ledger.remaining_s([record.part])),
        )

    def log_cleared(self, parts: list[str]) -> None:
        """Log those of some parts whose quarantine or probation an answer ended."""
        for part in parts:
            if self.ledger.is_lifted(part):
                self.program.events.emit(Event.PART_CLEARED, part=part)
