"""A small site on loopback: the store, its endpoints and gateways, in one process."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.main import serve
from baobabturn.settings.load import Loaded, load
from fakes.proxy import Proxy
from fakes.site import SiteEndpoint, SiteStore

HOST = "desk.example"
KEY = "key-of-herders"
WORKSPACE = "herders"
PLAIN, ENGINE = "ledger", "summaries"
WAIT_S = 8.0
POLL_S = 0.02
MOVE_TRAITS = {
    "slots": 8,
    "kvTokens": 40_000,
    "kvBytes": 1000,
    "linkMbps": 1000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
}


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 3000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" or more.get("streamResume") else 1,
        "authExempt": False,
        "stickySessions": kind == "stream",
        "streamResume": False,
        "gapAimMs": 180,
        **more,
    }


def configuration(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> dict:
    """Return a whole configuration as the operator writes it."""
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "safe", PLAIN),
            route("post", "/post/", "unsafe", PLAIN),
            route("open", "/open/", "safe", PLAIN, authExempt=True),
            route("draft", "/draft/", "stream", ENGINE, timeoutMs=20_000),
            route(
                "check",
                "/check/",
                "stream",
                ENGINE,
                timeoutMs=20_000,
                streamResume=True,
            ),
        ],
        "services": [
            {"name": PLAIN, "healthPath": "/healthz", "maxConns": 100},
            {"name": ENGINE, "healthPath": "/healthz", "engine": MOVE_TRAITS},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": WORKSPACE, "apiKeys": list(keys), "priority": 1}],
    }


@attrs.define(kw_only=True)
class Reply:
    """An answer as a caller got it; ``whole`` says that its end came."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events in the body."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith("id:")]


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


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
    ):
        ports = {
            part: f"127.0.0.1:{free_port()}"
            for part in ("callers", "ready", "directory", "metrics", "peers")
        }
        self.addresses = ports
        flags = [f'host.name="{name}"', f'host.failure_domain="{domain}"']
        flags += [f'gateway.{part}="{address}"' for part, address in ports.items()]
        flags.append(f'gateway.platform="{platform}"')
        flags += [f"gateway.{key}={json.dumps(v)}" for key, v in options.items()]
        loaded = load(settings_path or None, flags)
        assert isinstance(loaded, Loaded), loaded
        self.program = Program(
            role="gateway",
            settings=loaded.settings,
            settings_path=settings_path,
            flags=flags,
        )
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to serve."""
        self.task = asyncio.create_task(serve(self.program))

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
        try:
            reply = await ask(
                self.addresses["ready"], "GET", "/baobabturn/readyz", {}, b""
            )
        except OSError:
            return False
        return reply.status == 200

    async def named(self) -> set[str]:
        """Return the addresses that the gateway's directory names."""
        path = f"/baobabturn/resolve?name={HOST}&region=r&zone=z1"
        reply = await ask(self.addresses["directory"], "GET", path, {}, b"")
        return set(json.loads(reply.body)["addresses"])


class SiteCase:
    """A store, endpoints and gateways that start and stop together."""

    def __init__(self, *, page: int = 500, settings_path: str = "", **options: Any):
        self.store = SiteStore(page=page)
        self.endpoints: dict[str, SiteEndpoint] = {}
        self.gateways: list[Gateway] = []
        self.links: list[Proxy] = []
        self.settings_path = settings_path
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
            await self.add(f"w{number}", PLAIN, 0)
        for number in range(engines):
            await self.add(f"e{number}", ENGINE, events)
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
            )
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await eventually(gateway.is_ready, "a gateway is ready")

    async def add(self, name: str, service: str, events: int) -> SiteEndpoint:
        """Start an endpoint and write its entry."""
        endpoint = SiteEndpoint(name=name, service=service, events=events)
        await endpoint.start()
        self.endpoints[name] = endpoint
        by_address = {each.address: each for each in self.endpoints.values()}
        for each in self.endpoints.values():
            each.others = by_address
        self.store.write("servers", name, endpoint.entry())
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
        return await ask(address, method, path, sent, body)

    def ran(self, path: str) -> list[str]:
        """Return the endpoints that ran requests of a path, in no order."""
        return [
            name
            for name, endpoint in self.endpoints.items()
            for request in endpoint.ran
            if request.target == path
        ]


def request_headers(path: str, more: dict[str, str]) -> dict[str, str]:
    """Return a caller's headers for a path."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": "a1b2c3d4e5f60718",
        "X-Deadline-Ms": "15000",
        "Authorization": f"Bearer {KEY}",
    }
    if path.startswith(("/draft/", "/check/")):
        headers["X-Model"] = "m"
        headers["X-Token-Count"] = "1000,2000"
        headers["X-Prompt-Prefix"] = "ab:600,cd:400"
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    return {name: value for name, value in headers.items() if value}


async def ask(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Reply:
    """Send one request on a connection of its own and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(method, path, headers, body))
        await writer.drain()
        async with asyncio.timeout(WAIT_S * 2):
            return await read_reply(reader)
    finally:
        writer.close()


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Return one answer, whole or as far as it came."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, whole = await read_chunks(reader)
        return Reply(status=status, headers=headers, body=body, whole=whole)
    length = int(headers.get("content-length", "0"))
    try:
        body, whole = await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        body, whole = error.partial, False
    return Reply(status=status, headers=headers, body=body, whole=whole)


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body as far as it came, and whether its end came."""
    body = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        if not size:
            return body, True
        body += data[:-2]


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
