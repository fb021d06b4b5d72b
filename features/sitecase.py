"""A small site on loopback: the store, its endpoints and gateways, in one process."""

from __future__ import annotations

import asyncio
import contextvars
import json
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.main import serve
from baobabturn.settings.load import Loaded, load
from fakes.callers import Reply, request_headers, send_request
from fakes.ports import free_port
from fakes.proxy import Proxy
from fakes.site import SiteEndpoint, SiteStore
from fakes.siteconfig import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SITE_HOST_NAME,
    configuration,
)

WAIT_S = 8.0
POLL_S = 0.02
# The name of the gateway whose task runs, for steps that tell them apart.
CURRENT_GATEWAY: contextvars.ContextVar[str] = contextvars.ContextVar(
    "gateway", default=""
)


class Gateway:
    """One gateway in this process."""

    def __init__(
        self,
        *,
        name: str,
        platform: str,
        options: dict[str, Any],
        domain: str = "z1",
        settings_path: str = "",
        regions: dict[str, str] | None = None,
    ):
        ports = {
            part: f"127.0.0.1:{free_port()}"
            for part in ("callers", "ready", "directory", "metrics", "peers", "relay")
        }
        self.name = name
        self.addresses = ports
        flags = [f'host.name="{name}"', f'host.failure_domain="{domain}"']
        flags.append(f"host.regions={json.dumps(regions or {})}")
        flags += [f'gateway.{part}="{address}"' for part, address in ports.items()]
        flags.append(f'gateway.platform="{platform}"')
        flags += [f"gateway.{key}={json.dumps(v)}" for key, v in options.items()]
        self.settings_path = settings_path
        self.flags = flags
        self.task: asyncio.Task | None = None
        self.program = self.make_program()

    def make_program(self) -> Program:
        """Return a program that knows nothing yet."""
        loaded = load(self.settings_path or None, self.flags)
        assert isinstance(loaded, Loaded), loaded
        return Program(
            role="gateway",
            settings=loaded.settings,
            settings_path=self.settings_path,
            flags=self.flags,
        )

    def restart(self) -> None:
        """Start anew after ``stop``, as a new process would."""
        self.program = self.make_program()
        self.start()

    def start(self) -> None:
        """Start to serve."""
        scope = contextvars.copy_context()
        scope.run(CURRENT_GATEWAY.set, self.name)
        self.task = asyncio.create_task(serve(self.program), context=scope)

    async def stop(self) -> None:
        """Stop at once."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait({self.task}, timeout=1)
        await self.program.background.stop()

    def gauge(self, name: str) -> float:
        """Return what one of the gateway's gauges shows."""
        return self.program.metrics.gauges[name, ()]()

    def logged(self, event: Event) -> list[str]:
        """Return the newest log lines of one event."""
        word = f"event={event.value} "
        return [line for line in self.program.events.ring if word in f"{line} "]

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        assert self.task is None or not self.task.done(), self.task.result()
        try:
            reply = await send_request(
                self.addresses["ready"], "GET", "/baobabturn/readyz", {}, b""
            )
        except OSError:
            return False
        return reply.status == 200

    async def named(self, place: str = "region=r&zone=z1") -> set[str]:
        """Return the addresses that the gateway's directory names."""
        path = f"/baobabturn/resolve?name={SITE_HOST_NAME}&{place}"
        reply = await send_request(self.addresses["directory"], "GET", path, {}, b"")
        return set(json.loads(reply.body)["addresses"])


class SiteCase:
    """A store, endpoints and gateways that start and stop together."""

    def __init__(
        self,
        *,
        page: int = 500,
        settings_path: str = "",
        endpoint_type: type[SiteEndpoint] = SiteEndpoint,
        regions: dict[str, str] | None = None,
        **options: Any,
    ):
        self.store = SiteStore(page=page)
        self.endpoint_type = endpoint_type
        self.endpoints: dict[str, SiteEndpoint] = {}
        self.gateways: list[Gateway] = []
        self.links: list[Proxy] = []
        self.settings_path = settings_path
        self.regions = regions
        self.options = options

    async def start(
        self,
        *,
        plain: int = 2,
        engines: int = 0,
        gateways: int = 1,
        events: int = 30,
        domains: int = 1,
    ) -> None:
        """Start everything and wait until the gateways are ready.

        Each gateway reaches the store by a link of its own.
        """
        await self.store.start()
        for number in range(plain):
            await self.add(f"w{number}", PLAIN_SERVICE, 0)
        for number in range(engines):
            await self.add(f"e{number}", ENGINE_SERVICE, events)
        self.store.write("config", "main", configuration())
        for number in range(gateways):
            link = Proxy(target=self.store.address)
            await link.start()
            self.links.append(link)
            gateway = Gateway(
                name=f"g{number}",
                platform=link.address,
                options=self.options,
                domain=f"z{1 + number % domains}",
                settings_path=self.settings_path,
                regions=self.regions,
            )
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await eventually(gateway.is_ready, "a gateway is ready")

    async def add(
        self,
        name: str,
        service: str,
        events: int,
        *,
        version: str = "v1",
        **fields: str,
    ) -> SiteEndpoint:
        """Start an endpoint and write its entry."""
        endpoint = self.endpoint_type(
            name=name, service=service, events=events, version=version
        )
        await endpoint.start()
        self.endpoints[name] = endpoint
        by_address = {each.address: each for each in self.endpoints.values()}
        for each in self.endpoints.values():
            each.peers = by_address
        self.store.write("servers", name, endpoint.entry(**fields))
        return endpoint

    def leave(self, name: str) -> None:
        """Let an endpoint's entry say that it leaves."""
        entry = self.endpoints[name].entry(state="draining")
        self.store.write("servers", name, entry)

    async def stop(self) -> None:
        """Stop everything."""
        for gateway in self.gateways:
            await gateway.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        for link in self.links:
            await link.stop()
        await self.store.stop()

    async def call(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        gateway: int = 0,
        **headers: str,
    ) -> Reply:
        """Send a request to a gateway and return its answer."""
        address = self.gateways[gateway].addresses["callers"]
        sent = request_headers(path, headers)
        return await send_request(address, method, path, sent, body)

    def ran(self, path: str) -> list[str]:
        """Return the endpoints that ran requests of a path, in no order."""
        return [
            name
            for name, endpoint in self.endpoints.items()
            for request in endpoint.ran
            if request.target == path
        ]


async def eventually(check: Any, what: str, limit_s: float = WAIT_S) -> Any:
    """Return the first true value of a check, or fail when the limit has passed."""
    end = asyncio.get_running_loop().time() + limit_s
    while True:
        found = check()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        assert asyncio.get_running_loop().time() < end, f"waited for: {what}"
        await asyncio.sleep(POLL_S)
