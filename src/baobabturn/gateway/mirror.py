"""Keeps up with one kind of objects in the platform's store."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import Change, Changes, ObjectStore

PAUSE_FIRST_S = 0.1
PAUSE_LIMIT_S = 0.6
# After a change others often follow at once; one more call then brings them all.
GATHER_S = 0.05
# How often a follower that doesn't watch looks whether it must.
PASSIVE_CHECK_S = 0.1
# Failures over this long are an outage, after which entries may be missing.
OUTAGE_S = 1.0


def boot_time_s() -> float:
    """Return seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreContact:
    """Since when the platform's store answers or doesn't, in boot seconds."""

    def __init__(self, *, events: EventLog):
        self.events = events
        self.failing_since = 0.0
        self.outage_ended_at = 0.0
        self.last_answer_at = boot_time_s()

    def age_s(self) -> float:
        """Return the seconds since a call was answered."""
        return boot_time_s() - self.last_answer_at

    def record_success(self) -> None:
        """Note an answer."""
        self.last_answer_at = boot_time_s()
        if not self.failing_since:
            return
        now = boot_time_s()
        lasted = now - self.failing_since
        self.failing_since = 0.0
        if lasted >= OUTAGE_S:
            self.outage_ended_at = now
            self.events.emit(Event.PLATFORM_UP, after_s=f"{lasted:.1f}")

    def record_failure(self, failure: Failure, kind: str) -> None:
        """Note that a call brought no answer."""
        if not self.failing_since:
            self.failing_since = boot_time_s()
            self.events.emit(
                Event.PLATFORM_DOWN,
                kind=kind,
                code=int(failure.code),
                reason=failure.reason,
            )


class Mirror:
    """Lists a kind of objects, then watches it for as long as it is to.

    ``listed`` gets all objects, ``changed`` one change, and ``confirmed`` the
    boot time up to which what is known is certainly the newest.  While ``active``
    gives false, the kind is not watched here: news come from another gateway.
    ``last_change`` is the version of the newest change known, ``complete_to`` the
    one up to which none is missing, and ``passed_on`` gets what a watch has brought.
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        contact: StoreContact,
        kind: str,
        wait_s: float,
        on_list: Callable[[tuple[Change, ...]], None],
        on_change: Callable[[Change], None],
        on_confirm: Callable[[float], None] = lambda at: None,
    ):
        self.store = store
        self.contact = contact
        self.kind = kind
        self.wait_s = wait_s
        self.on_list = on_list
        self.on_change = on_change
        self.on_confirm = on_confirm
        self.version: int | None = None
        self.last_change_version = 0
        self.complete_version = 0
        self.confirmed_at = 0.0
        self.failures = 0
        self.is_active: Callable[[], bool] = lambda: True
        self.on_watch_changes: Callable[[Mirror, int, Changes], None] = (
            lambda mirror, before, changes: None
        )

    async def run(self) -> None:
        """Follow the kind."""
        while True:
            if self.version is not None and not self.is_active():
                await asyncio.sleep(PASSIVE_CHECK_S)
                continue
            step = self.list if self.version is None else self.watch
            failure = await step()
            if failure is None:
                self.failures = 0
                continue
            await self.wait_after(failure)

    async def wait_after(self, failure: Failure) -> None:
        """Pause after a failure; a lost history is listed anew at once."""
        if failure.code is Code.VERSION_TOO_OLD:
            self.version = None
            return
        self.failures += 1
        self.contact.record_failure(failure, self.kind)
        limit = min(PAUSE_FIRST_S * 2 ** (self.failures - 1), PAUSE_LIMIT_S)
        await asyncio.sleep(random.uniform(limit / 2, limit))

    async def list(self) -> Failure | None:
        """Read all objects."""
        asked = boot_time_s()
        found = await self.store.snapshot(self.kind)
        if isinstance(found, Failure):
            return found
        self.contact.record_success()
        if found.version < self.last_change_version:
            # News of another gateway went beyond it meanwhile.
            return None
        self.version = self.last_change_version = self.complete_version = found.version
        self.on_list(found.changes)
        self.confirm(asked)
        return None

    def confirm(self, at: float) -> None:
        """Note up to when what is known was certainly the newest."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.on_confirm(at)

    def apply_update(
        self, before: int, version: int, changes: Iterable[Change]
    ) -> bool:
        """Take in changes that another gateway saw; return whether none is missed."""
        if version <= self.last_change_version:
            return True
        if not self.complete_version or before > self.complete_version:
            return False
        for change in changes:
            if change.version > self.last_change_version:
                self.on_change(change)
        self.last_change_version = version
        self.complete_version = max(self.complete_version, version)
        self.version = max(self.version or 0, version)
        return True

    def invalidate(self) -> None:
        """Read all objects again, since a change was missed."""
        self.version = None

    async def watch(self) -> Failure | None:
        """Wait for changes once."""
        assert self.version is not None
        asked = boot_time_s()
        found = await self.store.watch(self.kind, self.version, self.wait_s)
        if isinstance(found, Failure):
            return found
        self.contact.record_success()
        if self.version is None:
            # News of another gateway have shown meanwhile that a list is needed.
            return None
        self.version = max(self.version, found.version)
        self.complete_version = max(self.complete_version, found.version)
        before = self.last_change_version
        for change in found.changes:
            if change.version > self.last_change_version:
                self.on_change(change)
                self.last_change_version = change.version
        self.confirm(self.certain(asked, found))
        if found.changes:
            self.on_watch_changes(self, before, found)
            await asyncio.sleep(GATHER_S)
        return None

    def certain(self, asked: float, found: Changes) -> float:
        """Return when the store surely had nothing newer than what it answered.

        A watch that brought nothing was answered after the whole wait.
        """
        waited = boot_time_s() - asked
        if found.changes or waited < self.wait_s:
            return asked
        return asked + self.wait_s
