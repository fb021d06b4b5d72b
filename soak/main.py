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

from fakes.callers import request_headers, send_request
from fakes.siteconfig import ENGINE_SERVICE, PLAIN_SERVICE
from soak.faults import FAULTS, drawn_faults
from soak.invariants import InvariantChecker
from soak.load import DRAWN_KINDS, PLAIN_KINDS, Caller, SentRequest
from soak.process import GatewayProcess
from soak.site import KEY_REVOCATION_S, NEW_ROUTE, SoakSite, Span

ROOT = pathlib.Path(__file__).resolve().parent.parent
FAULT_PHASE_S = 14.0
FAULT_INTERVAL_RANGE_S = (0.2, 1.6)
FAULT_DURATION_RANGE_S = (0.3, 3.0)
RECOVERY_S = 6.0
CALLER_COUNT = 10
# Where endpoints return cold there are so many more callers of plain services: a
# gateway that took a cold endpoint for warm would send it far too much.
PLAIN_CALLER_COUNT = 10
HOST_COUNT_RANGE, DOMAIN_COUNT_RANGE = (2, 5), (1, 3)
# Share of the requests after recovery that must get 200.
MIN_SERVED_RATIO = 0.97
FINAL_REQUEST_COUNT = 60
AFTER_DRAIN_S = 0.5
DRAIN_TIME_S = 2.0
RUN_TIMEOUT_S = 120

app = cyclopts.App(name="soak")


@attrs.define(kw_only=True)
class SoakResult:
    """The result of a run: faults with their times, and violated invariants."""

    seed: int
    faults: list[str] = attrs.Factory(list)
    violations: list[str] = attrs.Factory(list)
    summary: str = ""


class Soak:
    """One run of the soak test with one seed."""

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        only: tuple[str, ...] = (),
        hosts: int = 0,
    ):
        self.only = only
        self.sent_requests: list[SentRequest] = []
        self.result = SoakResult(seed=seed)
        shape_rng = SoakSite(seed=seed, folder=folder, host_count=0, domain_count=0).rng
        self.site = SoakSite(
            seed=seed,
            folder=folder,
            host_count=hosts or shape_rng.randint(*HOST_COUNT_RANGE),
            domain_count=shape_rng.randint(*DOMAIN_COUNT_RANGE),
        )
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> SoakResult:
        """Inject faults, clear them, and return the result of the checks."""
        site = self.site
        try:
            await site.start()
            callers = [
                self.make_caller(number, kinds)
                for number, kinds in enumerate(self.caller_kinds())
            ]
            load = [asyncio.create_task(caller.run()) for caller in callers]
            await self.inject_faults()
            await self.clear_faults()
            await self.check_after_recovery()
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            await self.stop_gateways()
            checker = InvariantChecker(site=site, sent_requests=self.sent_requests)
            self.result.violations += checker.check()
            self.result.summary = checker.summary()
        finally:
            await site.stop()
        return self.result

    def caller_kinds(self) -> list[tuple[str, ...]]:
        """Return the kinds of requests that each caller draws from."""
        kinds: list[tuple[str, ...]] = [DRAWN_KINDS] * CALLER_COUNT
        if self.site.returns_cold:
            kinds += [PLAIN_KINDS] * PLAIN_CALLER_COUNT
        return kinds

    def make_caller(self, number: int, kinds: tuple[str, ...] = DRAWN_KINDS) -> Caller:
        """Return a caller whose requests are recorded."""
        return Caller(
            site=self.site,
            number=number,
            record=self.sent_requests.append,
            kinds=kinds,
        )

    async def inject_faults(self) -> None:
        """Start faults at random intervals so that they overlap; await their end."""
        rng = self.site.rng
        started_at = time.monotonic()
        while (elapsed_s := time.monotonic() - started_at) < FAULT_PHASE_S:
            fault_name = rng.choice(self.only or drawn_faults(self.result.seed))
            duration_s = rng.uniform(*FAULT_DURATION_RANGE_S)
            self.result.faults.append(f"{elapsed_s:.1f} {fault_name} {duration_s:.1f}")
            task = asyncio.create_task(self.play_fault(fault_name, duration_s))
            self.tasks.add(task)
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_RANGE_S))
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, BaseException):
                self.result.violations.append(f"a fault raised {result!r}")

    async def play_fault(self, name: str, duration_s: float) -> None:
        """Play a fault, and record when it began and ended."""
        span = Span(name=name, began_at=time.monotonic())
        self.site.faults.append(span)
        await FAULTS[name](self.site, duration_s)
        span.ended_at = time.monotonic()

    async def clear_faults(self) -> None:
        """Clear all faults, replace missing endpoints and gateways, and wait."""
        site = self.site
        await site.clear_faults()
        for service in (PLAIN_SERVICE, ENGINE_SERVICE):
            while len(site.serving(service)) < 2:
                await site.add_endpoint(service)
        for gateway in site.gateways:
            if gateway.process is None or gateway.process.returncode is not None:
                await gateway.start()
        await asyncio.sleep(RECOVERY_S)

    async def check_after_recovery(self) -> None:
        """Check what must hold after all faults have been cleared."""
        for gateway in self.site.gateways:
            if not await self.site.is_ready(gateway):
                self.result.violations.append(
                    f"{gateway.name} is not ready after recovery"
                )
        await self.check_service()
        await self.check_configuration()
        await self.check_leaving_endpoint()

    async def check_service(self) -> None:
        """Check that nearly all requests at all gateways get 200."""
        caller = self.make_caller(len(self.caller_kinds()))
        gateways = self.site.gateways
        requests = [
            await caller.send_request("read", gateways[index % len(gateways)])
            for index in range(FINAL_REQUEST_COUNT)
        ]
        for kind in ("post", "draft", "check"):
            requests += [
                await caller.send_request(kind, gateway) for gateway in gateways
            ]
        completed = [request for request in requests if not request.abandoned_at]
        served_count = sum(request.status == 200 for request in completed)
        if served_count < MIN_SERVED_RATIO * len(completed):
            statuses = [request.status or request.failure for request in completed]
            self.result.violations.append(
                f"{served_count} of {len(completed)} requests served"
                f" after recovery: {statuses}"
            )

    async def check_configuration(self) -> None:
        """Check that every gateway applies the newest configuration and keys."""
        site = self.site
        for gateway in site.gateways:
            status = await self.status(gateway, NEW_ROUTE + "x")
            if status != (200 if site.routes else 404):
                self.result.violations.append(
                    f"{gateway.name}: request on the new route got {status}"
                )
        for api_key, revoked_at in site.revoked_at.items():
            await asyncio.sleep(
                max(0.0, revoked_at + KEY_REVOCATION_S - time.monotonic())
            )
            for gateway in site.gateways:
                status = await self.status(gateway, "/read/x", api_key)
                if status != 401:
                    self.result.violations.append(
                        f"{gateway.name}: revoked key {api_key} got {status}"
                    )

    async def status(
        self, gateway: GatewayProcess, path: str, api_key: str = ""
    ) -> int:
        """Return the status of one request that no check counts.

        Its runs are removed from the endpoints' records.
        """
        headers = request_headers(path, {"X-Attempt-Id": "f" * 16})
        if api_key:
            headers["Authorization"] = f"Bearer {api_key}"
        reply = await send_request(
            gateway.addresses["callers"], "GET", path, headers, b""
        )
        for endpoint in self.site.endpoints.values():
            endpoint.ran = [
                request for request in endpoint.ran if request.attempt_id != "f" * 16
            ]
        return reply.status

    async def check_leaving_endpoint(self) -> None:
        """Check that a leaving endpoint gets no requests after the drain time."""
        site = self.site
        name = await site.add_endpoint(PLAIN_SERVICE)
        await asyncio.sleep(1.0)
        site.announce_leaving(name)
        await asyncio.sleep(DRAIN_TIME_S)
        count_before = len(site.endpoints[name].ran)
        await asyncio.sleep(AFTER_DRAIN_S)
        late_count = len(site.endpoints[name].ran) - count_before
        if late_count:
            self.result.violations.append(
                f"{late_count} requests at {name} after its drain time"
            )

    async def stop_gateways(self) -> None:
        """Stop all gateways with SIGTERM, as the platform does."""
        await asyncio.gather(*(gateway.terminate() for gateway in self.site.gateways))


def run_seed(
    seed: int, folder: pathlib.Path, only: tuple[str, ...], hosts: int
) -> SoakResult:
    """Run one seed in this process."""
    return asyncio.run(Soak(seed=seed, folder=folder, only=only, hosts=hosts).run())


@app.command
def one(
    seed: int,
    *,
    folder: pathlib.Path | None = None,
    only: Annotated[list[str] | None, Parameter(negative="")] = None,
    hosts: int = 0,
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
    hosts:
        How many hosts there are; 0 for as many as the seed draws.
    """
    run_folder = folder or pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    run_folder.mkdir(parents=True, exist_ok=True)
    result = run_seed(seed, run_folder, tuple(only or ()), hosts)
    outcome = "BROKEN" if result.violations else "held"
    print(f"seed {seed} {outcome}; faults: {'; '.join(result.faults)}")
    print(f"  {result.summary}")
    for line in result.violations[:20]:
        print(f"  broken: {line}")
    if result.violations:
        print(f"  logs: {run_folder}")
    return 1 if result.violations else 0


def run_seed_in_subprocess(seed: int) -> tuple[int, str]:
    """Run one seed in a subprocess; return its exit code and output."""
    command = [sys.executable, "-m", "soak.main", "one", str(seed)]
    try:
        process = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return 1, f"seed {seed} BROKEN; it did not end within {RUN_TIMEOUT_S} s\n"
    return process.returncode, process.stdout + process.stderr[-2000:]


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
        for seed, (code, text) in zip(
            seeds, pool.map(run_seed_in_subprocess, seeds), strict=True
        ):
            print(text, end="", flush=True)
            if code:
                failed.append(seed)
    print(f"{last - first + 1} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
