"""The scheduler program of one host."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from baobabturn.config.state import ConfigState
from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Code, Failure
from baobabturn.membership.owners import ALIVE, DEAD, LEAVING, SUSPECT, owner
from baobabturn.membership.view import merge_view
from baobabturn.scheduler.describe import describe
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.sharing import LearnedStore, keepers
from baobabturn.wire.client import LinkClient
from baobabturn.wire.link import Link
from baobabturn.wire.messages import (
    Ack,
    Admit,
    CacheEvents,
    ConfigUpdate,
    EndpointReport,
    Held,
    Holding,
    Holdings,
    Learned,
    Member,
    MemberView,
    Progress,
    Release,
    Stats,
    StatsRequest,
    Subscribe,
    WhoHolds,
)
from baobabturn.wire.server import LinkServer
from baobabturn.wire.words import PING

TICK_S = 0.05
PLACES_CHECK = 4
MAY_RUN = {ALIVE, LEAVING, SUSPECT}


class SchedulerProgram:
    """Owns pools by rendezvous hashing and answers entries about them."""

    def __init__(self, *, program: Program):
        self.program = program
        settings = program.settings
        self.state = ConfigState(pool_size=settings.scheduler.pool_size)
        self.members: list[Member] = []
        self.leaving: set[str] = set()
        self.pools: dict[str, PoolScheduler] = {}
        self.places: dict[str, PoolScheduler] = {}
        self.store = LearnedStore()
        self.handed_on = 0.0
        self.told: dict[str, dict[Link, list[Holding]]] = {}
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
                Learned: self.learned,
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
                StatsRequest: self.stats,
                WhoHolds: self.who_holds,
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
        metrics = self.program.metrics
        metrics.gauge("pools_owned", lambda: len(self.pools))
        metrics.gauge("places_held", lambda: self.total("reservations"))
        metrics.gauge("requests_waiting", lambda: self.total("queue"))
        metrics.gauge("learned_keys", self.learned_keys)
        self.program.describe = lambda: describe(self.pools)
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
        settings = self.program.settings
        while True:
            await asyncio.sleep(TICK_S)
            for pool in self.pools.values():
                late = time.monotonic() - pool.taken_over
                if not pool.settled and late > settings.scheduler.settle_s:
                    pool.settle()
                pool.drop_orphans(settings.controller.orphan_grace_s)
                pool.advise_hedges()
                pool.dispatch()
            self.forget_places()
            if (
                time.monotonic() - self.handed_on
                > settings.scheduler.learned_interval_s
            ):
                self.hand_on()

    def learned_keys(self) -> int:
        """Return how many length distributions the pools have learned."""
        return sum(pool.policy.known_keys() for pool in self.pools.values())

    def hand_on(self) -> None:
        """Send what the pools have learned to the entries that keep it."""
        self.handed_on = time.monotonic()
        count = self.program.settings.scheduler.learned_keepers
        for name, pool in self.pools.items():
            body = pool.policy.learned()
            if body:
                for link in keepers(self.server.links, name, count):
                    link.send(Learned(pool=name, body=body))

    def learned(self, link: Link, body: Learned) -> None:
        """Take in what a pool's former owner had learned."""
        pool = self.pools.get(body.pool)
        if pool is not None:
            pool.policy.take_learned(body.body)
            return
        self.store.keep(body, self.state.pools)

    def forget_places(self) -> None:
        """Forget places that are neither held nor waited for any more."""
        known = self.total("reservations") + self.total("queue")
        if len(self.places) < PLACES_CHECK * (known + 1):
            return
        self.places = {
            name: pool for name, pool in self.places.items() if pool.knows(name)
        }

    def total(self, field: str) -> int:
        """Return how many ``reservations`` or ``queue`` entries the pools have."""
        pools = self.pools.values()
        if field == "queue":
            return sum(len(pool.state.queue) for pool in pools)
        return sum(len(pool.reservations) for pool in pools)

    def member_view(self, link: Link, body: MemberView) -> None:
        """Follow the members; ownership may change."""
        self.members, changed = merge_view(self.members, body)
        leaving = set(body.leaving_endpoints)
        if changed or leaving != self.leaving:
            self.leaving = leaving
            self.own()
        if changed:
            self.drop_dead()

    def drop_dead(self) -> None:
        """Close the links of hosts that are dead; one that isn't will reconnect."""
        dead = {member.name for member in self.members if member.state == DEAD}
        for link in list(self.server.links):
            if link.peer is not None and link.peer.node in dead:
                link.close()

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
            self.pools.pop(name).give_up()
            self.program.events.emit(Event.POOL_RELEASED, pool=name)
        for name, pool in mine.items():
            endpoints = [self.state.endpoints[each] for each in pool.endpoints]
            if name not in self.pools:
                self.take_over(name)
            self.pools[name].set_endpoints(endpoints, self.leaving)
            self.learn_holdings(name)

    def take_over(self, name: str) -> None:
        """Begin to own a pool."""
        settings = self.program.settings.scheduler
        policy = POLICIES[settings.policy](settings=settings, seed=1)
        self.pools[name] = PoolScheduler(
            name=name,
            program=self.program,
            policy=policy,
            workspaces=lambda: self.state.workspaces,
        )
        policy.take_learned(self.store.bodies.pop(name, b""))
        self.program.events.emit(Event.POOL_OWNED, pool=name)

    def learn_holdings(self, name: str) -> None:
        """Take in what entries hold in a pool; settle once all have told.

        An entry tells the owner that it sees; it may do so before this
        process sees that it is the owner, so the word is kept.
        """
        pool = self.pools.get(name)
        if pool is None or pool.settled:
            return
        for link, items in self.told.get(name, {}).items():
            for item in items:
                pool.hold(link, item)
                self.places[item.reservation] = pool
        if self.all_told(name, {ALIVE}):
            pool.settle()

    def all_told(self, name: str, states: set[str]) -> bool:
        """Return whether each entry of a host in one of the states has told."""
        told = self.told.get(name, {})
        heard = {link.peer.node for link in told if link.peer is not None}
        members = [m for m in self.members if m.state in states and not m.entry_down]
        return {member.name for member in members} <= heard

    async def admit(self, link: Link, body: Admit) -> Any:
        """Return a grant for a request, or why there is none."""
        pool = self.pools.get(body.pool)
        if pool is None:
            return Failure(Code.POOL_MOVED, f"{body.pool} isn't owned here")
        self.places[body.reservation] = pool
        return await pool.admit(link, body)

    def progress(self, link: Link, body: Progress) -> None:
        """Take in the progress of an entry's generations."""
        for item in body.items:
            pool = self.places.get(item.reservation)
            if pool is not None:
                pool.progress(item)

    def release(self, link: Link, body: Release) -> None:
        """Take a place back."""
        pool = self.places.get(body.reservation)
        if pool is None or held_by_another(pool, body.reservation, link):
            return
        del self.places[body.reservation]
        pool.release(body)

    def holdings(self, link: Link, body: Holdings) -> Ack:
        """Take in the places that an entry holds."""
        pool = self.pools.get(body.pool)
        told = self.told.setdefault(body.pool, {})
        if not body.added:
            told[link] = body.items
        elif pool is None or not pool.settled:
            told[link] = [*told.get(link, []), *body.items]
        if pool is not None and pool.settled:
            for item in body.items:
                pool.hold(link, item)
                self.places[item.reservation] = pool
        self.learn_holdings(body.pool)
        return Ack(revision=self.state.revision)

    def who_holds(self, link: Link, body: WhoHolds) -> Held:
        """Return which of some generations another process than the asker holds.

        Settled only where the endpoint's pool is owned here and every entry
        that may run has told what it holds.
        """
        owned = [p for p in self.pools.values() if body.endpoint in p.state.endpoints]
        held = [
            name
            for name in body.generations
            if any(held_by_another(pool, name, link) for pool in owned)
        ]
        told = any(self.all_told(pool.state.name, MAY_RUN) for pool in owned)
        return Held(generations=held, settled=told)

    def endpoint_report(self, link: Link, body: EndpointReport) -> None:
        """Hand a load report to its pool."""
        for pool in self.pools.values():
            pool.report(body)

    def cache_events(self, link: Link, body: CacheEvents) -> None:
        """Hand cache events to their pool."""
        for pool in self.pools.values():
            pool.cache(body)

    def stats(self, link: Link, body: StatsRequest) -> Stats:
        """Return metrics or events as text; a ping needs none."""
        if body.kind == PING:
            return Stats()
        return Stats(text=self.program.stats(body.kind))

    def link_closed(self, link: Link) -> None:
        """Follow the loss of an entry."""
        for told in self.told.values():
            told.pop(link, None)
        for pool in self.pools.values():
            pool.holder_gone(link)


def held_by_another(pool: PoolScheduler, reservation: str, link: Link) -> bool:
    """Return whether a place is held by another process than a link's peer."""
    holder = pool.holder_of(reservation)
    if holder is None or holder.peer is None or link.peer is None:
        return holder is not None and holder is not link
    held, asked = holder.peer, link.peer
    return (held.node, held.role) != (asked.node, asked.role)


async def serve(program: Program) -> Failure | None:
    """Run the scheduler."""
    return await SchedulerProgram(program=program).run()


def main() -> None:
    """Start the program from the command line."""
    start("scheduler", serve)


if __name__ == "__main__":
    main()
