"""Monitors whether this host's entry and scheduler processes answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.wire.link import Link
from baobabturn.wire.messages import Stats, StatsRequest
from baobabturn.wire.words import PING

ROLES = ("entry", "scheduler")
OPEN_REQUESTS = "open-requests"
IDLE_CHECK_S = 0.1


class LocalProcesses:
    """Holds the links to the local processes and pings each in a task.

    A process is down while it has no link, and while it doesn't answer a ping
    within ``controller.ping_timeout_s``.  ``on_change`` gets a process's role and
    whether it is down.
    """

    def __init__(self, *, program: Program, on_change: Callable[[str, bool], None]):
        self.program = program
        self.on_change = on_change
        self.links: dict[str, Link] = {}

    def start(self) -> None:
        """Report both processes as down; each is up once it has a link."""
        for role in ROLES:
            self.on_change(role, True)

    def link_opened(self, link: Link) -> None:
        """Report a process that has subscribed as up, and start to ping it."""
        if link.peer is None or link.peer.role not in ROLES:
            return
        self.links[link.peer.role] = link
        self.on_change(link.peer.role, False)
        link.background.start(self.ping(link, link.peer.role), "ping")

    def link_closed(self, link: Link) -> None:
        """Report a process whose link closed as down."""
        for role, open_link in list(self.links.items()):
            if open_link is link:
                del self.links[role]
                self.on_change(role, True)

    async def wait_until_idle(self) -> None:
        """Wait until the entry has ended, or has no open requests and expects none.

        An entry that doesn't answer counts as one without open requests.
        Callers may use the entry's address for ``address_lifetime_s``.  A stopping
        controller serves its entry until then, in whatever order the processes of
        a host are stopped.
        """
        settings = self.program.settings
        earliest_end = time.monotonic() + settings.entry.address_lifetime_s
        limit_s = settings.membership.suspect_s
        while (link := self.links.get("entry")) is not None:
            answer = await link.call(StatsRequest(kind=OPEN_REQUESTS), limit_s)
            idle = not isinstance(answer, Stats) or answer.text == "0"
            if idle and time.monotonic() >= earliest_end:
                return
            await asyncio.sleep(IDLE_CHECK_S)

    async def ping(self, link: Link, role: str) -> None:
        """Ping a process at intervals while its link is open."""
        settings = self.program.settings.controller
        while not link.closed:
            await asyncio.sleep(settings.ping_interval_s)
            answer = await link.call(StatsRequest(kind=PING), settings.ping_timeout_s)
            if self.links.get(role) is link:
                self.on_change(role, isinstance(answer, Failure))
