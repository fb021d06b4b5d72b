"""Brings the newest configuration to this host, from the platform or from peers."""

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
from baobabturn.wire.messages import ConfigFetch, ConfigUpdate, Member, Part

RETRY_S = 0.5
RETRY_LIMIT_S = 10.0
WATCHER_CHECK_S = 1.0


class ConfigSync:
    """Watches the platform where this host is a watcher, and repairs from peers."""

    def __init__(
        self,
        *,
        program: Program,
        store: ObjectStore,
        state: ConfigState,
        membership: Membership,
        changed: Callable[[], None],
    ):
        self.program = program
        self.store = store
        self.state = state
        self.membership = membership
        self.changed = changed
        self.random = random.Random(program.identity.node)
        self.seen = 0
        self.platform_asked = False
        self.fetching = False

    async def watch(self) -> None:
        """Read the manifest once, then follow it for as long as this host watches."""
        delay = RETRY_S
        while True:
            if self.platform_asked and not self.membership.is_watcher():
                self.seen = 0
                await asyncio.sleep(WATCHER_CHECK_S)
                continue
            failed = await self.follow()
            if failed is None:
                delay = RETRY_S
                continue
            pause = max(delay, failed.retry_after_s) * self.random.uniform(1, 2)
            await asyncio.sleep(pause)
            delay = min(2 * delay, RETRY_LIMIT_S)

    async def follow(self) -> Failure | None:
        """Take in the changes since the last version seen, from a fresh read at first.

        A manifest whose parts can't be read yet is read again later: the
        version seen only moves when everything up to it is in force.
        """
        if self.seen:
            wait_s = self.program.settings.platform.watch_wait_s
            changes = await self.store.watch(MANIFEST_KIND, self.seen, wait_s)
        else:
            changes = await self.store.snapshot(MANIFEST_KIND)
        if isinstance(changes, Failure):
            if changes.code is Code.VERSION_TOO_OLD:
                self.seen = 0
            return changes
        failed = await self.take(changes)
        if failed is not None:
            return failed
        self.platform_asked = True
        self.seen = max(self.seen, changes.version)
        return None

    async def take(self, changes: Changes) -> Failure | None:
        """Put the newest manifest among some changes in force."""
        for change in reversed(changes.changes):
            if change.name == MANIFEST_NAME and change.value:
                return await self.fetch(change.value)
        return None

    async def fetch(self, value: dict) -> Failure | None:
        """Read the parts of a manifest that are not held and put it in force."""
        body = decode_body(value)
        manifest = read_manifest(body)
        if isinstance(manifest, Failure):
            return manifest
        if manifest.revision <= self.state.revision:
            return None
        parts = []
        for name, sum_ in manifest.parts.items():
            if sum_ in self.state.bodies:
                continue
            found = await self.store.get(PART_KIND, sum_)
            if isinstance(found, Failure):
                return found
            parts.append(Part(name=name, digest=sum_, body=decode_body(found.value)))
        update = ConfigUpdate(revision=manifest.revision, manifest=body, parts=parts)
        return self.accept(update, source="platform")

    def newer_at(self, member: Member) -> None:
        """Follow the news that a peer has a newer revision."""
        if not self.fetching and member.revision > self.state.revision:
            self.fetching = True
            self.program.background.start(self.fetch_newest(member), "config-fetch")

    async def fetch_newest(self, member: Member) -> None:
        """Fetch from a peer, and from others where it can't give what it said."""
        try:
            while member.revision > self.state.revision:
                failed = await self.fetch_from(member)
                if failed is not None:
                    await asyncio.sleep(RETRY_S * self.random.uniform(0.2, 1))
                holders = self.holders()
                if not holders:
                    return
                member = self.random.choice(holders)
        finally:
            self.fetching = False

    def holders(self) -> list[Member]:
        """Return the live peers that have a newer revision than this host."""
        alive = self.membership.alive()
        return [member for member in alive if member.revision > self.state.revision]

    async def fetch_from(self, member: Member) -> Failure | None:
        """Take the newest configuration from a peer."""
        asked = ConfigFetch(revision=self.state.revision, parts=list(self.state.bodies))
        update = await call_peer(self.program, member, asked)
        if isinstance(update, ConfigUpdate):
            if update.revision < member.revision:
                self.membership.table.heard(member.name, update.revision)
            return self.accept(update, source=member.name)
        if isinstance(update, Failure):
            return update
        return Failure(Code.UNSUPPORTED, "an unexpected answer")

    def accept(self, update: ConfigUpdate, source: str) -> Failure | None:
        """Put an update in force if it is newer; tell the listeners."""
        result = self.state.accept(update)
        if isinstance(result, Failure):
            return result
        if result:
            self.program.events.emit(
                Event.CONFIG_IN_FORCE, revision=self.state.revision, source=source
            )
            self.changed()
        return None
