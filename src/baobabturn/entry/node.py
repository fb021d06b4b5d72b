"""State shared by the entry's parts: configuration, links, clients, budgets."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from baobabturn.config.state import ConfigState
from baobabturn.core.clock import MS_PER_S, wall_ms
from baobabturn.core.events import Event
from baobabturn.core.httpclient import unpooled_session
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.entry.bodies import BodyMemory
from baobabturn.entry.cancellation import GenerationCanceller
from baobabturn.entry.draining import OPEN_REQUESTS, DrainState
from baobabturn.entry.retries import RetryBudget
from baobabturn.entry.schedulers import Schedulers
from baobabturn.membership.owners import ALIVE, DEAD, LEAVING, owner
from baobabturn.membership.view import merge_view
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
        self.drain_state = DrainState(settings=self.settings)
        self.open_requests = 0
        self.schedulers = Schedulers(program=program, state=self.state)
        self.prompt_watch = self.schedulers.prompt_watch
        self.retry_budget = RetryBudget(share=self.settings.entry.retry_share)
        self.body_memory = BodyMemory(
            limit_bytes=self.settings.entry.body_memory_bytes,
            wait_s=self.settings.entry.body_wait_s,
        )
        self.session = unpooled_session(
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.entry.connect_timeout_s
            ),
        )
        self.engine = OpenAIEngine(session=self.session)
        self.store = HttpStore(settings=self.settings.platform, events=program.events)
        self.canceller = GenerationCanceller(
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
            holder_ended=self.has_claim_holder_ended,
        )
        self.claim_sweep = ClaimSweep(
            store=self.store,
            lifetime_s=self.settings.entry.claim_lifetime_s,
            interval_s=self.settings.entry.claim_sweep_s,
            owns_prefix=self.is_claim_sweeper,
        )
        self.controller = LinkClient(
            address=self.settings.host.address,
            port=self.settings.ports.controller,
            identity=program.identity,
            inner=self.settings.inner,
            clock=program.clock,
            handlers={
                MemberView: self.handle_member_view,
                ConfigUpdate: self.handle_config_update,
                StatsRequest: self.handle_stats_request,
            },
            opened=self.subscribe,
        )

    async def subscribe(self, link: Link) -> None:
        """Subscribe to the controller's member and configuration updates."""
        await link.call(Subscribe(revision=self.state.revision))

    def handle_member_view(self, link: Link, body: MemberView) -> None:
        """Apply a member view from the controller."""
        self.members, changed = merge_view(self.members, body)
        self.view = body
        leaving = set(body.leaving_endpoints)
        if changed:
            self.drain_state.set_host_leaving(self.own_state() == LEAVING)
        if changed or leaving != self.leaving_endpoints:
            self.leaving_endpoints = leaving
            self.schedulers.apply_members(self.members, leaving)

    @property
    def contact_status(self) -> dict[str, Any]:
        """Return whether this host is cut off, and seconds since its last contacts."""
        if not self.view.cut_off:
            return {"cut_off": False}
        now = wall_ms()
        platform, peers = self.view.platform_contact_ms, self.view.peer_contact_ms
        return {
            "cut_off": True,
            "platform_silent_s": (now - platform) / MS_PER_S if platform else None,
            "peers_silent_s": (now - peers) / MS_PER_S if peers else None,
        }

    def handle_config_update(self, link: Link, body: ConfigUpdate) -> None:
        """Apply a configuration update if its revision is accepted."""
        if self.state.accept(body) is True:
            self.events.emit(Event.CONFIG_IN_FORCE, revision=self.state.revision)
            self.schedulers.apply_members(self.members, self.leaving_endpoints)

    def handle_stats_request(self, link: Link, body: StatsRequest) -> Stats | Failure:
        """Return how many requests and cancellations are open, or a ping's reply.

        A refused ping while stopping removes this entry from all address lists.
        """
        if body.kind == OPEN_REQUESTS:
            return Stats(text=str(self.open_requests + self.canceller.open_count))
        if self.drain_state.stopping:
            return Failure(Code.DRAINING, "draining")
        return Stats()

    def other_entries(self) -> list[Member]:
        """Return the other hosts whose entries callers may use."""
        name = self.program.identity.node
        return [
            member
            for member in self.members
            if member.name != name and member.state == ALIVE and not member.entry_down
        ]

    def drained_failure(self) -> Failure | None:
        """Return why a new request must go to another entry, None if accepted here.

        Without another live entry this one goes on serving.
        """
        if not self.drain_state.addresses_expired() or not self.other_entries():
            return None
        return Failure(
            Code.DRAINING, "this host is draining; use one of the listed entries"
        )

    def is_listed(self) -> bool:
        """Return whether address lists contain this entry, by its own member view."""
        name = self.program.identity.node
        return any(
            member.name == name and member.state == ALIVE and not member.entry_down
            for member in self.members
        )

    def is_claim_sweeper(self, prefix: str) -> bool:
        """Return whether this host sweeps the expired claims with a prefix."""
        region = self.settings.host.region
        sweeper = owner(f"claims/{prefix}", region, self.members)
        return sweeper is not None and sweeper.name == self.program.identity.node

    def has_claim_holder_ended(self, node: str, incarnation: int) -> bool:
        """Return whether the entry process that held a claim is known to have ended."""
        identity = self.program.identity
        if node == identity.node:
            return incarnation != identity.incarnation
        states = {member.name: member.state for member in self.members}
        return states.get(node, ALIVE) == DEAD

    def own_state(self) -> str:
        """Return this host's membership state in the controller's view."""
        name = self.program.identity.node
        for member in self.members:
            if member.name == name:
                return member.state
        return ALIVE

    async def report_progress(self) -> None:
        """Send progress to the schedulers every ``progress_interval_s``."""
        while True:
            await asyncio.sleep(self.settings.entry.progress_interval_s)
            self.schedulers.send_progress()

    def count_failure(self, failure: Failure) -> None:
        """Count a failure that is sent to a caller."""
        self.metrics.count("failures", code=str(int(failure.code)))

    async def close(self) -> None:
        """Close all links and connections."""
        await self.controller.stop()
        await self.session.close()
        await self.claims.close()
        await self.store.close()
