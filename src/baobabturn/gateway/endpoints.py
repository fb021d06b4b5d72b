"""The endpoints that the platform names, and which of them leave."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Failure
from baobabturn.gateway.dialect import Documents, EndpointRecord
from baobabturn.gateway.mirror import StoreContact, boot_time_s
from baobabturn.store.interface import Change

# How long an endpoint that left is remembered, for the runs that it still holds.
REMEMBERED_S = 15.0
# After an outage of the store, entries that lapsed come back within this.
RETURN_S = 2.0


@attrs.define(kw_only=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint; times are monotonic seconds."""

    record: EndpointRecord
    leaving_since: float = 0.0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.record.name

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint gets no new work."""
        return self.leaving_since > 0


class Endpoints:
    """All endpoints by name; tells its listeners what changed.

    ``leaves`` is called once for each endpoint that begins to leave, and
    ``changed`` after any change.
    """

    def __init__(
        self,
        *,
        documents: Documents,
        events: EventLog,
        contact: StoreContact,
        lapse_grace_s: float,
    ):
        self.documents = documents
        self.events = events
        self.contact = contact
        self.lapse_grace_s = lapse_grace_s
        self.by_name: dict[str, Endpoint] = {}
        self.missing_timers: dict[str, asyncio.TimerHandle] = {}
        self.list_received = False
        self.leaving_listeners: list[Callable[[Endpoint], None]] = []
        self.change_listeners: list[Callable[[], None]] = []

    def usable(self, service: str) -> list[Endpoint]:
        """Return a service's endpoints that take new work."""
        return [
            endpoint
            for endpoint in self.by_name.values()
            if endpoint.record.service == service and not endpoint.leaving
        ]

    def apply_list(self, changes: tuple[Change, ...]) -> None:
        """Take in all entries; an endpoint without one is gone."""
        self.list_received = True
        named = {change.name for change in changes}
        for change in changes:
            self.apply_entry(change.name, change.value)
        for name in [name for name in self.by_name if name not in named]:
            self.handle_missing(name)
        self.notify()

    def apply_change(self, change: Change) -> None:
        """Take in one entry's change."""
        if change.value is None:
            self.handle_missing(change.name)
        else:
            self.apply_entry(change.name, change.value)
        self.notify()

    def notify(self) -> None:
        """Tell the listeners that something may have changed."""
        for listener in self.change_listeners:
            listener()

    def apply_entry(self, name: str, value: Any) -> None:
        """Take in an entry."""
        record = self.documents.endpoint(name, value)
        if isinstance(record, Failure):
            self.events.emit(
                Event.ENTRY_UNREADABLE, endpoint=name, reason=record.reason
            )
            self.handle_missing(name)
            return
        timer = self.missing_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        known = self.by_name.get(name)
        if known is None or is_other_incarnation(known, record):
            if known is not None:
                self.mark_leaving(known, "replaced")
            known = self.by_name[name] = Endpoint(record=record)
            self.events.emit(
                Event.ENDPOINT_SEEN,
                endpoint=name,
                service=record.service,
                address=record.address,
            )
        known.record = record
        if record.leaving:
            self.mark_leaving(known, "says so")

    def handle_missing(self, name: str) -> None:
        """Take in that an endpoint has no entry.

        Just after an outage of the store an entry may have lapsed by mistake.
        """
        known = self.by_name.get(name)
        if known is None or known.leaving or name in self.missing_timers:
            return
        since_back = boot_time_s() - self.contact.outage_ended_at
        if self.contact.outage_ended_at and since_back < RETURN_S:
            wait_s = max(0.0, self.lapse_grace_s - since_back)
            loop = asyncio.get_running_loop()
            self.missing_timers[name] = loop.call_later(wait_s, self.expire, name)
            return
        self.mark_leaving(known, "no entry")

    def expire(self, name: str) -> None:
        """Give an endpoint up whose entry did not come back."""
        self.missing_timers.pop(name, None)
        known = self.by_name.get(name)
        if known is not None:
            self.mark_leaving(known, "entry did not return")
            self.notify()

    def mark_leaving(self, endpoint: Endpoint, reason: str) -> None:
        """Give an endpoint no more new work."""
        if endpoint.leaving:
            return
        endpoint.leaving_since = time.monotonic()
        self.events.emit(Event.ENDPOINT_LEAVING, endpoint=endpoint.name, reason=reason)
        asyncio.get_running_loop().call_later(REMEMBERED_S, self.remove, endpoint)
        for listener in self.leaving_listeners:
            listener(endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that left some time ago."""
        if self.by_name.get(endpoint.name) is endpoint:
            del self.by_name[endpoint.name]
            self.notify()


def is_other_incarnation(known: Endpoint, record: EndpointRecord) -> bool:
    """Return whether a record is of another incarnation than a known endpoint.

    An endpoint that began to leave doesn't come back under the same start.
    """
    old = known.record
    if (old.address, old.service, old.started) != (
        record.address,
        record.service,
        record.started,
    ):
        return True
    return known.leaving and not record.leaving
