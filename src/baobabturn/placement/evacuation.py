"""Decides which failure domains are closed, from the evacuations in the store.

An evacuation is in force while its entry exists, whatever the entry's value is.  A
store that returns from a copy may lack an entry that its operator writes again soon,
so an evacuation that vanishes with a rise of the store's era is held for some time.
"""

from __future__ import annotations

from collections.abc import Iterable


class Evacuations:
    """The evacuations that are in force; times are passed in, in seconds.

    ``listed`` holds the names of the entries that exist, ``held`` until when an entry
    that a return of the store has lost counts as existing.  ``hold_s`` is the time for
    which such an entry is held; ``era`` is the store's era at the last list.

    Example::

        >>> evacuations = Evacuations(hold_s=5.0)
        >>> evacuations.apply_list(["z1"], era=1, now=10.0)
        >>> evacuations.apply_list([], era=2, now=20.0)
        >>> evacuations.closed(now=24.0), evacuations.closed(now=26.0)
        (frozenset({'z1'}), frozenset())
    """

    def __init__(self, *, hold_s: float):
        self.hold_s = hold_s
        self.listed: set[str] = set()
        self.held: dict[str, float] = {}
        self.era = 0

    def apply_list(self, names: Iterable[str], *, era: int, now: float) -> None:
        """Replace the entries by those of a list in an era of the store."""
        listed = set(names)
        if 0 < self.era < era:
            for name in self.listed - listed:
                self.held[name] = now + self.hold_s
        self.era = max(self.era, era)
        self.listed = listed
        self.drop_held(now)

    def apply_change(self, name: str, *, exists: bool, now: float) -> None:
        """Apply the change of one entry; its removal ends the evacuation at once."""
        if exists:
            self.listed.add(name)
        else:
            self.listed.discard(name)
            self.held.pop(name, None)
        self.drop_held(now)

    def drop_held(self, now: float) -> None:
        """Drop the held entries that exist again or whose time has passed."""
        self.held = {
            name: until
            for name, until in self.held.items()
            if until > now and name not in self.listed
        }

    def closed(self, now: float) -> frozenset[str]:
        """Return the names of the failure domains that are closed."""
        self.drop_held(now)
        return frozenset(self.listed | self.held.keys())

    def next_expiry(self) -> float | None:
        """Return when the next held entry ends, None if none is held."""
        return min(self.held.values(), default=None)
