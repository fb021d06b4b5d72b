"""Chooses the addresses that callers are told to use."""

from __future__ import annotations

import math
import random

import attrs

from baobabturn.gateway.domainloads import DomainLoads
from baobabturn.gateway.peers import Peers

# Callers use no more addresses of one answer than these.
MAX_ADDRESSES = 64


@attrs.frozen(kw_only=True)
class AddressGroup:
    """Addresses for callers, a sample of ``serving`` gateways."""

    addresses: list[str]
    serving: int


class Directory:
    """Names gateways that are serving, of each failure domain by their number."""

    def __init__(self, *, peers: Peers, domain_loads: DomainLoads):
        self.peers = peers
        self.domain_loads = domain_loads

    def addresses(self) -> list[str]:
        """Return the addresses that callers should use, in random order.

        If no gateway is known to be serving, return some of all known gateways.
        """
        near = self.domain_loads.near_callers()
        groups = [AddressGroup(addresses=near, serving=len(near))]
        groups += [
            AddressGroup(addresses=load.callers, serving=load.serving)
            for load in self.domain_loads.far_loads()
        ]
        addresses = sample_groups(groups, MAX_ADDRESSES)
        return addresses or self.known_addresses()

    def known_addresses(self) -> list[str]:
        """Return the addresses of gateways that may not be serving."""
        table = self.peers.table
        known = [peer.callers for peer in table.peers.values() if peer.callers]
        known = known or [table.record.callers]
        return random.sample(known, min(len(known), MAX_ADDRESSES))


def sample_groups(groups: list[AddressGroup], limit: int) -> list[str]:
    """Return up to ``limit`` addresses, of each group in proportion to its size.

    Example::

        >>> groups = [AddressGroup(addresses=["a", "b"], serving=2)]
        >>> sorted(sample_groups(groups, 64))
        ['a', 'b']
    """
    total = sum(group.serving for group in groups)
    if not total:
        return []
    chosen: list[str] = []
    for group in groups:
        share = math.ceil(min(1.0, limit / total) * group.serving)
        chosen += random.sample(group.addresses, min(len(group.addresses), share))
    random.shuffle(chosen)
    return chosen[:limit]
