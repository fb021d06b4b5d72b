"""The controller program, which runs once on each host."""

from __future__ import annotations

import asyncio

from baobabturn.config.declared import Endpoint
from baobabturn.config.state import ConfigState
from baobabturn.controller.configgate import ConfigGate
from baobabturn.controller.configsync import ConfigSync
from baobabturn.controller.contact import Contact
from baobabturn.controller.hostlist import HostList
from baobabturn.controller.localprocesses import LocalProcesses
from baobabturn.controller.orders import OrderSender
from baobabturn.controller.orphans import OrphanSweep
from baobabturn.controller.partsweep import PartSweep
from baobabturn.controller.peers import call_peer
from baobabturn.controller.polling import Poller
from baobabturn.controller.views import ViewPublisher
from baobabturn.core.events import Event
from baobabturn.core.httpclient import unpooled_session
from baobabturn.core.program import Program, start
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.openaiengine import OpenAIEngine
from baobabturn.membership.heartbeat import Membership
from baobabturn.membership.owners import ALIVE, LEAVING, owner
from baobabturn.store.httpstore import HttpStore
from baobabturn.wire.link import Link
from baobabturn.wire.messages import (
    Ack,
    CancelGeneration,
    ConfigFetch,
    ConfigUpdate,
    Drain,
    Member,
    MemberSync,
    MemberView,
    Stats,
    StatsRequest,
    Subscribe,
)
from baobabturn.wire.server import LinkServer


class Controller:
    """Holds the host's control state and serves it to its entry and scheduler."""

    def __init__(self, *, program: Program):
        self.program = program
        settings = program.settings
        self.state = ConfigState(pool_size=settings.scheduler.pool_size)
        self.store = HttpStore(settings=settings.platform, events=program.events)
        self.session = unpooled_session()
        self.engine = OpenAIEngine(session=self.session)
        self.membership = Membership(
            program=program,
            on_change=self.members_changed,
            on_newer_revision=lambda member: self.sync.fetch_if_newer(member),
            exchange=self.exchange,
        )
        self.sync = ConfigSync(
            program=program,
            store=self.store,
            state=self.state,
            membership=self.membership,
            on_change=self.config_changed,
        )
        self.gate = ConfigGate(
            program=program,
            membership=self.membership,
            state=self.state,
            sync=self.sync,
            on_open=self.config_changed,
        )
        self.views = ViewPublisher(
            membership=self.membership,
            state=self.state,
            may_serve=lambda: self.gate.is_open,
            contact=Contact(membership=self.membership, store=self.store).last_contacts,
            on_significant=self.poll_owned,
        )
        self.host_list = HostList(
            program=program, store=self.store, membership=self.membership
        )
        self.part_sweep = PartSweep(
            program=program, store=self.store, membership=self.membership
        )
        self.poller = Poller(
            program=program, engine=self.engine, forward=self.send_to_scheduler
        )
        self.order_sender = OrderSender(
            program=program,
            store=self.store,
            engine=self.engine,
            state=self.state,
            members=self.membership.members,
        )
        self.local_processes = LocalProcesses(
            program=program, on_change=self.membership.set_process_down
        )
        self.orphan_sweep = OrphanSweep(
            program=program,
            engine=self.engine,
            endpoints=self.poller.endpoints,
            ask_scheduler=self.ask_scheduler,
        )
        self.server = LinkServer(
            identity=program.identity,
            inner=settings.inner,
            clock=program.clock,
            handlers={
                Subscribe: self.subscribe,
                ConfigFetch: self.config_fetch,
                MemberSync: self.member_sync,
                StatsRequest: self.stats,
                Drain: self.drain,
                CancelGeneration: self.cancel_generation,
            },
            closed=self.link_closed,
        )

    async def run(self) -> Failure | None:
        """Start all components, run until the signal to stop, then drain.

        Return why the controller couldn't start, else None.
        """
        program = self.program
        host, ports = program.settings.host, program.settings.ports
        port = await self.server.start(host.address, ports.controller)
        if isinstance(port, Failure):
            return port
        failed = await self.membership.start()
        if failed is not None:
            return failed
        self.local_processes.start()
        program.background.start(self.sync.watch(), "config-watch")
        program.background.start(self.orphan_sweep.run(), "orphans")
        program.background.start(self.host_list.poll(), "host-list")
        program.background.start(self.gate.open_when_current(), "config-gate")
        program.background.start(self.views.push_periodically(), "view-rounds")
        program.background.start(self.part_sweep.run(), "part-sweep")
        self.order_sender.start()
        metrics, messenger = program.metrics, self.membership.messenger
        metrics.gauge("platform_calls", lambda: self.store.calls)
        metrics.gauge("heartbeat_sent_bytes", lambda: messenger.sent_bytes)
        metrics.gauge("heartbeat_received_bytes", lambda: messenger.received_bytes)
        metrics.gauge("member_pushes", lambda: self.views.pushes)
        program.events.emit(Event.PROCESS_READY, port=port)
        await program.stopping.wait()
        program.events.emit(Event.PROCESS_DRAINING)
        await self.membership.leave()
        await self.order_sender.stop()
        await asyncio.sleep(program.settings.membership.interval_s)
        await self.local_processes.wait_until_idle()
        await self.server.stop()
        return None

    async def close(self) -> None:
        """Close the connections to the platform and the endpoints."""
        await self.store.close()
        await self.session.close()

    async def exchange(self, member: Member, body: object) -> object:
        """Return a peer's answer to a message, or why there is none."""
        return await call_peer(self.program, member, body)

    def members_changed(self) -> None:
        """Push changed members."""
        self.views.push_members()

    def poll_owned(self) -> None:
        """Poll the endpoints of the pools that this host's scheduler owns."""
        members = self.membership.members()
        owned: list[Endpoint] = []
        for pool in self.state.pools.values():
            pool_owner = owner(pool.name, pool.region, members)
            if pool_owner is not None and pool_owner.name == self.membership.me.name:
                owned.extend(self.state.endpoints[name] for name in pool.endpoints)
        self.poller.watch(owned)

    def config_changed(self) -> None:
        """Announce a new revision to peers, and push it to subscribers."""
        if self.membership.me.revision != self.state.revision:
            self.membership.set_revision(self.state.revision)
        self.views.push_all_config()
        self.poll_owned()

    def subscribe(self, link: Link, body: Subscribe) -> Ack:
        """Push members and configuration to a link from now on."""
        self.local_processes.link_opened(link)
        self.views.subscribe(link, body.revision)
        return Ack(revision=self.state.revision)

    def link_closed(self, link: Link) -> None:
        """Remove a subscriber whose link closed."""
        self.views.unsubscribe(link)
        self.local_processes.link_closed(link)

    def send_to_scheduler(self, body: object) -> None:
        """Send a message to this host's scheduler, if there is a link to it."""
        link = self.local_processes.links.get("scheduler")
        if link is not None:
            link.send(body)

    async def ask_scheduler(self, body: object) -> object:
        """Return the answer of this host's scheduler, or why there is none."""
        link = self.local_processes.links.get("scheduler")
        if link is None:
            return Failure(Code.LINK_LOST, "no link to this host's scheduler")
        return await link.call(body)

    def config_fetch(self, link: Link, body: ConfigFetch) -> ConfigUpdate:
        """Return the newest configuration, without the parts that the peer has."""
        return self.state.update_since(body.revision, set(body.parts))

    def member_sync(self, link: Link, body: MemberSync) -> MemberView:
        """Return a member view that answers a peer's sync."""
        return self.membership.syncer.answer(body)

    def stats(self, link: Link, body: StatsRequest) -> Stats:
        """Return metrics, events or state as text."""
        return Stats(text=self.program.stats(body.kind))

    def drain(self, link: Link, body: Drain) -> Ack:
        """Start or stop draining this host."""
        self.membership.set_own_state(LEAVING if body.on else ALIVE)
        return Ack(revision=self.state.revision)

    async def cancel_generation(self, link: Link, body: CancelGeneration):
        """Cancel a generation at its endpoint and confirm it.

        If the endpoint is no longer declared, there is nothing to cancel.
        """
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
    """Run the controller; return why it couldn't start, else None."""
    controller = Controller(program=program)
    try:
        return await controller.run()
    finally:
        await controller.close()


def main() -> None:
    """Run the program from the command line."""
    start("controller", serve)


if __name__ == "__main__":
    main()
