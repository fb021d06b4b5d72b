"""Deletes configuration parts that no manifest names any more, a few at a time.

One host sweeps at a time, by rendezvous hashing, and each round looks at the
parts under one prefix.  A part goes only after it was unnamed, at the same
version, for ``part_keep_s``; whoever publishes it again writes it anew, which
changes its version.
"""

from __future__ import annotations

import asyncio
import itertools
import time

from baobabturn.config.parts import read_manifest
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.owners import owner
from baobabturn.store.interface import ObjectStore
from baobabturn.store.objects import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    PART_KIND,
    decode_body,
)

PREFIXES = "0123456789abcdef"
SWEEP_KEY = "config/parts"
DELETES_LIMIT = 50


class PartSweep:
    """Remembers which parts were unnamed, at which version and since when."""

    def __init__(self, *, program: Program, store: ObjectStore, membership: Membership):
        self.program = program
        self.store = store
        self.membership = membership
        self.unnamed: dict[str, tuple[int, float]] = {}
        self.deleted = 0

    async def run(self) -> None:
        """Sweep one prefix after another for ever, where this host is the sweeper."""
        for prefix in itertools.cycle(PREFIXES):
            await asyncio.sleep(self.program.settings.controller.part_sweep_s)
            if self.is_sweeper():
                await self.sweep(prefix)
            else:
                self.unnamed.clear()

    def is_sweeper(self) -> bool:
        """Return whether this host sweeps."""
        me = self.membership.me
        found = owner(SWEEP_KEY, me.region, self.membership.members())
        return found is not None and found.name == me.name

    async def sweep(self, prefix: str) -> Failure | None:
        """Delete the parts with a prefix that were unnamed for long."""
        parts = await self.store.find(PART_KIND, prefix)
        if isinstance(parts, Failure):
            return parts
        manifest = await self.store.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(manifest, Failure):
            return manifest
        read = read_manifest(decode_body(manifest.value))
        if isinstance(read, Failure):
            return read
        named = set(read.parts.values())
        now = time.monotonic()
        due = []
        for part in parts:
            if part.name in named:
                self.unnamed.pop(part.name, None)
                continue
            held = self.unnamed.get(part.name)
            if held is None or held[0] != part.version:
                self.unnamed[part.name] = (part.version, now)
            elif now - held[1] >= self.program.settings.controller.part_keep_s:
                due.append(part)
        for part in due[:DELETES_LIMIT]:
            deleted = await self.store.delete(PART_KIND, part.name, part.version)
            self.unnamed.pop(part.name, None)
            self.deleted += not isinstance(deleted, Failure)
        return None
