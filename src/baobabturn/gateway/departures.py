"""Remembers endpoints that have left, for a store that returns from an older copy.

The copy may still have the entry of an endpoint that left after it was made, as if it
were ready.  Such an entry names no endpoint to use, until the endpoint writes it again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from baobabturn.gateway.mirror import boot_time_s
from baobabturn.gateway.platforminterface import EndpointRecord
from baobabturn.wire.gatewaymessages import DepartedEndpoint

# Copies are seconds old; an entry that nobody writes expires within seconds.
DEPARTURE_EXPIRY_S = 120.0
MAX_DEPARTURES = 256
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Identity:
    """What tells an incarnation of an endpoint from all others."""

    name: str
    address: str
    incarnation: int


@attrs.frozen(kw_only=True)
class Departure:
    """When an endpoint left, as a boot time, and the store's era then."""

    era: int
    left_at: float


class Departures:
    """The endpoints that left lately, by name, address and incarnation."""

    def __init__(self, *, clock: Callable[[], float] = boot_time_s):
        self.clock = clock
        self.by_identity: OrderedDict[Identity, Departure] = OrderedDict()

    def add(self, record: EndpointRecord, era: int) -> None:
        """Remember that an endpoint left in an era."""
        departure = Departure(era=era, left_at=self.clock())
        self.remember(identity_of(record), departure)

    def remember(self, identity: Identity, departure: Departure) -> None:
        """Remember a departure; forget the oldest over the limit."""
        known = self.by_identity.get(identity)
        if known is not None and known.era >= departure.era:
            return
        self.by_identity[identity] = departure
        if len(self.by_identity) > MAX_DEPARTURES:
            self.by_identity.popitem(last=False)

    def forget(self, record: EndpointRecord) -> None:
        """Forget the departure of an endpoint that has written its entry again."""
        self.by_identity.pop(identity_of(record), None)

    def left_before(self, record: EndpointRecord, era: int) -> bool:
        """Return whether an endpoint left before the store came to an era."""
        departure = self.by_identity.get(identity_of(record))
        return (
            departure is not None and departure.era < era and self.is_recent(departure)
        )

    def is_recent(self, departure: Departure) -> bool:
        """Return whether a departure still counts."""
        return self.clock() - departure.left_at < DEPARTURE_EXPIRY_S

    def recent(self, limit: int) -> list[DepartedEndpoint]:
        """Return the newest departures, to tell other gateways."""
        now = self.clock()
        newest = list(self.by_identity.items())[-limit:]
        return [
            DepartedEndpoint(
                name=identity.name,
                address=identity.address,
                incarnation=identity.incarnation,
                era=departure.era,
                age_ms=int((now - departure.left_at) * MS_PER_S),
            )
            for identity, departure in newest
            if self.is_recent(departure)
        ]

    def merge(self, departed: Iterable[DepartedEndpoint]) -> None:
        """Add the departures that another gateway knows."""
        now = self.clock()
        for each in departed:
            departure = Departure(era=each.era, left_at=now - each.age_ms / MS_PER_S)
            identity = Identity(
                name=each.name, address=each.address, incarnation=each.incarnation
            )
            self.remember(identity, departure)


def identity_of(record: EndpointRecord) -> Identity:
    """Return the identity of a recorded endpoint."""
    return Identity(
        name=record.name, address=record.address, incarnation=record.incarnation
    )
