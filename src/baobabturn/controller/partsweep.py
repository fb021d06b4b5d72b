"""Deletes configuration parts that the manifest no longer references.

One host sweeps, chosen by rendezvous hashing, and each sweep covers the parts under
one prefix.  A part is deleted only after it was unreferenced, at the same version,
for ``part_keep_s``.  Publishing a part again writes it again, which changes its
version and so protects it.
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
from baobabturn.store.version import StoreVersion

PREFIXES = "0123456789abcdef"  # a part is named after its digest in hex
SWEEP_KEY = "config/parts"
MAX_DELETES_PER_SWEEP = 50


class PartSweep:
    """Records the unreferenced parts, with their version and since when.

    Times are in monotonic seconds.
    """

    def __init__(self, *, program: Program, store: ObjectStore, membership: Membership):
        self.program = program
        self.store = store
        self.membership = membership
        self.unreferenced: dict[str, tuple[StoreVersion, float]] = {}
        self.deleted = 0

    async def run(self) -> None:
        """Sweep one prefix after another for ever, while this host is the sweeper."""
        for prefix in itertools.cycle(PREFIXES):
            await asyncio.sleep(self.program.settings.controller.part_sweep_s)
            if self.is_sweeper():
                await self.sweep(prefix)
            else:
                self.unreferenced.clear()

    def is_sweeper(self) -> bool:
        """Return whether this host is the one that sweeps."""
        me = self.membership.me
        sweeper = owner(SWEEP_KEY, me.region, self.membership.members())
        return sweeper is not None and sweeper.name == me.name

    async def sweep(self, prefix: str) -> Failure | None:
        """Delete the parts with a prefix that were unreferenced for long enough.

        Return why the sweep couldn't read what it needs, else None.
        """
        parts = await self.store.find(PART_KIND, prefix)
        if isinstance(parts, Failure):
            return parts
        manifest = await self.store.get(MANIFEST_KIND, MANIFEST_NAME)
        if isinstance(manifest, Failure):
            return manifest
        current = read_manifest(decode_body(manifest.value))
        if isinstance(current, Failure):
            return current
        referenced = set(current.parts.values())
        now = time.monotonic()
        due = []
        for part in parts:
            if part.name in referenced:
                self.unreferenced.pop(part.name, None)
                continue
            entry = self.unreferenced.get(part.name)
            if entry is None or entry[0] != part.version:
                self.unreferenced[part.name] = (part.version, now)
            elif now - entry[1] >= self.program.settings.controller.part_keep_s:
                due.append(part)
        for part in due[:MAX_DELETES_PER_SWEEP]:
            deleted = await self.store.delete(PART_KIND, part.name, part.version)
            self.unreferenced.pop(part.name, None)
            self.deleted += not isinstance(deleted, Failure)
        return None
