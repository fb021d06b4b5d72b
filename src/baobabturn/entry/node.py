"""What the entry's parts share: configuration, links, engines, budgets."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.httpclient import send_once
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.entry.bodies import BodyMemory
from baobabturn.entry.cancels import Cancels
from baobabturn.entry.retries import RetryBudget
from baobabturn.entry.schedulers import Schedulers
from baobabturn.membership.owners import ALIVE, DEAD, owner
from baobabturn.platform.claims import Claims
from baobabturn.platform.claimvalues import result_limit
from baobabturn.platform.httpstore import HttpStore
from baobabturn.platform.sweep import ClaimSweep
from baobabturn.wire.link import Link, LinkClient
from baobabturn.wire.messages import (
    ConfigUpdate,
    Member,
    MemberView,
    Stats,
    StatsRequest,
    Subscribe,
)


class Node:
    """The shared state of one entry process."""

    def __init__(self, *, program: Program):
        self.program = program
        self.settings = program.settings
        self.events = program.events
        self.metrics = program.metrics
        self.state = ConfigState(pool_size=self.settings.scheduler.pool_size)
        self.members: list[Member] = []
        self.leaving_endpoints: set[str] = set()
        self.draining = False
        self.open_requests = 0
        self.schedulers = Schedulers(program=program, state=self.state)
        self.retries = RetryBudget(share=self.settings.entry.retry_share)
        self.body_memory = BodyMemory(settings=self.settings.entry)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            middlewares=[send_once],
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.entry.connect_timeout_s
            ),
        )
        self.once_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            middlewares=[send_once],
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.entry.connect_timeout_s
            ),
        )
        self.engine = OpenAIEngine(session=self.session)
        self.store = HttpStore(settings=self.settings.platform)
        self.cancels = Cancels(
            program=program,
            state=self.state,
            schedulers=self.schedulers,
            engine=self.engine,
        )
        self.claims = Claims(
            store=self.store,
            node=program.identity.node,
            incarnation=program.identity.incarnation,
            wait_s=self.settings.entry.claim_wait_s,
            result_limit_bytes=result_limit(self.settings.platform),
            gone=self.holder_gone,
        )
        self.sweep = ClaimSweep(
            store=self.store,
            lifetime_s=self.settings.entry.claim_lifetime_s,
            interval_s=self.settings.entry.claim_sweep_s,
            mine=self.sweeps,
        )
        self.controller = LinkClient(
            address=self.settings.host.address,
            port=self.settings.ports.controller,
            identity=program.identity,
            inner=self.settings.inner,
            clock=program.clock,
            handlers={
                MemberView: self.member_view,
                ConfigUpdate: self.config_update,
                StatsRequest: self.stats,
            },
            opened=self.subscribe,
        )

    async def subscribe(self, link: Link) -> None:
        """Ask the controller for its views."""
        await link.call(Subscribe(revision=self.state.revision))

    def member_view(self, link: Link, body: MemberView) -> None:
        """Follow the members."""
        self.members = body.members
        self.leaving_endpoints = set(body.leaving_endpoints)
        self.schedulers.update(self.members, self.leaving_endpoints)

    def config_update(self, link: Link, body: ConfigUpdate) -> None:
        """Follow the configuration."""
        if self.state.accept(body) is True:
            self.events.emit(Event.CONFIG_IN_FORCE, revision=self.state.revision)
            self.schedulers.update(self.members, self.leaving_endpoints)

    def stats(self, link: Link, body: StatsRequest) -> Stats:
        """Answer the controller; a ping needs no text."""
        return Stats()

    def sweeps(self, prefix: str) -> bool:
        """Return whether this host deletes the old claims with a prefix."""
        region = self.settings.host.region
        found = owner(f"claims/{prefix}", region, self.members)
        return found is not None and found.name == self.program.identity.node

    def holder_gone(self, node: str, incarnation: int) -> bool:
        """Return whether an entry that held a claim is known to have ended."""
        who = self.program.identity
        if node == who.node:
            return incarnation != who.incarnation
        states = {member.name: member.state for member in self.members}
        return states.get(node, ALIVE) == DEAD

    def own_state(self) -> str:
        """Return this host's state as its controller sees it."""
        name = self.program.identity.node
        for member in self.members:
            if member.name == name:
                return member.state
        return ALIVE

    async def report_progress(self) -> None:
        """Send progress to the schedulers, once an interval."""
        while True:
            await asyncio.sleep(self.settings.entry.progress_interval_s)
            self.schedulers.send_progress()

    async def wait_for_configuration(self, limit_s: float) -> bool:
        """Return whether a configuration came into force in time."""
        end = time.monotonic() + limit_s
        while self.state.revision == 0 and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.state.revision > 0

    def failed(self, failure: Failure) -> None:
        """Count a failure that a caller was told."""
        self.metrics.count("failures", code=str(int(failure.code)))

    async def close(self) -> None:
        """Close the connections."""
        await self.controller.stop()
        await self.session.close()
        await self.once_session.close()
        await self.claims.background.stop()
        await self.store.close()
