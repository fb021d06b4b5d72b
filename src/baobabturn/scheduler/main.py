"""The scheduler program, which runs once on each host."""

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
from baobabturn.scheduler.learnedreplicas import (
    ENTRY,
    LearnedReplicas,
    replica_links,
)
from baobabturn.scheduler.partrelay import PartRelay
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.wire.client import LinkClient
from baobabturn.wire.gatewaymessages import PartNews
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

TICK_INTERVAL_S = 0.05
# ``pool_by_reservation`` is pruned when it has this many times the needed items.
INDEX_PRUNE_RATIO = 4
# The member states of hosts whose processes may still run.
POSSIBLY_RUNNING_STATES = {ALIVE, LEAVING, SUSPECT}


class SchedulerProgram:
    """Owns a share of the pools by rendezvous hashing, and serves the entries.

    ``holdings_by_pool`` keeps the reservations that each entry reported, by pool
    and link.  ``pool_by_reservation`` has the reservations that are held or waited
    for, and ended ones until they are removed in bulk.
    """

    def __init__(self, *, program: Program):
        self.program = program
        settings = program.settings
        self.state = ConfigState(pool_size=settings.scheduler.pool_size)
        self.members: list[Member] = []
        self.leaving_endpoints: set[str] = set()
        self.pools: dict[str, PoolScheduler] = {}
        self.pool_by_reservation: dict[str, PoolScheduler] = {}
        self.learned_replicas = LearnedReplicas()
        self.replicated_at = 0.0
        self.part_relay = PartRelay(program=program, links=self.entry_links)
        self.holdings_by_pool: dict[str, dict[Link, list[Holding]]] = {}
        self.server = LinkServer(
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                Admit: self.handle_admit,
                Progress: self.handle_progress,
                Release: self.handle_release,
                Holdings: self.handle_holdings,
                WhoHolds: self.handle_who_holds,
                StatsRequest: self.handle_stats,
                Learned: self.handle_learned,
                PartNews: self.part_relay.handle_news,
            },
            closed=self.handle_link_closed,
        )
        self.controller = LinkClient(
            address=settings.host.address,
            port=settings.ports.controller,
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                MemberView: self.handle_member_view,
                ConfigUpdate: self.handle_config_update,
                EndpointReport: self.handle_endpoint_report,
                CacheEvents: self.handle_cache_events,
                StatsRequest: self.handle_stats,
                WhoHolds: self.handle_who_holds,
            },
            opened=self.subscribe,
        )

    def entry_links(self) -> list[Link]:
        """Return the links to entries."""
        return [
            link
            for link in self.server.links
            if link.peer is not None and link.peer.role == ENTRY
        ]

    async def run(self) -> Failure | None:
        """Serve until the process is asked to stop."""
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
        metrics.gauge("learned_keys", self.learned_key_count)
        self.program.describe = lambda: describe(self.pools)
        self.program.events.emit(Event.PROCESS_READY, port=port)
        await self.program.stopping.wait()
        self.program.events.emit(Event.PROCESS_DRAINING)
        await self.controller.stop()
        await self.server.stop()
        return None

    async def subscribe(self, link: Link) -> None:
        """Subscribe to the controller's member, configuration and endpoint updates."""
        await link.call(Subscribe(revision=self.state.revision))

    async def tick(self) -> None:
        """Run the periodic work of all owned pools for as long as the process runs."""
        settings = self.program.settings
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            for pool in self.pools.values():
                unsettled_s = time.monotonic() - pool.owned_since
                if not pool.settled and unsettled_s > settings.scheduler.settle_s:
                    pool.settle()
                pool.release_orphans(settings.controller.orphan_grace_s)
                pool.advise_hedges()
                pool.dispatch()
            self.prune_reservations()
            if (
                time.monotonic() - self.replicated_at
                > settings.scheduler.learned_interval_s
            ):
                self.replicate_learned()

    def learned_key_count(self) -> int:
        """Return the number of length distributions that the pools have learned."""
        return sum(pool.policy.learned_key_count() for pool in self.pools.values())

    def replicate_learned(self) -> None:
        """Send each pool's learned state to the entries that keep its replicas."""
        self.replicated_at = time.monotonic()
        replica_count = self.program.settings.scheduler.learned_keepers
        for name, pool in self.pools.items():
            body = pool.policy.export_learned()
            if body:
                for link in replica_links(self.server.links, name, replica_count):
                    link.send(Learned(pool=name, body=body))

    def handle_learned(self, link: Link, body: Learned) -> None:
        """Merge the learned state of a pool, or keep it until the pool is owned."""
        pool = self.pools.get(body.pool)
        if pool is not None:
            pool.policy.merge_learned(body.body)
            return
        self.learned_replicas.keep(body, self.state.pools)

    def prune_reservations(self) -> None:
        """Remove from the index the reservations no longer held or waited for.

        Checking all of them is linear, so it is done only when the stale ones
        outnumber the others several times.
        """
        live_count = self.total("reservations") + self.total("queue")
        if len(self.pool_by_reservation) < INDEX_PRUNE_RATIO * (live_count + 1):
            return
        self.pool_by_reservation = {
            name: pool
            for name, pool in self.pool_by_reservation.items()
            if pool.is_known(name)
        }

    def total(self, field: str) -> int:
        """Return how many ``reservations`` or ``queue`` items all pools have."""
        pools = self.pools.values()
        if field == "queue":
            return sum(len(pool.state.queue) for pool in pools)
        return sum(len(pool.reservations) for pool in pools)

    def handle_member_view(self, link: Link, body: MemberView) -> None:
        """Apply a member view; update pool ownership if it changed."""
        self.members, changed = merge_view(self.members, body)
        leaving = set(body.leaving_endpoints)
        if changed or leaving != self.leaving_endpoints:
            self.leaving_endpoints = leaving
            self.update_ownership()
        if changed:
            self.close_dead_links()

    def close_dead_links(self) -> None:
        """Close the links of dead hosts; a host wrongly taken for dead reconnects."""
        dead = {member.name for member in self.members if member.state == DEAD}
        for link in list(self.server.links):
            if link.peer is not None and link.peer.node in dead:
                link.close()

    def handle_config_update(self, link: Link, body: ConfigUpdate) -> None:
        """Apply a configuration update; update pool ownership if it was accepted."""
        accepted = self.state.accept(body)
        if accepted is True:
            self.program.events.emit(
                Event.CONFIG_IN_FORCE, revision=self.state.revision
            )
            self.update_ownership()

    def update_ownership(self) -> None:
        """Take and release pools according to the members and the configuration."""
        own_name = self.program.identity.node
        owned = {}
        for name, pool in self.state.pools.items():
            owner_member = owner(name, pool.region, self.members)
            if owner_member is not None and owner_member.name == own_name:
                owned[name] = pool
        for name in [name for name in self.pools if name not in owned]:
            self.pools.pop(name).refuse_waiting()
            self.program.events.emit(Event.POOL_RELEASED, pool=name)
        for name, pool in owned.items():
            endpoints = [
                self.state.endpoints[endpoint_name] for endpoint_name in pool.endpoints
            ]
            if name not in self.pools:
                self.take_pool(name)
            self.pools[name].set_endpoints(endpoints, self.leaving_endpoints)
            self.apply_holdings(name)

    def take_pool(self, name: str) -> None:
        """Create a newly owned pool's scheduler; merge its learned state, if any."""
        settings = self.program.settings.scheduler
        policy = POLICIES[settings.policy](settings=settings, seed=1)
        self.pools[name] = PoolScheduler(
            name=name,
            program=self.program,
            policy=policy,
            workspaces=lambda: self.state.workspaces,
        )
        policy.merge_learned(self.learned_replicas.body_by_pool.pop(name, b""))
        self.program.events.emit(Event.POOL_OWNED, pool=name)

    def apply_holdings(self, name: str) -> None:
        """Apply the reservations reported in a pool; settle it if all entries reported.

        An entry reports to the scheduler that it sees as the owner, possibly before
        this scheduler knows that it is the owner.  Reports are kept for that reason.
        """
        pool = self.pools.get(name)
        if pool is None or pool.settled:
            return
        for link, items in self.holdings_by_pool.get(name, {}).items():
            for item in items:
                pool.hold(link, item)
                self.pool_by_reservation[item.reservation] = pool
        if self.all_entries_reported(name, {ALIVE}):
            pool.settle()

    def all_entries_reported(self, name: str, states: set[str]) -> bool:
        """Return whether all entries on hosts in the given states reported on a pool.

        Entries that their host has announced as down don't count.
        """
        by_link = self.holdings_by_pool.get(name, {})
        reported_hosts = {link.peer.node for link in by_link if link.peer is not None}
        members = [
            host
            for host in self.members
            if host.state in states and not host.entry_down
        ]
        return {member.name for member in members} <= reported_hosts

    async def handle_admit(self, link: Link, body: Admit) -> Any:
        """Return a grant for a request, or why it is refused."""
        pool = self.pools.get(body.pool)
        if pool is None:
            return Failure(
                Code.POOL_MOVED, f"this scheduler doesn't own pool {body.pool}"
            )
        self.pool_by_reservation[body.reservation] = pool
        return await pool.admit(link, body)

    def handle_progress(self, link: Link, body: Progress) -> None:
        """Apply the progress of an entry's generations."""
        for item in body.items:
            pool = self.pool_by_reservation.get(item.reservation)
            if pool is not None:
                pool.progress(item)

    def handle_release(self, link: Link, body: Release) -> None:
        """Release a reservation, unless another process holds it by now."""
        pool = self.pool_by_reservation.get(body.reservation)
        if pool is None or held_by_another(pool, body.reservation, link):
            return
        del self.pool_by_reservation[body.reservation]
        pool.release(body)

    def handle_holdings(self, link: Link, body: Holdings) -> Ack:
        """Record the reservations that an entry holds."""
        pool = self.pools.get(body.pool)
        by_link = self.holdings_by_pool.setdefault(body.pool, {})
        if not body.added:
            by_link[link] = body.items
        elif pool is None or not pool.settled:
            by_link[link] = [*by_link.get(link, []), *body.items]
        if pool is not None and pool.settled:
            for item in body.items:
                pool.hold(link, item)
                self.pool_by_reservation[item.reservation] = pool
        self.apply_holdings(body.pool)
        return Ack(revision=self.state.revision)

    def handle_who_holds(self, link: Link, body: WhoHolds) -> Held:
        """Return which of the given generations a process other than the asker holds.

        The reply is settled (complete) only if this scheduler owns a pool of the
        endpoint and every entry that may be running has reported its reservations
        in that pool.
        """
        owned = [
            candidate
            for candidate in self.pools.values()
            if body.endpoint in candidate.state.endpoints
        ]
        held = [
            name
            for name in body.generations
            if any(held_by_another(pool, name, link) for pool in owned)
        ]
        all_reported = any(
            self.all_entries_reported(pool.state.name, POSSIBLY_RUNNING_STATES)
            for pool in owned
        )
        return Held(generations=held, settled=all_reported)

    def handle_endpoint_report(self, link: Link, body: EndpointReport) -> None:
        """Pass a load report to the pools, which ignore other pools' endpoints."""
        for pool in self.pools.values():
            pool.apply_report(body)

    def handle_cache_events(self, link: Link, body: CacheEvents) -> None:
        """Pass cache events to the pools, which ignore other pools' endpoints."""
        for pool in self.pools.values():
            pool.apply_cache_events(body)

    def handle_stats(self, link: Link, body: StatsRequest) -> Stats:
        """Return metrics or events as text, an empty reply to a ping."""
        if body.kind == PING:
            return Stats()
        return Stats(text=self.program.stats(body.kind))

    def handle_link_closed(self, link: Link) -> None:
        """Remove what an entry reported, and mark its reservations as orphaned."""
        for by_link in self.holdings_by_pool.values():
            by_link.pop(link, None)
        for pool in self.pools.values():
            pool.remove_holder(link)


def held_by_another(pool: PoolScheduler, reservation: str, link: Link) -> bool:
    """Return whether a process other than a link's peer holds a reservation."""
    holder = pool.holder_of(reservation)
    if holder is None or holder.peer is None or link.peer is None:
        return holder is not None and holder is not link
    holder_peer, asking_peer = holder.peer, link.peer
    return (holder_peer.node, holder_peer.role) != (asking_peer.node, asking_peer.role)


async def serve(program: Program) -> Failure | None:
    """Run the scheduler."""
    return await SchedulerProgram(program=program).run()


def main() -> None:
    """Start the program from the command line."""
    start("scheduler", serve)


if __name__ == "__main__":
    main()
