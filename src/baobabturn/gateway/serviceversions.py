"""Remembers which software versions can have begun the streams of each service."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from baobabturn.gateway.platforminterface import VersionsRecord


class ServiceVersions:
    """When each version of each service was seen last, in monotonic seconds."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.seen_at: dict[str, dict[str, float]] = {}

    def observe(self, service: str, version: str) -> None:
        """Record that an endpoint of a version exists now."""
        self.seen_at.setdefault(service, {})[version] = self.clock()

    def expire(self, lifetime_s: float) -> None:
        """Forget the versions whose streams have all ended by now."""
        limit = self.clock() - lifetime_s
        for service, seen_at in self.seen_at.items():
            self.seen_at[service] = {
                version: at for version, at in seen_at.items() if at > limit
            }

    def has(self, service: str, version: str) -> bool:
        """Return whether a version can have begun a service's streams."""
        return version in self.seen_at.get(service, ())

    def of(self, service: str) -> set[str]:
        """Return the versions that can have begun a service's streams."""
        return set(self.seen_at.get(service, ()))


def versions_of(
    service: str, records: Iterable[VersionsRecord], versions: ServiceVersions
) -> set[str]:
    """Return all versions that can have begun a service's streams."""
    found = versions.of(service)
    for record in records:
        found.update(record.versions.get(service, ()))
    return found
