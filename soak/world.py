"""The site of a soak run: store, endpoints, gateways and the proxies between them."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import time
from typing import Any

from fakes.callers import ask
from fakes.proxy import Proxy
from fakes.site import SiteEndpoint, SiteStore
from fakes.siteconfig import ENGINE, KEY, PLAIN, configuration, route
from soak.process import LISTENERS, GatewayProcess

REVOKE_S = 5.0
PORT_BASE, SEEDS, PORTS_EACH = 10_000, 400, 50
READY_S = 12.0
POLL_S = 0.05
EVENTS = 60
EVENT_PAUSE_S = 0.02
SECOND_KEY = "key-of-buyers"
NEW_ROUTE = "/new/"
OPTIONS: dict[str, Any] = {"revoke_ms": REVOKE_S * 1000}


class World:
    """All processes and stand-ins of one run, and the operator's configuration.

    ``revoked`` maps a revoked API key to the time after the store accepted the
    change; ``left`` maps an endpoint to the time when it crashed or announced that
    it leaves.  Times are monotonic seconds.
    """

    def __init__(self, *, seed: int, folder: pathlib.Path, hosts: int, domains: int):
        self.random = random.Random(seed)
        self.folder = folder
        # Outside of the range from which the system takes ports of outgoing links.
        self.ports = itertools.count(PORT_BASE + seed % SEEDS * PORTS_EACH)
        self.hosts = hosts
        self.domains = domains
        self.store = SiteStore()
        self.endpoints: dict[str, SiteEndpoint] = {}
        self.links: dict[str, Proxy] = {}
        self.gateways: list[GatewayProcess] = []
        self.version = 0
        self.keys = [KEY, SECOND_KEY]
        self.routes: list[dict] = []
        self.revoked: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.store_calm_since = time.monotonic()
        self.numbers = 0

    async def start(self) -> None:
        """Start store, endpoints and gateways; wait until the gateways are ready."""
        await self.store.start()
        for _ in range(3):
            await self.add(PLAIN)
        for _ in range(3):
            await self.add(ENGINE)
        self.configure()
        for number in range(self.hosts):
            await self.add_gateway(number)
        await asyncio.gather(*(self.until_ready(each) for each in self.gateways))

    async def add_gateway(self, number: int) -> None:
        """Start a gateway with a proxy to the store and one from its callers."""
        link = Proxy(target=self.store.address)
        await link.start()
        gateway = GatewayProcess(
            name=f"h{number}",
            domain=f"z{number % self.domains}",
            ports={part: next(self.ports) for part in LISTENERS},
            store=link,
            folder=self.folder,
            options=OPTIONS,
        )
        await gateway.door.start()
        self.gateways.append(gateway)
        await gateway.start()

    async def add(self, service: str) -> str:
        """Start an endpoint behind a proxy, write its entry and return its name."""
        self.numbers += 1
        name = f"{'e' if service == ENGINE else 'w'}{self.numbers}"
        events = EVENTS if service == ENGINE else 0
        endpoint = SiteEndpoint(name=name, service=service, events=events)
        endpoint.pause_s = EVENT_PAUSE_S
        await endpoint.start()
        link = Proxy(target=endpoint.address)
        await link.start()
        endpoint.advertised = link.address
        self.endpoints[name], self.links[name] = endpoint, link
        engines = {each.advertised: each for each in self.endpoints.values()}
        for each in self.endpoints.values():
            each.others = engines
        self.store.write("servers", name, endpoint.entry())
        return name

    def serving(self, service: str) -> list[str]:
        """Return the names of a service's endpoints that neither left nor crashed."""
        return [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.service == service and name not in self.left
        ]

    def leave(self, name: str) -> None:
        """Write the termination notice of an endpoint into its entry."""
        self.endpoints[name].leaving = True
        entry = self.endpoints[name].entry(state="draining")
        self.store.write("servers", name, entry)
        self.left[name] = time.monotonic()

    async def crash(self, name: str) -> None:
        """Stop an endpoint, reset its connections and remove its entry."""
        self.left[name] = time.monotonic()
        await self.endpoints[name].stop()
        self.links[name].drop()
        self.store.remove("servers", name)

    def configure(self) -> None:
        """Write a new version of the configuration."""
        self.version += self.random.randint(1, 4)
        document = configuration(self.version, tuple(self.keys))
        document["routes"] += self.routes
        self.store.write("config", "main", document)

    def revoke(self) -> None:
        """Revoke the second API key, once."""
        if SECOND_KEY in self.keys:
            self.keys.remove(SECOND_KEY)
            self.configure()
            self.revoked[SECOND_KEY] = time.monotonic()

    def add_route(self) -> None:
        """Write a version with a route that the first version does not have."""
        if not self.routes:
            self.routes.append(route("new", NEW_ROUTE, "safe", PLAIN))
        self.configure()

    async def until_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway reports that it is ready, or raise TimeoutError."""
        end = time.monotonic() + READY_S
        while not await self.is_ready(gateway):
            if time.monotonic() > end:
                raise TimeoutError(f"{gateway.name} is not ready in time")
            await asyncio.sleep(POLL_S)

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                address = gateway.addresses["ready"]
                reply = await ask(address, "GET", "/baobabturn/readyz", {}, b"")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200

    def touch_store(self) -> None:
        """Record a fault of the store at the current time."""
        self.store_calm_since = time.monotonic()

    async def heal(self) -> None:
        """Clear the faults of the store, the proxies and the endpoints."""
        self.store.failing, self.store.silent = 0, False
        self.store.drop()
        for gateway in self.gateways:
            gateway.store.restore()
            gateway.door.restore()
        for name, link in self.links.items():
            link.restore()
            self.endpoints[name].script = None

    async def stop(self) -> None:
        """Stop all processes, proxies and stand-ins of the run."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                await gateway.kill()
            await gateway.door.stop()
            await gateway.store.stop()
        for link in self.links.values():
            await link.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        await self.store.stop()
