"""Slopes with the number of members, many of them in this one process."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from baobabturn.config.parts import Manifest, digest, split, write_manifest
from baobabturn.membership.owners import DEAD, SUSPECT
from baobabturn.wire.messages import ConfigUpdate, Part
from bench.capacityconfig import make_document
from bench.members import MemberFleet

QUIET_AFTER_S = 7.0
MEASURE_S = 6.0
LIMIT_S = 60.0
WORKSPACES = 2100
RESTART_SHARE = 3
RESTART_WINDOW_S = 10.0


def rss_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096


def update(revision: int, priority: int, held: set[str]) -> ConfigUpdate:
    """Return the update to a document in which one workspace has a priority."""
    bodies = split(make_document(WORKSPACES, priority))
    sums = {name: digest(body) for name, body in bodies.items()}
    parts = [
        Part(name=name, digest=sums[name], body=body)
        for name, body in bodies.items()
        if sums[name] not in held
    ]
    manifest = Manifest(revision=revision, parts=sums)
    return ConfigUpdate(
        revision=revision, manifest=write_manifest(manifest), parts=parts
    )


async def quiet_rates(fleet: MemberFleet) -> dict[str, float]:
    """Return bytes and processor time of one member while nothing happens."""
    count = len(fleet.live())
    sent, received = fleet.bytes_sent(), fleet.bytes_received()
    used, began = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURE_S)
    span = time.monotonic() - began
    return {
        "sent_bytes_per_s": (fleet.bytes_sent() - sent) / span / count,
        "received_bytes_per_s": (fleet.bytes_received() - received) / span / count,
        "cpu_percent": (time.process_time() - used) / span / count * 100,
    }


async def death(fleet: MemberFleet) -> dict[str, float]:
    """Return after how long a killed member is suspected and dead everywhere."""
    host = fleet.hosts[7]
    began = time.monotonic()
    await host.stop()

    def seen(states: tuple[str, ...]) -> bool:
        return all(state in states for state in fleet.states(host.name).values())

    await fleet.until(lambda: seen((SUSPECT, DEAD)), LIMIT_S)
    suspected = time.monotonic() - began
    await fleet.until(lambda: seen((DEAD,)), LIMIT_S)
    dead = time.monotonic() - began
    doubts = [c.at for c in fleet.changes if c.member == host.name and c.at > began]
    await fleet.replace(7)
    await fleet.until(fleet.agreed, LIMIT_S)
    return {
        "first_suspected_s": min(doubts) - began,
        "suspected_everywhere_s": suspected,
        "dead_everywhere_s": dead,
    }


async def spread(fleet: MemberFleet) -> dict[str, float]:
    """Return how long a change of configuration takes from one member to all."""
    first = update(1, 0, set())
    for host in fleet.hosts:
        host.state.accept(first)
        host.membership.set_revision(1)
    await asyncio.sleep(QUIET_AFTER_S)
    change = update(2, 5, set(fleet.hosts[0].state.bodies))
    sent = fleet.bytes_sent()
    began = time.monotonic()
    fleet.hosts[3].sync.accept(change, source="platform")
    everywhere = await fleet.until(
        lambda: all(host.state.revision == 2 for host in fleet.live()), LIMIT_S
    )

    def counted() -> bool:
        return all(
            len(host.membership.domains.digests) == fleet.domain_count
            and all(d.revision == 2 for d in host.membership.domains.digests.values())
            for host in fleet.live()
        )

    await fleet.until(counted, LIMIT_S)
    return {
        "in_force_everywhere_s": everywhere,
        "known_in_force_everywhere_s": time.monotonic() - began,
        "datagram_bytes_per_member": (fleet.bytes_sent() - sent) / len(fleet.hosts),
    }


async def restart(fleet: MemberFleet) -> dict[str, float]:
    """Return how long it takes until all agree after a third restarted at once."""
    numbers = range(len(fleet.hosts) // RESTART_SHARE)
    names = [fleet.hosts[number].name for number in numbers]
    began = time.monotonic()
    for number in numbers:
        await fleet.replace(number)
    sent = fleet.bytes_sent()
    started = time.monotonic()
    await fleet.until(fleet.agreed, LIMIT_S)
    span = time.monotonic() - began
    await asyncio.sleep(max(0.0, started + RESTART_WINDOW_S - time.monotonic()))
    window = time.monotonic() - started
    words = fleet.false_words([*names, fleet.hosts[7].name])
    return {
        "third_restarted_agreed_s": span,
        "third_restarted_bytes_per_s": (fleet.bytes_sent() - sent)
        / window
        / len(fleet.hosts),
        "false_suspicions": words[SUSPECT],
        "false_deaths": words[DEAD],
    }


async def measure(size: int, with_changes: bool) -> dict[str, Any]:
    """Return what one size gives."""
    before = rss_bytes()
    fleet = MemberFleet(size=size)
    fleet.introduce()
    row: dict[str, Any] = {"members": size}
    row["memory_kb_per_member"] = (rss_bytes() - before) / size / 1024
    try:
        await fleet.start()
        await asyncio.sleep(QUIET_AFTER_S)
        row.update(await quiet_rates(fleet))
        row.update(await death(fleet))
        if with_changes:
            row.update(await spread(fleet))
            row.update(await restart(fleet))
    except TimeoutError as error:
        row["failed"] = str(error)
    finally:
        await fleet.stop()
    return row


def run(sizes: tuple[int, ...], changes_up_to: int) -> list[dict[str, Any]]:
    """Return the rows of several sizes."""
    return [asyncio.run(measure(size, size <= changes_up_to)) for size in sizes]
