"""Indexes the known endpoints, so that a change costs time for what has changed only.

Where thousands of endpoints are known, some change many times a second, and each
request asks which of a service take new requests.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Generic, Protocol, TypeVar

import attrs

from baobabturn.gateway.platforminterface import EndpointRecord


class IndexedEndpoint(Protocol):
    """What the index reads of an endpoint."""

    record: EndpointRecord

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint is leaving and gets no new requests."""


E = TypeVar("E", bound=IndexedEndpoint)


@attrs.frozen(kw_only=True)
class IndexKeys:
    """The keys under which an endpoint is indexed."""

    service: str
    software_version: str
    failure_domain: str


class EndpointIndex(Generic[E]):
    """The endpoints of each service, in the order in which they became known.

    ``usable`` holds those of each service that take new requests, ``versions`` counts
    the endpoints of each service by software version, ``failure_domains`` all by
    failure domain.  ``changed`` names the endpoints that have changed since it was
    taken last, in order, and ``new_versions`` the services and versions of which an
    endpoint has become known since.
    """

    def __init__(self):
        self.keys: dict[str, IndexKeys] = {}
        self.by_service: dict[str, dict[str, E]] = defaultdict(dict)
        self.usable: dict[str, dict[str, E]] = defaultdict(dict)
        self.versions: dict[str, Counter[str]] = defaultdict(Counter)
        self.failure_domains: Counter[str] = Counter()
        self.changed: dict[str, None] = {}
        self.new_versions: list[tuple[str, str]] = []

    def set(self, endpoint: E, *, is_closed: bool) -> None:
        """Index an endpoint as it is now; ``is_closed`` says it is evacuated."""
        record = endpoint.record
        keys = IndexKeys(
            service=record.service,
            software_version=record.software_version.key,
            failure_domain=record.failure_domain,
        )
        known = self.keys.get(record.name)
        if known != keys:
            if known is not None:
                self.remove_keys(record.name, known, keep=keys.service)
            self.add_keys(record.name, keys)
            if known is not None and known.service != keys.service:
                self.order_service(keys.service, endpoint)
        if known is None:
            # It comes after those that became known before and changed since.
            self.changed.pop(record.name, None)
        self.changed[record.name] = None
        self.by_service[keys.service][record.name] = endpoint
        self.set_usable(endpoint, not (endpoint.leaving or is_closed))

    def order_service(self, service: str, joining: E) -> None:
        """Add an endpoint that joins from another service, in its place."""
        known = self.by_service[service]
        known[joining.record.name] = joining
        self.by_service[service] = {
            name: known[name] for name in self.keys if name in known
        }

    def set_usable(self, endpoint: E, is_usable: bool) -> None:
        """Set whether an endpoint takes new requests.

        One that does so again, and isn't the newest, takes its place in the order.
        """
        name, service = endpoint.record.name, endpoint.record.service
        usable = self.usable[service]
        if not is_usable:
            usable.pop(name, None)
            return
        is_new = name not in usable
        usable[name] = endpoint
        if is_new and next(reversed(self.by_service[service])) != name:
            self.usable[service] = {
                each: usable[each]
                for each in self.by_service[service]
                if each in usable
            }

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        known = self.keys.pop(name, None)
        if known is not None:
            self.remove_keys(name, known)
            self.changed[name] = None

    def add_keys(self, name: str, keys: IndexKeys) -> None:
        """Count an endpoint under some keys."""
        self.keys[name] = keys
        versions = self.versions[keys.service]
        versions[keys.software_version] += 1
        if versions[keys.software_version] == 1:
            self.new_versions.append((keys.service, keys.software_version))
        self.failure_domains[keys.failure_domain] += 1

    def remove_keys(self, name: str, keys: IndexKeys, keep: str | None = None) -> None:
        """Count an endpoint no more under some keys; it stays in service ``keep``."""
        decrement(self.versions[keys.service], keys.software_version)
        decrement(self.failure_domains, keys.failure_domain)
        if keys.service != keep:
            self.by_service[keys.service].pop(name, None)
            self.usable[keys.service].pop(name, None)

    def take_changed(self) -> list[str]:
        """Return the names of the endpoints that changed since the last time."""
        changed, self.changed = list(self.changed), {}
        return changed

    def take_new_versions(self) -> list[tuple[str, str]]:
        """Return the services and versions that have become known since."""
        found, self.new_versions = self.new_versions, []
        return found

    def mark_all_changed(self) -> None:
        """Count all endpoints as changed."""
        self.changed = dict.fromkeys(self.keys) | self.changed


def decrement(counter: Counter[str], key: str) -> None:
    """Reduce a count by one, and drop it at 0."""
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
