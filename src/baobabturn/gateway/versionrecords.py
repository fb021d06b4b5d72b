"""Keeps in the platform's store which software versions have begun streams.

All gateways may die at once and start again while callers resume their streams.  What
they need to know then is in the store: the versions of each service that can have begun
a stream which may still be resumed and, while there are several, the origin of each
stream.  One gateway writes this for all, in a large fleet one of each failure domain.
With one version of each service nothing is written but a refresh.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable

from baobabturn.core.results import Failure
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.platforminterface import ObjectCodec, VersionsRecord
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.serviceversions import ServiceVersions
from baobabturn.gateway.watchers import Watchers
from baobabturn.store.interface import ObjectStore
from baobabturn.store.upsert import upsert

# Streams that begin within this time are written together.
WRITE_INTERVAL_S = 0.4
# By then a gateway that has started has heard of the others.
START_DELAY_S = 1.5
REFRESH_INTERVAL_S = 60.0
# Records that nobody refreshes don't count after this time; the clocks of two gateways
# differ by seconds.
RECORD_EXPIRY_S = 180.0

log = logging.getLogger("baobabturn.gateway.versionrecords")


class VersionRecorder:
    """Writes the versions of services, and the origins of streams, to the store.

    ``adopted`` says that this gateway has read what was written before it began to
    write.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        object_codec: ObjectCodec,
        endpoints: Endpoints,
        pools: EnginePools,
        watchers: Watchers,
    ):
        self.store = store
        self.object_codec = object_codec
        self.endpoints = endpoints
        self.pools = pools
        self.watchers = watchers
        self.versions = ServiceVersions()
        self.adopted = False
        self.written: VersionsRecord | None = None
        self.written_at = 0.0
        self.wake = asyncio.Event()
        endpoints.change_listeners.append(self.observe_new)

    def observe_new(self) -> None:
        """Record the versions that have become known; write new ones at once."""
        self.observe_versions(self.endpoints.index.take_new_versions())

    def observe(self) -> None:
        """Record the versions of the engines that exist; write new ones at once."""
        for service, versions in self.endpoints.index.versions.items():
            self.observe_versions((service, version) for version in versions)

    def observe_versions(self, versions: Iterable[tuple[str, str]]) -> None:
        """Record services and versions; write those that are new at once."""
        for service, version in versions:
            if service not in self.pools.pools:
                continue
            if not self.versions.has(service, version):
                self.wake.set()
            self.versions.observe(service, version)

    async def run(self) -> None:
        """Write what has changed, for as long as the process runs."""
        await asyncio.sleep(START_DELAY_S)
        while True:
            self.observe()
            self.versions.expire(self.pools.origins.lifetime_s)
            if not self.is_recorder():
                self.adopted = False
            elif not self.adopted:
                await self.adopt()
            else:
                await self.write_changes()
            self.wake.clear()
            try:
                async with asyncio.timeout(WRITE_INTERVAL_S):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def is_recorder(self) -> bool:
        """Return whether this gateway writes for the others."""
        if self.watchers.table.is_large_fleet():
            return self.watchers.is_watcher()
        return self.watchers.is_root()

    async def adopt(self) -> None:
        """Take over what another gateway has written, or this one before its start."""
        records = await self.read()
        if isinstance(records, Failure):
            log.warning("event=versions-not-read error=%s", records)
            return
        for record in records:
            for service, versions in record.versions.items():
                for version in versions:
                    self.versions.observe(service, version)
            for digest, origin in record.streams.items():
                self.pools.origins.record(digest, origin)
        self.adopted, self.written = True, None

    async def read(self) -> list[VersionsRecord] | Failure:
        """Return the records that count."""
        objects = await self.store.find(self.object_codec.versions_kind, "")
        if isinstance(objects, Failure):
            return objects
        records = []
        for stored in objects:
            record = self.object_codec.decode_versions(stored.value)
            if isinstance(record, Failure):
                log.warning("event=versions-unreadable reason=%s", record.reason)
            elif abs(time.time() - record.written_at) < RECORD_EXPIRY_S:
                records.append(record)
        return records

    async def observe_listed(self) -> Failure | None:
        """Record the versions of the engines that the store lists now.

        They may be newer than what this gateway has heard, and than the records.
        """
        listed = await self.store.snapshot(self.object_codec.endpoint_kind)
        if isinstance(listed, Failure):
            return listed
        for change in listed.changes:
            record = self.object_codec.decode_endpoint(change.name, change.value)
            if isinstance(record, Failure):
                log.info("event=endpoint-not-counted reason=%s", record.reason)
                continue
            self.versions.observe(record.service, record.software_version.key)
        return None

    def write_again(self) -> None:
        """Write all anew, as the store may have lost what was written."""
        self.written = None
        self.wake.set()

    async def write_changes(self) -> None:
        """Write the record if it has changed, or for a refresh."""
        record = self.record(time.time())
        is_due = time.monotonic() - self.written_at >= REFRESH_INTERVAL_S
        if self.written == record and not is_due:
            return
        written = await upsert(
            self.store,
            self.object_codec.versions_kind,
            self.watchers.table.record.failure_domain,
            self.object_codec.encode_versions(record),
        )
        if isinstance(written, Failure):
            log.warning("event=versions-not-written error=%s", written)
            return
        self.written, self.written_at = record, time.monotonic()

    def record(self, written_at: float) -> VersionsRecord:
        """Return what is to be written.

        That is all versions, and the streams of services with several.
        """
        multi_version = {
            service
            for service in self.pools.pools
            if len(self.versions.of(service)) > 1
        }
        origins = self.pools.origins.active() if multi_version else {}
        return VersionsRecord(
            written_at=written_at,
            versions={
                service: tuple(sorted(self.versions.of(service)))
                for service in self.pools.pools
            },
            streams={
                digest: origin
                for digest, origin in origins.items()
                if origin.service in multi_version
            },
        )
