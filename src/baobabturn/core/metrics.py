"""Counters, gauges and hdrhistogram-backed distributions, and their exposition.

The exposition follows the Prometheus text format, version 0.0.4; a distribution
is exposed as a summary with quantiles.
"""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST = 1
HIGHEST = 3_600_000_000
DIGITS = 2
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


def label_text(labels: Labels) -> str:
    """Return labels in the exposition's form, empty text where there are none."""
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"


class Distribution:
    """A histogram of whole numbers, usually microseconds."""

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)
        self.total = 0
        self.count = 0

    def record(self, value: float) -> None:
        """Add one value; values out of range count as the nearest bound."""
        whole = min(max(int(value), LOWEST), HIGHEST)
        self.histogram.record_value(whole)
        self.total += whole
        self.count += 1

    def quantile(self, percent: float) -> float:
        """Return the value below which ``percent`` of 100 lie, 0 when empty."""
        if not self.count:
            return 0.0
        return float(self.histogram.get_value_at_percentile(percent))


class Metrics:
    """The metrics of one process."""

    def __init__(self, *, role: str):
        self.role = role
        self.counters: dict[tuple[str, Labels], float] = {}
        self.gauges: dict[tuple[str, Labels], Callable[[], float]] = {}
        self.distributions: dict[tuple[str, Labels], Distribution] = {}
        self.help: dict[str, str] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self.counters[key] = self.counters.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a gauge that is read when the metrics are scraped."""
        self.gauges[(name, tuple(sorted(labels.items())))] = read

    def record(self, name: str, value: float, **labels: str) -> None:
        """Add a value to a distribution."""
        key = (name, tuple(sorted(labels.items())))
        found = self.distributions.get(key)
        if found is None:
            found = self.distributions[key] = Distribution()
        found.record(value)

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value, 0 where it was never raised."""
        return self.counters.get((name, tuple(sorted(labels.items()))), 0)

    def exposition(self) -> str:
        """Return all metrics in the text format."""
        lines: list[str] = []
        role = (("role", self.role),)
        typed: set[str] = set()

        def head(name: str, kind: str) -> str:
            full = f"baobabturn_{name}"
            if full not in typed:
                typed.add(full)
                lines.append(f"# TYPE {full} {kind}")
            return full

        for (name, labels), number in sorted(self.counters.items()):
            full = head(name, "counter")
            lines.append(f"{full}{label_text(role + labels)} {number:g}")
        for (name, labels), read in sorted(self.gauges.items()):
            full = head(name, "gauge")
            lines.append(f"{full}{label_text(role + labels)} {read():g}")
        for (name, labels), held in sorted(self.distributions.items()):
            full = head(name, "summary")
            for percent in QUANTILES:
                at = (("quantile", f"{percent / 100:g}"),)
                text = label_text(role + labels + at)
                lines.append(f"{full}{text} {held.quantile(percent):g}")
            lines.append(f"{full}_sum{label_text(role + labels)} {held.total}")
            lines.append(f"{full}_count{label_text(role + labels)} {held.count}")
        return "\n".join(lines) + "\n"
