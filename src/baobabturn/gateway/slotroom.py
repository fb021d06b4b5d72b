"""Keeps this gateway's requests to brittle plain endpoints within its own slots there.

A plain endpoint queues what it can't run yet and refuses the rest, and a brittle one
falls over if it has to refuse much.  So requests to brittle endpoints wait here.  All
gateways divide the endpoints' slots between them, without a message for each request.
"""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Collection

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.brittlenews import BrittleExchange
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.peertable import PeerTable
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.scheduler.slotshares import own_slots

# Slots are divided anew at most this often.
DIVIDE_INTERVAL_S = 0.2
# How often a waiting request looks for slots that were gained otherwise.
RECHECK_INTERVAL_S = 0.05
DURATION_SMOOTHING_RATIO = 0.2
INITIAL_DURATION_S = 0.05


class ServiceRoom:
    """One service's slots and waiting requests at this gateway.

    ``slots`` holds how many slots of each brittle endpoint this gateway may use, as of
    the monotonic time ``divided_at``; ``queue`` the waiting requests, oldest first.
    """

    def __init__(self):
        self.slots: dict[str, int] = {}
        self.divided_at = float("-inf")
        self.queue: collections.deque[object] = collections.deque()
        self.changed = asyncio.Event()
        self.duration_s = INITIAL_DURATION_S


class SlotRoom:
    """Counts requests in flight at endpoints, and lets some wait for a slot."""

    def __init__(
        self, *, endpoints: Endpoints, brittle: BrittleExchange, table: PeerTable
    ):
        self.endpoints = endpoints
        self.brittle = brittle
        self.table = table
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.services: dict[str, ServiceRoom] = collections.defaultdict(ServiceRoom)

    def has_room(self, service: str, endpoint: str) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if not self.brittle.is_brittle(endpoint):
            return True
        slots = self.divided(service).slots.get(endpoint, 0)
        return self.in_flight[endpoint] < slots

    def divided(self, service: str) -> ServiceRoom:
        """Return a service's room, with slots divided lately."""
        room = self.services[service]
        now = time.monotonic()
        if now - room.divided_at >= DIVIDE_INTERVAL_S:
            room.divided_at = now
            room.slots = own_slots(
                {
                    endpoint.name: endpoint.record.slots
                    for endpoint in self.endpoints.usable(service)
                    if self.brittle.is_brittle(endpoint.name)
                },
                self.hosts(),
                self.table.record.name,
            )
        return room

    def hosts(self) -> list[str]:
        """Return the names of the gateways that use slots.

        Of far ones it isn't known here whether they are alive.
        """
        others = [
            peer.name
            for peer in self.table.peers.values()
            if not self.table.is_near(peer) or self.table.is_alive(peer)
        ]
        return [self.table.record.name, *others]

    async def wait(
        self, service: str, endpoints: Collection[str], limit_s: float
    ) -> Failure | None:
        """Wait until one of some endpoints has room; return why none has in time.

        A request that surely waits for too long is refused at once.
        """
        room = self.services[service]
        if not room.queue and self.any_room(service, endpoints):
            return None
        expected_s = self.expected_wait_s(service, endpoints)
        if expected_s > limit_s:
            return no_room(service, expected_s)
        ticket = object()
        room.queue.append(ticket)
        until = time.monotonic() + limit_s
        try:
            while (left_s := until - time.monotonic()) > 0:
                if self.endpoints.all_closed(endpoints):
                    # No slot comes free, so it goes elsewhere or is refused.
                    return None
                if room.queue[0] is ticket and self.any_room(service, endpoints):
                    return None
                room.changed.clear()
                await wait_for_event(room.changed, min(left_s, RECHECK_INTERVAL_S))
            return no_room(service, self.expected_wait_s(service, endpoints))
        finally:
            room.queue.remove(ticket)
            room.changed.set()

    def any_room(self, service: str, endpoints: Collection[str]) -> bool:
        """Return whether any of some endpoints has room."""
        return any(self.has_room(service, name) for name in endpoints)

    def expected_wait_s(self, service: str, endpoints: Collection[str]) -> float:
        """Return how long a request probably waits behind those that wait already."""
        room = self.divided(service)
        slots = sum(room.slots.get(name, 0) for name in endpoints)
        return (len(room.queue) + 1) * room.duration_s / max(1, slots)

    def take(self, endpoint: str) -> None:
        """Count a request that is about to be sent to an endpoint."""
        self.in_flight[endpoint] += 1

    def release(self, service: str, endpoint: str, duration_s: float) -> None:
        """Count a request that has ended, and let the next one look for a slot."""
        self.in_flight[endpoint] -= 1
        if not self.in_flight[endpoint]:
            del self.in_flight[endpoint]
        room = self.services[service]
        room.duration_s += DURATION_SMOOTHING_RATIO * (duration_s - room.duration_s)
        room.changed.set()


async def wait_for_event(event: asyncio.Event, limit_s: float) -> None:
    """Wait for an event, for some time at most."""
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return


def no_room(service: str, wait_s: float) -> Failure:
    """Return the refusal of a request for which no slot comes free in time."""
    return Failure(
        Code.SATURATED,
        f"no slot of the brittle endpoints of {service} is free for {wait_s:.2f} s",
        retry_after_s=spread_retry_s(wait_s),
    )
