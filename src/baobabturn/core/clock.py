"""A hybrid logical clock: wall time that increases along a chain of messages.

Stamps are 64-bit integers: 48 bits of milliseconds since the epoch, then 16 bits
of counter.  So they sort as numbers and fit into one message field.
The scheme is that of Kulkarni and others, "Logical Physical Clocks" (2014).
"""

from __future__ import annotations

import time

COUNTER_BITS = 16
COUNTER_MASK = (1 << COUNTER_BITS) - 1
MS_PER_S = 1000


def wall_ms() -> int:
    """Return the wall time in whole milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


class HybridClock:
    """A clock whose stamps are larger than every stamp that it has seen."""

    def __init__(self, *, wall=wall_ms):
        self.wall = wall
        self.last_stamp = 0

    def now(self) -> int:
        """Return a new stamp for a local event or an outgoing message."""
        self.last_stamp = max(self.last_stamp + 1, self.wall() << COUNTER_BITS)
        return self.last_stamp

    def observe(self, stamp: int) -> int:
        """Merge the stamp of a received message and return a later one."""
        self.last_stamp = max(self.last_stamp, stamp)
        return self.now()


def stamp_ms(stamp: int) -> int:
    """Return the millisecond part of a stamp."""
    return stamp >> COUNTER_BITS


def stamp_counter(stamp: int) -> int:
    """Return the counter part of a stamp."""
    return stamp & COUNTER_MASK
