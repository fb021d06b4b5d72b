"""The order of what the platform's store says."""

from __future__ import annotations

import attrs

from baobabturn.core.results import Code, Failure


@attrs.frozen(order=True)
class StoreVersion:
    """A state of the store, in the order in which its states followed one another.

    ``era`` rises each time the store returns from a copy, from which on its revisions
    are given out again; ``revision`` orders the states within an era.  A store that
    names no era is in era 0.

    Example::

        >>> StoreVersion(2, 7) > StoreVersion(1, 900)
        True
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        """Return the version as log lines show it, ``era.revision``."""
        return f"{self.era}.{self.revision}"


# What a write expects of an object: that it doesn't exist, or nothing at all.
ABSENT = StoreVersion()
ANY_VERSION = StoreVersion(revision=-1)
# Older than all that a store says.
NO_VERSION = StoreVersion()


def is_condition(expect: StoreVersion) -> bool:
    """Return whether a write expects a certain version of an object."""
    return expect not in (ABSENT, ANY_VERSION)


def outdated_condition(expect: StoreVersion, era: int) -> Failure | None:
    """Return why a write can't be sent whose condition is of an earlier era.

    The store compares revisions alone, and may have given the same one out again.
    """
    if not is_condition(expect) or expect.era >= era:
        return None
    return Failure(Code.VERSION_CONFLICT, f"version {expect}, the store's era is {era}")


def crossed_eras(expect: StoreVersion, era: int) -> Failure | None:
    """Return the failure of a write that was executed in another era than expected."""
    if not is_condition(expect) or expect.era == era:
        return None
    reason = f"version {expect} was expected, the store answered in era {era}"
    return Failure(Code.WRITE_UNRESOLVED, reason)
