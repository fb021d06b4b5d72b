"""Turns a run's records and the fakes' counts into the measures."""

from __future__ import annotations

import statistics
from typing import Any

from bench.caller import Record

GAP_STALL_S = 0.5
UNLOADED_FIRST_S = 0.2
UNLOADED_GAP_S = 0.025
NOT_RUN_AT_DEADLINE = 1301
LATE_ANSWER_S = 0.5


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lie, 0 when empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def waits(records: list[Record]) -> list[float]:
    """Return the times to the first token; one with none waited to its end."""
    return [
        (record.first_s if record.first_s >= 0 else record.end_s) - record.at
        for record in records
    ]


def stalls(records: list[Record]) -> float:
    """Return the time that callers saw beyond the threshold in gaps, per stream."""
    streams = [record for record in records if record.stream and record.tokens]
    over = sum(gap for r in streams for gap in r.gaps_s if gap > GAP_STALL_S)
    return over / max(1, len(streams))


def false_refusals(records: list[Record]) -> int:
    """Return how many were refused with no limit and no deadline exceeded.

    No limit is declared in the bench, so that only the deadline may be the
    cause, and it must have been out of reach for even one token.
    """
    wrong = 0
    for record in records:
        if record.code in (0, 1302, 1303):
            continue
        early = record.deadline_s - (record.end_s - record.at) > LATE_ANSWER_S
        if record.code != NOT_RUN_AT_DEADLINE or early:
            wrong += 1
    return wrong


def whole_seconds(records: list[Record]) -> list[float]:
    """Return how long answers took; one that failed counts with its deadline."""
    return [
        record.end_s - record.at
        if record.whole
        else max(record.deadline_s, record.end_s - record.at)
        for record in records
    ]


def stretches(records: list[Record]) -> list[float]:
    """Return how many times longer answers took than on an idle engine."""
    return [
        seconds / (UNLOADED_FIRST_S + record.length * UNLOADED_GAP_S)
        for record, seconds in zip(records, whole_seconds(records), strict=True)
    ]


def swing_measures(records: list[Record], engines: dict[str, Any], crest_s: float):
    """Return the measures of the load with its swing."""
    short = [record for record in records if record.short]
    crest = [record for record in records if record.phase == "crest"]
    gaps = [gap for record in records for gap in record.gaps_s]
    started = max(1, engines["started"])
    useful = sum(record.tokens for record in crest if record.in_time)
    return {
        "short_wait_p99_s": quantile(waits(short), 0.99),
        "short_wait_p50_s": quantile(waits(short), 0.5),
        "long_wait_p99_s": quantile(waits([r for r in records if not r.short]), 0.99),
        "stall_s_per_generation": engines["stalled_s"] / started,
        "seen_stall_s_per_stream": stalls(records),
        "preemptions": engines["preemptions"],
        "gap_p99_s": quantile(gaps, 0.99),
        "gap_p50_s": quantile(gaps, 0.5),
        "crest_useful_tokens_per_s": useful / crest_s,
        "crest_in_time": sum(r.in_time for r in crest) / max(1, len(crest)),
        "answer_p99_s": quantile(whole_seconds(records), 0.99),
        "short_late": sum(not r.in_time for r in short) / max(1, len(short)),
    }


def slowed_measures(records: list[Record]) -> dict[str, float]:
    """Return the measures of the load with slowed endpoints."""
    short = [record for record in records if record.short]
    long = [record for record in records if not record.short]
    return {
        "slowed_answer_p99_s": quantile(whole_seconds(records), 0.99),
        "slowed_answer_p95_s": quantile(whole_seconds(records), 0.95),
        "slowed_answer_p50_s": quantile(whole_seconds(records), 0.5),
        "slowed_stretch_p99": quantile(stretches(records), 0.99),
        "slowed_short_answer_p99_s": quantile(whole_seconds(short), 0.99),
        "slowed_long_answer_p99_s": quantile(whole_seconds(long), 0.99),
        "slowed_short_wait_p99_s": quantile(waits(short), 0.99),
        "slowed_in_time": sum(r.in_time for r in records) / max(1, len(records)),
    }


def wrongs(records: list[Record], engines: dict[str, Any]) -> dict[str, int]:
    """Return the counts that must be zero."""
    return {
        "tokens_lost": sum(record.lost for record in records),
        "tokens_repeated": sum(record.repeated for record in records),
        "tokens_crossed": sum(record.crossed for record in records),
        "cut_streams": sum(record.cut for record in records),
        "false_refusals": false_refusals(records),
        "false_not_run": false_not_run(records, engines["tags"]),
        "open_left": engines["open"],
    }


def false_not_run(records: list[Record], tags: dict[str, int]) -> int:
    """Return how many callers were told "not run" of a request that ran."""
    return sum(
        record.run == "not-run" and f"r{record.number}" in tags for record in records
    )


def spread(values: list[float]) -> dict[str, float]:
    """Return the median and range of a measure over repeats."""
    return {
        "median": statistics.median(values),
        "low": min(values),
        "high": max(values),
    }
