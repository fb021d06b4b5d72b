"""Runs the bench: all policies side by side on one deployment.

Each policy gets a fresh fleet of real processes, the same load from the same
seed, and in every repeat another place in the order.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from typing import Literal

import cyclopts

from bench import report
from bench.faults import FAULTS
from bench.run import TIME_SCALE, run_policy

POLICIES = ("baobabturn", "least-load", "two-choices", "round-robin")
app = cyclopts.App(name="bench", help=__doc__)


def revision() -> str:
    """Return the commit that is measured."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


@app.default
def main(
    *,
    deployment: Literal["herd", "alliance"] = "herd",
    policies: str = ",".join(POLICIES),
    repeats: int = 1,
    seed: int = 1,
    fault: str = "none",
    out: pathlib.Path = pathlib.Path("out/bench"),
    set: tuple[str, ...] = (),
) -> int:
    """Run the bench and print its table.

    ``--fault`` names what goes wrong, ``--set field=value`` changes a setting of
    the scheduler.
    """
    if fault not in FAULTS:
        print(f"bench: --fault: allowed: {', '.join(FAULTS)}", file=sys.stderr)
        return 2
    names = [name for name in policies.split(",") if name]
    extra = {
        field: json.loads(value)
        for field, _, value in (each.partition("=") for each in set)
    }
    runs = []
    started = time.monotonic()
    for repeat in range(repeats):
        turn = repeat % len(names)
        for policy in names[turn:] + names[:turn]:
            print(f"bench: {deployment}, {policy}, repeat {repeat + 1}", flush=True)
            run = run_policy(
                deployment=deployment,
                policy=policy,
                fault=fault,
                seed=seed + repeat,
                extra=extra,
            )
            runs.append(run)
            print(json.dumps(run.measures), flush=True)
    runs.sort(key=lambda run: names.index(run.policy))
    about = {
        "deployment": deployment,
        "fault": fault,
        "seed": seed,
        "repeats": repeats,
        "commit": revision(),
        "time_scale": TIME_SCALE,
        "seconds": round(time.monotonic() - started, 1),
    }
    print(f"{about}\n" + report.table(runs))
    report.write(out, about, runs)
    return 0


if __name__ == "__main__":
    sys.exit(app())
