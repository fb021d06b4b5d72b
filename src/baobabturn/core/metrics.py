"""Counters, gauges and distributions (HDR histograms), and their exposition.

The exposition follows the Prometheus text format, version 0.0.4; a distribution
is exposed as a summary with quantiles.
"""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

MIN_VALUE = 1
MAX_VALUE = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)

PREFIX = "baobabturn_"
HELP = {
    "addresses_listed": "Addresses listed for callers, by whose failure domain it is.",
    "answer_us": "Time from a request's arrival to the end of its response, by route.",
    "callers_awaited": "Callers that have yet to take what was sent to them.",
    "body_memory_held_bytes": "Memory that request and response bodies hold.",
    "attempt_us": "Duration of an attempt at an endpoint of a plain service.",
    "cold_endpoints": "Endpoints that are warming up and take few requests a second.",
    "crashes_seen": "Responses that broke off because their endpoint crashed.",
    "closed_generations": "Generations that run in evacuated failure domains.",
    "configs_too_large": "Configurations that didn't fit into a reply to a gateway.",
    "datagrams_refused": "Datagrams refused for a wrong signature or content.",
    "datagram_sent_bytes": "Bytes sent to other gateways, by kind and domain.",
    "datagrams_sent": "Datagrams sent to other gateways, by kind and domain.",
    "datagrams_undelivered": "Datagrams that could not be delivered.",
    "time_to_first_event_us": "Time from a request's arrival to its first event.",
    "time_between_events_us": "Time from one event of a stream to the next.",
    "engine_reconnects": "Connections to engines reopened for a running generation.",
    "failure_domains_closed": "Evacuated failure domains that have endpoints.",
    "failures": "Failures returned to callers, by result code.",
    "heartbeat_received_bytes": "Bytes received in heartbeats.",
    "heartbeat_sent_bytes": "Bytes sent in heartbeats.",
    "hedges_advised": "Hedged (second) attempts that the scheduler asked entries for.",
    "hedges_started": "Hedged (second) attempts that the entry started.",
    "hedges_won": "Hedged (second) attempts whose response came first.",
    "inner_received_bytes": "Bytes received over inner links.",
    "inner_sent_bytes": "Bytes sent over inner links.",
    "loop_lag_us": "How late the event loop ran due callbacks.",
    "member_pushes": "Member lists sent to this host's processes.",
    "learned_keys": "Keys whose length distribution the owned pools have learned.",
    "open_requests": "Requests that the entry has open.",
    "orphans": "Generations found that belonged to no entry.",
    "orders": "Orders sent to engines, by kind.",
    "own_estimates": "Endpoints chosen by the entry itself, without a scheduler.",
    "places_held": "Reservations at endpoints that requests hold.",
    "platform_calls": "Calls sent to the platform, a watch counted as one.",
    "pool_settle_us": "Time for which a new owner of a pool admitted with caution.",
    "pools_owned": "Pools that the scheduler owns.",
    "process_cpu_seconds": "Processor time of the process, user and system.",
    "process_resident_bytes": "Resident memory of the process.",
    "own_load": "Used part of the processor time that this host may use.",
    "quarantines": "Quarantines of parts of prompts that crash engines.",
    "queue_time_us": "Time from a request's arrival to its reservation, by kind.",
    "reports_read": "Engine reports read directly while the store did not respond.",
    "reservation_summaries": "Summaries of other gateways' reservations, by step.",
    "requests_waiting": "Requests in the queues of the owned pools.",
    "slow_engines": "Engines that take over 1.2 times as long as their pool's median.",
    "time_between_tokens_us": "Time from one token of a generation to the next.",
    "time_to_first_token_us": "Time from a request's arrival to its first token.",
    "urgent_reserve_tokens": "Memory of engines that only urgent requests may take.",
    "up": "Whether this process responded to the scrape.",
}
TYPE_LINE = "# TYPE "

Labels = tuple[tuple[str, str], ...]


def label_text(labels: Labels) -> str:
    """Return labels in the text format, or "" if there are none."""
    if not labels:
        return ""
    pairs = (f'{key}="{escaped(value)}"' for key, value in labels)
    return "{" + ",".join(pairs) + "}"


def escaped(value: str) -> str:
    """Return a label's value, escaped as the text format requires."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


MAX_DISTRIBUTIONS_PER_METRIC = 32
OTHER_LABEL_VALUE = "other"


class Distribution:
    """A histogram of integers, usually microseconds."""

    def __init__(self):
        self.histogram = HdrHistogram(MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS)
        self.total = 0
        self.count = 0

    def record(self, value: float) -> None:
        """Add one value, clamped to the range of the histogram."""
        integer = min(max(int(value), MIN_VALUE), MAX_VALUE)
        self.histogram.record_value(integer)
        self.total += integer
        self.count += 1

    def quantile(self, percent: float) -> float:
        """Return the value at a percentile, or 0 if nothing was recorded."""
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
        distribution = self.distributions.get(key) or self.new_distribution(
            name, labels
        )
        distribution.record(value)

    def new_distribution(self, name: str, labels: dict[str, str]) -> Distribution:
        """Return a new distribution for these labels.

        Past the limit of distributions per metric, return the one labelled
        "other": label values may come from callers without bound, and each
        histogram takes much memory.
        """
        count = sum(1 for metric, _ in self.distributions if metric == name)
        if count >= MAX_DISTRIBUTIONS_PER_METRIC:
            labels = dict.fromkeys(labels, OTHER_LABEL_VALUE)
        key = (name, tuple(sorted(labels.items())))
        return self.distributions.setdefault(key, Distribution())

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value, or 0 if it was never incremented."""
        return self.counters.get((name, tuple(sorted(labels.items()))), 0)

    def exposition(self) -> str:
        """Return all metrics in the text format."""
        lines: list[str] = []
        role = (("role", self.role),)
        typed: set[str] = set()

        def header(name: str, kind: str) -> str:
            full_name = PREFIX + name
            if full_name not in typed:
                typed.add(full_name)
                lines.append(f"{TYPE_LINE}{full_name} {kind}")
                lines.append(f"# HELP {full_name} {HELP.get(name, name)}")
            return full_name

        for (name, labels), number in sorted(self.counters.items()):
            full_name = header(name, "counter")
            lines.append(f"{full_name}{label_text(role + labels)} {number:g}")
        for (name, labels), read in sorted(self.gauges.items()):
            full_name = header(name, "gauge")
            lines.append(f"{full_name}{label_text(role + labels)} {read():g}")
        for (name, labels), distribution in sorted(self.distributions.items()):
            full_name = header(name, "summary")
            for percent in QUANTILES:
                quantile_label = (("quantile", f"{percent / 100:g}"),)
                text = label_text(role + labels + quantile_label)
                lines.append(f"{full_name}{text} {distribution.quantile(percent):g}")
            lines.append(
                f"{full_name}_sum{label_text(role + labels)} {distribution.total}"
            )
            lines.append(
                f"{full_name}_count{label_text(role + labels)} {distribution.count}"
            )
        return "\n".join(lines) + "\n"


def merged(texts: list[str]) -> str:
    """Merge the expositions of several processes.

    The text format requires all lines of a metric together and its type only once.
    """
    families: dict[str, list[str]] = {}
    family: list[str] = []
    for line in "".join(texts).splitlines():
        if line.startswith(TYPE_LINE):
            family = families.setdefault(line, [])
        elif line not in family:
            family.append(line)
    lines = [
        line
        for header, samples in sorted(families.items())
        for line in (header, *samples)
    ]
    return "".join(line + "\n" for line in lines)
