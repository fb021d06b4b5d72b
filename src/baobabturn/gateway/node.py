"""The state that all parts of one gateway share, and its background tasks."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import Iterator

from baobabturn.core.events import Event
from baobabturn.core.lag import LagWatch
from baobabturn.core.program import Program
from baobabturn.entry.bodies import BodyMemory
from baobabturn.gateway.bodyroom import BodyRoom
from baobabturn.gateway.budget import FleetRetryBudget
from baobabturn.gateway.catchup import CatchUp
from baobabturn.gateway.configinforce import ConfigInForce
from baobabturn.gateway.crashwatch import CrashWatch
from baobabturn.gateway.directory import Directory
from baobabturn.gateway.domainloads import DomainLoads
from baobabturn.gateway.endpointclient import EndpointClient
from baobabturn.gateway.endpointconditions import EndpointConditions
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.evacuations import EvacuationWatch
from baobabturn.gateway.homeregions import HomeRegions
from baobabturn.gateway.httpheaders import CONNECTION_CLOSE
from baobabturn.gateway.incarnations import IncarnationCheck
from baobabturn.gateway.limitnews import LimitExchange
from baobabturn.gateway.migration import Migrator
from baobabturn.gateway.mirror import Mirror, StoreContact
from baobabturn.gateway.partnews import PartNewsExchange
from baobabturn.gateway.pathopinions import PathOpinions
from baobabturn.gateway.paths import Paths
from baobabturn.gateway.peer import NEVER, parse_address
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.plain import PlainForwarder
from baobabturn.gateway.platforminterface import (
    CacheCopier,
    GatewayRecord,
    HeaderTranslator,
    ObjectCodec,
)
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.quarantinestore import QuarantineStore
from baobabturn.gateway.registry import Registry
from baobabturn.gateway.relay import PeerRelay
from baobabturn.gateway.reportpoller import ReportPoller
from baobabturn.gateway.request import Headers
from baobabturn.gateway.responseend import ResponseEndCheck
from baobabturn.gateway.resumption import ResumedStreams
from baobabturn.gateway.routes import RouteTable
from baobabturn.gateway.slotroom import SlotRoom
from baobabturn.gateway.staleness import ConfigStaleness
from baobabturn.gateway.storereturn import StoreReturn
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.gateway.streaming import Streams
from baobabturn.gateway.streamparts import StreamParts
from baobabturn.gateway.transport import Transport
from baobabturn.gateway.unreadresponses import UnreadResponses
from baobabturn.gateway.versionrecords import VersionRecorder
from baobabturn.gateway.watchers import Watchers
from baobabturn.quarantine.ledger import CrashLedger
from baobabturn.settings.model import Gateway
from baobabturn.store.interface import ObjectStore

MS_PER_S = 1000
KEYS_CHECK_INTERVAL_S = 0.5


class GatewayNode:
    """One gateway: its configuration, endpoints, peers and callers' requests.

    Times are monotonic seconds.  ``stopping_since`` is 0 while the gateway isn't
    stopping; ``last_request_at`` is when a caller's request last began or ended.
    """

    def __init__(
        self,
        *,
        program: Program,
        header_translator: HeaderTranslator,
        object_codec: ObjectCodec,
        cache_copier: CacheCopier,
        store: ObjectStore,
        transport: Transport,
    ):
        settings = program.settings.gateway
        self.program = program
        self.object_codec = object_codec
        self.open_requests = 0
        self.last_request_at = NEVER
        self.stopping_since = 0.0
        self.keys_accepted = False
        self.config_staleness = ConfigStaleness(revoke_s=settings.revoke_ms / MS_PER_S)
        self.contact = StoreContact(events=program.events)
        self.endpoints = Endpoints(
            object_codec=object_codec,
            events=program.events,
            contact=self.contact,
            lapse_grace_s=settings.lapse_grace_s,
        )
        self.home_regions = HomeRegions(program=program)
        regions = self.home_regions.regions
        self.pools = EnginePools(
            program=program, endpoints=self.endpoints, regions=regions
        )
        self.config = ConfigInForce(
            object_codec=object_codec,
            events=program.events,
            on_table=self.apply_table,
        )
        self.endpoints.change_listeners.append(self.pools.schedule_refresh)
        self.endpoints.leaving_listeners.append(self.pools.mark_leaving)
        record = GatewayRecord(
            name=program.settings.host.name,
            peers=settings.peers,
            callers=settings.callers,
            failure_domain=program.settings.host.failure_domain,
            relay=settings.relay,
        )
        self.peers = Peers(
            program=program,
            record=record,
            reservations=self.pools,
            serving=self.serving,
        )
        self.watchers = Watchers(table=self.peers.table)
        self.catch_up = CatchUp(
            peers=self.peers,
            watchers=self.watchers,
            contact=self.contact,
            config=self.config,
            endpoints=self.endpoints,
            events=program.events,
            on_confirm=self.config_staleness.confirm,
        )
        self.domain_loads = DomainLoads(
            program=program,
            peers=self.peers,
            pools=self.pools,
            watchers=self.watchers,
        )
        self.directory = Directory(
            peers=self.peers,
            domain_loads=self.domain_loads,
            regions=regions,
            table=lambda: self.table,
        )
        self.pools.prefer_own_domain = self.peers.table.is_large_fleet
        self.pools.on_reserved = self.peers.publish_reservation
        self.pools.on_released = self.peers.publish_release
        self.registry = Registry(
            store=store,
            object_codec=object_codec,
            record=record,
            peers=self.peers,
            events=program.events,
        )
        self.budget = FleetRetryBudget(
            ratio=settings.retry_ratio,
            window_s=settings.retry_window_s,
            slack=settings.retry_slack,
            gateway_count=self.peers.gateway_count,
        )
        self.body_memory = BodyMemory(
            limit_bytes=settings.body_memory_bytes,
            wait_s=program.settings.entry.body_wait_s,
        )
        self.unread = UnreadResponses(is_short=self.body_memory.is_short)
        body_room = BodyRoom()
        opinions = PathOpinions(
            program=program, peers=self.peers, endpoints=self.endpoints
        )
        incarnations = IncarnationCheck(
            cache_copier=cache_copier, events=program.events
        )
        self.crash_watch = self.make_crash_watch(store, opinions)
        self.rate_limits = LimitExchange(
            program=program,
            peers=self.peers,
            far_loads=self.domain_loads.far_loads,
            endpoints=self.endpoints,
        )
        self.pools.rate_limits = self.rate_limits
        self.domain_loads.tick_listeners.append(self.rate_limits.exchange_demand)
        self.domain_loads.load_listeners.append(self.rate_limits.handle_domain_load)
        self.domain_loads.limits = self.rate_limits.domain_limits
        self.paths = Paths(endpoints=self.endpoints, events=program.events)
        self.peers.unreachable = lambda: self.paths.unreachable
        self.paths.change_listeners.append(self.handle_paths_changed)
        self.relay = PeerRelay(
            program=program,
            peers=self.peers,
            transport=transport,
            header_translator=header_translator,
            connection_headers=self.connection_headers,
            regions=regions,
        )
        conditions = EndpointConditions(
            endpoints=self.endpoints, rate_limits=self.rate_limits
        )
        cache_copier.conditions = conditions
        evacuate_s = settings.evacuate_ms / MS_PER_S
        self.evacuation_watch = (
            EvacuationWatch(
                program=program,
                endpoints=self.endpoints,
                pools=self.pools,
                evacuate_s=evacuate_s,
            )
            if evacuate_s
            else None
        )
        endpoint_client = EndpointClient(
            transport=transport,
            header_translator=header_translator,
            body_memory=self.body_memory,
            crash_watch=self.crash_watch,
            rate_limits=self.rate_limits,
            paths=self.paths,
            conditions=conditions,
            end_check=ResponseEndCheck(opinions=opinions, incarnations=incarnations),
            evacuation_watch=self.evacuation_watch,
            body_room=body_room,
        )
        self.plain = PlainForwarder(
            program=program,
            endpoints=self.endpoints,
            endpoint_client=endpoint_client,
            budget=self.budget,
            crash_watch=self.crash_watch,
            rate_limits=self.rate_limits,
            paths=self.paths,
            slot_room=SlotRoom(
                endpoints=self.endpoints,
                brittle=self.rate_limits.brittle,
                table=self.peers.table,
            ),
            body_room=body_room,
            regions=regions,
        )
        self.version_recorder = VersionRecorder(
            store=store,
            object_codec=object_codec,
            endpoints=self.endpoints,
            pools=self.pools,
            watchers=self.watchers,
        )
        self.streams = Streams(
            parts=StreamParts(
                program=program,
                pools=self.pools,
                endpoints=self.endpoints,
                endpoint_client=endpoint_client,
                budget=self.budget,
                crash_watch=self.crash_watch,
                resumed_streams=ResumedStreams(
                    origins=self.pools.origins,
                    recorder=self.version_recorder,
                    contact=self.contact,
                ),
                incarnations=incarnations,
                paths=self.paths,
                table=lambda: self.table,
                connection_headers=self.connection_headers,
            )
        )
        self.migrator = Migrator(
            program=program,
            endpoints=self.endpoints,
            pools=self.pools,
            streams=self.streams,
            cache_copier=cache_copier,
            conditions=conditions,
        )
        self.report_poller = ReportPoller(
            program=program,
            staleness_s=lambda: self.store_updates.staleness_s(),
            endpoints=self.endpoints,
            pools=self.pools,
            cache_copier=cache_copier,
        )
        self.mirrors = [
            Mirror(
                store=store,
                contact=self.contact,
                kind=object_codec.config_kind,
                wait_s=settings.config_watch_s,
                on_list=self.config.apply_list,
                on_change=self.config.apply,
                on_confirm=self.catch_up.confirm,
            ),
            Mirror(
                store=store,
                contact=self.contact,
                kind=object_codec.endpoint_kind,
                wait_s=settings.endpoint_watch_s,
                on_list=self.endpoints.apply_list,
                on_change=self.endpoints.apply_change,
            ),
        ]

        evacuation_mirror = self.make_evacuation_mirror(store)
        self.store_updates = StoreUpdates(
            peers=self.peers,
            watchers=self.watchers,
            contact=self.contact,
            mirrors=self.mirrors,
            own_mirrors=evacuation_mirror,
        )
        self.mirrors += evacuation_mirror
        if self.evacuation_watch is not None:
            self.evacuation_watch.ask = self.store_updates.ask_watchers
            self.evacuation_watch.confirmed_since = functools.partial(
                self.store_updates.is_confirmed_since, object_codec.evacuation_kind
            )
        self.store_return = StoreReturn(
            background=program.background,
            contact=self.contact,
            registry=self.registry,
            quarantine_store=self.quarantine_store,
            version_recorder=self.version_recorder,
            watchers=self.watchers,
        )

    def make_evacuation_mirror(self, store: ObjectStore) -> list[Mirror]:
        """Return the mirror of the evacuations, none where they aren't enabled.

        Calls to the store cost money, so it is watched for longer than other kinds.
        """
        watch = self.evacuation_watch
        if watch is None:
            return []
        mirror = Mirror(
            store=store,
            contact=self.contact,
            kind=self.object_codec.evacuation_kind,
            wait_s=watch.watch_wait_s,
            on_list=watch.apply_list,
            on_change=watch.apply_change,
            confirms_at_once=True,
        )
        watch.era = lambda: mirror.last_change_version.era
        return [mirror]

    def make_crash_watch(
        self, store: ObjectStore, opinions: PathOpinions
    ) -> CrashWatch:
        """Return the watch for prompts that crash engines, and what it needs."""
        ledger = CrashLedger()
        exchange = PartNewsExchange(
            peers=self.peers, watchers=self.watchers, ledger=ledger
        )
        self.domain_loads.send_listeners.append(exchange.send_active_parts)
        self.quarantine_store = QuarantineStore(
            program=self.program,
            store=store,
            object_codec=self.object_codec,
            ledger=ledger,
        )
        return CrashWatch(
            program=self.program,
            ledger=ledger,
            exchange=exchange,
            store=self.quarantine_store,
            opinions=opinions,
        )

    async def start(self) -> None:
        """Open the socket for peers and start the background tasks."""
        background = self.program.background
        address = parse_address(self.program.settings.gateway.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.peers, local_addr=address)
        for mirror in self.mirrors:
            background.supervise(mirror.run, f"mirror-{mirror.kind}")
        background.supervise(self.catch_up.run, "catch-up")
        background.supervise(self.store_updates.run, "store-updates")
        background.supervise(self.registry.run, "registry")
        background.supervise(self.quarantine_store.run, "quarantine-store")
        background.supervise(self.version_recorder.run, "version-recorder")
        background.supervise(self.paths.run, "paths")
        background.supervise(self.peers.run_heartbeats, "heartbeat")
        background.supervise(self.domain_loads.run, "domain-loads")
        background.supervise(self.pools.detect_stragglers, "stragglers")
        background.supervise(self.report_poller.run, "reports")
        if self.evacuation_watch is not None:
            background.supervise(self.evacuation_watch.run, "evacuations")
        background.supervise(self.log_key_acceptance, "keys")
        background.supervise(LagWatch(program=self.program).run, "lag")

    @property
    def table(self) -> RouteTable | None:
        """Return the configuration in force, None until it is known to be the newest.

        The store alone may hold an older one than the other gateways.  Nothing is
        served either before the evacuations are known.
        """
        is_known = self.catch_up.has_settled and self.knows_evacuations()
        return self.config.table if is_known else None

    def knows_evacuations(self) -> bool:
        """Return whether the list of evacuations was read, where they are enabled."""
        return self.evacuation_watch is None or self.evacuation_watch.list_received

    def apply_table(self, table: RouteTable) -> None:
        """Apply a configuration that is in force from now on."""
        self.rate_limits.cold.set_services(table.services.values())
        self.pools.apply_table(table)
        self.home_regions.log_unusable(table)

    async def log_key_acceptance(self) -> None:
        """Log when keys begin and cease to be accepted; check the store's version."""
        while True:
            await asyncio.sleep(KEYS_CHECK_INTERVAL_S)
            self.config.check_behind()
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
            and self.quarantine_store.first_read_ended
            and self.config_staleness.allows_keys()
        )

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a caller's request as open for as long as it is handled."""
        self.open_requests += 1
        self.last_request_at = time.monotonic()
        try:
            yield
        finally:
            self.open_requests -= 1
            self.last_request_at = time.monotonic()

    def handle_paths_changed(self) -> None:
        """Tell the other gateways at once what this one can't reach.

        Requests that wait here for such a service are sent through another gateway.
        """
        self.peers.send_state_to_near()
        for service in self.paths.unreachable:
            self.pools.refuse_waiting(service)

    def apply_settings(self, settings: Gateway) -> None:
        """Apply new settings to the objects that copied them at the start."""
        self.config_staleness.set_limit(settings.revoke_ms / MS_PER_S)
        self.budget.ratio = settings.retry_ratio
        self.budget.slack = settings.retry_slack
        self.budget.set_window(settings.retry_window_s)
        self.peers.table.settings = settings

    def stop(self) -> None:
        """Begin to stop, and notify the other gateways at once."""
        self.stopping_since = time.monotonic()
        self.peers.send_state_to_near()

    def close(self) -> None:
        """Close the socket for peers."""
        if self.peers.transport is not None:
            self.peers.transport.close()

    def connection_headers(self) -> Headers:
        """Return the headers for a caller's connection: close while stopping."""
        return [CONNECTION_CLOSE] if self.stopping_since else []
