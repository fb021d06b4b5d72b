"""Keeps quarantined parts of prompts in the platform's store.

The gateways tell one another of them; the store is for the case that all of them
start anew.  Each reads it once, after its start.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

import xxhash

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.platforminterface import ObjectCodec, QuarantineRecord
from baobabturn.quarantine.evidence import PartEvidence
from baobabturn.quarantine.ledger import MAX_RECORDS, CrashLedger
from baobabturn.quarantine.record import (
    MAX_QUARANTINE_S,
    PROBATION_EXPIRY_S,
    PartRecord,
)
from baobabturn.store.interface import ObjectStore
from baobabturn.store.upsert import upsert
from baobabturn.store.version import ANY_VERSION, StoreVersion

MS_PER_S = 1000
# Until the first read has ended, for this long at most, callers are sent elsewhere.
FIRST_READ_TIMEOUT_S = 1.0
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 1.0, 20.0

log = logging.getLogger("baobabturn.gateway.quarantinestore")


class QuarantineStore:
    """Writes the quarantines that begin here, and reads those of before the start."""

    def __init__(
        self,
        *,
        program: Program,
        store: ObjectStore,
        object_codec: ObjectCodec,
        ledger: CrashLedger,
    ):
        self.program = program
        self.store = store
        self.object_codec = object_codec
        self.ledger = ledger
        self.first_read_ended = False
        self.saved_terms: dict[str, int] = {}

    async def run(self) -> None:
        """Read all quarantines once; try again until the store answers."""
        delay_s = MIN_RETRY_DELAY_S
        try:
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                failure = await self.read()
        except TimeoutError:
            failure = Failure(
                Code.PLATFORM_UNREACHABLE, f"no answer in {FIRST_READ_TIMEOUT_S:g} s"
            )
        self.first_read_ended = True
        while failure is not None:
            self.log_failure("all", failure)
            await asyncio.sleep(random.uniform(0.5, 1.0) * delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            failure = await self.read()

    async def read(self) -> Failure | None:
        """Add the stored quarantines to the ledger; delete those that have expired."""
        objects = await self.store.find(self.object_codec.quarantine_kind, "")
        if isinstance(objects, Failure):
            return objects
        for stored in objects[:MAX_RECORDS]:
            record = self.object_codec.decode_quarantine(stored.name, stored.value)
            if isinstance(record, Failure):
                self.program.events.emit(
                    Event.ENTRY_UNREADABLE, endpoint=stored.name, reason=record.reason
                )
            elif time.time() > record.ends_at + PROBATION_EXPIRY_S:
                await self.delete(stored.name, stored.version)
            else:
                self.ledger.merge([to_evidence(record)])
        return None

    async def delete(self, name: str, version: StoreVersion) -> None:
        """Delete a quarantine that has ended; log it if that fails."""
        kind = self.object_codec.quarantine_kind
        failure = await self.store.delete(kind, name, version)
        if failure is not None and failure.code is not Code.OBJECT_MISSING:
            self.log_failure(name, failure)

    def save(self, record: PartRecord) -> None:
        """Write a quarantine that has begun, unless it was written by this gateway."""
        if self.saved_terms.get(record.part, 0) >= record.term:
            return
        if len(self.saved_terms) >= MAX_RECORDS:
            self.saved_terms.clear()
        self.saved_terms[record.part] = record.term
        self.program.background.start(self.write(record), f"quarantine-{record.part}")

    async def write(self, record: PartRecord) -> None:
        """Write a quarantine; try again for as long as it lasts."""
        delay_s = MIN_RETRY_DELAY_S
        while remaining_s := self.ledger.remaining_s([record.part]):
            value = self.object_codec.encode_quarantine(
                QuarantineRecord(
                    part=record.part,
                    term=record.term,
                    ends_at=time.time() + remaining_s,
                )
            )
            written = await upsert(
                self.store,
                self.object_codec.quarantine_kind,
                object_name(record.part),
                value,
            )
            if not isinstance(written, Failure):
                return
            self.log_failure(record.part, written)
            await asyncio.sleep(random.uniform(0.5, 1.0) * delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    def write_again(self) -> None:
        """Write what the store has lost, as it has returned from a copy.

        The copy may lack quarantines, and may have some that were lifted.
        """
        for part in self.ledger.active_parts():
            record = self.ledger.records[part]
            if self.ledger.remaining_s([part]):
                self.saved_terms[part] = record.term
                self.program.background.start(self.write(record), f"quarantine-{part}")
            elif record.lifted:
                self.remove(part)

    def remove(self, part: str) -> None:
        """Delete the quarantine of a part that turned out to be sound."""
        self.saved_terms.pop(part, None)
        work = self.delete(object_name(part), ANY_VERSION)
        self.program.background.start(work, f"quarantine-end-{part}")

    def log_failure(self, name: str, failure: Failure) -> None:
        """Log a call that failed."""
        log.warning("event=quarantine-store-failed object=%s error=%s", name, failure)


def object_name(part: str) -> str:
    """Return the name of a part's object; a caller chooses the part's id freely."""
    return xxhash.xxh64_hexdigest(part.encode())


def to_evidence(record: QuarantineRecord) -> PartEvidence:
    """Return a stored quarantine in the form that the ledger takes."""
    remaining_s = min(MAX_QUARANTINE_S, max(0.0, record.ends_at - time.time()))
    return PartEvidence(
        part=record.part, term=record.term, remaining_ms=int(remaining_s * MS_PER_S)
    )
