"""Slopes of what one process does at a change of configuration or members."""

from __future__ import annotations

import functools
import gc
import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from baobabturn.config.declared import Document, Endpoint, Model, Workspace
from baobabturn.config.parts import Manifest, digest, split, write_manifest
from baobabturn.config.state import ConfigState
from baobabturn.membership.owners import ALIVE, owner
from baobabturn.store.objects import encode_body, manifest_value
from baobabturn.wire.messages import ConfigUpdate, Member, Part

MODELS = 35
REPEATS = 20
MS_PER_S = 1000


def make_document(workspaces: int, priority: int = 0, endpoints: int = 740) -> Document:
    """Return a document of a size, in which one workspace has a priority."""
    models = tuple(Model(name=f"model-{n}") for n in range(MODELS))
    return Document(
        workspaces=tuple(
            Workspace(
                name=f"workspace-{n:04d}",
                key_hashes=(hashlib.sha256(str(n).encode()).hexdigest(),),
                models=tuple(f"model-{(n + m) % MODELS}" for m in range(3)),
                priority=priority if n == 0 else 1,
                weight=1.0,
                tokens_per_minute=100_000,
                concurrent_requests=50,
            )
            for n in range(workspaces)
        ),
        models=models,
        endpoints=tuple(
            Endpoint(
                name=f"endpoint-{n:03d}",
                url=f"http://10.1.{n // 250}.{n % 250}:8000",
                failure_domain=f"domain-{n % 5}",
                region="north" if n % 5 < 3 else "south",
                models=(f"model-{n % MODELS}",),
                memory_tokens=400_000,
            )
            for n in range(endpoints)
        ),
    )


def make_update(document: Document, revision: int, held: set[str]) -> ConfigUpdate:
    """Return the message that brings a holder of some parts to a document."""
    bodies = split(document)
    sums = {name: digest(body) for name, body in bodies.items()}
    return ConfigUpdate(
        revision=revision,
        manifest=write_manifest(Manifest(revision=revision, parts=sums)),
        parts=[
            Part(name=name, digest=sums[name], body=body)
            for name, body in bodies.items()
            if sums[name] not in held
        ],
    )


def timed(work: Callable[[], Any]) -> float:
    """Return the milliseconds that some work takes."""
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * MS_PER_S


def workspace_row(count: int) -> dict[str, float]:
    """Return what a number of workspaces costs a process."""
    first = make_update(make_document(count), 1, set())
    gc.collect()
    tracemalloc.start()
    state = ConfigState(pool_size=16)
    state.accept(first)
    kept = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    state = ConfigState(pool_size=16)
    whole = timed(lambda: state.accept(first))
    changes = []
    for turn in range(REPEATS):
        held = set(state.bodies)
        document = make_document(count, turn + 2)
        change = make_update(document, turn + 2, held)
        changes.append(timed(functools.partial(state.accept, change)))
    changes.sort()
    bodies = split(make_document(count))
    values = [len(json.dumps(encode_body(body))) for body in bodies.values()]
    manifest = Manifest(revision=1, parts={n: digest(b) for n, b in bodies.items()})
    values.append(len(json.dumps(manifest_value(manifest))))
    moved = len(change.manifest) + sum(len(part.body) for part in change.parts)
    return {
        "workspaces": count,
        "first_read_ms": whole,
        "one_change_ms_median": changes[REPEATS // 2],
        "one_change_ms_worst": changes[-1],
        "bytes_moved_by_one_change": moved,
        "largest_value_bytes": max(values),
        "memory_kb": kept / 1024,
    }


def ownership_row(members: int, endpoints: int) -> dict[str, float]:
    """Return what a change of members costs an entry and a scheduler."""
    state = ConfigState(pool_size=16)
    state.accept(make_update(make_document(10, 0, endpoints), 1, set()))
    fleet = [
        Member(
            name=f"host-{n:03d}",
            region="north" if n % 5 < 3 else "south",
            state=ALIVE,
        )
        for n in range(members)
    ]
    owned: dict[str, int] = {}

    def work() -> None:
        owned.clear()
        for pool in state.pools.values():
            found = owner(pool.name, pool.region, fleet)
            assert found is not None
            owned[found.name] = owned.get(found.name, 0) + len(pool.endpoints)

    times = sorted(timed(work) for _ in range(REPEATS))
    return {
        "members": members,
        "endpoints": endpoints,
        "pools": len(state.pools),
        "owners_ms_median": times[REPEATS // 2],
        "most_endpoints_at_one_owner": max(owned.values()),
    }


def run() -> dict[str, list[dict[str, float]]]:
    """Return the rows of all sizes."""
    sizes = ((50, 100), (100, 200), (200, 420), (350, 740))
    return {
        "workspaces": [workspace_row(count) for count in (500, 1000, 2100)],
        "ownership": [ownership_row(*size) for size in sizes],
    }
