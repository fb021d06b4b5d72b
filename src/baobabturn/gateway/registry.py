"""Finds the other gateways through the platform's store."""

from __future__ import annotations

import asyncio
import random

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.platforminterface import GatewayRecord, ObjectCodec
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.upsert import upsert

# Pauses after the first reads.  Of two gateways, the one that wrote its record later
# sees the other's record at its first read and contacts it; the second read makes up
# for a lost answer.  In larger fleets the heartbeats of other gateways make up for it.
FIRST_READ_PAUSES_S = (0.5,)
READ_INTERVAL_S = 20.0
# Larger fleets read the records less often.
READ_FLEET_SIZE = 32
RETRY_DELAY_S = 0.5
# A gateway that was silent for this long has been removed for good.
RECORD_EXPIRY_S = 600.0


class Registry:
    """Writes this gateway's record and reads the others' records at intervals.

    The record of a gateway that has been removed for good is deleted.  A gateway
    whose record was deleted by mistake, because others received no heartbeat from
    it, finds the record missing at its next read and writes it again.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        object_codec: ObjectCodec,
        record: GatewayRecord,
        peers: Peers,
        events: EventLog,
    ):
        self.events = events
        self.store = store
        self.object_codec = object_codec
        self.record = record
        self.peers = peers

    async def run(self) -> None:
        """Write the record, then read all records for as long as the process runs."""
        await self.write_until_done()
        reads = 0
        while True:
            if await self.read() is None:
                pause_s = self.read_interval_s(reads)
                reads += 1
            else:
                pause_s = RETRY_DELAY_S
            await asyncio.sleep(random.uniform(0.8, 1.2) * pause_s)

    def read_interval_s(self, reads: int) -> float:
        """Return the seconds until the next read after a number of earlier ones."""
        fleet_size = self.peers.gateway_count()
        if reads < len(FIRST_READ_PAUSES_S) and fleet_size <= READ_FLEET_SIZE:
            return FIRST_READ_PAUSES_S[reads]
        return READ_INTERVAL_S * max(1.0, fleet_size / READ_FLEET_SIZE)

    async def write_until_done(self) -> None:
        """Write this gateway's record; try again until the store has taken it."""
        while await self.write() is not None:
            await asyncio.sleep(random.uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S))

    async def write(self) -> Failure | None:
        """Write this gateway's record; the write is idempotent."""
        kind, name = self.object_codec.gateway_kind, self.record.name
        value = self.object_codec.encode_gateway(self.record)
        written = await upsert(self.store, kind, name, value)
        return written if isinstance(written, Failure) else None

    async def read(self) -> Failure | None:
        """Read the records of all gateways and update the list of peers."""
        objects = await self.store.find(self.object_codec.gateway_kind, "")
        if isinstance(objects, Failure):
            return objects
        records = []
        for stored in objects:
            record = self.object_codec.decode_gateway(stored.name, stored.value)
            if isinstance(record, Failure):
                self.events.emit(
                    Event.ENTRY_UNREADABLE, endpoint=stored.name, reason=record.reason
                )
                continue
            records.append(record)
        self.peers.add_gateways(records)
        names = {stored.name for stored in objects}
        self.peers.retain_gateways(names)
        if self.record.name not in names:
            return await self.write()
        return await self.delete_expired(objects)

    async def delete_expired(self, objects: list[StoredObject]) -> Failure | None:
        """Delete the records of gateways that have been removed for good."""
        for stored in objects:
            if self.peers.silence_s(stored.name) < RECORD_EXPIRY_S:
                continue
            self.events.emit(Event.GATEWAY_GONE, gateway=stored.name)
            failure = await self.store.delete(stored.kind, stored.name, stored.version)
            if failure is not None and failure.code is not Code.VERSION_CONFLICT:
                return failure
        return None
