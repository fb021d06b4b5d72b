"""Measures what a claim adds to a call: milliseconds and platform calls."""

from __future__ import annotations

import json
import statistics
import time
import urllib.request

from dev.deployments import HERD
from dev.fleet import Fleet

CALLS = 300
MS = 1000
OVERRIDES = {"platform": {"calls_per_s": 1000, "burst_calls": 10_000}}


def post(url: str, tag: str, key: str) -> float:
    """Return how many milliseconds one call took."""
    headers = {
        "Authorization": "Bearer key-clerks",
        "Content-Type": "application/json",
        "Idempotency-Key": key,
    }
    data = json.dumps({"tag": tag}).encode()
    request = urllib.request.Request(url, data=data, headers=headers)
    began = time.perf_counter()
    with urllib.request.urlopen(request, timeout=10) as answer:
        answer.read()
    return (time.perf_counter() - began) * MS


def claim_calls(fleet: Fleet) -> dict[str, int]:
    """Return the counts of platform calls for claims, by kind of call."""
    found = fleet.counts("platform")["by_kind"]
    return {k: n for k, n in found.items() if k.endswith("baobabturn-claim")}


def measure(fleet: Fleet, operation: str, prefix: str) -> dict[str, float]:
    """Return the latency of an operation and its platform calls for each call."""
    before = claim_calls(fleet)
    took = [
        post(
            f"{fleet.entry(n % 3)}/v1/services/corral/{operation}",
            f"{prefix}-{n}",
            f"{prefix}-{n}",
        )
        for n in range(CALLS)
    ]
    after = claim_calls(fleet)
    calls = {
        kind: round((after[kind] - before.get(kind, 0)) / CALLS, 2) for kind in after
    }
    ordered = sorted(took)
    return {
        "p50_ms": round(statistics.median(took), 2),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)], 2),
        **calls,
    }


def main() -> None:
    """Print the figures as one JSON line for each operation."""
    with Fleet(
        deployment=HERD, hosts=3, engines=1, workers=2, overrides=OVERRIDES
    ) as fleet:
        for operation, prefix in (
            ("checks", "warm"),
            ("checks", "check"),
            ("tally", "tally"),
            ("tally", "tally"),
        ):
            print(
                json.dumps(
                    {"operation": operation, **measure(fleet, operation, prefix)}
                )
            )


if __name__ == "__main__":
    main()
