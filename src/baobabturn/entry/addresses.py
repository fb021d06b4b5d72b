"""Builds the list of entry addresses that callers should use."""

from __future__ import annotations

import random
from typing import Any

from baobabturn.entry.node import Node
from baobabturn.membership.owners import ALIVE
from baobabturn.wire.messages import Member


def distance(node: Node, member: Member) -> int:
    """Return 0 for a member in this failure domain, 1 in this region, else 2."""
    host = node.settings.host
    if member.failure_domain == host.failure_domain:
        return 0
    return 1 if member.region == host.region else 2


def entries_body(node: Node, scheme: str) -> dict[str, Any]:
    """Return the live entries, nearest first and in random order within a distance."""
    alive = [
        member
        for member in node.members
        if member.state == ALIVE and not member.entry_down
    ]
    random.shuffle(alive)
    alive.sort(key=lambda member: distance(node, member))
    return {
        "entries": [
            {
                "url": f"{scheme}://{member.address}:{member.entry_port}",
                "host": member.name,
                "failure_domain": member.failure_domain,
                "region": member.region,
            }
            for member in alive
        ],
        "lifetime_s": node.settings.entry.address_lifetime_s,
        "revision": node.state.revision,
    }
