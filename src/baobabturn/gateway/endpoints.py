"""The endpoints that the platform's store lists, and which of them are leaving."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Failure
from baobabturn.gateway.departures import Departures, Identity, identity_of
from baobabturn.gateway.endpointindex import EndpointIndex
from baobabturn.gateway.mirror import StoreContact, boot_time_s
from baobabturn.gateway.platforminterface import EndpointRecord, ObjectCodec
from baobabturn.gateway.softwareversion import SoftwareVersion
from baobabturn.store.interface import Change
from baobabturn.store.version import NO_VERSION, StoreVersion
from baobabturn.wire.gatewaymessages import DepartedEndpoint

# A leaving endpoint is kept for this long, for the generations that it still runs.
LEAVING_EXPIRY_S = 15.0
# An endpoint that has said that it is leaving may go on for longer than expected.
ANNOUNCED_LEAVING_EXPIRY_S = 300.0
# Entries that expired in an outage of the store return within this time after it.
OUTAGE_RECOVERY_S = 2.0


@attrs.define(kw_only=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint.

    ``leaving_since`` is in monotonic seconds, 0 while the endpoint isn't leaving.
    ``replaced`` says that another incarnation runs under its name, so that this one has
    ended.
    """

    record: EndpointRecord
    leaving_since: float = 0.0
    replaced: bool = False

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.record.name

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint is leaving and gets no new requests."""
        return self.leaving_since > 0


class Endpoints:
    """All endpoints by name; notifies listeners of changes.

    ``leaving_listeners`` are called once for each endpoint that begins to leave,
    ``opening_listeners`` with each failure domain whose evacuation ends, before its
    endpoints get requests, ``change_listeners`` after any change, ``entry_listeners``
    with each version of an entry whose endpoint isn't leaving.  ``missing_timers``
    holds the timers of endpoints whose entry is missing since an outage of the store,
    ``departures`` the endpoints that left lately.  ``closed_domains`` names the failure
    domains that are evacuated: their endpoints get nothing more, but what runs there
    goes on.  ``announced_leaving`` holds when endpoints announced in their own answers
    that they leave, which an older entry of the store doesn't take back.  ``index``
    follows each change of ``by_name``.
    """

    def __init__(
        self,
        *,
        object_codec: ObjectCodec,
        events: EventLog,
        contact: StoreContact,
        lapse_grace_s: float,
    ):
        self.object_codec = object_codec
        self.events = events
        self.contact = contact
        self.lapse_grace_s = lapse_grace_s
        self.by_name: dict[str, Endpoint] = {}
        self.index: EndpointIndex[Endpoint] = EndpointIndex()
        self.departures = Departures()
        self.closed_domains: frozenset[str] = frozenset()
        self.announced_leaving: dict[Identity, float] = {}
        self.missing_timers: dict[str, asyncio.TimerHandle] = {}
        self.list_received = False
        self.leaving_listeners: list[Callable[[Endpoint], None]] = []
        self.opening_listeners: list[Callable[[str], None]] = []
        self.change_listeners: list[Callable[[], None]] = []
        self.entry_listeners: list[Callable[[Endpoint, StoreVersion], None]] = []

    def usable(self, service: str) -> list[Endpoint]:
        """Return a service's endpoints that accept new requests."""
        return list(self.index.usable[service].values())

    def is_closed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's failure domain is evacuated."""
        return endpoint.record.failure_domain in self.closed_domains

    def all_closed(self, names: Iterable[str]) -> bool:
        """Return whether all of some endpoints are closed or gone."""
        known = (self.by_name.get(name) for name in names)
        return all(each is None or self.is_closed(each) for each in known)

    def only_closed(self, service: str) -> bool:
        """Return whether only closed endpoints could serve requests to a service."""
        if not self.closed_domains:
            return False
        if self.index.usable[service]:
            return False
        known = self.index.by_service[service].values()
        return any(not endpoint.leaving for endpoint in known)

    def set_closed_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains that are evacuated."""
        opened = self.closed_domains - domains
        changed = self.closed_domains ^ domains
        self.closed_domains = domains
        for endpoint in self.by_name.values():
            if endpoint.record.failure_domain in changed:
                self.update_index(endpoint)
        for domain in sorted(opened):
            for listener in self.opening_listeners:
                listener(domain)
        self.notify()

    def update_index(self, endpoint: Endpoint) -> None:
        """Index an endpoint as it is now, unless another one has its name."""
        if self.by_name.get(endpoint.name) is endpoint:
            self.index.set(endpoint, is_closed=self.is_closed(endpoint))

    def apply_list(self, changes: tuple[Change, ...]) -> None:
        """Apply the list of all entries; endpoints without an entry are missing."""
        self.list_received = True
        listed = {change.name for change in changes}
        for change in changes:
            self.apply_listed(change)
        for name in [name for name in self.by_name if name not in listed]:
            self.handle_missing(name)
        self.notify()

    def apply_change(self, change: Change) -> None:
        """Apply the change of one entry."""
        if change.value is None:
            self.handle_missing(change.name)
        else:
            self.apply_present(change)
        self.notify()

    def apply_listed(self, change: Change) -> None:
        """Apply a listed entry, unless the copy alone still has it.

        A change is certainly written in the era in which it comes; a list after the
        store's return has entries of endpoints that have left since the copy.
        """
        record = self.object_codec.decode_endpoint(change.name, change.value)
        era = change.version.era
        if isinstance(record, EndpointRecord) and not record.leaving:
            if self.departures.left_before(record, era):
                self.events.emit(
                    Event.ENDPOINT_STAYS_OUT, endpoint=record.name, era=era
                )
                return
        self.apply_present(change)

    def apply_departures(self, departed: list[DepartedEndpoint]) -> None:
        """Mark endpoints as leaving that left before the copy was read here."""
        self.departures.merge(departed)
        era = self.contact.era
        for endpoint in list(self.by_name.values()):
            if not endpoint.leaving and self.departures.left_before(
                endpoint.record, era
            ):
                self.mark_leaving(endpoint, "it left before the store's return")
        self.notify()

    def notify(self) -> None:
        """Notify the listeners that something may have changed."""
        for listener in self.change_listeners:
            listener()

    def apply_present(self, change: Change) -> None:
        """Apply an entry, and notify the listeners of what it says."""
        endpoint = self.apply_entry(change.name, change.value)
        if endpoint is not None and not endpoint.leaving:
            self.notify_entry(endpoint, change.version)

    def notify_entry(self, endpoint: Endpoint, version: StoreVersion) -> None:
        """Notify the listeners of what the entry of an endpoint says."""
        for listener in self.entry_listeners:
            listener(endpoint, version)

    def apply_entry(self, name: str, value: Any) -> Endpoint | None:
        """Apply an entry and return its endpoint, None if it says nothing.

        An unreadable one counts as missing.
        """
        record = self.object_codec.decode_endpoint(name, value)
        if isinstance(record, Failure):
            self.events.emit(
                Event.ENTRY_UNREADABLE, endpoint=name, reason=record.reason
            )
            self.handle_missing(name)
            return None
        timer = self.missing_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        if not record.leaving:
            self.departures.forget(record)
        endpoint = self.by_name.get(name)
        if self.has_announced_leaving(record):
            self.events.emit(Event.ENTRY_IGNORED, endpoint=name)
            return None
        if endpoint is None or is_other_incarnation(endpoint, record):
            endpoint = self.add(record)
        endpoint.record = record
        self.update_index(endpoint)
        if record.leaving:
            self.mark_leaving(endpoint, "its entry says that it is leaving")
        return endpoint

    def add(self, record: EndpointRecord) -> Endpoint:
        """Add a new incarnation, which replaces one of its name."""
        old = self.by_name.get(record.name)
        if old is not None:
            old.replaced = identity_of(old.record) != identity_of(record)
            self.mark_leaving(old, "replaced by a new incarnation")
        endpoint = self.by_name[record.name] = Endpoint(record=record)
        self.update_index(endpoint)
        self.events.emit(
            Event.ENDPOINT_SEEN,
            endpoint=record.name,
            service=record.service,
            address=record.address,
            version=record.software_version.key,
        )
        return endpoint

    def apply_report(self, endpoint: Endpoint, incarnation: int) -> None:
        """Apply what an endpoint's own report says of its incarnation.

        It may have started again with other software, whose version its entry will
        name.  Until then it has a version of its own.
        """
        record = endpoint.record
        if incarnation in (0, record.incarnation) or not record.incarnation:
            return
        if self.by_name.get(endpoint.name) is not endpoint:
            return
        version = SoftwareVersion(endpoint=record.name, incarnation=incarnation)
        successor = self.add(
            attrs.evolve(
                record,
                incarnation=incarnation,
                software_version=version,
                cold_left_s=None,
            )
        )
        self.notify_entry(successor, NO_VERSION)
        self.notify()

    def handle_missing(self, name: str) -> None:
        """Mark an endpoint without an entry as leaving.

        Shortly after an outage of the store, first wait for the entry to return: it
        may have expired by mistake.
        """
        endpoint = self.by_name.get(name)
        if endpoint is None or endpoint.leaving or name in self.missing_timers:
            return
        since_outage_s = boot_time_s() - self.contact.outage_ended_at
        if self.contact.outage_ended_at and since_outage_s < OUTAGE_RECOVERY_S:
            wait_s = max(0.0, self.lapse_grace_s - since_outage_s)
            loop = asyncio.get_running_loop()
            self.missing_timers[name] = loop.call_later(wait_s, self.expire, name)
            return
        self.mark_leaving(endpoint, "it has no readable entry")

    def expire(self, name: str) -> None:
        """Mark an endpoint as leaving whose entry did not return after an outage."""
        self.missing_timers.pop(name, None)
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            self.mark_leaving(endpoint, "its entry did not return after an outage")
            self.notify()

    def mark_leaving(self, endpoint: Endpoint, reason: str) -> None:
        """Mark an endpoint as leaving, so that it gets no new requests."""
        if endpoint.leaving:
            return
        endpoint.leaving_since = time.monotonic()
        self.update_index(endpoint)
        self.departures.add(endpoint.record, self.contact.era)
        self.events.emit(Event.ENDPOINT_LEAVING, endpoint=endpoint.name, reason=reason)
        asyncio.get_running_loop().call_later(LEAVING_EXPIRY_S, self.remove, endpoint)
        for listener in self.leaving_listeners:
            listener(endpoint)

    def mark_announced_leaving(self, endpoint: Endpoint, reason: str) -> None:
        """Mark an endpoint as leaving because it says so itself."""
        self.announced_leaving[identity_of(endpoint.record)] = time.monotonic()
        if not endpoint.leaving:
            self.mark_leaving(endpoint, reason)
            self.notify()

    def has_announced_leaving(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint itself has said lately that it is leaving."""
        expired_at = time.monotonic() - ANNOUNCED_LEAVING_EXPIRY_S
        for identity in [
            k for k, at in self.announced_leaving.items() if at < expired_at
        ]:
            del self.announced_leaving[identity]
        return identity_of(record) in self.announced_leaving

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint unless a new incarnation has taken its name."""
        if self.by_name.get(endpoint.name) is endpoint:
            del self.by_name[endpoint.name]
            self.index.remove(endpoint.name)
            self.notify()


def is_other_incarnation(endpoint: Endpoint, record: EndpointRecord) -> bool:
    """Return whether a record is of another incarnation than a known endpoint.

    An endpoint that is leaving never returns as the same incarnation, so a record
    that isn't leaving belongs to a new one.
    """
    old = endpoint.record
    if (old.address, old.service, old.incarnation) != (
        record.address,
        record.service,
        record.incarnation,
    ):
        return True
    return endpoint.leaving and not record.leaving
