"""Holds the configuration back until this host knows that it isn't an old one.

A replaced process may read an old manifest, or find no platform at all.  Before
it serves, it asks the platform and a few peers, and takes the newest revision
that any of them knows; where nobody answers, it serves after a bounded time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from baobabturn.config.state import ConfigState
from baobabturn.controller.configsync import ConfigSync
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.owners import ALIVE

CHECK_S = 0.1


class Gate:
    """Opens once, and stays open."""

    def __init__(
        self,
        *,
        program: Program,
        membership: Membership,
        state: ConfigState,
        sync: ConfigSync,
        opened: Callable[[], None],
    ):
        self.program = program
        self.membership = membership
        self.state = state
        self.sync = sync
        self.when_opened = opened
        self.is_open = False

    async def watch(self) -> None:
        """Wait until the gate may open, and open it."""
        began = time.monotonic()
        limit = self.program.settings.controller.ask_wait_s
        while not self.may_open(time.monotonic() - began >= limit):
            self.ask_unheard()
            await asyncio.sleep(CHECK_S)
        self.is_open = True
        self.program.events.emit(Event.CONFIG_ASKED, revision=self.state.revision)
        self.when_opened()

    def may_open(self, waited: bool) -> bool:
        """Return whether the revision held is the newest that can be known."""
        if self.state.revision < self.membership.newest_revision():
            return False
        if waited:
            return True
        others = self.others()
        heard = sum(record.heard > 0 for record in others)
        wanted = min(self.membership.settings.fanout, len(others))
        if self.membership.syncer.joined.is_set() and heard >= wanted:
            return True
        return self.sync.platform_asked and not self.knows_others()

    def others(self) -> list:
        """Return the records of the other members that are alive."""
        records = self.membership.table.records.values()
        return [record for record in records if record.member.state == ALIVE]

    def knows_others(self) -> bool:
        """Return whether there is an address at which a peer may be."""
        me = self.membership.me
        own = (me.address, me.controller_port)
        return bool(self.membership.prober.seeds - {own} or self.others())

    def ask_unheard(self) -> None:
        """Ask a few members that haven't spoken to this host yet."""
        unheard = [record for record in self.others() if not record.heard]
        for record in unheard[: self.membership.settings.fanout]:
            self.membership.prober.ask(record.member)
