"""Measures the gap in admission when a pool's scheduler is lost.

``python -m bench.handover`` runs a small fleet under a steady load of one-token
requests, takes the pool's owner away in several ways, and prints for each the
longest pause between two first tokens and the slowest first token, in ms.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
import urllib.request

import aiohttp
import attrs

from dev.deployments import HERD
from dev.fleet import ADMIN_KEY, Fleet

RATE_PER_S = 100
BEFORE_S = 2.0
AFTER_S = 8.0
REPEATS = 3
WAYS = ("scheduler killed", "scheduler stopped", "scheduler paused", "host killed")
MS = 1000


@attrs.define(kw_only=True)
class Sample:
    """One request: when it was sent, when its first token came, or its error."""

    sent: float
    first: float = 0.0
    error: str = ""


async def ask(
    session: aiohttp.ClientSession, url: str, key: str, number: int
) -> Sample:
    """Send a request and return its sample."""
    sample = Sample(sent=time.monotonic())
    body = {"model": HERD.model, "prompt": f"[tag=h{number} length=1]", "stream": True}
    try:
        async with session.post(
            url + "/v1/completions", json=body, headers={"Authorization": key}
        ) as answer:
            async for line in answer.content:
                if line.startswith(b"data: {"):
                    sample.first = sample.first or time.monotonic()
            if answer.status != 200:
                sample.error = f"status {answer.status}"
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        sample.error = type(error).__name__
    return sample


async def load(entries: list[str], seconds: float) -> list[Sample]:
    """Send requests at a steady rate over the entries and return the samples."""
    timeout = aiohttp.ClientTimeout(total=30)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        tasks = []
        began = time.monotonic()
        for number in range(int(seconds * RATE_PER_S)):
            await asyncio.sleep(
                max(0.0, began + number / RATE_PER_S - time.monotonic())
            )
            url = entries[number % len(entries)]
            tasks.append(
                asyncio.create_task(ask(session, url, "Bearer key-buyers", number))
            )
        return list(await asyncio.gather(*tasks))


def owner_of(fleet: Fleet) -> int:
    """Return the number of the host whose scheduler owns the pool."""
    while True:
        for number, url in enumerate(fleet.entries()):
            asked = urllib.request.Request(
                url + "/metrics", headers={"Authorization": f"Bearer {ADMIN_KEY}"}
            )
            with urllib.request.urlopen(asked, timeout=10) as answer:
                text = answer.read().decode()
            if 'baobabturn_pools_owned{role="scheduler"} 1' in text:
                return number
        time.sleep(0.1)


def take_away(fleet: Fleet, way: str, number: int) -> None:
    """Take the owner's scheduler, or its whole host, away."""
    host = fleet.hosts[number].name
    if way == "host killed":
        for role in ("controller", "scheduler", "entry"):
            fleet.kill(f"{role}@{host}")
        return
    signals = {
        "scheduler killed": signal.SIGKILL,
        "scheduler stopped": signal.SIGTERM,
        "scheduler paused": signal.SIGSTOP,
    }
    fleet.signal(f"scheduler@{host}", signals[way])


def bring_back(fleet: Fleet, number: int) -> None:
    """Start what was taken away again."""
    host = fleet.hosts[number].name
    for role in ("controller", "scheduler", "entry"):
        name = f"{role}@{host}"
        fleet.signal(name, signal.SIGCONT)
        if role == "scheduler":
            fleet.kill(name)
        if fleet.processes[name].poll() is not None:
            fleet.restart(name)
    fleet.wait_ready()
    time.sleep(2)


async def measure(fleet: Fleet, way: str) -> dict[str, float]:
    """Return the gap, the slowest first token and the errors of one hand-over."""
    number = owner_of(fleet)
    entries = [url for n, url in enumerate(fleet.entries()) if n != number]
    running = asyncio.create_task(load(entries, BEFORE_S + AFTER_S))
    await asyncio.sleep(BEFORE_S)
    await asyncio.to_thread(take_away, fleet, way, number)
    samples = await running
    firsts = sorted(s.first for s in samples if s.first)
    gaps = [after - before for before, after in zip(firsts, firsts[1:], strict=False)]
    waits = [s.first - s.sent for s in samples if s.first]
    return {
        "gap_ms": round(max(gaps) * MS, 1),
        "slowest_first_token_ms": round(max(waits) * MS, 1),
        "errors": sum(bool(s.error) for s in samples),
        "requests": len(samples),
    }


def main() -> int:
    """Measure each way several times and print the figures as JSON."""
    ways = tuple(sys.argv[1:]) or WAYS
    found: dict[str, list[dict[str, float]]] = {way: [] for way in ways}
    with Fleet(deployment=HERD, hosts=4, engines=3, workers=1) as fleet:
        for _ in range(REPEATS):
            for way in ways:
                found[way].append(asyncio.run(measure(fleet, way)))
                print(way, json.dumps(found[way][-1]), flush=True)
                bring_back(fleet, owner_or_lost(fleet))
    print(json.dumps(found, indent=1))
    return 0


def owner_or_lost(fleet: Fleet) -> int:
    """Return the number of the host whose scheduler was taken away last."""
    for number, host in enumerate(fleet.hosts):
        name = f"scheduler@{host.name}"
        if fleet.processes[name].poll() is not None or is_stopped(fleet, name):
            return number
    raise RuntimeError("no scheduler is lost")


def is_stopped(fleet: Fleet, name: str) -> bool:
    """Return whether a process is paused by a signal."""
    with open(f"/proc/{fleet.processes[name].pid}/stat") as file:
        return file.read().rpartition(")")[2].split()[0] == "T"


if __name__ == "__main__":
    sys.exit(main())
