"""Hands on what schedulers have learned, so that it outlives their hosts.

A pool's scheduler sends a compact form to a few entries from time to time.
These keep the newest in memory and tell it to the pool's next owner, as they
tell what they hold.  No platform call is made.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from baobabturn.wire.link import Link
from baobabturn.wire.messages import Learned

ENTRY = "entry"


def keepers(links: Iterable[Link], pool: str, count: int) -> list[Link]:
    """Return the entries' links that keep a pool's learned state."""
    entries = {
        link.peer.node: link
        for link in links
        if link.peer is not None and link.peer.role == ENTRY
    }

    def place(node: str) -> int:
        return xxhash.xxh64_intdigest(f"{pool}/{node}".encode())

    names = sorted(entries, key=place)
    return [entries[name] for name in names[:count]]


class LearnedStore:
    """The learned state that other hosts told, until the pool is owned here."""

    def __init__(self):
        self.bodies: dict[str, bytes] = {}

    def keep(self, body: Learned, pools: Iterable[str]) -> None:
        """Keep a pool's newest state; forget that of pools that are no more."""
        known = set(pools)
        for name in [name for name in self.bodies if name not in known]:
            del self.bodies[name]
        if body.pool in known and body.body:
            self.bodies[body.pool] = body.body
