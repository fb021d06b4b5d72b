"""Writes again what the store has lost, after it has returned from a copy.

The copy lacks the newest writes of the gateways.  Each gateway writes its own record
again; the gateway that watches the store for all writes the quarantines, which all of
them know.
"""

from __future__ import annotations

import asyncio
import random

from baobabturn.core.background import Background
from baobabturn.gateway.mirror import StoreContact
from baobabturn.gateway.quarantinestore import QuarantineStore
from baobabturn.gateway.registry import Registry
from baobabturn.gateway.versionrecords import VersionRecorder
from baobabturn.gateway.watchers import Watchers

# For each gateway of the fleet, so that 195 of them write within 4 s.
WRITE_SPREAD_S = 0.02


class StoreReturn:
    """Starts the writes that follow a rise of the store's era."""

    def __init__(
        self,
        *,
        background: Background,
        contact: StoreContact,
        registry: Registry,
        quarantine_store: QuarantineStore,
        version_recorder: VersionRecorder,
        watchers: Watchers,
    ):
        self.background = background
        self.registry = registry
        self.quarantine_store = quarantine_store
        self.version_recorder = version_recorder
        self.watchers = watchers
        contact.era_listeners.append(self.write_again)

    def write_again(self) -> None:
        """Write the own record again, and as the root the quarantines."""
        self.background.start(self.write_record(), "record-after-return")
        if self.watchers.is_root():
            self.quarantine_store.write_again()
        self.version_recorder.write_again()

    async def write_record(self) -> None:
        """Write the own record at a random time, so that not all do so at once."""
        spread_s = WRITE_SPREAD_S * self.registry.peers.gateway_count()
        await asyncio.sleep(random.uniform(0, spread_s))
        await self.registry.write_until_done()
