"""Slopes of real processes: memory, processor time and platform calls of a host."""

from __future__ import annotations

import json
import os
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from bench.capacityconfig import make_document
from dev.deployments import HERD
from dev.fleet import ROLES, Fleet, call

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTLE_S = 6.0
MEASURE_S = 6.0
REQUEST_TOKENS = 8


def pss_mb(pid: int) -> float:
    """Return a process's proportional set size: shared pages count in part."""
    with open(f"/proc/{pid}/smaps_rollup") as file:
        for line in file:
            if line.startswith("Pss:"):
                return int(line.split()[1]) / 1024
    return 0.0


def memory_parts_mb(pid: int) -> tuple[float, float]:
    """Return a process's private memory and what it shares with any other."""
    private = shared = 0
    with open(f"/proc/{pid}/smaps_rollup") as file:
        for line in file:
            if line.startswith("Private_"):
                private += int(line.split()[1])
            if line.startswith("Shared_"):
                shared += int(line.split()[1])
    return private / 1024, shared / 1024


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def usage(fleet: Fleet, span_s: float, work: Any = None) -> dict[str, float]:
    """Return what each role uses on average over the hosts, and platform calls."""
    pids = {
        role: [fleet.processes[f"{role}@{host.name}"].pid for host in fleet.hosts]
        for role in ROLES
    }
    used = {pid: cpu_s(pid) for each in pids.values() for pid in each}
    calls = sum(fleet.counts("platform")["calls"].values())
    began = time.monotonic()
    if work is None:
        time.sleep(span_s)
    else:
        work()
    span = time.monotonic() - began
    row: dict[str, float] = {
        "platform_calls_per_s": (
            sum(fleet.counts("platform")["calls"].values()) - calls
        )
        / span
    }
    for role, each in pids.items():
        spent = [(cpu_s(pid) - used[pid]) / span * 100 for pid in each]
        row[f"{role}_cpu_percent"] = sum(spent) / len(spent)
        row[f"{role}_cpu_percent_most"] = max(spent)
        row[f"{role}_pss_mb"] = sum(pss_mb(pid) for pid in each) / len(each)
    row["control_pss_mb"] = row["scheduler_pss_mb"] + row["controller_pss_mb"]
    parts = [memory_parts_mb(pids[role][0]) for role in ("scheduler", "controller")]
    private, shared = sum(p for p, _ in parts), max(s for _, s in parts)
    row["control_alone_mb"] = private + shared
    return row


def requests_row(fleet: Fleet, rate: int, span_s: float) -> dict[str, float]:
    """Return what short requests at a rate cost each role."""
    entries = fleet.entries()

    def one(number: int) -> bool:
        body = {
            "model": fleet.deployment.model,
            "prompt": f"[tag=c{number} length={REQUEST_TOKENS}]",
        }
        headers = {
            "Authorization": "Bearer key-buyers",
            "Content-Type": "application/json",
        }
        url = entries[number % len(entries)] + "/v1/completions"
        return bool(call(url, body, headers=headers)["choices"])

    def work() -> None:
        began = time.monotonic()
        with ThreadPoolExecutor(64) as pool:
            results = []
            for number in range(int(rate * span_s)):
                pause = began + number / rate - time.monotonic()
                time.sleep(max(0.0, pause))
                results.append(pool.submit(one, number))
            good = sum(each.result() for each in results)
        assert good == len(results)

    return {"requests_per_s": rate, **usage(fleet, span_s, work)}


def apply_workspaces(fleet: Fleet, count: int) -> None:
    """Add workspaces to the configuration in force."""
    path = fleet.folder / "configuration.json"
    values = json.loads(path.read_text())
    kept = [s for s in values["workspaces"] if not s["name"].startswith("workspace-")]
    for space in make_document(count).workspaces:
        line = attrs.asdict(space)
        line["models"] = [fleet.deployment.model]
        kept.append(line)
    values["workspaces"] = kept
    path.write_text(json.dumps(values))
    settings = fleet.settings_path(fleet.hosts[0].name)
    wait = ("--wait", "--entry", fleet.entry())
    fleet.command("apply", str(path), "--settings", settings, *wait)


def run(
    hosts: tuple[int, ...], engines: tuple[int, ...], rates: tuple[int, ...]
) -> dict[str, list[dict[str, float]]]:
    """Return the rows over hosts, engines, workspaces and requests."""
    found: dict[str, list[dict[str, float]]] = {
        "hosts": [],
        "engines": [],
        "live_workspaces": [],
        "requests": [],
    }
    for count in hosts:
        with Fleet(deployment=HERD, hosts=count, engines=2, workers=1) as fleet:
            time.sleep(SETTLE_S)
            found["hosts"].append({"hosts": count, **usage(fleet, MEASURE_S)})
    for count in engines:
        with Fleet(deployment=HERD, hosts=1, engines=count, workers=1) as fleet:
            time.sleep(SETTLE_S)
            found["engines"].append({"engines": count, **usage(fleet, MEASURE_S)})
            if count != engines[-1]:
                continue
            for rate in rates:
                found["requests"].append(requests_row(fleet, rate, MEASURE_S))
            for number in (500, 1000, 2100):
                apply_workspaces(fleet, number)
                time.sleep(2)
                row = {"workspaces": number, **usage(fleet, 3)}
                found["live_workspaces"].append(row)
    return found
