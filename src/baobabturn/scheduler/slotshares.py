"""Divides the slots of endpoints between hosts that share them.

Each slot belongs to one host, by rendezvous hashing, so that hosts which know each
other use no slot twice without a message for each request.  A host that leaves gives up
its own slots and moves few others.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash


@attrs.frozen(order=True)
class Slot:
    """One of the requests that an endpoint runs at a time."""

    endpoint: str
    number: int


def slot_owners(slots: dict[str, int], hosts: Iterable[str]) -> dict[Slot, str]:
    """Return the host of each slot, given the number of slots of each endpoint.

    The numbers of slots that two hosts have differ by one at most.
    """
    counts = dict.fromkeys(sorted(hosts), 0)
    all_slots = [Slot(name, n) for name in sorted(slots) for n in range(slots[name])]
    if not counts:
        return {}
    base_count, extra_count = divmod(len(all_slots), len(counts))
    owners = {}
    for slot in all_slots:
        owner = max(
            (
                host
                for host, count in counts.items()
                if count < base_count or (count == base_count and extra_count)
            ),
            key=lambda host: rank(slot, host),
        )
        extra_count -= counts[owner] == base_count
        counts[owner] += 1
        owners[slot] = owner
    return owners


def own_slots(
    slots: dict[str, int], hosts: Iterable[str], own_host: str
) -> dict[str, int]:
    """Return how many slots of each endpoint a host may use.

    A host without any, because there are more hosts than slots, may use one.

    Example::

        >>> own_slots({"w1": 4, "w2": 4}, ["g1"], "g1")
        {'w1': 4, 'w2': 4}
    """
    own = dict.fromkeys(slots, 0)
    for slot, owner in slot_owners(slots, hosts).items():
        own[slot.endpoint] += owner == own_host
    if slots and not any(own.values()):
        first_choice = max(slots, key=lambda name: rank(Slot(name, 0), own_host))
        own[first_choice] = 1
    return own


def rank(slot: Slot, host: str) -> int:
    """Return a number by which each slot orders the hosts in its own way."""
    return xxhash.xxh3_64_intdigest(f"{slot.endpoint}\n{slot.number}\n{host}".encode())
