"""Estimates which prompt prefix blocks an endpoint has in its prefix cache.

The estimate comes from the endpoint's cache events, which arrive late and
incompletely, and from the prompts that were sent to it.  A block that was not
confirmed recently no longer counts, since its removal event may have been lost.
"""

from __future__ import annotations

from collections import OrderedDict

from baobabturn.endpoints.prefixes import BLOCK_TOKENS


class CachedBlocks:
    """The cached blocks of one endpoint, with the time each was last confirmed.

    Blocks are identified by their hash; at most ``limit`` are kept, the most
    recently confirmed ones.  A block counts for ``trust_s`` seconds.
    """

    def __init__(self, *, limit: int, trust_s: float):
        self.limit = limit
        self.trust_s = trust_s
        self.blocks: OrderedDict[int, float] = OrderedDict()

    def store(self, blocks: list[int], now: float) -> None:
        """Record that blocks are cached."""
        for block in blocks:
            self.blocks[block] = now
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.limit:
            self.blocks.popitem(last=False)

    def remove(self, blocks: list[int]) -> None:
        """Record that blocks are no longer cached."""
        for block in blocks:
            self.blocks.pop(block, None)

    def clear(self) -> None:
        """Record that no block is cached."""
        self.blocks.clear()

    def held_tokens(self, blocks: list[int], now: float) -> int:
        """Return how many of a prompt's leading tokens are probably cached.

        ``blocks`` are the hashes of the prompt's leading blocks, in order.
        """
        count = 0
        for block in blocks:
            seen = self.blocks.get(block)
            if seen is None or now - seen > self.trust_s:
                break
            count += 1
        return count * BLOCK_TOKENS
