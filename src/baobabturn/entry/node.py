"""What the entry's parts share: configuration, links, engines, budgets."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from baobabturn.config.state import ConfigState
from baobabturn.core.clock import MS_PER_S, wall_ms
from baobabturn.core.events import Event
from baobabturn.core.httpclient import send_once
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.entry.bodies import BodyMemory
from baobabturn.entry.cancels import Cancels
from baobabturn.entry.draining import OPEN_REQUESTS, Drain
from baobabturn.entry.retries import RetryBudget
from baobabturn.entry.schedulers import Schedulers
from baobabturn.membership.owners import ALIVE, DEAD, LEAVING, owner
from baobabturn.membership.view import merged
from baobabturn.store.claims import Claims
from baobabturn.store.claimvalues import max_result_body_bytes
from baobabturn.store.httpstore import HttpStore
from baobabturn.store.sweep import ClaimSweep
from baobabturn.wire.client import LinkClient
from baobabturn.wire.link import Link
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
        self.view = MemberView()
        self.leaving_endpoints: set[str] = set()
        self.drain = Drain(settings=self.settings)
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
        self.store = HttpStore(settings=self.settings.platform, events=program.events)
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
            result_limit_bytes=max_result_body_bytes(self.settings.platform),
            holder_ended=self.holder_gone,
        )
        self.sweep = ClaimSweep(
            store=self.store,
            lifetime_s=self.settings.entry.claim_lifetime_s,
            interval_s=self.settings.entry.claim_sweep_s,
            owns_prefix=self.sweeps,
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
        self.members, changed = merged(self.members, body)
        self.view = body
        leaving = set(body.leaving_endpoints)
        if changed:
            self.drain.host_leaves(self.own_state() == LEAVING)
        if changed or leaving != self.leaving_endpoints:
            self.leaving_endpoints = leaving
            self.schedulers.update(self.members, leaving)

    @property
    def contact(self) -> dict[str, Any]:
        """Return whether this host is cut off, and since when from whom."""
        if not self.view.cut_off:
            return {"cut_off": False}
        now = wall_ms()
        platform, peers = self.view.platform_contact_ms, self.view.peer_contact_ms
        return {
            "cut_off": True,
            "platform_silent_s": (now - platform) / MS_PER_S if platform else None,
            "peers_silent_s": (now - peers) / MS_PER_S if peers else None,
        }

    def config_update(self, link: Link, body: ConfigUpdate) -> None:
        """Follow the configuration."""
        if self.state.accept(body) is True:
            self.events.emit(Event.CONFIG_IN_FORCE, revision=self.state.revision)
            self.schedulers.update(self.members, self.leaving_endpoints)

    def stats(self, link: Link, body: StatsRequest) -> Stats | Failure:
        """Answer the controller's ping, or how many requests are open.

        A refusal while stopping takes this entry out of all address answers.
        """
        if body.kind == OPEN_REQUESTS:
            return Stats(text=str(self.open_requests + self.cancels.open))
        if self.drain.stopping:
            return Failure(Code.DRAINING, "draining")
        return Stats()

    def others(self) -> list[Member]:
        """Return the other hosts whose entries callers may use."""
        name = self.program.identity.node
        return [
            member
            for member in self.members
            if member.name != name and member.state == ALIVE and not member.entry_down
        ]

    def refusal(self) -> Failure | None:
        """Return why new work must go elsewhere, None where it may begin here.

        Where no other entry is left, this one goes on.
        """
        if not self.drain.is_over() or not self.others():
            return None
        return Failure(Code.DRAINING, "this host is draining; use the entries given")

    def is_listed(self) -> bool:
        """Return whether address answers name this entry, as far as it knows."""
        name = self.program.identity.node
        return any(
            member.name == name and member.state == ALIVE and not member.entry_down
            for member in self.members
        )

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

    def failed(self, failure: Failure) -> None:
        """Count a failure that a caller was told."""
        self.metrics.count("failures", code=str(int(failure.code)))

    async def close(self) -> None:
        """Close the connections."""
        await self.controller.stop()
        await self.session.close()
        await self.once_session.close()
        await self.claims.close()
        await self.store.close()
