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

    Blocks are identified by their hash; at most ``max_blocks`` are kept, the most
    recently confirmed ones.  A block counts for ``max_age_s`` seconds.
    """

    def __init__(self, *, max_blocks: int, max_age_s: float):
        self.max_blocks = max_blocks
        self.max_age_s = max_age_s
        self.confirmed_at: OrderedDict[int, float] = OrderedDict()

    def store(self, blocks: list[int], now: float) -> None:
        """Record that blocks are cached."""
        for block in blocks:
            self.confirmed_at[block] = now
            self.confirmed_at.move_to_end(block)
        while len(self.confirmed_at) > self.max_blocks:
            self.confirmed_at.popitem(last=False)

    def remove(self, blocks: list[int]) -> None:
        """Record that blocks are no longer cached."""
        for block in blocks:
            self.confirmed_at.pop(block, None)

    def clear(self) -> None:
        """Record that no block is cached."""
        self.confirmed_at.clear()

    def cached_prefix_tokens(self, blocks: list[int], now: float) -> int:
        """Return how many of a prompt's leading tokens are probably cached.

        ``blocks`` are the hashes of the prompt's leading blocks, in order.
        """
        cached_count = 0
        for block in blocks:
            confirmed = self.confirmed_at.get(block)
            if confirmed is None or now - confirmed > self.max_age_s:
                break
            cached_count += 1
        return cached_count * BLOCK_TOKENS
