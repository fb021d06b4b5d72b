"""Measures what engines have to do: tokens in use, to prefill, and awaited."""

from __future__ import annotations

from collections.abc import Iterable

from baobabturn.scheduler.state import EndpointState, PoolState, Reservation


def urgent_tokens(engines: Iterable[EndpointState], pool: PoolState) -> int:
    """Return the tokens that urgent requests use at some engines, or wait for."""
    used = sum(
        reservation.memory_tokens
        for endpoint in engines
        for reservation in endpoint.reservations.values()
        if reservation.urgent
    )
    return used + sum(
        waiting.admit.prompt_tokens for waiting in pool.queue.values() if waiting.urgent
    )


def memory_tokens_by_name(pool: PoolState) -> dict[str, int]:
    """Return the KV memory of each endpoint that takes new requests, in tokens."""
    return {
        endpoint.name: endpoint.memory_tokens
        for endpoint in pool.endpoints.values()
        if endpoint.takes_new_requests
    }


def tokens_to_prefill(reservation: Reservation) -> int:
    """Return the tokens to prefill before a reservation's first token."""
    return reservation.prefill_ahead_tokens + reservation.uncached_tokens


def awaited_first_tokens(
    endpoint: EndpointState, now: float
) -> list[tuple[int, float]]:
    """Return the tokens to prefill and the age of each awaited first token."""
    return [
        (tokens_to_prefill(reservation), now - reservation.granted_at)
        for reservation in endpoint.reservations.values()
        if not reservation.first_token_seen
    ]
