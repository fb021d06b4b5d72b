"""A set of names that can be sampled in a time that doesn't grow with the set."""

from __future__ import annotations

import random


class SampledSet:
    """Names in no order.

    Example::

        >>> names = SampledSet()
        >>> for name in ("e0", "e1", "e2"):
        ...     names.add(name)
        >>> names.discard("e0")
        >>> sorted(names.sample(random.Random(1), 5))
        ['e1', 'e2']
    """

    def __init__(self):
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name, if it isn't there."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name, if it is there; the last one takes its position."""
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def sample(self, source: random.Random, count: int) -> list[str]:
        """Return some names at random, all of them if there are no more."""
        return source.sample(self.names, min(count, len(self.names)))
