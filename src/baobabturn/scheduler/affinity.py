"""Which prefix blocks an endpoint is thought to hold.

Known from the endpoint's late and gappy events and from what it was sent.  A
block that nothing has confirmed for as long as blocks lately stayed no longer
counts, since the event of its removal comes late or was lost.
"""

from __future__ import annotations

from collections import OrderedDict

from baobabturn.endpoints.prefixes import BLOCK_TOKENS

STAY_SHARE = 0.05
LEAST_TRUST_S = 0.5


class CachedBlocks:
    """The blocks of one endpoint with the time each was last confirmed."""

    def __init__(self, *, limit: int, trust_s: float):
        self.limit = limit
        self.limit_s = trust_s
        self.trust_s = trust_s
        self.blocks: OrderedDict[int, float] = OrderedDict()

    def store(self, blocks: list[int], now: float) -> None:
        """Note that blocks are held."""
        for block in blocks:
            self.blocks[block] = now
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.limit:
            self.blocks.popitem(last=False)

    def remove(self, blocks: list[int], now: float) -> None:
        """Note that blocks are held no more, and learn how long one stays."""
        for block in blocks:
            stored = self.blocks.pop(block, None)
            if stored is None:
                continue
            stayed = min(max(now - stored, LEAST_TRUST_S), self.limit_s)
            self.trust_s += STAY_SHARE * (stayed - self.trust_s)

    def clear(self) -> None:
        """Forget all blocks."""
        self.blocks.clear()

    def held_tokens(self, blocks: list[int], now: float) -> int:
        """Return how many of a prompt's leading tokens are thought to be held."""
        count = 0
        for block in blocks:
            seen = self.blocks.get(block)
            if seen is None or now - seen > self.trust_s:
                break
            count += 1
        return count * BLOCK_TOKENS
