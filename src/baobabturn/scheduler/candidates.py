"""Picks the engines that an admission examines, so that their number is bounded.

In a pool of up to ``SMALL_POOL_SIZE`` all are examined.  In a larger one the likely
best ones are, and a random sample: those that last got a prompt with the same prefix,
those that were cheapest or lost work lately, and some of the own failure domain.  Where
none of them has room the whole pool is examined, but not again for a while.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable, Iterator

from baobabturn.scheduler.state import EndpointState, PoolState, WaitingRequest
from baobabturn.wire.messages import Admit

# Up to this many engines all are examined.
SMALL_POOL_SIZE = 64
# How many engines of a larger pool are examined, and at most how many of them by
# prefix, by lowest recent cost, and of the own failure domain; the others are a random
# sample.
EXAMINED_COUNT = 96
PREFIX_COUNT, RECENT_COUNT, NEAR_COUNT = 16, 32, 24
# Prefix blocks, and the engines that last got a prompt with each.
MAX_BLOCKS, HOLDERS_PER_BLOCK = 4096, 4
# A large pool in which a request found no room is examined as a whole for it, or for
# others that can use the same engines, this much later: 3,000 engines take some 10 ms.
WHOLE_POOL_INTERVAL_S = 0.1


def is_small(pool: PoolState) -> bool:
    """Return whether all engines of a pool are examined for each request."""
    return len(pool.endpoints) <= SMALL_POOL_SIZE


def is_constrained(admit: Admit) -> bool:
    """Return whether a request may not go to all engines that others may go to."""
    return bool(admit.excluded or admit.software_version or admit.failure_domains)


class Candidates:
    """Remembers likely engines of one pool.

    ``recent`` names the engines that were cheapest at the last admissions, or that
    have lost work since, newest last.  ``holders`` names for each prefix block the
    engines that last got it.  ``whole_pool_at`` is when the whole pool was last
    examined in vain for requests of each class (True for urgent), in monotonic seconds.
    """

    def __init__(self, *, source: random.Random):
        self.source = source
        self.recent: OrderedDict[str, None] = OrderedDict()
        self.holders: OrderedDict[int, list[str]] = OrderedDict()
        self.whole_pool_at: dict[bool, float] = {}

    def groups(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> Iterator[Iterable[EndpointState]]:
        """Yield the engines to examine; the next ones are for if none has room."""
        if is_small(pool):
            yield pool.endpoints.values()
            return
        yield self.likely(pool, waiting.admit)
        if self.is_whole_pool_due(waiting, now):
            yield pool.endpoints.values()
            self.record_full(waiting, now)

    def likely(self, pool: PoolState, admit: Admit) -> list[EndpointState]:
        """Return the engines of a large pool to examine first."""
        names = dict.fromkeys(self.prefix_holders(admit.prefixes))
        names.update(dict.fromkeys(reversed(self.recent)))
        names.update(dict.fromkeys(pool.near.sample(self.source, NEAR_COUNT)))
        names.update(dict.fromkeys(pool.names.sample(self.source, EXAMINED_COUNT)))
        known = (pool.endpoints.get(name) for name in names)
        return [each for each in known if each is not None][:EXAMINED_COUNT]

    def prefix_holders(self, blocks: list[int]) -> list[str]:
        """Return the engines that last got a prompt's prefix, longest part first."""
        found: dict[str, None] = {}
        for block in reversed(blocks):
            found.update(dict.fromkeys(self.holders.get(block, ())))
            if len(found) >= PREFIX_COUNT:
                break
        return list(found)[:PREFIX_COUNT]

    def is_whole_pool_due(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a large pool is to be examined as a whole for a request."""
        examined_at = waiting.whole_pool_at
        if not is_constrained(waiting.admit):
            class_at = self.whole_pool_at.get(waiting.urgent, 0.0)
            examined_at = max(examined_at, class_at)
        return not examined_at or now - examined_at >= WHOLE_POOL_INTERVAL_S

    def record_full(self, waiting: WaitingRequest, now: float) -> None:
        """Record that no engine of the whole pool has room for a request."""
        waiting.whole_pool_at = now
        if not is_constrained(waiting.admit):
            self.whole_pool_at[waiting.urgent] = now

    def record_choice(
        self, pool: PoolState, admit: Admit, cheapest: list[EndpointState]
    ) -> None:
        """Remember the engines that were cheapest at an admission; the first got it."""
        if is_small(pool) or not cheapest:
            return
        for endpoint in reversed(cheapest[:RECENT_COUNT]):
            self.remember(endpoint.name)
        for block in admit.prefixes:
            before = self.holders.pop(block, [])
            name = cheapest[0].name
            others = [each for each in before if each != name]
            self.holders[block] = [name, *others][:HOLDERS_PER_BLOCK]
        while len(self.holders) > MAX_BLOCKS:
            self.holders.popitem(last=False)

    def remember(self, name: str) -> None:
        """Remember that an engine was cheap, or has lost work."""
        self.recent[name] = None
        self.recent.move_to_end(name)
        if len(self.recent) > RECENT_COUNT:
            self.recent.popitem(last=False)
