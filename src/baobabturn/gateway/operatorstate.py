"""The gateway's state for operators: closed failure domains, cold endpoints, callers.

It is sent as JSON on the metrics port, bounded in size, and changes nothing.
"""

from __future__ import annotations

import json
import time
import urllib.parse
from collections import Counter
from collections.abc import Iterable
from typing import Any

from baobabturn.entry.responses import send_bytes
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.listingreasons import ListedGateway, listing_reason
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.platforminterface import CallerPlace

# Items in each list: less than 500 KB in all with the longest ASCII names, 4 MB with
# any.  ``total`` says how many there are.
MAX_ITEMS = 256
MAX_NAME_CHARACTERS = 128
SECOND_DIGITS, PART_DIGITS = 3, 4


class OperatorState:
    """Describes what a gateway has closed, what is cold there, and where callers go."""

    def __init__(self, *, node: GatewayNode):
        self.node = node

    async def serve(self, query: bytes, send: Any) -> None:
        """Send the state; the query may state a caller's place."""
        body = json.dumps(self.describe(read_place(query), time.monotonic()))
        await send_bytes(send, body.encode(), 200, b"application/json")

    def describe(self, caller: CallerPlace | None, now: float) -> dict[str, Any]:
        """Return the state at a monotonic time, with the callers of a stated place."""
        record = self.node.peers.record
        found = {
            "host": record.name,
            "failure_domain": record.failure_domain,
            "serving": self.node.serving(),
            "evacuations_enabled": self.node.evacuation_watch is not None,
            "closed_domains": bounded(self.closed_domains(now)),
            "closed_endpoints": bounded(self.closed_endpoints()),
            "cold_endpoints": bounded(self.cold_endpoints(now)),
            "queues": bounded(self.queues()),
        }
        if caller is not None:
            found["callers"] = self.callers(caller)
        return found

    def closed_domains(self, now: float) -> list[dict[str, Any]]:
        """Return the failure domains that are closed here, and for how long.

        ``held`` says that the store has lost the evacuation by returning from a copy.
        ``generations`` are those of all gateways, ``requests`` the plain requests that
        this one has sent there and that haven't ended.
        """
        watch = self.node.evacuation_watch
        if watch is None:
            return []
        endpoints: Counter[str] = Counter()
        requests: Counter[str] = Counter()
        for endpoint in self.node.endpoints.by_name.values():
            endpoints[endpoint.record.failure_domain] += 1
            in_flight = self.requests_at(endpoint.name)
            requests[endpoint.record.failure_domain] += in_flight
        return [
            {
                "failure_domain": domain,
                "closed_s": round(now - since, SECOND_DIGITS),
                "held": domain in watch.held,
                "endpoints": endpoints[domain],
                "generations": self.node.pools.generation_count({domain}),
                "requests": requests[domain],
            }
            for domain, since in sorted(watch.closed_since.items())
        ]

    def closed_endpoints(self) -> list[dict[str, Any]]:
        """Return the closed endpoints at which something still runs."""
        known = sorted(self.node.endpoints.by_name.items())
        found = [
            {
                "endpoint": name,
                "service": endpoint.record.service,
                "failure_domain": endpoint.record.failure_domain,
                "generations": self.generations_at(endpoint),
                "requests": self.requests_at(name),
            }
            for name, endpoint in known
            if self.node.endpoints.is_closed(endpoint)
        ]
        return [each for each in found if each["generations"] or each["requests"]]

    def generations_at(self, endpoint: Endpoint) -> int:
        """Return how many generations of all gateways run at an endpoint."""
        pool = self.node.pools.pools.get(endpoint.record.service)
        state = pool.state.endpoints.get(endpoint.name) if pool is not None else None
        return len(state.reservations) if state is not None else 0

    def requests_at(self, name: str) -> int:
        """Return how many plain requests of this gateway run at an endpoint."""
        stats = self.node.plain.ranking.stats.get(name)
        return stats.in_flight if stats is not None else 0

    def cold_endpoints(self, now: float) -> list[dict[str, Any]]:
        """Return the endpoints that warm up, until when, and at what rate.

        ``known`` says that its entry or an answer has told how long, ``next_s`` in what
        time a request that is booked now would be sent, ``waiting`` how many requests
        of this gateway have booked a turn.
        """
        rate_limits, turns = self.node.rate_limits, self.node.plain.turns
        cold, limits = rate_limits.cold, rate_limits.limits
        cold.update()
        found = []
        for name, since in sorted(cold.cold_since.items()):
            limit = cold.warm_up.cold_limit(name, now)
            endpoint = self.node.endpoints.by_name.get(name)
            if limit is None or endpoint is None:
                continue
            found.append(
                {
                    "endpoint": name,
                    "service": endpoint.record.service,
                    "failure_domain": endpoint.record.failure_domain,
                    "cold_s": round(now - since, SECOND_DIGITS),
                    "left_s": round(limit.until - now, SECOND_DIGITS),
                    "per_s": limit.per_s,
                    "known": not cold.warm_up.is_unknown(name),
                    "next_s": round(limits.delay_s(name), SECOND_DIGITS),
                    "waiting": len(turns.candidates(name)),
                }
            )
        return found

    def queues(self) -> list[dict[str, Any]]:
        """Return the services whose requests wait here for an engine, and how many."""
        pools = self.node.pools.pools
        return [
            {"service": service, "waiting": len(pool.state.queue)}
            for service, pool in sorted(pools.items())
            if pool.state.queue
        ]

    def callers(self, caller: CallerPlace) -> dict[str, Any]:
        """Return to which gateways callers of a place are sent, and why."""
        reason = listing_reason(self.node.directory, caller)
        return {
            "failure_domain": shortened(caller.failure_domain),
            "rule": reason.rule.value,
            "detail": reason.detail,
            "gateways": bounded(describe_listed(reason.gateways)),
        }


def describe_listed(gateways: Iterable[ListedGateway]) -> list[dict[str, Any]]:
    """Return gateways and the part of callers that each gets."""
    return [
        {
            "address": each.address,
            "failure_domain": each.failure_domain,
            "part": round(each.part, PART_DIGITS),
        }
        for each in gateways
    ]


def read_place(query: bytes) -> CallerPlace | None:
    """Return the place of callers that a query states, None if it states none.

    Example::

        >>> read_place(b"failure_domain=zone-a").failure_domain
        'zone-a'
    """
    fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
    names = ("failure_domain", "region", "host")
    if not fields.keys() & set(names):
        return None
    return CallerPlace(**{name: fields.get(name, "") for name in names})


def bounded(items: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the first items with shortened texts, and how many there are."""
    return {
        "total": len(items),
        "items": [
            {name: shortened(value) for name, value in each.items()}
            for each in items[:MAX_ITEMS]
        ],
    }


def shortened(value: Any) -> Any:
    """Return a text without what exceeds the length of names, or another value."""
    return value[:MAX_NAME_CHARACTERS] if isinstance(value, str) else value
