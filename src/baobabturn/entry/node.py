"""What the entry's parts share: configuration, links, engines, budgets."""

from __future__ import annotations

import asyncio
import itertools
import time

import aiohttp

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.idents import generation_id
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.entry.bodies import BodyMemory
from baobabturn.entry.resume import Place
from baobabturn.entry.retries import RetryBudget
from baobabturn.entry.schedulers import Schedulers
from baobabturn.membership.owners import ALIVE
from baobabturn.platform.claims import Claims
from baobabturn.platform.httpstore import HttpStore
from baobabturn.wire.link import Link, LinkClient
from baobabturn.wire.messages import (
    ConfigUpdate,
    Held,
    Member,
    MemberView,
    Stats,
    StatsRequest,
    Subscribe,
    WhoHolds,
)

CANCEL_RETRY_S = 0.5
CANCEL_TRIES = 10


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
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.entry.connect_timeout_s
            ),
        )
        self.engine = OpenAIEngine(session=self.session)
        self.store = HttpStore(settings=self.settings.platform)
        self.claims = Claims(store=self.store, node=program.identity.node)
        self.numbers = itertools.count(1)
        self.resumed: set[str] = set()
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

    def own_state(self) -> str:
        """Return this host's state as its controller sees it."""
        name = self.program.identity.node
        for member in self.members:
            if member.name == name:
                return member.state
        return ALIVE

    def next_generation(self) -> str:
        """Return a new generation's id."""
        who = self.program.identity
        return generation_id(who.node, who.incarnation, next(self.numbers))

    def cancel_later(self, place: Place, grace_s: float) -> None:
        """Cancel a generation at its engine unless it is resumed within a grace."""
        work = self.cancel(place, grace_s)
        self.program.background.start(work, f"cancel-{place.generation}")

    async def cancel(self, place: Place, grace_s: float) -> None:
        """Cancel a generation and repeat until the engine has confirmed it."""
        await asyncio.sleep(grace_s)
        if grace_s and await self.is_held(place):
            return
        endpoint = self.state.endpoints.get(place.endpoint)
        if endpoint is None:
            return
        for _ in range(CANCEL_TRIES):
            confirmed = await self.engine.cancel(endpoint.url, place.generation)
            if confirmed is True:
                self.events.emit(
                    Event.GENERATION_CANCELLED,
                    request=place.request,
                    attempt=place.generation,
                    endpoint=place.endpoint,
                )
                return
            await asyncio.sleep(CANCEL_RETRY_S)

    async def is_held(self, place: Place) -> bool:
        """Return whether some entry has resumed a generation."""
        if place.generation in self.schedulers.holdings:
            return True
        client = self.schedulers.link(place.pool)
        if client is None:
            return False
        asked = WhoHolds(endpoint=place.endpoint, generations=[place.generation])
        answer = await client.call(asked)
        return isinstance(answer, Held) and place.generation in answer.generations

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
        await self.store.close()
