"""What a host remembers of one suspect, and for how long."""

from __future__ import annotations

import attrs

from baobabturn.quarantine.evidence import Crash, PartEvidence

# Crashes within this time of the first of them are one moment, if their requests were
# in progress when that one came.
MOMENT_MS = 25
MIN_QUARANTINE_S = 300.0
MAX_QUARANTINE_S = 3600.0
# A suspect without a quarantine is forgotten so long after its last crash, one on
# probation later.
SUSPICION_EXPIRY_S = 600.0
PROBATION_EXPIRY_S = 7200.0
MAX_CRASHES_PER_PART = 16
MS_PER_S = 1000


@attrs.define(kw_only=True, eq=False)
class PartRecord:
    """The evidence on one suspect; times are monotonic seconds.

    ``seen_at`` holds when each crash became known here, in the order of ``crashes``.
    ``trial_until`` is when the newest trial ends at the latest.
    """

    part: str
    depth: int = 0
    answers: int = 0
    crashes: list[Crash] = attrs.Factory(list)
    seen_at: list[float] = attrs.Factory(list)
    forgiven: list[Crash] = attrs.Factory(list)
    term: int = 0
    lifted: bool = False
    quarantined_until: float = 0.0
    trial_until: float = 0.0
    changed_at: float = 0.0

    def is_quarantined(self, now: float) -> bool:
        """Return whether requests with the suspect are refused now."""
        return now < self.quarantined_until

    def on_probation(self, now: float) -> bool:
        """Return whether the last quarantine ended without an answer since."""
        return bool(self.term) and not self.lifted and not self.is_quarantined(now)

    def add_crash(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it was neither known nor forgiven."""
        if any(crash.is_same(known) for known in (*self.crashes, *self.forgiven)):
            return False
        self.crashes = [*self.crashes, crash][-MAX_CRASHES_PER_PART:]
        self.seen_at = [*self.seen_at, now][-MAX_CRASHES_PER_PART:]
        self.changed_at = now
        self.trial_until = 0.0
        return True

    def forgive(self, forgiven: list[Crash]) -> bool:
        """Move crashes to the forgiven ones; return whether any is new there."""
        new = [
            crash
            for crash in forgiven
            if not any(crash.is_same(known) for known in self.forgiven)
        ]
        if not new:
            return False
        self.forgiven = [*self.forgiven, *new][-MAX_CRASHES_PER_PART:]
        self.trial_until = 0.0
        kept = [
            (crash, seen_at)
            for crash, seen_at in zip(self.crashes, self.seen_at, strict=True)
            if not any(crash.is_same(known) for known in self.forgiven)
        ]
        self.crashes = [crash for crash, _ in kept]
        self.seen_at = [seen_at for _, seen_at in kept]
        return True


def count_moments(crashes: list[Crash]) -> int:
    """Return how many moments there are in which some of the crashes happened.

    A request that was sent after a crash, and crashed another endpoint, is evidence of
    its own, however soon that was.
    """
    count = 0
    first_ms = 0
    for crash in sorted(crashes, key=lambda each: each.stamp_ms):
        was_running = crash.began_ms < first_ms
        if not count or not was_running or crash.stamp_ms > first_ms + MOMENT_MS:
            count += 1
            first_ms = crash.stamp_ms
    return count


def expiry(record: PartRecord, now: float) -> float:
    """Return the monotonic time at which a record is forgotten."""
    if record.is_quarantined(now):
        return record.quarantined_until + PROBATION_EXPIRY_S
    kept_s = PROBATION_EXPIRY_S if record.on_probation(now) else SUSPICION_EXPIRY_S
    return record.changed_at + kept_s


def quarantine_s(term: int) -> float:
    """Return the duration of a part's quarantine, counted from 1."""
    return min(MIN_QUARANTINE_S * 2 ** (term - 1), MAX_QUARANTINE_S)


def to_evidence(record: PartRecord, now: float) -> PartEvidence:
    """Return a record in the form in which hosts exchange it."""
    remaining_s = max(0.0, record.quarantined_until - now)
    return PartEvidence(
        part=record.part,
        crashes=list(record.crashes),
        forgiven=list(record.forgiven),
        answers=record.answers,
        depth=record.depth,
        term=record.term,
        lifted=record.lifted,
        remaining_ms=int(remaining_s * MS_PER_S),
        trial_ms=int(max(0.0, record.trial_until - now) * MS_PER_S),
    )
