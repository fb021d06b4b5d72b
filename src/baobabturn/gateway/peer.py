"""Another gateway as this one knows it, and the form of network addresses."""

from __future__ import annotations

import functools
import math
import time

import attrs
import xxhash

from baobabturn.gateway.reservationorder import ReservationOrder

NEVER = -math.inf

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Return the host and port of an ``address:port`` text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@functools.lru_cache(maxsize=1024)
def ring_position(name: str) -> int:
    """Return a gateway's position on the hash ring that assigns monitors."""
    return xxhash.xxh64_intdigest(name.encode())


@attrs.define(kw_only=True, eq=False)
class Peer:
    """Another gateway; times are monotonic seconds, or ``NEVER``.

    ``known_since`` is when this gateway learned of it, ``heard_at`` when its last
    message came.  ``heartbeat_interval_s`` is the interval that it announced for its
    heartbeats to this gateway, 0 before the first of them.  ``expected_since`` is when
    this gateway last became one of its monitors.  ``silent`` says that it was found
    to be silent, by this gateway or another one, at ``silent_since``.  ``introduced``
    says that this gateway has sent it its own state.  ``relay`` is where it takes
    requests that other gateways pass on, ``unreachable`` names the services that it
    can't reach.  ``forwards`` says that it sends changes of reservations on within its
    failure domain, ``compares`` that it takes summaries in place of full states, and
    ``reservation_order`` orders the changes of its own.  ``capacity`` is in thousandths
    of a core and ``load`` in thousandths of the capacity, 0 from a gateway that doesn't
    tell them.
    """

    name: str
    address: Address
    known_since: float = attrs.Factory(time.monotonic)
    heard_at: float = NEVER
    incarnation: int = 0
    sequence: int = 0
    callers: str = ""
    failure_domain: str = ""
    serving: bool = False
    silent: bool = False
    silent_since: float = NEVER
    heartbeat_interval_s: float = 0.0
    expected_since: float = NEVER
    introduced: bool = False
    relay: str = ""
    unreachable: frozenset[str] = frozenset()
    forwards: bool = False
    compares: bool = False
    reservation_order: ReservationOrder = attrs.Factory(ReservationOrder)
    capacity: int = 0
    load: int = 0

    @property
    def heard(self) -> bool:
        """Return whether any message of this gateway has come."""
        return self.heard_at != NEVER
