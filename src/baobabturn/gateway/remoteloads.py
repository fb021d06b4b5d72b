"""Sums up the load on engines by the gateways of other failure domains."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from baobabturn.scheduler.pool import PoolScheduler
from baobabturn.wire.gatewaymessages import EngineLoad


@attrs.define(kw_only=True)
class RemoteLoad:
    """The load on one engine: KV memory at its peak, in tokens, and requests."""

    tokens: int = 0
    requests: int = 0


class RemoteLoads:
    """The aggregated load by each failure domain, and its sum for each engine.

    ``totals`` is keyed by pool and engine.  An aggregate costs time for the engines
    that it and the last one of its failure domain name, however large the pools are.
    """

    def __init__(self, *, pools: Mapping[str, PoolScheduler]):
        self.pools = pools
        self.by_domain: dict[str, list[EngineLoad]] = {}
        self.totals: dict[tuple[str, str], RemoteLoad] = {}

    def replace(self, domain: str, loads: list[EngineLoad]) -> None:
        """Replace the aggregate of a failure domain."""
        before = self.by_domain.pop(domain, [])
        if loads:
            self.by_domain[domain] = loads
        self.add(before, -1)
        self.add(loads, 1)
        for load in (*before, *loads):
            self.apply(load.pool, load.endpoint)

    def add(self, loads: Iterable[EngineLoad], sign: int) -> None:
        """Add loads to the sums; remove them with ``sign`` -1."""
        for load in loads:
            total = self.totals.setdefault((load.pool, load.endpoint), RemoteLoad())
            total.tokens += sign * load.tokens
            total.requests += sign * load.requests

    def apply(self, pool: str, endpoint: str) -> None:
        """Set the remote load of an engine to its sum; forget a sum of nothing."""
        total = self.totals.get((pool, endpoint), RemoteLoad())
        if not (total.tokens or total.requests):
            self.totals.pop((pool, endpoint), None)
        known = self.pools.get(pool)
        if known is not None and endpoint in known.state.endpoints:
            state = known.state.endpoints[endpoint]
            state.remote_tokens, state.remote_requests = total.tokens, total.requests
