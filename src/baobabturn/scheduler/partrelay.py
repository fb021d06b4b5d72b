"""Passes on between entries what they know of prompts that crash engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from baobabturn.core.program import Program
from baobabturn.quarantine.ledger import MAX_BLOCK_RECORDS, CrashLedger
from baobabturn.wire.gatewaymessages import PartNews
from baobabturn.wire.link import Link


class PartRelay:
    """Keeps what the entries know, and sends each what it lacks.

    The decisions are the entries': no admission passes them by, while a pool's
    scheduler may be unreachable.
    """

    def __init__(self, *, program: Program, links: Callable[[], Iterable[Link]]):
        self.program = program
        self.links = links
        self.ledger = CrashLedger(max_records=MAX_BLOCK_RECORDS)

    def handle_news(self, link: Link, news: PartNews) -> None:
        """Add an entry's news, and send them to the other entries."""
        changed = self.ledger.merge(news.items)
        if news.wanted:
            link.send(self.news(self.ledger.active_parts()))
        if not changed:
            return
        message = self.news(changed)
        for other in self.links():
            if other is not link:
                other.send(message)

    def news(self, parts: list[str]) -> PartNews:
        """Return what is known of some parts."""
        return PartNews(
            node=self.program.identity.node, items=self.ledger.evidence(parts)
        )
