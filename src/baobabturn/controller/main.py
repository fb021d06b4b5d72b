"""The controller program of one host."""

from __future__ import annotations

import asyncio

import aiohttp

from baobabturn.config.document import Endpoint
from baobabturn.config.state import ConfigState
from baobabturn.controller.configsync import ConfigSync
from baobabturn.controller.localprocesses import LocalProcesses
from baobabturn.controller.orders import OrderGiver
from baobabturn.controller.polling import Poller
from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.owners import ALIVE, LEAVING, owner
from baobabturn.platform.httpstore import HttpStore
from baobabturn.wire.link import Link, LinkClient, LinkServer
from baobabturn.wire.messages import (
    Ack,
    CancelGeneration,
    ConfigAnnounce,
    ConfigFetch,
    ConfigUpdate,
    Drain,
    Member,
    MemberView,
    Stats,
    StatsRequest,
    Subscribe,
)


class Controller:
    """Holds the host's control state and serves it to entry and scheduler."""

    def __init__(self, *, program: Program):
        self.program = program
        settings = program.settings
        self.state = ConfigState(pool_size=settings.scheduler.pool_size)
        self.store = HttpStore(settings=settings.platform)
        self.session = aiohttp.ClientSession()
        self.engine = OpenAIEngine(session=self.session)
        self.membership = Membership(program=program, changed=self.members_changed)
        self.sync = ConfigSync(
            program=program,
            store=self.store,
            state=self.state,
            changed=self.config_changed,
        )
        self.poller = Poller(
            program=program, engine=self.engine, forward=self.to_scheduler
        )
        self.orders = OrderGiver(
            program=program,
            store=self.store,
            engine=self.engine,
            state=self.state,
            members=self.membership.members,
        )
        self.local = LocalProcesses(
            program=program, changed=self.membership.set_process_down
        )
        self.subscribers: dict[Link, int] = {}
        self.leaving_endpoints: set[str] = set()
        self.server = LinkServer(
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                Subscribe: self.subscribe,
                ConfigFetch: self.config_fetch,
                ConfigAnnounce: self.config_announced,
                StatsRequest: self.stats,
                Drain: self.drain,
                CancelGeneration: self.cancel_generation,
            },
            closed=self.link_closed,
        )

    async def run(self) -> Failure | None:
        """Start every part, then wait for the signal to stop."""
        program = self.program
        host, ports = program.settings.host, program.settings.ports
        port = await self.server.start(host.address, ports.controller)
        if isinstance(port, Failure):
            return port
        failed = await self.membership.start()
        if failed is not None:
            return failed
        self.local.start()
        program.background.start(self.sync.watch(), "config-watch")
        program.background.start(self.follow_hosts(), "host-list")
        self.orders.start()
        metrics = program.metrics
        metrics.gauge("platform_calls", lambda: self.store.calls)
        metrics.gauge("heartbeat_sent_bytes", lambda: self.membership.sent_bytes)
        program.events.emit(Event.PROCESS_READY, port=port)
        await program.stopping.wait()
        program.events.emit(Event.PROCESS_DRAINING)
        await self.membership.leave()
        await self.orders.stop()
        await asyncio.sleep(program.settings.membership.interval_s)
        await self.server.stop()
        return None

    async def close(self) -> None:
        """Close the connections to the platform and the endpoints."""
        await self.store.close()
        await self.session.close()

    async def follow_hosts(self) -> None:
        """Read the platform's host list from time to time."""
        while True:
            hosts = await self.store.hosts()
            if not isinstance(hosts, Failure):
                self.take_hosts(hosts)
            await asyncio.sleep(self.program.settings.controller.host_poll_s)

    def take_hosts(self, hosts) -> None:
        """Seed the membership and note endpoints on hosts that leave."""
        leaving = set()
        for host in hosts:
            if host.role == "entry":
                port = self.program.settings.ports.controller
                self.membership.add_seed(host.address, port)
            elif host.state != "live":
                leaving.add(host.name)
        if leaving != self.leaving_endpoints:
            self.leaving_endpoints = leaving
            for name in sorted(leaving):
                self.program.events.emit(Event.ENDPOINT_LEAVING, endpoint=name)
            self.push_members()

    def member_view(self) -> MemberView:
        """Return the members for entry and scheduler."""
        return MemberView(
            members=self.membership.members(),
            leaving_endpoints=sorted(self.leaving_endpoints),
        )

    def push_members(self) -> None:
        """Send the members to the subscribers and poll what is owned here."""
        view = self.member_view()
        for link in self.subscribers:
            link.send(view)
        self.watch_owned()

    def members_changed(self) -> None:
        """Follow a change of membership; fetch what a peer has newer."""
        self.push_members()
        newest = max(self.membership.alive(), key=lambda member: member.revision)
        if newest.revision > self.state.revision:
            self.program.background.start(self.fetch_from(newest), "config-fetch")

    def watch_owned(self) -> None:
        """Poll the endpoints of the pools that this host's scheduler owns."""
        members = self.membership.members()
        owned: list[Endpoint] = []
        for pool in self.state.pools.values():
            found = owner(pool.name, pool.region, members)
            if found is not None and found.name == self.membership.me.name:
                owned.extend(self.state.endpoints[name] for name in pool.endpoints)
        self.poller.watch(owned)

    def config_changed(self) -> None:
        """Send the revision in force to subscribers and peers."""
        self.membership.me.revision = self.state.revision
        for link, revision in self.subscribers.items():
            self.push_config(link, revision)
        self.membership.send_all()
        self.watch_owned()

    def push_config(self, link: Link, revision: int) -> None:
        """Bring one subscriber from a revision to the one in force."""
        if revision < self.state.revision:
            link.send(self.state.update_since(revision, set()))
            self.subscribers[link] = self.state.revision

    def subscribe(self, link: Link, body: Subscribe) -> Ack:
        """Send views to a link from now on."""
        self.subscribers[link] = body.revision
        self.local.opened(link)
        link.send(self.member_view())
        self.push_config(link, body.revision)
        return Ack(revision=self.state.revision)

    def link_closed(self, link: Link) -> None:
        """Forget a subscriber."""
        self.subscribers.pop(link, None)
        self.local.closed(link)

    def to_scheduler(self, body: object) -> None:
        """Send a message to this host's scheduler."""
        link = self.local.links.get("scheduler")
        if link is not None:
            link.send(body)

    def config_fetch(self, link: Link, body: ConfigFetch) -> ConfigUpdate:
        """Return the newest configuration, less the parts the peer holds."""
        return self.state.update_since(body.revision, set(body.parts))

    async def fetch_from(self, member: Member) -> None:
        """Take the newest configuration from a peer."""
        client = LinkClient(
            address=member.address,
            port=member.controller_port,
            identity=self.program.identity,
            inner=self.program.settings.inner,
            clock=self.program.clock,
        )
        link = await client.open()
        if isinstance(link, Failure):
            return
        self.program.background.start(link.serve({}), "config-link")
        held = list(self.state.bodies)
        update = await link.call(ConfigFetch(revision=self.state.revision, parts=held))
        link.close()
        if isinstance(update, ConfigUpdate):
            self.sync.accept(update, source=member.name)

    def config_announced(self, link: Link, body: ConfigAnnounce) -> Ack:
        """Fetch a revision that a peer announces."""
        for member in self.membership.members():
            if member.name == body.node and body.revision > self.state.revision:
                self.program.background.start(self.fetch_from(member), "config-fetch")
        return Ack(revision=self.state.revision)

    def stats(self, link: Link, body: StatsRequest) -> Stats:
        """Return metrics, events or state as text."""
        return Stats(text=self.program.stats(body.kind))

    def drain(self, link: Link, body: Drain) -> Ack:
        """Start or end the draining of this host."""
        self.membership.set_own_state(LEAVING if body.on else ALIVE)
        return Ack(revision=self.state.revision)

    async def cancel_generation(self, link: Link, body: CancelGeneration):
        """Cancel a generation at its endpoint and confirm it."""
        endpoint = self.state.endpoints.get(body.endpoint)
        if endpoint is None:
            return Ack()
        confirmed = await self.engine.cancel(endpoint.url, body.generation)
        if isinstance(confirmed, Failure):
            return confirmed
        self.program.events.emit(
            Event.GENERATION_CANCELLED,
            generation=body.generation,
            endpoint=body.endpoint,
        )
        return Ack()


async def serve(program: Program) -> Failure | None:
    """Run the controller."""
    controller = Controller(program=program)
    try:
        return await controller.run()
    finally:
        await controller.close()


def main() -> None:
    """Start the program from the command line."""
    start("controller", serve)


if __name__ == "__main__":
    main()
