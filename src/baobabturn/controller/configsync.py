"""Brings the newest configuration to this host, from the platform or from peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from baobabturn.config.parts import read_manifest
from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.platform.objects import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    PART_KIND,
    unpacked,
)
from baobabturn.platform.store import ObjectStore
from baobabturn.wire.messages import ConfigUpdate, Part

RETRY_S = 0.5


class ConfigSync:
    """Watches the platform and repairs from peers."""

    def __init__(
        self,
        *,
        program: Program,
        store: ObjectStore,
        state: ConfigState,
        changed: Callable[[], None],
    ):
        self.program = program
        self.store = store
        self.state = state
        self.changed = changed
        self.random = random.Random(program.identity.node)
        self.platform_seen = 0

    async def watch(self) -> None:
        """Follow the manifest on the platform for ever."""
        wait_s = self.program.settings.platform.watch_wait_s
        while True:
            changes = await self.store.watch(MANIFEST_KIND, self.platform_seen, wait_s)
            if isinstance(changes, Failure):
                if changes.code is Code.VERSION_TOO_OLD:
                    await self.read_manifest()
                pause = max(RETRY_S, changes.retry_after_s)
                await asyncio.sleep(pause * self.random.uniform(1, 2))
                continue
            for change in changes.changes:
                if change.name == MANIFEST_NAME and change.value:
                    await self.fetch(change.value)
            self.platform_seen = max(self.platform_seen, changes.version)

    async def read_manifest(self) -> None:
        """Read the manifest from the platform once."""
        found = await self.store.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(found, Failure):
            return
        self.platform_seen = max(self.platform_seen, found.version)
        await self.fetch(found.value)

    async def fetch(self, value: dict) -> Failure | None:
        """Read the parts of a manifest that are not held and put it in force."""
        body = unpacked(value)
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
            part = unpacked(found.value)
            parts.append(Part(name=name, digest=sum_, body=part))
        return self.accept(
            ConfigUpdate(revision=manifest.revision, manifest=body, parts=parts),
            source="platform",
        )

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
