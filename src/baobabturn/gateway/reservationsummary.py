"""Compares a replica of another gateway's reservations with that gateway's summary.

A summary holds a digest of the reservations after all changes up to its number.  The
digest is a sum over the reservations, so a replica that lacks changes, or has newer
ones, can be compared as well: the difference between the two digests is changed by the
messages up to the summary's number alone, and is 0 once all of them have come.

Example: the summary with number 8 covers the reservations a and b, and b is still on
its way.  The difference is the digest of b.  The release of a with number 9 leaves it
as it is; b with number 7 makes it 0.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs
import xxhash

from baobabturn.wire.messages import Holding, Holdings

# A change that was sent longer ago is lost.  On the way through a forwarder, which is
# replaced after 0.8 s without a confirmation, one may take nearly as long.
MAX_TRANSIT_S = 1.0
# Digests are of 64 bits.
DIGEST_MODULUS = 1 << 64
# Doesn't occur in names.
FIELD_SEPARATOR = "\0"


class Step(enum.Enum):
    """What a gateway does about a summary."""

    CONFIRM = "confirm"
    WAIT = "wait"
    ASK = "ask"


@attrs.frozen(kw_only=True)
class Summary:
    """What a gateway says of all its reservations.

    ``sequence`` is its number, ``changed`` that of the last change before it, which
    was sent ``changed_s`` seconds before it.  ``produced`` holds the tokens produced of
    each reservation, in the order of their names.
    """

    sequence: int
    digest: int
    changed: int = 0
    changed_s: float = 0.0
    produced: list[int] = attrs.Factory(list)


class SummaryCheck:
    """The comparison of a replica with one summary; times are passed in, in seconds.

    ``newest`` is the number of the newest change that the replica has.  ``is_complete``
    says that the last change before the summary has come: then those that are lacking
    won't come.  Newer ones say nothing of that, as they may overtake others.
    """

    def __init__(
        self, *, summary: Summary, replica_digest: int, newest: int, now: float
    ):
        self.summary = summary
        self.difference = (summary.digest - replica_digest) % DIGEST_MODULUS
        self.is_complete = newest >= summary.changed
        self.deadline = now + max(0.0, MAX_TRANSIT_S - summary.changed_s)

    def record(self, sequence: int, before: int, after: int) -> None:
        """Record a message, and the replica's digest before and after it."""
        if sequence == self.summary.changed:
            self.is_complete = True
        if sequence <= self.summary.sequence:
            self.difference = (self.difference + before - after) % DIGEST_MODULUS

    def step(self, *, is_whole: bool, now: float) -> Step:
        """Return what to do now; a replica that was never whole needs a full state."""
        if not self.difference:
            return Step.CONFIRM
        if not is_whole or self.is_complete or now >= self.deadline:
            return Step.ASK
        return Step.WAIT


def reservation_digest(pool: str, holding: Holding) -> int:
    """Return the digest of one reservation, whatever it has produced."""
    fields = (
        pool,
        holding.reservation,
        holding.endpoint,
        holding.software_version,
        holding.prompt_tokens,
        holding.max_tokens,
        holding.priority,
    )
    return xxhash.xxh64_intdigest(FIELD_SEPARATOR.join(map(str, fields)).encode())


def digest_of(reservations: Iterable[tuple[str, Holding]]) -> int:
    """Return the digest of some reservations with their pools, in any order."""
    digests = (reservation_digest(pool, holding) for pool, holding in reservations)
    return sum(digests) % DIGEST_MODULUS


def digest_of_holdings(holdings: list[Holdings]) -> int:
    """Return the digest of reservations by pool."""
    return digest_of((each.pool, item) for each in holdings for item in each.items)


def produced_by_name(holdings: list[Holdings]) -> list[int]:
    """Return the tokens produced of each reservation, in the order of their names."""
    items = [item for each in holdings for item in each.items]
    items.sort(key=lambda item: item.reservation)
    return [item.produced for item in items]
