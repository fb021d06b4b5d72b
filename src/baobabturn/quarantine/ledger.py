"""Decides which requests crash endpoints and have to be kept from them.

The parts of a prompt whose answer had just begun when its engine crashed are suspects
in that crash, and so is the digest of any request that was in progress.  A suspect is
quarantined after several crashes if no request with it was answered after any of them.
Endpoints that end in one moment count once: what ends many of them at a time says
little of what they were running.  Of several such suspects the one with the fewest
answers comes first, since sound requests share the others; the crashes that it
explains count against no other suspect any more.

A request whose digest is a suspect in two crashes is on trial: one host at a time tries
it, and the others wait for the outcome.

A quarantine ends by itself.  After it the suspect is on probation: one more crash
brings a quarantine twice as long, one answer clears it.  All that is remembered expires
and is bounded in number.

Example::

    ledger = CrashLedger()
    ledger.record_crash("engine-1", ["shared", "draft"], stamp_ms=1000)
    ledger.record_answer(["shared"], began_at=ledger.clock())
    ledger.remaining_s(["shared", "draft"])  # 0.0: one crash is no proof
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

from baobabturn.quarantine.evidence import Crash, PartEvidence, is_request
from baobabturn.quarantine.record import (
    MAX_QUARANTINE_S,
    PartRecord,
    count_moments,
    expiry,
    quarantine_s,
    to_evidence,
)

# The crashes that bring a quarantine: of a suspect that was never answered, of one that
# was, and of one on probation.
NEW_PART_CRASHES, KNOWN_PART_CRASHES, PROBATION_CRASHES = 3, 5, 1
# With so many crashes a request isn't sent to another endpoint after a failure.
SUSPECT_CRASHES = 2
# A trial whose outcome isn't told ends by itself.
MAX_TRIAL_S = 2.0
MAX_RECORDS = 512
# The same at entries and schedulers, where a prompt has up to 64 parts.
MAX_BLOCK_RECORDS = 4096
# How many answered parts are remembered, and as many answered requests.
MAX_ANSWERED_PARTS = 2048
MS_PER_S = 1000


class CrashLedger:
    """The suspects in crashes, and those that are quarantined, by their names.

    ``quarantine_listeners`` are called with each part whose quarantine begins.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        max_records: int = MAX_RECORDS,
        max_answered_parts: int = MAX_ANSWERED_PARTS,
    ):
        self.clock = clock
        self.max_records = max_records
        self.max_answered_parts = max_answered_parts
        self.records: dict[str, PartRecord] = {}
        self.answered: OrderedDict[str, int] = OrderedDict()
        self.answered_requests: OrderedDict[str, int] = OrderedDict()
        self.quarantine_listeners: list[Callable[[PartRecord], None]] = []

    def record_crash(
        self,
        endpoint: str,
        parts: Iterable[str],
        *,
        stamp_ms: int,
        began_ms: int = 0,
    ) -> list[str]:
        """Record a crash and its suspects; return the parts of which more is known.

        ``stamp_ms`` is the time of the hybrid clock, ``began_ms`` that since when the
        suspects' request was in progress, 0 if that isn't known.
        """
        self.expire()
        now = self.clock()
        crash = Crash(endpoint=endpoint, stamp_ms=stamp_ms, began_ms=began_ms)
        changed = []
        for depth, part in enumerate(parts):
            record = self.record_of(part, now)
            record.depth = max(record.depth, depth)
            record.answers = max(record.answers, self.counts_of(part).get(part, 0))
            if record.add_crash(crash, now):
                changed.append(part)
        self.decide(now)
        return changed

    def record_answer(self, parts: Iterable[str], *, began_at: float) -> list[str]:
        """Record an answer that began at a monotonic time; return the parts it clears.

        A crash that became known before the answer began is forgiven.
        """
        changed = []
        for part in parts:
            self.count_answer(part)
            record = self.records.get(part)
            if record is not None and self.clear(record, began_at):
                changed.append(part)
        return changed

    def count_answer(self, part: str) -> None:
        """Count an answered request with a suspect."""
        counts = self.counts_of(part)
        counts[part] = counts.get(part, 0) + 1
        counts.move_to_end(part)
        if len(counts) > self.max_answered_parts:
            counts.popitem(last=False)

    def counts_of(self, part: str) -> OrderedDict[str, int]:
        """Return the counts of answers that a suspect belongs to.

        Requests that come once must not make those of parts be forgotten.
        """
        return self.answered_requests if is_request(part) else self.answered

    def clear(self, record: PartRecord, began_at: float) -> bool:
        """Forgive the crashes before an answer; return whether others should know."""
        record.answers = max(record.answers, self.counts_of(record.part)[record.part])
        earlier = [
            crash
            for crash, seen_at in zip(record.crashes, record.seen_at, strict=True)
            if seen_at < began_at
        ]
        changed = record.forgive(earlier)
        if record.term and not record.lifted and not record.crashes:
            self.lift(record)
            changed = True
        return changed

    def lift(self, record: PartRecord) -> None:
        """End a quarantine or probation."""
        record.lifted = True
        record.quarantined_until = 0.0

    def merge(self, items: Iterable[PartEvidence]) -> list[str]:
        """Add what another host knows; return the parts of which more is known here."""
        self.expire()
        now = self.clock()
        changed = [item.part for item in items if self.merge_item(item, now)]
        self.decide(now)
        return changed

    def merge_item(self, item: PartEvidence, now: float) -> bool:
        """Add what another host knows of one part; return whether it was news."""
        record = self.record_of(item.part, now)
        record.depth = max(record.depth, item.depth)
        record.answers = max(record.answers, item.answers)
        changed = record.forgive(item.forgiven)
        for crash in item.crashes:
            changed = record.add_crash(crash, now) or changed
        if not changed:
            changed = self.merge_trial(record, item, now)
        return self.merge_quarantine(record, item, now) or changed

    def merge_trial(self, record: PartRecord, item: PartEvidence, now: float) -> bool:
        """Record that another host tries a request; return whether that was news."""
        is_known = now < record.trial_until
        trial_s = min(item.trial_ms / MS_PER_S, MAX_TRIAL_S)
        record.trial_until = max(record.trial_until, now + trial_s)
        return bool(item.trial_ms) and not is_known

    def merge_quarantine(
        self, record: PartRecord, item: PartEvidence, now: float
    ) -> bool:
        """Adopt another host's newer quarantine, or the end of one."""
        if (item.term, item.lifted) <= (record.term, record.lifted):
            return False
        was_quarantined = record.is_quarantined(now)
        record.term, record.lifted = item.term, item.lifted
        remaining_s = min(item.remaining_ms / MS_PER_S, MAX_QUARANTINE_S)
        record.quarantined_until = now + remaining_s
        record.changed_at = now
        if record.is_quarantined(now) and not was_quarantined:
            self.notify(record)
        return True

    def decide(self, now: float) -> None:
        """Quarantine parts until no other one has too many unexplained crashes."""
        while True:
            suspects = [
                record
                for record in self.records.values()
                if self.has_too_many_crashes(record, now)
            ]
            if not suspects:
                return
            self.quarantine(max(suspects, key=self.suspicion), now)

    def has_too_many_crashes(self, record: PartRecord, now: float) -> bool:
        """Return whether a part has to be quarantined."""
        if record.is_quarantined(now):
            return False
        limit = KNOWN_PART_CRASHES if record.answers else NEW_PART_CRASHES
        if record.on_probation(now):
            limit = PROBATION_CRASHES
        if len(record.crashes) < limit:
            return False
        return count_moments(self.unexplained_crashes(record, now)) >= limit

    def unexplained_crashes(self, record: PartRecord, now: float) -> list[Crash]:
        """Return the crashes of a part that no quarantined one is a suspect in."""
        explained = [
            crash
            for other in self.records.values()
            if other is not record and other.is_quarantined(now)
            for crash in other.crashes
        ]
        return [
            crash
            for crash in record.crashes
            if not any(crash.is_same(known) for known in explained)
        ]

    def suspicion(self, record: PartRecord) -> tuple[int, int, int]:
        """Return how suspect a part is; the highest one is quarantined first.

        Of two parts with equal evidence the deeper one is shared by fewer prompts.
        """
        return (-record.answers, len(record.crashes), record.depth)

    def quarantine(self, record: PartRecord, now: float) -> None:
        """Begin the next quarantine of a part."""
        record.term += 1
        record.lifted = False
        record.quarantined_until = now + quarantine_s(record.term)
        record.changed_at = now
        self.notify(record)

    def notify(self, record: PartRecord) -> None:
        """Tell the listeners that a quarantine has begun."""
        for listener in self.quarantine_listeners:
            listener(record)

    def remaining_s(self, parts: Iterable[str]) -> float:
        """Return how long prompts with these parts are refused, 0 if they aren't."""
        now = self.clock()
        ends = [record.quarantined_until for record in self.quarantined(parts)]
        return max(ends, default=now) - now

    def quarantined(self, parts: Iterable[str]) -> list[PartRecord]:
        """Return the records of those of some parts that are quarantined."""
        now = self.clock()
        return [
            record
            for part in parts
            if (record := self.records.get(part)) is not None
            and record.is_quarantined(now)
        ]

    def is_lifted(self, part: str) -> bool:
        """Return whether an answer ended the last quarantine of a part."""
        record = self.records.get(part)
        return record is not None and record.lifted

    def are_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether any of these parts may well crash engines."""
        now = self.clock()
        for part in parts:
            record = self.records.get(part)
            if record is None or len(record.crashes) < SUSPECT_CRASHES:
                continue
            unexplained = self.unexplained_crashes(record, now)
            if count_moments(unexplained) >= SUSPECT_CRASHES:
                return True
        return False

    def begin_trial(self, part: str, for_s: float) -> None:
        """Record that this host tries a request with a suspect now."""
        record = self.records.get(part)
        if record is not None:
            record.trial_until = self.clock() + min(for_s, MAX_TRIAL_S)

    def is_on_trial(self, part: str) -> bool:
        """Return whether a host tries a request with a suspect now."""
        record = self.records.get(part)
        return record is not None and self.clock() < record.trial_until

    def has_crashes(self, parts: Iterable[str]) -> bool:
        """Return whether any of some suspects has a crash behind it."""
        return any(
            bool(record.crashes)
            for part in parts
            if (record := self.records.get(part)) is not None
        )

    def evidence(self, parts: Iterable[str]) -> list[PartEvidence]:
        """Return what is known of some parts, to tell other hosts."""
        now = self.clock()
        return [
            to_evidence(self.records[part], now)
            for part in parts
            if part in self.records
        ]

    def active_parts(self) -> list[str]:
        """Return the parts that other hosts should know of, the newest first."""
        self.expire()
        active = [each for each in self.records.values() if each.crashes or each.term]
        active.sort(key=lambda record: record.changed_at, reverse=True)
        return [record.part for record in active]

    def record_of(self, part: str, now: float) -> PartRecord:
        """Return the record of a part, a new one if there is none."""
        record = self.records.get(part)
        if record is None:
            self.make_room(now)
            record = self.records[part] = PartRecord(part=part, changed_at=now)
        return record

    def make_room(self, now: float) -> None:
        """Forget the expired records, and the least important one if all are in use."""
        if len(self.records) < self.max_records:
            return
        self.expire()
        if len(self.records) >= self.max_records:
            least = min(
                self.records.values(),
                key=lambda each: (each.is_quarantined(now), each.changed_at),
            )
            del self.records[least.part]

    def expire(self) -> None:
        """Forget the parts whose evidence is too old."""
        now = self.clock()
        for part, record in list(self.records.items()):
            if now >= expiry(record, now):
                del self.records[part]
            elif record.on_probation(now) and record.quarantined_until:
                # The crashes before a quarantine don't count after it.
                record.crashes, record.seen_at = [], []
                record.quarantined_until = 0.0
