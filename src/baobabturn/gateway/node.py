"""The state that all parts of one gateway share, and its background tasks."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.lag import LagWatch
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.budget import FleetBudget
from baobabturn.gateway.call import Headers
from baobabturn.gateway.dialect import Dialect, Documents, GatewayRecord, Mover
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.exchange import Exchange
from baobabturn.gateway.httpheaders import CONNECTION_CLOSE
from baobabturn.gateway.mirror import Mirror, StoreContact
from baobabturn.gateway.moves import Evacuation
from baobabturn.gateway.peers import Peers, address_of
from baobabturn.gateway.plain import PlainCaller
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.registry import Registry
from baobabturn.gateway.reportpoller import ReportPoller
from baobabturn.gateway.routes import RouteTable
from baobabturn.gateway.staleness import ConfigStaleness
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.gateway.streaming import Streams
from baobabturn.gateway.transport import Transport
from baobabturn.settings.model import Gateway
from baobabturn.store.interface import Change, ObjectStore

MS = 1000
KEYS_CHECK_INTERVAL_S = 0.25


class GatewayNode:
    """One gateway: its configuration, endpoints, peers and callers' requests.

    ``stopping_since`` is in monotonic seconds, 0 while the gateway isn't stopping.
    """

    def __init__(
        self,
        *,
        program: Program,
        dialect: Dialect,
        documents: Documents,
        mover: Mover,
        store: ObjectStore,
        transport: Transport,
    ):
        settings = program.settings.gateway
        self.program = program
        self.documents = documents
        self.table: RouteTable | None = None
        self.open_requests = 0
        self.stopping_since = 0.0
        self.keys_accepted = False
        self.config_staleness = ConfigStaleness(revoke_s=settings.revoke_ms / MS)
        self.contact = StoreContact(events=program.events)
        self.endpoints = Endpoints(
            documents=documents,
            events=program.events,
            contact=self.contact,
            lapse_grace_s=settings.lapse_grace_s,
        )
        self.pools = EnginePools(program=program, endpoints=self.endpoints)
        self.endpoints.change_listeners.append(self.pools.refresh)
        record = GatewayRecord(
            name=program.settings.host.name,
            peers=settings.peers,
            callers=settings.callers,
            failure_domain=program.settings.host.failure_domain,
        )
        self.peers = Peers(
            program=program,
            record=record,
            places=self.pools,
            serving=self.serving,
            contact_s=self.contact.age_s,
        )
        self.pools.local_first = self.peers.is_large
        self.pools.took = self.peers.took
        self.pools.gave_back = self.peers.gave_back
        self.registry = Registry(
            store=store,
            documents=documents,
            record=record,
            peers=self.peers,
            events=program.events,
        )
        self.budget = FleetBudget(
            ratio=settings.retry_ratio,
            window_s=settings.retry_window_s,
            slack=settings.retry_slack,
            gateways=self.peers.count,
        )
        exchange = Exchange(transport=transport, dialect=dialect)
        self.plain = PlainCaller(
            program=program,
            endpoints=self.endpoints,
            exchange=exchange,
            budget=self.budget,
        )
        self.streams = Streams(
            program=program,
            pools=self.pools,
            endpoints=self.endpoints,
            exchange=exchange,
            budget=self.budget,
            connection_headers=self.connection_headers,
        )
        self.evacuation = Evacuation(
            program=program,
            endpoints=self.endpoints,
            pools=self.pools,
            streams=self.streams,
            mover=mover,
        )
        self.report_poller = ReportPoller(
            program=program,
            store_silence_s=self.peers.store_silent_s,
            endpoints=self.endpoints,
            pools=self.pools,
            mover=mover,
        )
        self.mirrors = [
            Mirror(
                store=store,
                contact=self.contact,
                kind=documents.config_kind,
                wait_s=settings.config_watch_s,
                on_list=self.apply_config_list,
                on_change=self.apply_config,
                on_confirm=self.config_staleness.confirm,
            ),
            Mirror(
                store=store,
                contact=self.contact,
                kind=documents.endpoint_kind,
                wait_s=settings.endpoint_watch_s,
                on_list=self.endpoints.apply_list,
                on_change=self.endpoints.apply_change,
            ),
        ]

        self.store_updates = StoreUpdates(
            peers=self.peers, contact=self.contact, mirrors=self.mirrors
        )

    async def start(self) -> None:
        """Open the socket for peers and start the background tasks."""
        background = self.program.background
        address = address_of(self.program.settings.gateway.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.peers, local_addr=address)
        for mirror in self.mirrors:
            background.start(mirror.run(), f"mirror-{mirror.kind}")
        background.start(self.store_updates.run(), "store-updates")
        background.start(self.registry.run(), "registry")
        background.start(self.peers.beat(), "heartbeat")
        background.start(self.pools.judge(), "stragglers")
        background.start(self.report_poller.run(), "reports")
        background.start(self.log_key_acceptance(), "keys")
        background.start(LagWatch(program=self.program).run(), "lag")

    def apply_config_list(self, changes: tuple[Change, ...]) -> None:
        """Apply the configuration from the list of all objects of its kind."""
        for change in changes:
            self.apply_config(change)

    def apply_config(self, change: Change) -> None:
        """Apply a configuration if it is valid and newer than the one in force."""
        if change.name != self.documents.config_name or change.value is None:
            return
        table: Any = self.documents.table(change.value)
        if isinstance(table, Failure):
            self.program.events.emit(
                Event.ENTRY_UNREADABLE, endpoint=change.name, reason=table.reason
            )
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.pools.follow(table)
        self.program.events.emit(
            Event.CONFIG_IN_FORCE, revision=table.version, routes=len(table.routes)
        )

    async def log_key_acceptance(self) -> None:
        """Log when keys begin and cease to be accepted."""
        while True:
            await asyncio.sleep(KEYS_CHECK_INTERVAL_S)
            accepted = self.config_staleness.allows_keys()
            if accepted != self.keys_accepted:
                self.keys_accepted = accepted
                event = Event.KEYS_CONFIRMED if accepted else Event.KEYS_UNCONFIRMED
                self.program.events.emit(
                    event, age_s=f"{self.config_staleness.age_s():.1f}"
                )

    def serving(self) -> bool:
        """Return whether this gateway can serve callers."""
        return (
            not self.stopping_since
            and self.table is not None
            and self.endpoints.list_received
            and self.config_staleness.allows_keys()
        )

    def apply_settings(self, settings: Gateway) -> None:
        """Apply new settings to the objects that copied them at the start."""
        self.config_staleness.set_limit(settings.revoke_ms / MS)
        self.budget.ratio = settings.retry_ratio
        self.budget.slack = settings.retry_slack
        self.budget.set_window(settings.retry_window_s)
        self.peers.settings = settings

    def stop(self) -> None:
        """Begin to stop, and notify the other gateways at once."""
        self.stopping_since = time.monotonic()
        self.peers.tell_all()

    def connection_headers(self) -> Headers:
        """Return the headers for a caller's connection: close while stopping."""
        return [CONNECTION_CLOSE] if self.stopping_since else []

    def addresses(self) -> list[str]:
        """Return the addresses that callers should use, in random order.

        If no gateway is known to be serving, return all known gateways.
        """
        peers = self.peers.alive()
        addresses = [peer.callers for peer in peers if peer.serving and peer.callers]
        if self.serving():
            addresses.append(self.program.settings.gateway.callers)
        if not addresses:
            addresses = [p.callers for p in self.peers.peers.values() if p.callers]
        if not addresses:
            addresses = [self.program.settings.gateway.callers]
        random.shuffle(addresses)
        return addresses
