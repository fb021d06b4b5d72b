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
    """The comparison of a replica with one summary; times are passed in, in seconds."""

    def __init__(self, *, summary: Summary, replica_digest: int, now: float):
        self.summary = summary
        self.difference = (summary.digest - replica_digest) % DIGEST_MODULUS
        self.deadline = now + max(0.0, MAX_TRANSIT_S - summary.changed_s)

    def record(self, sequence: int, before: int, after: int) -> None:
        """Record that a message has changed the replica's digest."""
        if sequence <= self.summary.sequence:
            self.difference = (self.difference + before - after) % DIGEST_MODULUS

    def step(self, *, is_whole: bool, newest: int, now: float) -> Step:
        """Return what to do now.

        ``is_whole`` says whether the replica has ever been whole, ``newest`` is the
        number of the newest change that has come.  Once the last change before the
        summary has come, those that are still lacking won't come.
        """
        if not self.difference:
            return Step.CONFIRM
        is_all_here = newest >= self.summary.changed
        if not is_whole or is_all_here or now >= self.deadline:
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
