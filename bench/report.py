"""Writes the bench's results: a table, JSON and plots."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from bench.measures import spread  # noqa: E402
from bench.run import MEMORY_TOKENS, Run  # noqa: E402

BASELINE = "least-load"
PRODUCT = "baobabturn"
GOALS: dict[str, tuple[str, float]] = {
    "short_wait_p99_s": ("at most", 1 / 5),
    "stall_s_per_generation": ("at most", 1 / 5),
    "preemptions": ("at most", 1 / 10),
    "gap_p99_s": ("at most", 1 / 2),
    "crest_useful_tokens_per_s": ("at least", 1.3),
    "slowed_answer_p99_s": ("at most", 1 / 3),
}
BIN_S = 1.0


def summary(runs: list[Run]) -> dict[str, dict[str, dict[str, float]]]:
    """Return median and range of each measure of each policy."""
    found: dict[str, dict[str, dict[str, float]]] = {}
    for policy in dict.fromkeys(run.policy for run in runs):
        mine = [run for run in runs if run.policy == policy]
        found[policy] = {
            name: spread([run.measures[name] for run in mine])
            for name in mine[0].measures
        }
    return found


def verdicts(found: dict) -> list[dict[str, Any]]:
    """Return each goal with the ratio that was measured."""
    if BASELINE not in found or PRODUCT not in found:
        return []
    lines = []
    for name, (word, bound) in GOALS.items():
        if name not in found[BASELINE]:
            continue
        base = found[BASELINE][name]["median"]
        ours = found[PRODUCT][name]["median"]
        ratio = ours / base if base else (0.0 if not ours else float("inf"))
        met = ratio <= bound if word == "at most" else ratio >= bound
        lines.append(
            {"measure": name, "goal": f"{word} {bound:.2f}", "ratio": ratio, "met": met}
        )
    return lines


def table(runs: list[Run]) -> str:
    """Return the measures side by side, and the goals."""
    found = summary(runs)
    policies = list(found)
    lines = ["| measure | " + " | ".join(policies) + " |"]
    lines.append("|---" * (len(policies) + 1) + "|")
    for name in found[policies[0]]:
        cells = []
        for policy in policies:
            value = found[policy][name]
            text = f"{value['median']:.4g}"
            if value["low"] != value["high"]:
                text += f" ({value['low']:.4g} to {value['high']:.4g})"
            cells.append(text)
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    for line in verdicts(found):
        word = "met" if line["met"] else "not met"
        lines.append(
            f"{line['measure']}: {line['ratio']:.3f} of {BASELINE}, "
            f"goal {line['goal']}: {word}"
        )
    for run in runs:
        lines.append(
            f"{run.policy}: load generator's lag p99 {run.lag_p99_s * 1000:.1f} ms, "
            f"max {run.lag_max_s * 1000:.0f} ms; machine's load {run.load_average:.1f}"
        )
    return "\n".join(lines)


def write(folder: pathlib.Path, about: dict[str, Any], runs: list[Run]) -> None:
    """Write JSON and plots into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    found = summary(runs)
    body = {
        **about,
        "summary": found,
        "goals": verdicts(found),
        "runs": [
            {
                "policy": run.policy,
                "measures": run.measures,
                "lag_p99_s": run.lag_p99_s,
                "lag_max_s": run.lag_max_s,
                "load_average": run.load_average,
            }
            for run in runs
        ],
    }
    (folder / "bench.json").write_text(json.dumps(body, indent=1) + "\n")
    plot(folder / "bench.png", runs)


def cumulative(axis: Any, values: list[float], label: str) -> None:
    """Draw a distribution as the share above each value."""
    if not values:
        return
    ordered = sorted(values)
    shares = [1 - place / len(ordered) for place in range(len(ordered))]
    axis.plot(ordered, shares, label=label)


def plot(path: pathlib.Path, runs: list[Run]) -> None:
    """Draw waits by class, gaps, engine memory and useful tokens over time."""
    figure, axes = pyplot.subplots(2, 3, figsize=(15, 8))
    first = {run.policy: run for run in reversed(runs)}
    for policy, run in sorted(first.items()):
        swing = [r for r in run.records if r.phase != "slowed"]
        for axis, short in ((axes[0][0], True), (axes[0][1], False)):
            values = [r.first_s - r.at for r in swing if r.short is short]
            cumulative(axis, [max(value, 0.001) for value in values], policy)
        cumulative(axes[0][2], [g for r in swing for g in r.gaps_s], policy)
        memory(axes[1][0], run)
        useful(axes[1][1], run)
        slow = [r.end_s - r.at for r in run.records if r.phase == "slowed"]
        cumulative(axes[1][2], slow, policy)
    titles = (
        "wait for the first token, short (s)",
        "wait for the first token, long (s)",
        "time between tokens (s)",
        "engine memory used, mean share over time (s)",
        "useful tokens a second, by arrival (s)",
        "whole answers, 2 endpoints slowed (s)",
    )
    for axis, title in zip(axes.flat, titles, strict=True):
        axis.set_title(title)
        if axis.lines:
            axis.legend(fontsize=7)
    for axis in (axes[0][0], axes[0][1], axes[0][2], axes[1][2]):
        axis.set_xscale("log")
        axis.set_yscale("log")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def memory(axis: Any, run: Run) -> None:
    """Draw the engines' mean share of memory in use over time."""
    bins: dict[int, list[float]] = {}
    for line in run.samples:
        share = line["used_tokens"] / MEMORY_TOKENS
        bins.setdefault(int(line["at"] / BIN_S), []).append(share)
    places = sorted(bins)
    means = [sum(bins[p]) / len(bins[p]) for p in places]
    axis.plot([p * BIN_S for p in places], means, label=run.policy)


def useful(axis: Any, run: Run) -> None:
    """Draw the useful tokens a second by the time of arrival."""
    bins: dict[int, int] = {}
    for record in run.records:
        if record.phase != "slowed":
            place = int(record.at / BIN_S)
            bins[place] = bins.get(place, 0) + record.tokens * record.in_time
    places = sorted(bins)
    axis.plot([p * BIN_S for p in places], [bins[p] for p in places], label=run.policy)
