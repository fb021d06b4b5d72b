"""Member states, and the owner of a key by rendezvous hashing over alive members.

A key is, for example, the name of a pool; the owner's scheduler serves the pool.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from baobabturn.wire.messages import Member

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
LIVE_STATES = (ALIVE, LEAVING)  # a leaving member answers, but owns nothing


def weight(name: str, key: str) -> int:
    """Return a member's weight for a key; the member with the largest owns it."""
    return xxhash.xxh64_intdigest(f"{name}\n{key}".encode())


def owner(key: str, region: str, members: Iterable[Member]) -> Member | None:
    """Return the member that owns a key, None if no member is alive.

    Members of the key's region are preferred.  A member whose scheduler process
    doesn't answer owns no key.
    """
    alive = [
        member
        for member in members
        if member.state == ALIVE and not member.scheduler_down
    ]
    in_region = [member for member in alive if member.region == region]
    candidates = in_region or alive
    if not candidates:
        return None
    return max(candidates, key=lambda member: weight(member.name, key))
