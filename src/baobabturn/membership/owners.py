"""Which host's scheduler owns a pool: rendezvous hashing over live members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from baobabturn.wire.messages import Member

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
LIVE_STATES = (ALIVE, LEAVING)


def weight(name: str, key: str) -> int:
    """Return a member's weight for a key; the largest owns it."""
    return xxhash.xxh64_intdigest(f"{name}\n{key}".encode())


def owner(key: str, region: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns a key, None where no member is alive.

    Members of the key's region go before others; a member whose scheduler
    process doesn't answer owns nothing.
    """
    alive = [
        member
        for member in members
        if member.state == ALIVE and not member.scheduler_down
    ]
    near = [member for member in alive if member.region == region]
    candidates = near or alive
    if not candidates:
        return None
    return max(candidates, key=lambda member: weight(member.name, key))
