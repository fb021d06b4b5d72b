"""The scheduler program of one host."""

from __future__ import annotations

import asyncio
from typing import Any

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Code, Failure
from baobabturn.membership.owners import owner
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.wire.link import Link, LinkClient, LinkServer
from baobabturn.wire.messages import (
    Ack,
    Admit,
    CacheEvents,
    ConfigUpdate,
    EndpointReport,
    Held,
    Holdings,
    Member,
    MemberView,
    Progress,
    Release,
    Stats,
    StatsRequest,
    Subscribe,
    WhoHolds,
)

TICK_S = 0.05


class SchedulerProgram:
    """Owns pools by rendezvous hashing and answers entries about them."""

    def __init__(self, *, program: Program):
        self.program = program
        settings = program.settings
        self.state = ConfigState(pool_size=settings.scheduler.pool_size)
        self.members: list[Member] = []
        self.leaving: set[str] = set()
        self.pools: dict[str, PoolScheduler] = {}
        self.server = LinkServer(
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                Admit: self.admit,
                Progress: self.progress,
                Release: self.release,
                Holdings: self.holdings,
                WhoHolds: self.who_holds,
                StatsRequest: self.stats,
            },
            closed=self.link_closed,
        )
        self.controller = LinkClient(
            address=settings.host.address,
            port=settings.ports.controller,
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                MemberView: self.member_view,
                ConfigUpdate: self.config_update,
                EndpointReport: self.endpoint_report,
                CacheEvents: self.cache_events,
            },
            opened=self.subscribe,
        )

    async def run(self) -> Failure | None:
        """Serve until the signal to stop."""
        settings = self.program.settings
        port = await self.server.start(settings.host.address, settings.ports.scheduler)
        if isinstance(port, Failure):
            return port
        self.controller.start()
        self.program.background.start(self.tick(), "tick")
        self.program.metrics.gauge("pools_owned", lambda: len(self.pools))
        self.program.events.emit(Event.PROCESS_READY, port=port)
        await self.program.stopping.wait()
        self.program.events.emit(Event.PROCESS_DRAINING)
        await self.controller.stop()
        await self.server.stop()
        return None

    async def subscribe(self, link: Link) -> None:
        """Ask the controller for its views."""
        await link.call(Subscribe(revision=self.state.revision))

    async def tick(self) -> None:
        """Do what time alone brings about."""
        grace = self.program.settings.controller.orphan_grace_s
        while True:
            await asyncio.sleep(TICK_S)
            for pool in self.pools.values():
                pool.drop_orphans(grace)
                pool.dispatch()

    def member_view(self, link: Link, body: MemberView) -> None:
        """Follow the members; ownership may change."""
        self.members = body.members
        self.leaving = set(body.leaving_endpoints)
        self.own()

    def config_update(self, link: Link, body: ConfigUpdate) -> None:
        """Follow the configuration; pools may change."""
        accepted = self.state.accept(body)
        if accepted is True:
            self.program.events.emit(
                Event.CONFIG_IN_FORCE, revision=self.state.revision
            )
            self.own()

    def own(self) -> None:
        """Take over and give up pools as members and configuration say."""
        me = self.program.identity.node
        mine = {}
        for name, pool in self.state.pools.items():
            found = owner(name, pool.region, self.members)
            if found is not None and found.name == me:
                mine[name] = pool
        for name in [name for name in self.pools if name not in mine]:
            del self.pools[name]
            self.program.events.emit(Event.POOL_RELEASED, pool=name)
        for name, pool in mine.items():
            if name not in self.pools:
                self.pools[name] = self.new_pool(name)
                self.program.events.emit(Event.POOL_OWNED, pool=name)
            endpoints = [self.state.endpoints[each] for each in pool.endpoints]
            self.pools[name].set_endpoints(endpoints, self.leaving)

    def new_pool(self, name: str) -> PoolScheduler:
        """Return the scheduler of a pool that this host takes over."""
        settings = self.program.settings.scheduler
        policy = POLICIES[settings.policy](settings=settings, seed=1)
        return PoolScheduler(name=name, program=self.program, policy=policy)

    def pool_of(self, reservation: str) -> PoolScheduler | None:
        """Return the pool in which a place is held or waited for."""
        for pool in self.pools.values():
            if reservation in pool.reservations:
                return pool
            if any(w.admit.reservation == reservation for w in pool.state.queue):
                return pool
        return None

    async def admit(self, link: Link, body: Admit) -> Any:
        """Return a grant for a request, or why there is none."""
        pool = self.pools.get(body.pool)
        if pool is None:
            return Failure(Code.SCHEDULER_UNREACHABLE, f"{body.pool} isn't owned here")
        return await pool.admit(link, body)

    def progress(self, link: Link, body: Progress) -> None:
        """Take in the progress of an entry's generations."""
        for item in body.items:
            pool = self.pool_of(item.reservation)
            if pool is not None:
                pool.progress(item)

    def release(self, link: Link, body: Release) -> None:
        """Take a place back."""
        pool = self.pool_of(body.reservation)
        if pool is not None:
            pool.release(body)

    def holdings(self, link: Link, body: Holdings) -> Ack:
        """Take in the places that an entry holds."""
        pool = self.pools.get(body.pool)
        if pool is not None:
            for item in body.items:
                pool.hold(link, item)
        return Ack(revision=self.state.revision)

    def who_holds(self, link: Link, body: WhoHolds) -> Held:
        """Return which of some generations are held by an entry."""
        held = [name for name in body.generations if self.pool_of(name) is not None]
        return Held(generations=held, settled=True)

    def endpoint_report(self, link: Link, body: EndpointReport) -> None:
        """Hand a load report to its pool."""
        for pool in self.pools.values():
            pool.report(body)

    def cache_events(self, link: Link, body: CacheEvents) -> None:
        """Hand cache events to their pool."""
        for pool in self.pools.values():
            pool.cache(body)

    def stats(self, link: Link, body: StatsRequest) -> Stats:
        """Return metrics or events as text."""
        return Stats(text=self.program.stats(body.kind))

    def link_closed(self, link: Link) -> None:
        """Follow the loss of an entry."""
        for pool in self.pools.values():
            pool.holder_gone(link)


async def serve(program: Program) -> Failure | None:
    """Run the scheduler."""
    return await SchedulerProgram(program=program).run()


def main() -> None:
    """Start the program from the command line."""
    start("scheduler", serve)


if __name__ == "__main__":
    main()
