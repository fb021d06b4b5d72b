"""Polls the platform's host list on the hosts that watch the platform."""

from __future__ import annotations

import asyncio

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.membership.heartbeat import Membership
from baobabturn.store.interface import ObjectStore, PlatformHost

ENTRY_ROLE = "entry"
LIVE_STATE = "live"  # the platform's state of a host that isn't leaving


class HostList:
    """Adds the listed hosts as membership seeds and publishes leaving endpoints.

    Every host reads the list when it starts.  After that only the watchers of each
    failure domain do, and a host that sees no peers.
    """

    def __init__(self, *, program: Program, store: ObjectStore, membership: Membership):
        self.program = program
        self.store = store
        self.membership = membership
        self.was_read = False
        self.last_leaving: list[str] | None = None

    async def poll(self) -> None:
        """Read the list for ever, every ``host_poll_s``."""
        while True:
            if not self.was_read or self.membership.is_watcher():
                hosts = await self.store.hosts()
                if not isinstance(hosts, Failure):
                    self.apply(hosts)
            await asyncio.sleep(self.program.settings.controller.host_poll_s)

    def apply(self, hosts: list[PlatformHost]) -> None:
        """Apply a list of hosts from the platform.

        A host that is no entry has the name of its endpoint.
        """
        self.was_read = True
        port = self.program.settings.ports.controller
        for host in hosts:
            if host.role == ENTRY_ROLE:
                self.membership.add_seed(host.address, port)
        leaving = sorted(
            host.name
            for host in hosts
            if host.role != ENTRY_ROLE and host.state != LIVE_STATE
        )
        if leaving == self.last_leaving:
            return
        self.last_leaving = leaving
        for name in sorted(set(leaving) - set(self.membership.leaving_endpoints)):
            self.program.events.emit(Event.ENDPOINT_LEAVING, endpoint=name)
        self.membership.set_leaving_endpoints(leaving)
