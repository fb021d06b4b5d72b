"""Fits stored objects into messages between gateways.

When a failure domain is lost, hundreds of endpoints change at one moment.  Their
changes are sent in several messages; before, every gateway listed the store then.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from baobabturn.gateway.storechanges import encode_change
from baobabturn.store.interface import Change
from baobabturn.wire.gatewaymessages import StoreChange, StoreNews

# Larger updates don't fit into a datagram; receivers list the store instead.
MAX_UPDATE_BYTES = 48_000


class EncodedObjects:
    """The objects of one kind as they are sent, each encoded once.

    To encode 3,000 takes 25 ms, and gateways that start ask for them twice a second.
    """

    def __init__(self):
        self.by_name: dict[str, tuple[Change, StoreChange]] = {}

    def encode(self, objects: Iterable[Change]) -> list[StoreChange] | None:
        """Return all objects as they are sent, None if they are too large together."""
        encoded = []
        size = 0
        for change in objects:
            known = self.by_name.get(change.name)
            if known is None or known[0] is not change:
                known = self.by_name[change.name] = change, encode_change(change)
            encoded.append(known[1])
            size += len(known[1].value)
            if size > MAX_UPDATE_BYTES:
                return None
        self.by_name = {each.name: self.by_name[each.name] for each in encoded}
        return encoded


def update_parts(update: StoreNews) -> Iterator[StoreNews]:
    """Yield an update in parts that each fit into a datagram.

    Each part begins at the version at which the last one ends.  A change that is too
    large for itself makes the others list the store, by an update without changes whose
    ``before`` is its own version.
    """
    changes = sorted(update.changes, key=lambda change: change.version)
    if any(len(change.value) > MAX_UPDATE_BYTES for change in changes):
        yield attrs.evolve(update, changes=[], before=update.version)
        return
    before = update.before
    part: list[StoreChange] = []
    size = 0
    for change in changes:
        size += len(change.value)
        if size > MAX_UPDATE_BYTES:
            version = max(before, part[-1].version)
            yield attrs.evolve(update, changes=part, before=before, version=version)
            before, part, size = version, [], len(change.value)
        part.append(change)
    yield attrs.evolve(update, changes=part, before=before)


def value_bytes(changes: Iterable[StoreChange]) -> int:
    """Return the size of the compressed values of changes in bytes."""
    return sum(len(change.value) for change in changes)
