"""Replicates the learned state of schedulers, so that it outlives their hosts.

A pool's scheduler periodically sends its packed learned state to a few entries.
They keep the newest one in memory and send it to the pool's next owner, together
with their reservations.  This needs no platform calls.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from baobabturn.wire.link import Link
from baobabturn.wire.messages import Learned

ENTRY = "entry"


def replica_links(links: Iterable[Link], pool: str, count: int) -> list[Link]:
    """Return the links of the entries that keep a pool's replicas.

    Rendezvous hashing makes the choice stable while entries come and go.
    """
    link_by_node = {
        link.peer.node: link
        for link in links
        if link.peer is not None and link.peer.role == ENTRY
    }

    def rank(node: str) -> int:
        return xxhash.xxh64_intdigest(f"{pool}/{node}".encode())

    nodes = sorted(link_by_node, key=rank)
    return [link_by_node[name] for name in nodes[:count]]


class LearnedReplicas:
    """The newest learned state of pools, received from their schedulers."""

    def __init__(self):
        self.body_by_pool: dict[str, bytes] = {}

    def keep(self, body: Learned, pools: Iterable[str]) -> None:
        """Keep a pool's newest state; delete that of pools that no longer exist."""
        existing = set(pools)
        for name in [name for name in self.body_by_pool if name not in existing]:
            del self.body_by_pool[name]
        if body.pool in existing and body.body:
            self.body_by_pool[body.pool] = body.body
