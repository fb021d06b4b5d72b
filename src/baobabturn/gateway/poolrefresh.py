"""Brings the engines of a pool up to date with the endpoints that have changed."""

from __future__ import annotations

from collections.abc import Iterable

from baobabturn.config.declared import Endpoint as DeclaredEndpoint
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.routes import EngineTraits
from baobabturn.scheduler.pool import PoolScheduler


def refresh_pool(
    pool: PoolScheduler,
    endpoints: Endpoints,
    traits: EngineTraits,
    changed: Iterable[str],
) -> list[str]:
    """Apply the endpoints that have changed to a pool; return those that it has."""
    name = pool.state.name
    removed: list[str] = []
    current: list[Endpoint] = []
    for each in changed:
        endpoint = endpoints.by_name.get(each)
        if endpoint is not None and endpoint.record.service == name:
            current.append(endpoint)
        elif each in pool.state.endpoints:
            removed.append(each)
    pool.update_endpoints(
        [to_declared(endpoint, traits) for endpoint in current],
        removed,
        leaving={endpoint.name for endpoint in current if endpoint.leaving},
        closed={each.name for each in current if endpoints.is_closed(each)},
    )
    return [endpoint.name for endpoint in current]


def to_declared(endpoint: Endpoint, traits: EngineTraits) -> DeclaredEndpoint:
    """Return an engine in the form that the scheduler takes."""
    record = endpoint.record
    return DeclaredEndpoint(
        name=record.name,
        url=f"http://{record.address}",
        failure_domain=record.failure_domain,
        service=record.service,
        memory_tokens=traits.kv_cache_tokens,
        concurrency=traits.slots,
    )
