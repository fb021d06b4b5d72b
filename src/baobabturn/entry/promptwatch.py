"""Keeps requests from endpoints that they would crash, at an entry.

The parts of a prompt are the hashes of its leading blocks.  An entry tells the
scheduler of a pool which crash it has seen under which parts; the scheduler tells all
entries.  Every generation, a restart and a hedge too, asks here before it is admitted,
whether a scheduler is reached or not.  So does every request to a plain service, by
what requests that are alike have in common.
"""

from __future__ import annotations

from collections.abc import Callable

from baobabturn.core.clock import stamp_ms
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.quarantine.ledger import MAX_BLOCK_RECORDS, CrashLedger
from baobabturn.quarantine.refusal import quarantine_failure
from baobabturn.quarantine.report import QuarantineReport
from baobabturn.wire.gatewaymessages import PartNews
from baobabturn.wire.link import Link

# Each prompt has up to 64 parts.
MAX_ANSWERED_PARTS = 16_384

MS_PER_S = 1000

Send = Callable[[str, PartNews], None]


class PromptWatch:
    """Watches for requests that crash endpoints, and refuses them.

    ``send`` sends news to the scheduler of a pool, ``send_everywhere`` to all.
    """

    def __init__(
        self,
        *,
        program: Program,
        send: Send,
        send_everywhere: Callable[[PartNews], None],
    ):
        self.program = program
        self.send = send
        self.send_everywhere = send_everywhere
        self.ledger = CrashLedger(
            max_records=MAX_BLOCK_RECORDS, max_answered_parts=MAX_ANSWERED_PARTS
        )
        self.report = QuarantineReport(program=program, ledger=self.ledger)

    def refusal(self, parts: list[str]) -> Failure | None:
        """Return why a prompt isn't admitted, None if it may be."""
        remaining_s = self.ledger.remaining_s(parts)
        return quarantine_failure(remaining_s) if remaining_s else None

    def may_crash_endpoints(self, parts: list[str]) -> bool:
        """Return whether a prompt that failed shouldn't be sent to another engine."""
        return self.ledger.are_suspect(parts)

    def record_crash(
        self, request_id: str, parts: list[str], endpoint: str, *, began_s: float
    ) -> None:
        """Record the crash of an engine that had just begun to answer a prompt."""
        self.report.log_crash(request_id, endpoint, began_s=began_s)
        stamp = stamp_ms(self.program.clock.now())
        began_ms = stamp - int(began_s * MS_PER_S)
        self.ledger.record_crash(endpoint, parts, stamp_ms=stamp, began_ms=began_ms)

    def record_answer(self, parts: list[str], began_at: float) -> list[str]:
        """Record a prompt that was answered; return the parts that this clears."""
        changed = self.ledger.record_answer(parts, began_at=began_at)
        self.report.log_cleared(changed)
        return changed

    def publish(self, pool: str, parts: list[str]) -> None:
        """Send what is known of some parts to the scheduler of a pool."""
        if parts:
            self.send(pool, self.news(parts))

    def publish_everywhere(self, parts: list[str]) -> None:
        """Send what is known of requests to plain services, which have no pool."""
        if parts:
            self.send_everywhere(self.news(parts))

    def news(self, parts: list[str], *, wanted: bool = False) -> PartNews:
        """Return what is known of some parts."""
        return PartNews(
            node=self.program.identity.node,
            items=self.ledger.evidence(parts),
            wanted=wanted,
        )

    def introduction(self) -> PartNews:
        """Return all that counts, for a scheduler that may know nothing."""
        return self.news(self.ledger.active_parts(), wanted=True)

    def handle_news(self, link: Link, news: PartNews) -> None:
        """Add what other entries know."""
        self.ledger.merge(news.items)
