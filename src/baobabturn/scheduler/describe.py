"""Describes the pools that a scheduler owns, for operators' tools."""

from __future__ import annotations

import json
from typing import Any

from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.scheduler.state import EndpointState


def describe(pools: dict[str, PoolScheduler]) -> str:
    """Return the owned pools and their endpoints as JSON text."""
    return json.dumps(
        [
            {
                "pool": name,
                "waiting": len(pool.state.queue),
                "settled": pool.settled,
                "endpoints": [
                    describe_endpoint(endpoint)
                    for _, endpoint in sorted(pool.state.endpoints.items())
                ],
            }
            for name, pool in sorted(pools.items())
        ]
    )


def describe_endpoint(endpoint: EndpointState) -> dict[str, Any]:
    """Return the fields of an endpoint as its scheduler sees it."""
    report = endpoint.report
    return {
        "endpoint": endpoint.name,
        "state": endpoint_availability(endpoint),
        "in_flight": endpoint.in_flight,
        "used_tokens": endpoint.used_tokens,
        "memory_tokens": endpoint.memory_tokens,
        "reported_running": report.running if report else None,
        "reported_waiting": report.waiting if report else None,
        "preemptions": report.preemptions if report else None,
    }


def endpoint_availability(endpoint: EndpointState) -> str:
    """Return whether an endpoint gets new requests, and why not, as one word."""
    report = endpoint.report
    if endpoint.leaving or (report is not None and report.leaving):
        return "leaving"
    if report is None:
        return "no-report"
    return "serving" if report.reachable else "unreachable"
