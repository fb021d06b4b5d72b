"""Lets plain requests with large bodies wait until an endpoint has room for them."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable, Collection

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.bodiesinflight import UNCOUNTED_BODY_BYTES, BodiesInFlight
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.slotroom import wait_for_event

# How often a waiting request looks for endpoints that are new or have gone.
RECHECK_INTERVAL_S = 0.25
RETRY_AFTER_S = 1.0


class BodyRoom:
    """The bodies in flight, and by service the requests that wait, oldest first."""

    def __init__(self) -> None:
        self.bodies = BodiesInFlight()
        self.queues: dict[str, collections.deque[object]] = collections.defaultdict(
            collections.deque
        )
        self.changed = asyncio.Event()

    def fits(self, endpoint: str, size_bytes: int) -> bool:
        """Return whether a body may be sent to an endpoint now."""
        return self.bodies.fits(endpoint, size_bytes)

    def take(self, endpoint: str, size_bytes: int) -> None:
        """Count a body that is about to be sent."""
        self.bodies.take(endpoint, size_bytes)

    def release(self, endpoint: str, size_bytes: int) -> None:
        """Count a body no longer, and let the next request look for room."""
        self.bodies.release(endpoint, size_bytes)
        self.changed.set()

    async def wait(
        self,
        service: str,
        endpoints: Callable[[], Collection[str]],
        size_bytes: int,
        limit_s: float,
    ) -> Failure | None:
        """Wait until an endpoint has room for a body; return why none has in time.

        Small bodies don't wait, and without any endpoint there is nothing to wait for.
        """
        if size_bytes <= UNCOUNTED_BODY_BYTES:
            return None
        queue = self.queues[service]
        if not queue and self.has_room(endpoints(), size_bytes):
            return None
        ticket = object()
        queue.append(ticket)
        until = time.monotonic() + limit_s
        try:
            while (left_s := until - time.monotonic()) > 0:
                if queue[0] is ticket and self.has_room(endpoints(), size_bytes):
                    return None
                self.changed.clear()
                await wait_for_event(self.changed, min(left_s, RECHECK_INTERVAL_S))
            return Failure(
                Code.SATURATED,
                f"no endpoint of {service} has room for a body of {size_bytes} bytes",
                retry_after_s=spread_retry_s(RETRY_AFTER_S),
            )
        finally:
            queue.remove(ticket)
            if not queue:
                del self.queues[service]
            self.changed.set()

    def has_room(self, endpoints: Collection[str], size_bytes: int) -> bool:
        """Return whether any of some endpoints has room, or there are none."""
        return not endpoints or any(self.fits(name, size_bytes) for name in endpoints)
