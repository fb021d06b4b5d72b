"""Run the soak test by seed: overlapping faults, recovery, then checks."""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import attrs
import cyclopts
from cyclopts import Parameter

from fakes.callers import ask, request_headers
from fakes.siteconfig import ENGINE, PLAIN
from soak.faults import FAULTS
from soak.load import Caller, Sent
from soak.process import GatewayProcess
from soak.verdict import Verdict
from soak.world import NEW_ROUTE, REVOKE_S, World

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAULT_S = 14.0
GAP_S = (0.2, 1.6)
LASTS_S = (0.3, 3.0)
SETTLE_S = 6.0
CALLERS = 10
HOSTS, DOMAINS = (2, 5), (1, 3)
# Share of the requests after recovery that must get 200.
SERVED_SHARE = 0.97
CALM_REQUESTS = 60
LEAVES_S = 0.5
DRAIN_S = 2.0
RUN_LIMIT_S = 120

app = cyclopts.App(name="soak")


@attrs.define(kw_only=True)
class Played:
    """The result of a run: faults with their times, and violated invariants."""

    seed: int
    faults: list[str] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)
    summary: str = ""


class Soak:
    """One run of the soak test with one seed."""

    def __init__(self, *, seed: int, folder: pathlib.Path, only: tuple[str, ...] = ()):
        self.only = only
        self.sent: list[Sent] = []
        self.played = Played(seed=seed)
        shape = World(seed=seed, folder=folder, hosts=0, domains=0).random
        self.world = World(
            seed=seed,
            folder=folder,
            hosts=shape.randint(*HOSTS),
            domains=shape.randint(*DOMAINS),
        )
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> Played:
        """Inject faults, clear them, and return the result of the checks."""
        world = self.world
        try:
            await world.start()
            callers = [self.caller(number) for number in range(CALLERS)]
            load = [asyncio.create_task(caller.run()) for caller in callers]
            await self.play_faults()
            await self.heal()
            await self.judge_calm()
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            await self.stop_gateways()
            verdict = Verdict(world=world, sent=self.sent)
            self.played.broken += verdict.judge()
            self.played.summary = verdict.summary()
        finally:
            await world.stop()
        return self.played

    def caller(self, number: int) -> Caller:
        """Return a caller whose requests are recorded."""
        return Caller(world=self.world, number=number, note=self.sent.append)

    async def play_faults(self) -> None:
        """Start faults at random intervals so that they overlap; await their end."""
        chance = self.world.random
        began = time.monotonic()
        while (passed := time.monotonic() - began) < FAULT_S:
            name = chance.choice(self.only or tuple(FAULTS))
            seconds = chance.uniform(*LASTS_S)
            self.played.faults.append(f"{passed:.1f} {name} {seconds:.1f}")
            task = asyncio.create_task(FAULTS[name](self.world, seconds))
            self.tasks.add(task)
            await asyncio.sleep(chance.uniform(*GAP_S))
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                self.played.broken.append(f"a fault raised {result!r}")

    async def heal(self) -> None:
        """Clear all faults, replace missing endpoints and gateways, and wait."""
        world = self.world
        await world.heal()
        for service in (PLAIN, ENGINE):
            while len(world.serving(service)) < 2:
                await world.add(service)
        for gateway in world.gateways:
            if gateway.process is None or gateway.process.returncode is not None:
                await gateway.start()
        await asyncio.sleep(SETTLE_S)

    async def judge_calm(self) -> None:
        """Check what must hold after all faults have been cleared."""
        for gateway in self.world.gateways:
            if not await self.world.is_ready(gateway):
                self.played.broken.append(f"{gateway.name} is not ready after recovery")
        await self.judge_service()
        await self.judge_state()
        await self.judge_leaving_endpoint()

    async def judge_service(self) -> None:
        """Check that nearly all requests at all gateways get 200."""
        caller = self.caller(CALLERS)
        gateways = self.world.gateways
        found = [
            await caller.one("read", gateways[turn % len(gateways)])
            for turn in range(CALM_REQUESTS)
        ]
        for kind in ("post", "draft", "check"):
            found += [await caller.one(kind, gateway) for gateway in gateways]
        judged = [each for each in found if not each.left]
        served = sum(each.status == 200 for each in judged)
        if served < SERVED_SHARE * len(judged):
            statuses = [each.status or each.problem for each in judged]
            self.played.broken.append(
                f"{served} of {len(judged)} requests served after recovery: {statuses}"
            )

    async def judge_state(self) -> None:
        """Check that every gateway applies the newest configuration and keys."""
        world = self.world
        for gateway in world.gateways:
            status = await self.status(gateway, NEW_ROUTE + "x")
            if status != (200 if world.routes else 404):
                self.played.broken.append(
                    f"{gateway.name}: request on the new route got {status}"
                )
        for key, gone in world.revoked.items():
            await asyncio.sleep(max(0.0, gone + REVOKE_S - time.monotonic()))
            for gateway in world.gateways:
                status = await self.status(gateway, "/read/x", key)
                if status != 401:
                    self.played.broken.append(
                        f"{gateway.name}: revoked key {key} got {status}"
                    )

    async def status(self, gateway: GatewayProcess, path: str, key: str = "") -> int:
        """Return the status of one request that no check counts.

        Its runs are removed from the endpoints' records.
        """
        headers = request_headers(path, {"X-Attempt-Id": "f" * 16})
        if key:
            headers["Authorization"] = f"Bearer {key}"
        reply = await ask(gateway.addresses["callers"], "GET", path, headers, b"")
        for endpoint in self.world.endpoints.values():
            endpoint.ran = [each for each in endpoint.ran if each.ident != "f" * 16]
        return reply.status

    async def judge_leaving_endpoint(self) -> None:
        """Check that a leaving endpoint gets no requests after the drain time."""
        world = self.world
        name = await world.add(PLAIN)
        await asyncio.sleep(1.0)
        world.leave(name)
        await asyncio.sleep(DRAIN_S)
        count = len(world.endpoints[name].ran)
        await asyncio.sleep(LEAVES_S)
        more = len(world.endpoints[name].ran) - count
        if more:
            self.played.broken.append(f"{more} requests at {name} after its drain time")

    async def stop_gateways(self) -> None:
        """Stop all gateways with SIGTERM, as the platform does."""
        await asyncio.gather(*(each.terminate() for each in self.world.gateways))


def play(seed: int, folder: pathlib.Path, only: tuple[str, ...]) -> Played:
    """Run one seed in this process."""
    return asyncio.run(Soak(seed=seed, folder=folder, only=only).run())


@app.command
def one(
    seed: int,
    *,
    folder: pathlib.Path | None = None,
    only: Annotated[list[str] | None, Parameter(negative="")] = None,
) -> int:
    """Run one seed; print its faults and the violated invariants.

    Parameters
    ----------
    seed:
        Seed of all random draws of the run.
    folder:
        Folder for settings and logs of the processes; a new temporary one by default.
    only:
        Names of the faults to draw from; all by default.
    """
    place = folder or pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    place.mkdir(parents=True, exist_ok=True)
    played = play(seed, place, tuple(only or ()))
    state = "BROKEN" if played.broken else "held"
    print(f"seed {seed} {state}; faults: {'; '.join(played.faults)}")
    print(f"  {played.summary}")
    for line in played.broken[:20]:
        print(f"  broken: {line}")
    if played.broken:
        print(f"  logs: {place}")
    return 1 if played.broken else 0


def play_apart(seed: int) -> tuple[int, str]:
    """Run one seed in a subprocess; return its exit code and output."""
    command = [sys.executable, "-m", "soak.main", "one", str(seed)]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_LIMIT_S
        )
    except subprocess.TimeoutExpired:
        return 1, f"seed {seed} BROKEN; it did not end within {RUN_LIMIT_S} s\n"
    return done.returncode, done.stdout + done.stderr[-2000:]


@app.command
def many(first: int, last: int, *, jobs: int = 3) -> int:
    """Run a range of seeds, several at a time.

    Parameters
    ----------
    first, last:
        First and last seed, both included.
    jobs:
        Number of seeds that run at a time.
    """
    failed = []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        seeds = range(first, last + 1)
        for seed, (code, text) in zip(seeds, pool.map(play_apart, seeds), strict=True):
            print(text, end="", flush=True)
            if code:
                failed.append(seed)
    print(f"{last - first + 1} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
