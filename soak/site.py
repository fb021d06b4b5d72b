"""The site of a soak run: store, endpoints, gateways and the proxies between them."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time
from typing import Any

import attrs

from fakes.callers import send_request
from fakes.ports import free_port
from fakes.proxy import Proxy
from fakes.site import SiteEndpoint, SiteStore
from fakes.siteconfig import (
    API_KEY,
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    configuration,
    route,
)
from soak.process import LISTENERS, GatewayProcess

KEY_REVOCATION_S = 5.0
READY_TIMEOUT_S = 12.0
READY_POLL_S = 0.05
EVENTS_PER_STREAM = 60
EVENT_INTERVAL_S = 0.02
SECOND_KEY = "key-of-buyers"
NEW_ROUTE = "/new/"
GATEWAY_OPTIONS: dict[str, Any] = {"revoke_ms": KEY_REVOCATION_S * 1000}
# Seeds from this one on have evacuations, which all gateways must obey in this time.
FIRST_SEED_OF_EVACUATIONS = 6000
EVACUATE_S = 3.0
EVACUATION_KIND = "evacuations"
# Seeds from this one on have endpoints that return cold, two failure domains or more,
# and services whose cold endpoints take so many requests a second from all gateways.
# A warm endpoint gets several times as many.
FIRST_SEED_OF_COLD_RETURNS = 7000
COLD_PER_S = {PLAIN_SERVICE: 6.0, ENGINE_SERVICE: 1.0}
COLD_S = 3.0
MIN_DOMAINS_OF_COLD_RETURNS = 2


@attrs.define(kw_only=True)
class Span:
    """Something named that began and ended, in monotonic seconds."""

    name: str
    began_at: float
    ended_at: float = float("inf")


class SoakSite:
    """All processes and stand-ins of one run, and the operator's configuration.

    ``revoked_at`` maps a revoked API key to the time after the store accepted the
    change; ``left_at`` maps an endpoint to the time when it crashed or announced that
    it leaves.  ``faults`` are those that were played, ``evacuations`` the failure
    domains that were closed.  Times are monotonic seconds.
    """

    def __init__(
        self, *, seed: int, folder: pathlib.Path, host_count: int, domain_count: int
    ):
        self.rng = random.Random(seed)
        self.folder = folder
        self.host_count = host_count
        self.returns_cold = seed >= FIRST_SEED_OF_COLD_RETURNS
        self.domain_count = (
            max(domain_count, MIN_DOMAINS_OF_COLD_RETURNS)
            if self.returns_cold
            else domain_count
        )
        self.store = SiteStore()
        self.endpoints: dict[str, SiteEndpoint] = {}
        self.endpoint_proxies: dict[str, Proxy] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 0
        self.keys = [API_KEY, SECOND_KEY]
        self.routes: list[dict] = []
        self.revoked_at: dict[str, float] = {}
        self.left_at: dict[str, float] = {}
        self.crashed: set[str] = set()
        self.newest_document: dict | None = None
        self.store_undisturbed_since = time.monotonic()
        self.endpoint_count = 0
        self.software_version = 1
        self.evacuates = seed >= FIRST_SEED_OF_EVACUATIONS
        self.faults: list[Span] = []
        self.evacuations: list[Span] = []

    async def start(self) -> None:
        """Start store, endpoints and gateways; wait until the gateways are ready."""
        await self.store.start()
        for _ in range(3):
            await self.add_endpoint(PLAIN_SERVICE)
        for _ in range(3):
            await self.add_endpoint(ENGINE_SERVICE)
        self.write_configuration()
        for number in range(self.host_count):
            await self.add_gateway(number)
        await asyncio.gather(
            *(self.wait_until_ready(gateway) for gateway in self.gateways)
        )

    async def add_gateway(self, number: int) -> None:
        """Start a gateway with a proxy to the store and one from its callers."""
        proxy = Proxy(target=self.store.address)
        await proxy.start()
        gateway = GatewayProcess(
            name=f"h{number}",
            failure_domain=f"z{number % self.domain_count}",
            ports={listener: free_port() for listener in LISTENERS},
            store_proxy=proxy,
            folder=self.folder,
            options=self.gateway_options(),
        )
        await gateway.caller_proxy.start()
        self.gateways.append(gateway)
        await gateway.start()

    def gateway_options(self) -> dict[str, Any]:
        """Return the settings of all gateways."""
        if not self.evacuates:
            return GATEWAY_OPTIONS
        return {**GATEWAY_OPTIONS, "evacuate_ms": EVACUATE_S * 1000}

    def close_domain(self, domain: str) -> Span:
        """Evacuate a failure domain."""
        self.store.write(EVACUATION_KIND, domain, {})
        evacuation = Span(name=domain, began_at=time.monotonic())
        self.evacuations.append(evacuation)
        return evacuation

    def open_domain(self, evacuation: Span) -> None:
        """End an evacuation."""
        evacuation.ended_at = time.monotonic()
        self.store.remove(EVACUATION_KIND, evacuation.name)

    def is_closed(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return any(
            each.name == domain and each.ended_at == float("inf")
            for each in self.evacuations
        )

    async def add_endpoint(
        self, service: str, *, failure_domain: str = "", cold_s: float = 0.0
    ) -> str:
        """Start an endpoint behind a proxy, write its entry and return its name.

        It is cold for ``cold_s``, in the next failure domain if none is given.
        """
        self.endpoint_count += 1
        name = f"{'e' if service == ENGINE_SERVICE else 'w'}{self.endpoint_count}"
        events = EVENTS_PER_STREAM if service == ENGINE_SERVICE else 0
        version = f"v{self.software_version}"
        endpoint = SiteEndpoint(
            name=name, service=service, events=events, version=version
        )
        endpoint.event_interval_s = EVENT_INTERVAL_S
        if self.evacuates:
            next_domain = f"z{self.endpoint_count % self.domain_count}"
            endpoint.failure_domain = failure_domain or next_domain
        await endpoint.start()
        proxy = Proxy(target=endpoint.address)
        await proxy.start()
        endpoint.advertised_address = proxy.address
        self.endpoints[name], self.endpoint_proxies[name] = endpoint, proxy
        peers = {peer.advertised_address: peer for peer in self.endpoints.values()}
        for peer in self.endpoints.values():
            peer.peers = peers
        if cold_s:
            endpoint.cold_until = time.monotonic() + cold_s
        self.store.write("servers", name, endpoint.entry())
        return name

    def serving(self, service: str) -> list[str]:
        """Return the names of a service's endpoints that neither left nor crashed."""
        return [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.service == service and name not in self.left_at
        ]

    def serving_in(self, domain: str) -> dict[str, str]:
        """Return the services of a failure domain's serving endpoints, by name."""
        return {
            name: endpoint.service
            for name, endpoint in self.endpoints.items()
            if endpoint.failure_domain == domain and name not in self.left_at
        }

    def announce_leaving(self, name: str) -> None:
        """Write the termination notice of an endpoint into its entry."""
        self.endpoints[name].leaving = True
        entry = self.endpoints[name].entry(state="draining")
        self.store.write("servers", name, entry)
        self.left_at[name] = time.monotonic()

    async def crash(self, name: str) -> None:
        """Stop an endpoint, reset its connections and remove its entry."""
        self.left_at[name] = time.monotonic()
        self.crashed.add(name)
        await self.endpoints[name].stop()
        self.endpoint_proxies[name].reset_connections()
        self.store.remove("servers", name)

    def write_configuration(self) -> None:
        """Write a new version of the configuration."""
        self.version += self.rng.randint(1, 4)
        document = configuration(self.version, tuple(self.keys))
        document["routes"] += self.routes
        if self.returns_cold:
            for service in document["services"]:
                service["coldPerS"] = COLD_PER_S[service["name"]]
        self.newest_document = document
        self.store.write("config", "main", document)

    def write_again(self) -> None:
        """Write what the operator and the endpoints lost by a return of the store.

        Entries of endpoints that are gone expire.
        """
        if self.newest_document is not None:
            self.store.write("config", "main", self.newest_document)
        for evacuation in self.evacuations:
            if self.is_closed(evacuation.name):
                self.store.write(EVACUATION_KIND, evacuation.name, {})
            else:
                self.store.remove(EVACUATION_KIND, evacuation.name)
        for name, endpoint in self.endpoints.items():
            if name in self.crashed:
                self.store.remove("servers", name)
                continue
            state = "draining" if endpoint.leaving else "ready"
            self.store.write("servers", name, endpoint.entry(state=state))

    def revoke_second_key(self) -> None:
        """Revoke the second API key, once."""
        if SECOND_KEY in self.keys:
            self.keys.remove(SECOND_KEY)
            self.write_configuration()
            self.revoked_at[SECOND_KEY] = time.monotonic()

    def add_route(self) -> None:
        """Write a version with a route that the first version does not have."""
        if not self.routes:
            self.routes.append(route("new", NEW_ROUTE, "safe", PLAIN_SERVICE))
        self.write_configuration()

    async def wait_until_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway reports that it is ready, or raise TimeoutError."""
        end = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready(gateway):
            if time.monotonic() > end:
                raise TimeoutError(f"{gateway.name} is not ready in time")
            await asyncio.sleep(READY_POLL_S)

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                address = gateway.addresses["ready"]
                reply = await send_request(
                    address, "GET", "/baobabturn/readyz", {}, b""
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200

    def record_store_disturbance(self) -> None:
        """Record a fault of the store at the current time."""
        self.store_undisturbed_since = time.monotonic()

    async def clear_faults(self) -> None:
        """Clear the faults of the store, the proxies and the endpoints."""
        self.store.failing_status, self.store.silent = 0, False
        self.store.reset_connections()
        for gateway in self.gateways:
            gateway.store_proxy.restore()
            gateway.caller_proxy.restore()
        for name, proxy in self.endpoint_proxies.items():
            proxy.restore()
            self.endpoints[name].response_script = None

    async def stop(self) -> None:
        """Stop all processes, proxies and stand-ins of the run."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                await gateway.kill()
            await gateway.caller_proxy.stop()
            await gateway.store_proxy.stop()
        for proxy in self.endpoint_proxies.values():
            await proxy.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        await self.store.stop()
