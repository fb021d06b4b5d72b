"""Measures what one decision costs a scheduler, with no network in between.

``python -m bench.decisions`` fills pools of some sizes with generations, lets
requests come and go, and prints the time of each admission and release.
"""

from __future__ import annotations

import json
import pathlib
import random
import sys
import time
import types

import cyclopts

from baobabturn.config.declared import Endpoint, Workspace
from baobabturn.core.metrics import Metrics
from baobabturn.scheduler.policy import POLICIES
from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import WaitingRequest
from baobabturn.settings.load import Loaded, load
from baobabturn.wire.messages import Admit, ProgressItem, Release

WORKSPACES = 2100
MEMORY_TOKENS = 40_000
PER_ENDPOINT = 24
KINDS = ("read", "check", "summary")
US = 1_000_000
app = cyclopts.App(name="decisions", help=__doc__)


class Silent:
    """Takes events and drops them."""

    def emit(self, *names: object, **fields: object) -> None:
        """Drop an event."""


class Placed:
    """A future that only says whether it is settled."""

    def __init__(self):
        self.settled = False

    def done(self) -> bool:
        """Return whether the grant was made."""
        return self.settled

    def set_result(self, grant: object) -> None:
        """Settle it."""
        self.settled = True


def make_pool(size: int, workspaces: int, policy: str) -> PoolScheduler:
    """Return a pool of engines with nothing in flight."""
    loaded = load()
    assert isinstance(loaded, Loaded)
    settings = loaded.settings
    program = types.SimpleNamespace(
        settings=settings, metrics=Metrics(role="scheduler"), events=Silent()
    )
    spaces = {f"w{n}": Workspace(name=f"w{n}") for n in range(workspaces)}
    pool = PoolScheduler(
        name="pool",
        program=program,  # type: ignore[arg-type]
        policy=POLICIES[policy](settings=settings.scheduler, seed=1),
        workspaces=lambda: spaces,
    )
    pool.schedule_dispatch = lambda: None  # type: ignore[method-assign]
    pool.settled = True
    engines = [
        Endpoint(
            name=f"e{n}", url=f"http://e{n}", models=("m",), memory_tokens=MEMORY_TOKENS
        )
        for n in range(size)
    ]
    pool.set_endpoints(engines, set())
    return pool


def request(draw: random.Random, number: int, workspaces: int) -> WaitingRequest:
    """Return one request that waits."""
    workspace = f"w{draw.randrange(workspaces)}"
    now = time.monotonic()
    admit = Admit(
        request=f"q{number}",
        reservation=f"g{number}",
        workspace=workspace,
        model="m",
        kind=KINDS[number % len(KINDS)],
        prompt_tokens=200,
        max_tokens=4000,
        prefixes=[hash((workspace, n)) & 0xFFFFFFFF for n in range(4)],
    )
    return WaitingRequest(
        admit=admit,
        holder=None,
        arrived_at=now,
        deadline=now + 600,
        future=Placed(),  # type: ignore[arg-type]
    )


def measure(size: int, workspaces: int, policy: str, count: int) -> dict[str, float]:
    """Return the quantiles of one admission, progress and release, in µs."""
    pool = make_pool(size, workspaces, policy)
    draw = random.Random(1)
    held: list[str] = []
    times: dict[str, list[float]] = {"admit": [], "progress": [], "release": []}
    fill = size * PER_ENDPOINT
    for number in range(fill + count):
        waiting = request(draw, number, workspaces)
        began = time.perf_counter()
        pool.enqueue(waiting, waiting.arrived_at)
        pool.dispatch()
        admitted = time.perf_counter() - began
        if waiting.future.done():
            held.append(waiting.admit.reservation)
            item = ProgressItem(reservation=held[-1], produced=draw.randrange(1, 300))
            began = time.perf_counter()
            pool.progress(item)
            progressed = time.perf_counter() - began
        if number < fill:
            continue
        times["admit"].append(admitted)
        times["progress"].append(progressed)
        gone = held.pop(draw.randrange(len(held)))
        began = time.perf_counter()
        pool.release(Release(reservation=gone, outcome="finished"))
        pool.dispatch()
        times["release"].append(time.perf_counter() - began)
    found: dict[str, float] = {"waiting_at_end": len(pool.state.queue)}
    for name, values in times.items():
        values.sort()
        found[f"{name}_p50_us"] = round(values[len(values) // 2] * US, 1)
        found[f"{name}_p99_us"] = round(values[int(len(values) * 0.99)] * US, 1)
    return found


@app.default
def main(
    *, count: int = 1000, out: pathlib.Path = pathlib.Path("out/decisions.json")
) -> int:
    """Print the cost of a decision at several sizes, and write it as JSON."""
    lines = []
    for size in (10, 16, 100, 740):
        for policy in ("baobabturn", "least-load"):
            line = {"endpoints_in_pool": size, "policy": policy}
            lines.append({**line, **measure(size, WORKSPACES, policy, count)})
            print(json.dumps(lines[-1]), flush=True)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(lines, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(app())
