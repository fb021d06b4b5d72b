"""Withholds the configuration at startup until it is known to be the newest.

A restarted process may read an old manifest, or not reach the platform.  Before
it serves, it asks the platform and a few peers, and applies the newest revision
that any of them knows.  If none answers, it serves after ``ask_wait_s``.
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

CHECK_INTERVAL_S = 0.1


class ConfigGate:
    """Delays serving the configuration at startup; once open, it stays open."""

    def __init__(
        self,
        *,
        program: Program,
        membership: Membership,
        state: ConfigState,
        sync: ConfigSync,
        on_open: Callable[[], None],
    ):
        self.program = program
        self.membership = membership
        self.state = state
        self.sync = sync
        self.on_open = on_open
        self.is_open = False

    async def open_when_current(self) -> None:
        """Wait until the gate may open, and open it."""
        started = time.monotonic()
        limit_s = self.program.settings.controller.ask_wait_s
        while not self.may_open(time.monotonic() - started >= limit_s):
            self.probe_unheard()
            await asyncio.sleep(CHECK_INTERVAL_S)
        self.is_open = True
        self.program.events.emit(Event.CONFIG_ASKED, revision=self.state.revision)
        self.on_open()

    def may_open(self, timed_out: bool) -> bool:
        """Return whether this host's revision is the newest that it can learn of.

        It must not be behind any known revision.  Before the time-out, this host
        must also have synced and have heartbeats from a few peers, or, if it knows
        no peers, have read the platform.
        """
        if self.state.revision < self.membership.newest_revision():
            return False
        if timed_out:
            return True
        peers = self.alive_peers()
        heard_count = sum(record.last_heard > 0 for record in peers)
        required_count = min(self.membership.settings.fanout, len(peers))
        if self.membership.syncer.joined.is_set() and heard_count >= required_count:
            return True
        return self.sync.platform_read and not self.knows_peers()

    def alive_peers(self) -> list:
        """Return the records of the other members that are alive."""
        records = self.membership.table.records.values()
        return [record for record in records if record.member.state == ALIVE]

    def knows_peers(self) -> bool:
        """Return whether a peer that is alive, or an address of one, is known."""
        me = self.membership.me
        own = (me.address, me.controller_port)
        return bool(self.membership.prober.seeds - {own} or self.alive_peers())

    def probe_unheard(self) -> None:
        """Probe a few members from which this host has no heartbeat yet."""
        unheard = [record for record in self.alive_peers() if not record.last_heard]
        for record in unheard[: self.membership.settings.fanout]:
            self.membership.prober.probe_now(record.member)
