"""One policy's run: a fleet, the swing, then the load with slowed endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from typing import Any

import aiohttp
import attrs

from bench import faults
from bench.caller import Caller, Record
from bench.measures import quantile, slowed_measures, swing_measures, wrongs
from bench.workload import SLOWED, SWING, Phase, plan
from dev.deployments import DEPLOYMENTS
from dev.fleet import Fleet

TIME_SCALE = 2.0
MEMORY_TOKENS = 6000
SLOTS = 64
STEP_S = 0.012
STEP_PER_SEQUENCE_S = 0.0004
PREFILL_PER_TOKEN_S = 0.00004
SLOW_FACTOR = 5
TOKEN_GAP_GOAL_S = 0.055
SAMPLE_S = 0.25
DRAIN_LIMIT_S = 25.0
SLOWED_DRAIN_LIMIT_S = 40.0
SETTLE_LIMIT_S = 15.0
CREST_LEAD_S = 1.0
WARM_S = 1.0


@attrs.define(kw_only=True)
class Run:
    """What one policy's run gave."""

    policy: str
    records: list[Record]
    samples: list[dict[str, Any]]
    measures: dict[str, float]
    lag_p99_s: float
    lag_max_s: float
    load_average: float


def engine_options() -> tuple[str, ...]:
    """Return the fake engines' speeds at the bench's time scale."""
    return (
        "--slots",
        str(SLOTS),
        "--step-s",
        str(STEP_S * TIME_SCALE),
        "--step-per-sequence-s",
        str(STEP_PER_SEQUENCE_S * TIME_SCALE),
        "--prefill-per-token-s",
        str(PREFILL_PER_TOKEN_S * TIME_SCALE),
    )


def overrides(policy: str, extra: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a run."""
    return {
        "scheduler": {
            "policy": policy,
            "token_gap_goal_s": TOKEN_GAP_GOAL_S * TIME_SCALE,
            **extra,
        },
        "log": {"level": "warning"},
    }


async def sample(fleet: Fleet, samples: list[dict], started: float) -> None:
    """Note the engines' own counts from time to time."""
    async with aiohttp.ClientSession() as session:
        while True:
            for name in faults.engines(fleet):
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    url = fleet.endpoint_url(name) + "/counts"
                    limit = aiohttp.ClientTimeout(total=1)
                    async with session.get(url, timeout=limit) as answer:
                        body = await answer.json()
                    wanted = ("used_tokens", "running", "waiting", "preemptions")
                    line = {key: body[key] for key in wanted}
                    at = time.monotonic() - started
                    samples.append({"at": at, "engine": name, **line})
            await asyncio.sleep(SAMPLE_S)


def engine_counts(fleet: Fleet) -> dict[str, Any]:
    """Return the sums of the engines' counts."""
    total: dict[str, Any] = {
        "started": 0,
        "preemptions": 0,
        "stalled_s": 0.0,
        "open": 0,
        "tags": {},
    }
    for name in faults.engines(fleet):
        try:
            counts = fleet.counts(name)
        except OSError:
            continue
        total["started"] += sum(counts["started"].values())
        total["preemptions"] += counts["preemptions"]
        total["stalled_s"] += counts["stalled_s"]
        total["open"] += len(counts["open"])
        for tag, times in counts["started"].items():
            total["tags"][tag] = total["tags"].get(tag, 0) + times
    return total


async def settle(fleet: Fleet) -> dict[str, Any]:
    """Return the engines' counts once nothing is open, or the time has passed."""
    end = time.monotonic() + SETTLE_LIMIT_S
    while True:
        counts = await asyncio.to_thread(engine_counts, fleet)
        if not counts["open"] or time.monotonic() > end:
            return counts
        await asyncio.sleep(0.25)


async def inject(fleet: Fleet, fault: str, phases: tuple[Phase, ...]) -> None:
    """Bring a fault about: early ones at once, others at the crest."""
    if fault in faults.EARLY:
        await faults.EARLY[fault](fleet)
    if fault in faults.AT_CREST:
        await asyncio.sleep(phases[0].seconds + CREST_LEAD_S)
        await faults.AT_CREST[fault](fleet)


async def slow_some(fleet: Fleet, phase: Phase) -> None:
    """Slow some endpoints a moment after the phase has begun."""
    await asyncio.sleep(WARM_S)
    for name in faults.engines(fleet)[: phase.slowed]:
        await asyncio.to_thread(fleet.control, name, slow_factor=SLOW_FACTOR)


def reachable(fleet: Fleet, fault: str) -> list[str]:
    """Return the entries that callers use under a fault."""
    domain = fleet.deployment.failure_domains[0]
    return [
        fleet.entry(number)
        for number, host in enumerate(fleet.hosts)
        if fault != "cut-domain" or host.failure_domain != domain
    ]


def new_caller(fleet: Fleet, fault: str) -> Caller:
    """Return a load generator for a fleet."""
    return Caller(
        entries=reachable(fleet, fault),
        keys=fleet.keys(),
        model=fleet.deployment.model,
    )


async def drive(fleet: Fleet, policy: str, fault: str, seed: int) -> Run:
    """Apply the swing, then the slowed phase, and take the measures."""
    name = fleet.deployment.name
    samples: list[dict] = []
    load_average = os.getloadavg()[0]
    swing = new_caller(fleet, fault)
    sampler = asyncio.create_task(sample(fleet, samples, time.monotonic()))
    trouble = asyncio.create_task(inject(fleet, fault, SWING))
    await swing.run(plan(deployment=name, phases=SWING, seed=seed), DRAIN_LIMIT_S)
    await trouble
    sampler.cancel()
    after_swing = await settle(fleet)
    crest_s = next(phase.seconds for phase in SWING if phase.name == "crest")
    measures: dict[str, float] = swing_measures(swing.records, after_swing, crest_s)
    measures["open_after_swing"] = after_swing["open"]
    slowed = new_caller(fleet, fault)
    if fault not in faults.AT_CREST:
        slow = asyncio.create_task(slow_some(fleet, SLOWED[0]))
        await slowed.run(
            plan(deployment=name, phases=SLOWED, seed=seed, first=100_000),
            SLOWED_DRAIN_LIMIT_S,
        )
        await slow
        measures.update(slowed_measures(slowed.records))
    records = swing.records + slowed.records
    measures.update(wrongs(records, await settle(fleet)))
    lags = swing.lags + slowed.lags
    return Run(
        policy=policy,
        records=records,
        samples=samples,
        measures=measures,
        lag_p99_s=quantile(lags, 0.99),
        lag_max_s=max(lags, default=0.0),
        load_average=load_average,
    )


def run_policy(
    *, deployment: str, policy: str, fault: str, seed: int, extra: dict[str, Any]
) -> Run:
    """Return one policy's run on a fresh fleet."""
    place = attrs.evolve(DEPLOYMENTS[deployment], memory_tokens=MEMORY_TOKENS)
    with Fleet(
        deployment=place,
        overrides=overrides(policy, extra),
        engine_options=engine_options(),
    ) as fleet:
        return asyncio.run(drive(fleet, policy, fault, seed))
