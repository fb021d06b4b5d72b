"""Knows which endpoints this gateway can connect to, and which services it can't reach.

A gateway may be cut off from endpoints that others reach.  A service is unreachable
from here once two of its endpoints, or its only one, have taken no connection and none
of its endpoints has taken one since.  Connections that are open already may live on.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable

import attrs

from baobabturn.core.events import Event, EventLog
from baobabturn.core.probe import can_connect
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.peer import NEVER, parse_address

# Failed connections to this many endpoints of a service show that it can't be reached.
MIN_UNREACHABLE_ENDPOINTS = 2
# While a service can't be reached, one of its endpoints is probed in this interval.
PROBE_INTERVAL_S = 0.4
# An endpoint that took no connection is tried after the others for this long.
AVOID_S = 1.0


@attrs.define(kw_only=True)
class Path:
    """When an endpoint last took a connection, and since when it has taken none.

    Times are monotonic seconds; ``failing_since`` and ``failed_at`` are ``NEVER`` if
    the last connection succeeded.
    """

    reached_at: float = NEVER
    failing_since: float = NEVER
    failed_at: float = NEVER

    @property
    def is_failing(self) -> bool:
        """Return whether the last connection to the endpoint failed."""
        return self.failed_at != NEVER


class Paths:
    """The paths to all endpoints; notifies listeners of services that come and go.

    ``unreachable`` names the services that this gateway can't reach.
    """

    def __init__(
        self,
        *,
        endpoints: Endpoints,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.endpoints = endpoints
        self.events = events
        self.clock = clock
        self.paths: dict[str, Path] = {}
        self.unreachable: set[str] = set()
        self.change_listeners: list[Callable[[], None]] = []
        endpoints.change_listeners.append(self.forget_removed)

    def path(self, name: str) -> Path:
        """Return what is known of the path to an endpoint."""
        return self.paths.setdefault(name, Path())

    def record_failure(self, endpoint: Endpoint) -> None:
        """Record that an endpoint took no connection."""
        path, now = self.path(endpoint.name), self.clock()
        if not path.is_failing:
            path.failing_since = now
        path.failed_at = now
        self.update(endpoint.record.service)

    def record_reached(self, endpoint: Endpoint) -> None:
        """Record that an endpoint took a connection."""
        path = self.path(endpoint.name)
        path.reached_at = self.clock()
        path.failing_since = path.failed_at = NEVER
        self.update(endpoint.record.service)

    def should_avoid(self, name: str) -> bool:
        """Return whether an endpoint is to be tried after the others."""
        path = self.paths.get(name)
        return path is not None and self.clock() - path.failed_at < AVOID_S

    def reaches(self, service: str) -> bool:
        """Return whether a service can be reached from here, as far as is known."""
        return service not in self.unreachable

    def update(self, service: str) -> None:
        """Find out whether a service can be reached, and tell if that has changed."""
        was_unreachable = service in self.unreachable
        is_unreachable = self.is_unreachable(service)
        if is_unreachable == was_unreachable:
            return
        if is_unreachable:
            self.unreachable.add(service)
        else:
            self.unreachable.discard(service)
        event = Event.SERVICE_UNREACHABLE if is_unreachable else Event.SERVICE_REACHED
        self.events.emit(event, service=service)
        for listener in self.change_listeners:
            listener()

    def is_unreachable(self, service: str) -> bool:
        """Return whether connections show that a service can't be reached."""
        paths = [
            self.paths.get(endpoint.name, Path())
            for endpoint in self.endpoints.usable(service)
        ]
        failing = [path for path in paths if path.is_failing]
        if not failing or len(failing) < min(MIN_UNREACHABLE_ENDPOINTS, len(paths)):
            return False
        failing_since = min(path.failing_since for path in failing)
        return all(path.reached_at < failing_since for path in paths)

    def forget_removed(self) -> None:
        """Forget endpoints that are gone, and judge the services anew."""
        known = self.endpoints.by_name
        for name in [name for name in self.paths if name not in known]:
            del self.paths[name]
        for service in list(self.unreachable):
            self.update(service)

    async def run(self) -> None:
        """Probe services that can't be reached, for as long as the process runs."""
        for number in itertools.count():
            await asyncio.sleep(PROBE_INTERVAL_S)
            for service in list(self.unreachable):
                usable = self.endpoints.usable(service)
                if usable:
                    await self.probe(usable[number % len(usable)])
                else:
                    self.update(service)

    async def probe(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint takes connections again."""
        if await can_connect(*parse_address(endpoint.record.address)):
            self.record_reached(endpoint)
