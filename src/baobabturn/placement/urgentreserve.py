"""Says which requests are urgent, and how much of each engine is reserved for them.

The reserve follows what urgent work has recently needed at its peak, in the whole pool
and by all gateways.  It is made of rooms for whole requests, since less than one is of
no use, and the rooms are spread over the engines in an order that all gateways share.
"""

from __future__ import annotations

import functools
import math
from collections import deque

import xxhash

# How long a request counts in the mix of priorities, as a time constant.
MIX_MEMORY_S = 60.0
# A priority with less than this is forgotten.
FORGOTTEN_WEIGHT = 0.01
# The lowest priorities that fewer requests than this share declare don't make all
# others urgent.
BASE_SHARE = 0.05
# The reserve follows the highest need within this time, in which bursts come again.
PEAK_WINDOW_S = 10.0
# The reserve of an engine without a room, as a share of the largest reserve.
FLOOR_RATIO = 0.25
SIZE_SMOOTHING_RATIO = 0.05
# The reserve of a large pool is spread over its engines this often: that costs time for
# all of them, 5 ms with 3,000.
SPREAD_INTERVAL_S = 1.0
# Names of engines whose place in the order is kept.
MAX_KEPT_RANKS = 8192


class PriorityMix:
    """The declared priorities of recent requests; larger ones are more urgent.

    ``weights`` holds the decayed number of requests of each priority, and ``base``
    the lowest priority but for a few requests.
    """

    def __init__(self):
        self.weights: dict[int, float] = {}
        self.decayed_at = 0.0
        self.base = 0

    def record(self, priority: int, now: float) -> None:
        """Record a request that came or got an engine, here or at a peer."""
        factor = math.exp((self.decayed_at - now) / MIX_MEMORY_S)
        self.decayed_at = now
        self.weights = {
            each: weight * factor
            for each, weight in self.weights.items()
            if weight > FORGOTTEN_WEIGHT
        }
        self.weights[priority] = self.weights.get(priority, 0.0) + 1.0
        least = BASE_SHARE * sum(self.weights.values())
        seen = 0.0
        for each in sorted(self.weights):
            seen += self.weights[each]
            if seen >= least:
                self.base = each
                break

    def is_urgent(self, priority: int, short: bool) -> bool:
        """Return whether a request is urgent: above the base priority, or short at it.

        So no request is urgent while one of a higher priority isn't.
        """
        return priority > self.base or (short and priority == self.base)


class UrgentReserve:
    """The share of each of a pool's engines that only urgent requests may use.

    ``max_ratio`` is the largest share, which is in force until the need has been seen
    for a while; 0 is for no reserve at all.  Urgent work may use all that others leave,
    and goes first where something becomes free, so a larger reserve would cost others
    more than it gives.  ``peaks`` holds times in monotonic seconds and the tokens in
    use then, newest last, without those that a later one exceeds.

    Example::

        >>> reserve = UrgentReserve(max_ratio=0.1)
        >>> reserve.record_request(tokens=2500)
        >>> for now in (0.0, 10.0):
        ...     reserve.update(2500, {"e0": 25_000, "e1": 25_000, "e2": 25_000}, now)
        >>> sorted(reserve.ratio(name) for name in ("e0", "e1", "e2"))
        [0.025, 0.025, 0.1]
    """

    def __init__(self, *, max_ratio: float):
        self.max_ratio = max_ratio
        self.peaks: deque[tuple[float, float]] = deque()
        self.seen_since: float | None = None
        self.request_tokens = 0.0
        self.ratios: dict[str, float] = {}
        self.spread_at = -math.inf

    def ratio(self, name: str) -> float:
        """Return the reserved share of an engine's memory and batch."""
        return self.ratios.get(name, self.max_ratio)

    def record_request(self, tokens: float) -> None:
        """Record the size of an urgent request that got an engine."""
        if not self.request_tokens:
            self.request_tokens = tokens
        difference = tokens - self.request_tokens
        self.request_tokens += SIZE_SMOOTHING_RATIO * difference

    def update(
        self, needed_tokens: float, memory_tokens: dict[str, int] | None, now: float
    ) -> None:
        """Set the reserve, given the need of urgent work now and the engines' memory.

        ``needed_tokens`` are those that it uses and those that it waits for.  Without
        ``memory_tokens`` the need alone is recorded.
        """
        if self.seen_since is None:
            self.seen_since = now
        while self.peaks and self.peaks[-1][1] <= needed_tokens:
            self.peaks.pop()
        self.peaks.append((now, needed_tokens))
        while self.peaks[0][0] < now - PEAK_WINDOW_S:
            self.peaks.popleft()
        if memory_tokens is None:
            return
        self.spread_at = now
        if now - self.seen_since >= PEAK_WINDOW_S and self.max_ratio:
            self.ratios = self.spread(self.peaks[0][1], memory_tokens)

    def is_old(self, now: float) -> bool:
        """Return whether the reserve of a large pool is to be spread anew."""
        return now - self.spread_at >= SPREAD_INTERVAL_S

    def spread(self, tokens: float, memory_tokens: dict[str, int]) -> dict[str, float]:
        """Return each engine's reserved share, for rooms of some tokens in all."""
        room_tokens = max(1.0, self.request_tokens)
        rooms = max(1, math.ceil(tokens / room_tokens))
        order = sorted(memory_tokens, key=rank)
        whole, extra = divmod(rooms, max(1, len(order)))
        floor_ratio = FLOOR_RATIO * self.max_ratio
        ratios = {}
        for index, name in enumerate(order):
            own_tokens = (whole + (index < extra)) * room_tokens
            ratio = own_tokens / max(1, memory_tokens[name])
            ratios[name] = min(self.max_ratio, max(floor_ratio, ratio))
        return ratios


@functools.lru_cache(maxsize=MAX_KEPT_RANKS)
def rank(name: str) -> bytes:
    """Return a key that puts engines in the same order at all gateways."""
    return xxhash.xxh3_64_digest(name.encode())
