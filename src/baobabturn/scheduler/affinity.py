"""Which prefix blocks an endpoint is thought to hold.

Known from the endpoint's late and gappy events and from what it was sent.  A
block that nothing has confirmed for a while no longer counts, since the event
of its removal may have been lost.
"""

from __future__ import annotations

from collections import OrderedDict

from baobabturn.endpoints.prefixes import BLOCK_TOKENS


class CachedBlocks:
    """The blocks of one endpoint with the time each was last confirmed."""

    def __init__(self, *, limit: int, trust_s: float):
        self.limit = limit
        self.trust_s = trust_s
        self.blocks: OrderedDict[int, float] = OrderedDict()

    def store(self, blocks: list[int], now: float) -> None:
        """Note that blocks are held."""
        for block in blocks:
            self.blocks[block] = now
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.limit:
            self.blocks.popitem(last=False)

    def remove(self, blocks: list[int]) -> None:
        """Note that blocks are held no more."""
        for block in blocks:
            self.blocks.pop(block, None)

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
