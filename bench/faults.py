"""The faults that a bench run may meet at the crest of its swing."""

from __future__ import annotations

import asyncio
import signal

from baobabturn.config.declared import Endpoint
from baobabturn.config.state import make_pools
from baobabturn.membership.owners import ALIVE, owner
from baobabturn.wire.messages import Member
from dev.fleet import ROLES, Fleet

LATE_REPORT_S = 5.0
CACHE_LOSS = 0.3
RECLAIM_NOTICE_S = 2.0


def engines(fleet: Fleet) -> list[str]:
    """Return the names of a fleet's engines."""
    return [each["name"] for each in fleet.endpoints if each["kind"] == "engine"]


def owning_host(fleet: Fleet) -> str:
    """Return the host whose scheduler owns the engines' first pool."""
    deployment = fleet.deployment
    declared = [
        Endpoint(
            name=name, url="", region=deployment.region, models=(deployment.model,)
        )
        for name in engines(fleet)
    ]
    pool = next(iter(make_pools(declared, len(declared)).values()))
    members = [
        Member(name=host.name, region=deployment.region, state=ALIVE)
        for host in fleet.hosts
    ]
    found = owner(pool.name, pool.region, members)
    assert found is not None
    return found.name


async def late_reports(fleet: Fleet) -> None:
    """Load reports come 5 s late."""
    for name in engines(fleet):
        await asyncio.to_thread(fleet.control, name, report_lag_s=LATE_REPORT_S)


async def lost_cache_events(fleet: Fleet) -> None:
    """Of the cache events 30% are missing."""
    for name in engines(fleet):
        await asyncio.to_thread(fleet.control, name, cache_event_loss=CACHE_LOSS)


async def killed_scheduler(fleet: Fleet) -> None:
    """The pool's scheduler is killed and started again."""
    name = f"scheduler@{owning_host(fleet)}"
    await asyncio.to_thread(fleet.kill, name)
    await asyncio.to_thread(fleet.restart, name)


async def reclaimed_endpoint(fleet: Fleet) -> None:
    """An engine says that it leaves and is gone 2 s later."""
    name = engines(fleet)[0]
    await asyncio.to_thread(fleet.control, name, leaving=True)
    await asyncio.sleep(RECLAIM_NOTICE_S)
    await asyncio.to_thread(fleet.kill, name)


async def cut_domain(fleet: Fleet) -> None:
    """All hosts and endpoints of the first failure domain stop answering."""
    domain = fleet.deployment.failure_domains[0]
    names = [e["name"] for e in fleet.endpoints if e["failure_domain"] == domain]
    for host in fleet.hosts:
        if host.failure_domain == domain:
            names += [f"{role}@{host.name}" for role in ROLES]
    for name in names:
        fleet.signal(name, signal.SIGSTOP)


EARLY = {"reports-late": late_reports, "cache-loss": lost_cache_events}
AT_CREST = {
    "kill-scheduler": killed_scheduler,
    "reclaim": reclaimed_endpoint,
    "cut-domain": cut_domain,
}
FAULTS = ("none", *EARLY, *AT_CREST)
