"""A small deployment: a store, workers, gateways and clients on loopback addresses."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable

import attrs

from fakes.site import SiteStore
from review.cases2.gateways import Gateway
from review.cases2.record import Record, has_trouble
from review.cases2.workers import Worker

HOST, KEY = "ficu95.example", "xd9dnn2ctnfzs989anu6"
PLAIN, MODEL = "corral", "rumia"
ZONES = ["z1", "z2", "z3"]
# Python itself exits with 1 after an error, so that a broken rule has another status,
# of which the scripts make a 1.
HELD, BROKEN, NOT_PLAYED = 0, 10, 2
READ, POST, DIGEST, CHECK = "/ledger/", "/tally/", "/digest/", "/check/"
LIMIT_S = 110.0


def route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "service": service,
        "authExempt": False,
        "stickySessions": kind == "stream",
        "streamResume": False,
        "gapAimMs": 180,
        **fields,
    }


def configuration(**engine) -> dict:
    """Return a configuration like that of Herd Ledger's sheet."""
    slow = {"timeoutMs": 39000, "sloMs": 1800, "maxAttempts": 1, "priority": 1}
    quick = {"timeoutMs": 6000, "sloMs": 1500, "maxAttempts": 2, "priority": 0}
    quick["streamResume"] = True
    plain = {"timeoutMs": 1500, "sloMs": 200, "priority": 2}
    return {
        "version": 3,
        "routes": [
            route("season-digest", DIGEST, "stream", MODEL, **slow),
            route("count-check", CHECK, "stream", MODEL, **quick),
            route("tally-post", POST, "unsafe", PLAIN, maxAttempts=1, **plain),
            route("ledger-read", READ, "safe", PLAIN, maxAttempts=2, **plain),
        ],
        "services": [
            {"name": PLAIN, "healthPath": "/healthz", "maxConns": 110},
            {
                "name": MODEL,
                "healthPath": "/healthz",
                "maxConns": 232,
                "engine": {
                    "slots": 24,
                    "kvTokens": 34161,
                    "kvBytes": 1000,
                    "linkMbps": 1000.0,
                    "moves": False,
                    "backups": False,
                    "stride": 4,
                    "most": 12,
                    **engine,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    }


@attrs.define(kw_only=True)
class Reply:
    """What a client got: status 0 without a head, and whether all came.

    ``has_left`` says that the client left before.  ``versions`` holds the software
    versions of the workers that wrote a stream's events.
    """

    attempt: str
    sent_at: float
    ended_at: float
    status: int = 0
    is_complete: bool = False
    has_left: bool = False
    versions: list[str] = attrs.Factory(list)


class Site:
    """The store, the workers and the gateways of one run.

    ``sent_to`` names the gateway to which a client sent each attempt.
    """

    def __init__(self, *, folder: pathlib.Path, record: Record, seed: int = 1):
        self.folder = folder
        self.record = record
        self.random = random.Random(seed)
        self.store = SiteStore()
        self.gateways: list[Gateway] = []
        self.workers: list[Worker] = []
        self.attempts = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        self.sent_to: dict[str, str] = {}

    async def start(self, *, gateways: int, plain: int, engines: int, **fields) -> None:
        """Start everything; wait until the gateways are ready."""
        await self.store.start()
        self.store.write("config", "main", configuration(**fields))
        for _ in range(plain):
            await self.add_worker(PLAIN, slots=6, queue=24)
        for _ in range(engines):
            await self.add_worker(MODEL, slots=24, queue=72, is_engine=True)
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            gateway = Gateway(
                name=f"front-{zone}-{number}",
                zone=zone,
                zones=ZONES,
                store=self.store.address,
                folder=self.folder,
            )
            self.gateways.append(gateway)
            await gateway.start()
        await asyncio.gather(*(each.wait_ready() for each in self.gateways))
        self.record.add(f"{gateways} gateways are ready")

    async def add_worker(self, service: str, **fields) -> Worker:
        """Start one more worker."""
        worker = Worker(service=service, store=self.store, record=self.record, **fields)
        self.workers.append(worker)
        await worker.go_up()
        return worker

    def of(self, service: str) -> list[Worker]:
        """Return the workers of a service."""
        return [each for each in self.workers if each.service == service]

    def send(self, gateway: Gateway, path: str, **fields) -> asyncio.Task[Reply]:
        """Send a request without waiting for its answer."""
        task = asyncio.create_task(self.request(gateway, path, **fields))
        self.tasks.add(task)
        return task

    async def request(
        self,
        gateway: Gateway,
        path: str,
        *,
        deadline_s: float,
        tokens: str = "",
        prefix: str = "",
        body: bytes = b"",
        leaves_after_s: float = 0.0,
    ) -> Reply:
        """Send one request on a new connection; read its answer until the deadline.

        The client leaves sooner with ``leaves_after_s``.
        """
        attempt = f"{next(self.attempts):016x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        if tokens:
            headers.update(
                {"X-Model": "m", "X-Token-Count": tokens, "X-Prompt-Prefix": prefix}
            )
        method = "GET" if path.startswith(READ) else "POST"
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self.sent_to[attempt] = gateway.name
        sent_at = self.record.add(f"{attempt} sent to {gateway.name} {method} {path}")
        reply = Reply(attempt=attempt, sent_at=sent_at, ended_at=sent_at)
        try:
            async with asyncio.timeout(leaves_after_s or deadline_s):
                await self.exchange(gateway, data, reply)
        except TimeoutError:
            reply.has_left = bool(leaves_after_s)
            self.record.add(f"{attempt} given up by its client")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.add(f"{attempt} cut {type(error).__name__}")
        reply.ended_at = self.record.now()
        end = "whole" if reply.is_complete else "not whole"
        self.record.add(f"{attempt} answered {reply.status}, {end}")
        return reply

    async def exchange(self, gateway: Gateway, data: bytes, reply: Reply) -> None:
        """Send a request and read its answer."""
        host, _, port = gateway.addresses["callers"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            reply.status = int(head.split(b" ", 2)[1])
            names = dict(
                line.lower().split(": ", 1)
                for line in head.decode("latin-1").split("\r\n")[1:]
                if ": " in line
            )
            if "content-length" in names:
                await reader.readexactly(int(names["content-length"]))
                reply.is_complete = True
            else:
                reply.is_complete = await read_events(reader, reply.versions)
        finally:
            writer.transport.abort()

    async def settle(self) -> None:
        """Wait for the answers to all requests that were sent."""
        await asyncio.gather(*self.tasks)

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(each.kill() for each in self.gateways))
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()


async def read_events(reader: asyncio.StreamReader, versions: list[str]) -> bool:
    """Read a body in chunks; return whether it was whole.

    Add the versions that its events name.
    """
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        for line in data.decode("latin-1").splitlines():
            version = line.removeprefix("data: ").partition(" ")[0]
            if line.startswith("data: ") and version not in versions:
                versions.append(version)
        if not size:
            return True


Play = Callable[[Site, Record, bool], Awaitable[bool]]


async def run(play: Play, folder: pathlib.Path) -> int:
    """Play a case; return the exit status."""
    record = Record(folder=folder)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    site = Site(folder=scratch, record=record)
    try:
        async with asyncio.timeout(LIMIT_S):
            is_broken = await play(site, record, has_trouble())
        status = BROKEN if is_broken else HELD
        record.add("the rule was broken" if is_broken else "the rule held")
    except Exception as error:
        record.add(f"not played: {error!r}")
        status = NOT_PLAYED
    finally:
        await site.stop()
        record.save()
        shutil.rmtree(scratch, ignore_errors=True)
    print("\n".join(record.lines[-6:]))
    return status


def main(play: Play, file: str) -> None:
    """Play a case and exit with its status."""
    sys.exit(asyncio.run(run(play, pathlib.Path(file).resolve().parent)))
