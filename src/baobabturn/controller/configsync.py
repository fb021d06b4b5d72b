"""Fetches the newest configuration from the platform or from other controllers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from baobabturn.config.parts import read_manifest
from baobabturn.config.state import ConfigState
from baobabturn.controller.peers import call_peer
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.membership.heartbeat import Membership
from baobabturn.store.interface import Changes, ObjectStore
from baobabturn.store.objects import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    PART_KIND,
    decode_body,
)
from baobabturn.store.version import NO_VERSION
from baobabturn.wire.messages import ConfigFetch, ConfigUpdate, Member, Part

MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0
WATCHER_CHECK_INTERVAL_S = 1.0


class ConfigSync:
    """Keeps this host's configuration at the newest revision.

    A watcher reads the platform; every host also fetches from a peer that has a
    newer revision.  ``seen_version`` is the platform's version of the last changes
    that were applied, ``NO_VERSION`` if all must be read.
    """

    def __init__(
        self,
        *,
        program: Program,
        store: ObjectStore,
        state: ConfigState,
        membership: Membership,
        on_change: Callable[[], None],
    ):
        self.program = program
        self.store = store
        self.state = state
        self.membership = membership
        self.on_change = on_change
        self.random = random.Random(program.identity.node)
        self.seen_version = NO_VERSION
        self.platform_read = False
        self.fetching = False

    async def watch(self) -> None:
        """Read the manifest once, then watch it while this host is a watcher."""
        delay = MIN_RETRY_S
        while True:
            if self.platform_read and not self.membership.is_watcher():
                self.seen_version = NO_VERSION
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            failed = await self.read_changes()
            if failed is None:
                delay = MIN_RETRY_S
                continue
            pause = max(delay, failed.retry_after_s) * self.random.uniform(1, 2)
            await asyncio.sleep(pause)
            delay = min(2 * delay, MAX_RETRY_S)

    async def read_changes(self) -> Failure | None:
        """Read and apply the changes since the last version seen, at first all.

        A manifest whose parts can't be read yet is read again later: the version
        seen advances only when everything up to it is in force.
        """
        if self.seen_version != NO_VERSION:
            wait_s = self.program.settings.platform.watch_wait_s
            changes = await self.store.watch(MANIFEST_KIND, self.seen_version, wait_s)
        else:
            changes = await self.store.snapshot(MANIFEST_KIND)
        if isinstance(changes, Failure):
            if changes.code is Code.VERSION_TOO_OLD:
                self.seen_version = NO_VERSION
            return changes
        failed = await self.apply_changes(changes)
        if failed is not None:
            return failed
        self.platform_read = True
        self.seen_version = max(self.seen_version, changes.version)
        return None

    async def apply_changes(self, changes: Changes) -> Failure | None:
        """Put the newest manifest among the changes in force."""
        for change in reversed(changes.changes):
            if change.name == MANIFEST_NAME and change.value:
                return await self.apply_manifest(change.value)
        return None

    async def apply_manifest(self, value: dict) -> Failure | None:
        """Read the parts of a manifest that this host lacks and put it in force."""
        body = decode_body(value)
        manifest = read_manifest(body)
        if isinstance(manifest, Failure):
            return manifest
        if manifest.revision <= self.state.revision:
            return None
        parts = []
        for name, digest in manifest.parts.items():
            if digest in self.state.bodies:
                continue
            stored = await self.store.get(PART_KIND, digest)
            if isinstance(stored, Failure):
                return stored
            parts.append(Part(name=name, digest=digest, body=decode_body(stored.value)))
        update = ConfigUpdate(revision=manifest.revision, manifest=body, parts=parts)
        return self.accept(update, source="platform")

    def fetch_if_newer(self, member: Member) -> None:
        """Start to fetch from a peer if its revision is newer than this host's."""
        if not self.fetching and member.revision > self.state.revision:
            self.fetching = True
            self.program.background.start(self.fetch_newest(member), "config-fetch")

    async def fetch_newest(self, member: Member) -> None:
        """Fetch from a peer, then from other peers that have a newer revision."""
        try:
            while member.revision > self.state.revision:
                failed = await self.fetch_from(member)
                if failed is not None:
                    await asyncio.sleep(MIN_RETRY_S * self.random.uniform(0.2, 1))
                peers_ahead = self.peers_ahead()
                if not peers_ahead:
                    return
                member = self.random.choice(peers_ahead)
        finally:
            self.fetching = False

    def peers_ahead(self) -> list[Member]:
        """Return the peers that are alive and have a newer revision than this host."""
        alive = self.membership.alive()
        return [member for member in alive if member.revision > self.state.revision]

    async def fetch_from(self, member: Member) -> Failure | None:
        """Fetch the newest configuration from a peer and put it in force.

        If the peer's revision is older than the one in the member table, the table
        is corrected.
        """
        request = ConfigFetch(
            revision=self.state.revision, parts=list(self.state.bodies)
        )
        update = await call_peer(self.program, member, request)
        if isinstance(update, ConfigUpdate):
            if update.revision < member.revision:
                self.membership.table.record_heartbeat(member.name, update.revision)
            return self.accept(update, source=member.name)
        if isinstance(update, Failure):
            return update
        return Failure(
            Code.UNSUPPORTED, "the peer sent another message than a ConfigUpdate"
        )

    def accept(self, update: ConfigUpdate, source: str) -> Failure | None:
        """Put an update in force if it is newer, and call ``on_change``."""
        result = self.state.accept(update)
        if isinstance(result, Failure):
            return result
        if result:
            self.program.events.emit(
                Event.CONFIG_IN_FORCE, revision=self.state.revision, source=source
            )
            self.on_change()
        return None
