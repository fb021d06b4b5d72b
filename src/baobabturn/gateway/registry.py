"""Finds the other gateways through the platform's store."""

from __future__ import annotations

import asyncio
import random

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.platforminterface import DocumentCodec, GatewayRecord
from baobabturn.store.interface import ABSENT, ANY_VERSION, ObjectStore, StoredObject

# Pauses after the first looks.  Of two gateways at least the one that wrote its
# record later sees the other's at its first look, and is heard of by it from then
# on; the second look makes up for answers that were lost.
PAUSES_S = (0.5,)
PAUSE_S = 20.0
RETRY_S = 0.5
# A gateway that was not heard of for this long has been taken away for good.
GONE_S = 600.0


class Registry:
    """Writes this gateway's record, and reads those of the others at times.

    The record of a gateway that is gone for good is deleted.  One that was only
    unheard of here writes its record again when it finds that it is missing.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        documents: DocumentCodec,
        record: GatewayRecord,
        peers: Peers,
        events: EventLog,
    ):
        self.events = events
        self.store = store
        self.documents = documents
        self.record = record
        self.peers = peers

    async def run(self) -> None:
        """Write the record, then look for others for as long as the process runs."""
        while await self.write() is not None:
            await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S))
        looks = 0
        while True:
            later_s = PAUSE_S * self.peers.interval_factor()
            pause_s = PAUSES_S[looks] if looks < len(PAUSES_S) else later_s
            if await self.look() is None:
                looks += 1
            else:
                pause_s = RETRY_S
            await asyncio.sleep(random.uniform(0.8, 1.2) * pause_s)

    async def write(self) -> Failure | None:
        """Write this gateway's record; a repeat is harmless."""
        kind, name = self.documents.gateway_kind, self.record.name
        value = self.documents.encode_gateway(self.record)
        written = await self.store.put(kind, name, value, ABSENT)
        if isinstance(written, Failure) and written.code is Code.VERSION_CONFLICT:
            written = await self.store.put(kind, name, value, ANY_VERSION)
        return written if isinstance(written, Failure) else None

    async def look(self) -> Failure | None:
        """Read the records of all gateways."""
        found = await self.store.find(self.documents.gateway_kind, "")
        if isinstance(found, Failure):
            return found
        for each in found:
            record = self.documents.decode_gateway(each.name, each.value)
            if isinstance(record, Failure):
                self.events.emit(
                    Event.ENTRY_UNREADABLE, endpoint=each.name, reason=record.reason
                )
                continue
            self.peers.add_gateway(record)
        names = {each.name for each in found}
        self.peers.retain_gateways(names)
        if self.record.name not in names:
            return await self.write()
        return await self.delete_gone(found)

    async def delete_gone(self, found: list[StoredObject]) -> Failure | None:
        """Delete the records of gateways that are gone for good."""
        for each in found:
            if self.peers.silence_s(each.name) < GONE_S:
                continue
            self.events.emit(Event.GATEWAY_GONE, gateway=each.name)
            failure = await self.store.delete(each.kind, each.name, each.version)
            if failure is not None and failure.code is not Code.VERSION_CONFLICT:
                return failure
        return None
