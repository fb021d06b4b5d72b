"""Keeps a local copy of one kind of objects in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import Change, Changes, ObjectStore
from baobabturn.store.version import NO_VERSION, StoreVersion

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.6
# A gateway that others tell of the store's return calls it less often while it's away,
# or an outage multiplies the calls by the number of gateways.
MAX_FOLLOWER_RETRY_DELAY_S = 2.0
# Changes often come in quick succession; a pause before the next watch lets one
# call return them together.
BATCH_DELAY_S = 0.05
# How often a mirror that doesn't watch the store checks whether it should.
INACTIVE_CHECK_INTERVAL_S = 0.25
# Bounds the exponent of the delay: 2**1024 overflows a float.
MAX_RETRY_DOUBLINGS = 8
# Lists in vain are logged at most this often.
VAIN_LIST_LOG_INTERVAL_S = 1.0
# Failures for at least this long are an outage, after which entries may be missing.
MIN_OUTAGE_S = 1.0


def boot_time_s() -> float:
    """Return the seconds since boot, time spent in suspend included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreContact:
    """Records when the platform's store answers this gateway and when it fails.

    Times are boot times; ``failing_since`` and ``outage_ended_at`` are 0 for never.
    ``era`` is the store's era, as far as this gateway has read it or been told;
    ``era_listeners`` are called when it has risen.
    """

    def __init__(self, *, events: EventLog):
        self.events = events
        self.failing_since = 0.0
        self.outage_ended_at = 0.0
        self.last_answer_at = boot_time_s()
        self.era = 0
        self.era_listeners: list[Callable[[], None]] = []

    def age_s(self) -> float:
        """Return the seconds since the last answer."""
        return boot_time_s() - self.last_answer_at

    def record_success(self) -> None:
        """Record that a call was answered; log the end of an outage."""
        self.last_answer_at = boot_time_s()
        if not self.failing_since:
            return
        now = boot_time_s()
        outage_s = now - self.failing_since
        self.failing_since = 0.0
        if outage_s >= MIN_OUTAGE_S:
            self.outage_ended_at = now
            self.events.emit(Event.PLATFORM_UP, after_s=f"{outage_s:.1f}")

    def record_era(self, era: int) -> None:
        """Record the store's era; one that has risen ends an outage.

        The outage may have been too short to be noticed here, but entries may be
        missing from the copy as after any other.
        """
        if era <= self.era:
            return
        has_risen = self.era > 0
        self.era = era
        if has_risen:
            self.outage_ended_at = boot_time_s()
            for listener in self.era_listeners:
                listener()

    def record_failure(self, failure: Failure, kind: str) -> None:
        """Record that a call for a kind failed; log the first failure in a row."""
        if not self.failing_since:
            self.failing_since = boot_time_s()
            self.events.emit(
                Event.PLATFORM_DOWN,
                kind=kind,
                code=int(failure.code),
                reason=failure.reason,
            )


class Mirror:
    """Lists one kind of objects, then watches it for changes.

    ``on_list`` gets all objects, ``on_change`` each change, and ``on_confirm`` a boot
    time at which the mirror was certainly up to date.  While ``is_active`` returns
    false, the mirror doesn't watch the store and relies on updates from another
    gateway.  With ``confirms_at_once`` a mirror that was confirmed longer ago than a
    watch waits first watches without a wait.  ``on_watch_changes`` gets the mirror, the
    version before, and the changes of each watch that brought some, ``on_gap_listed``
    the mirror after a list that brought changes which were missed before.

    ``watch_version`` is the version to watch from, None if a list is needed;
    ``last_change_version`` is the version of the newest change that was applied, and
    ``complete_version`` the version up to which no change is missing.  ``objects``
    holds the newest change of each object that exists.  While a list is read
    (``is_listing``) ``removed_since`` holds the versions at which objects were removed,
    and ``is_replaced`` says that another gateway has sent all objects.
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
        confirms_at_once: bool = False,
    ):
        self.store = store
        self.contact = contact
        self.kind = kind
        self.wait_s = wait_s
        self.on_list = on_list
        self.on_change = on_change
        self.on_confirm = on_confirm
        self.confirms_at_once = confirms_at_once
        self.watch_version: StoreVersion | None = None
        self.last_change_version = NO_VERSION
        self.complete_version = NO_VERSION
        self.objects: dict[str, Change] = {}
        self.removed_since: dict[str, StoreVersion] = {}
        self.is_replaced = False
        self.is_listing = False
        self.confirmed_at = 0.0
        self.failures = 0
        self.vain_list_logged_at = 0.0
        self.invalidated = asyncio.Event()
        self.is_active: Callable[[], bool] = lambda: True
        self.is_follower: Callable[[], bool] = lambda: False
        self.on_watch_changes: Callable[[Mirror, StoreVersion, Changes], None] = (
            lambda mirror, before, changes: None
        )
        self.on_gap_listed: Callable[[Mirror], None] = lambda mirror: None

    async def run(self) -> None:
        """List and watch the kind for as long as the process runs."""
        # After an error some changes may not have been applied.
        self.watch_version = None
        while True:
            if self.watch_version is not None and not self.is_active():
                await self.wait_inactive()
                continue
            step = self.list if self.watch_version is None else self.watch
            failure = await step()
            if failure is None:
                self.failures = 0
                continue
            is_history_lost = failure.code is Code.VERSION_TOO_OLD
            if is_history_lost and self.watch_version is not None:
                self.watch_version = None
                continue
            await self.wait_after(failure)

    async def wait_inactive(self) -> None:
        """Wait for the next check, or until the mirror is invalidated."""
        self.invalidated.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INACTIVE_CHECK_INTERVAL_S):
                await self.invalidated.wait()

    async def wait_after(self, failure: Failure) -> None:
        """Back off after a failure, or after a list that was older than is known."""
        self.failures += 1
        max_delay_s = MAX_RETRY_DELAY_S
        if failure.code is not Code.VERSION_TOO_OLD:
            self.contact.record_failure(failure, self.kind)
            if self.is_follower() and self.complete_version > NO_VERSION:
                max_delay_s = MAX_FOLLOWER_RETRY_DELAY_S
        doublings = min(self.failures - 1, MAX_RETRY_DOUBLINGS)
        delay_s = min(MIN_RETRY_DELAY_S * 2**doublings, max_delay_s)
        await asyncio.sleep(random.uniform(delay_s / 2, delay_s))

    async def list(self) -> Failure | None:
        """Read all objects."""
        asked_at = boot_time_s()
        known = self.complete_version
        self.begin_list()
        try:
            snapshot = await self.store.snapshot(self.kind)
        finally:
            self.is_listing = False
        if isinstance(snapshot, Failure):
            return snapshot
        self.contact.record_success()
        before = self.complete_version
        is_applied = self.apply_listed(snapshot, known)
        self.log_list(snapshot, is_applied)
        if not is_applied:
            # The store has answered as of an earlier time.
            reason = f"listed at {snapshot.version}, {self.last_change_version} known"
            return Failure(Code.VERSION_TOO_OLD, reason)
        self.confirm(asked_at)
        if NO_VERSION < before < snapshot.version:
            self.on_gap_listed(self)
        return None

    def begin_list(self) -> None:
        """Note what is known from now on while a list is read."""
        self.is_listing = True
        self.is_replaced = False
        self.removed_since = {}

    def apply_listed(self, snapshot: Changes, known: StoreVersion) -> bool:
        """Apply a list with what came meanwhile; return false if it is too old.

        ``known`` is the version that was complete before; a list as of an earlier one,
        or of another era, says nothing.  Reading many pages takes longer than it is
        between two changes: without the updates no list would ever be new enough.
        """
        newest = self.last_change_version
        if known <= snapshot.version < newest and snapshot.version.era == newest.era:
            return self.is_replaced or self.apply_snapshot(self.merged(snapshot))
        return self.apply_snapshot(snapshot)

    def merged(self, snapshot: Changes) -> Changes:
        """Return a list with the updates that came while it was read."""
        objects = {change.name: change for change in snapshot.changes}
        for name, version in self.removed_since.items():
            if name in objects and objects[name].version < version:
                del objects[name]
        for name, change in self.objects.items():
            listed = objects.get(name)
            if change.version > (listed.version if listed else snapshot.version):
                objects[name] = change
        return Changes(
            changes=tuple(objects.values()), version=self.last_change_version
        )

    def apply_snapshot(self, snapshot: Changes) -> bool:
        """Replace all objects; return false if newer ones are known."""
        if snapshot.version < self.last_change_version:
            return False
        self.contact.record_era(snapshot.version.era)
        self.watch_version = self.last_change_version = self.complete_version = (
            snapshot.version
        )
        self.objects = {change.name: change for change in snapshot.changes}
        self.is_replaced = True
        self.on_list(snapshot.changes)
        return True

    def snapshot(self) -> Changes:
        """Return all objects as they are known."""
        return Changes(
            changes=tuple(self.objects.values()), version=self.last_change_version
        )

    def apply_change(self, change: Change) -> None:
        """Apply the change of one object."""
        if change.value is None:
            self.objects.pop(change.name, None)
            if self.is_listing:
                self.removed_since[change.name] = change.version
        else:
            self.objects[change.name] = change
        self.on_change(change)

    def log_list(self, snapshot: Changes, is_applied: bool) -> None:
        """Log a list, if it is in vain only now and then."""
        now = boot_time_s()
        if not is_applied:
            if now - self.vain_list_logged_at < VAIN_LIST_LOG_INTERVAL_S:
                return
            self.vain_list_logged_at = now
        self.contact.events.emit(
            Event.STORE_LISTED,
            kind=self.kind,
            version=snapshot.version,
            known=self.last_change_version,
            objects=len(snapshot.changes),
            applied="yes" if is_applied else "no",
        )

    def confirm(self, at: float) -> None:
        """Record that the mirror was certainly up to date at boot time ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.on_confirm(at)

    def apply_update(
        self, before: StoreVersion, version: StoreVersion, changes: Iterable[Change]
    ) -> bool:
        """Apply the changes between two versions that another gateway sent.

        Return false, and apply nothing, if changes before them were missed.
        """
        if version <= self.last_change_version:
            return True
        is_known_era = before.era == self.complete_version.era == version.era
        if self.complete_version == NO_VERSION or not is_known_era:
            return False
        if before > self.complete_version:
            return False
        for change in changes:
            if change.version > self.last_change_version:
                self.apply_change(change)
        self.last_change_version = version
        self.complete_version = max(self.complete_version, version)
        self.watch_version = max(self.watch_version or NO_VERSION, version)
        return True

    def invalidate(self) -> None:
        """Have all objects read again, because a change was missed."""
        self.watch_version = None
        self.invalidated.set()

    async def watch(self) -> Failure | None:
        """Wait once for changes and apply them."""
        assert self.watch_version is not None
        asked_at = boot_time_s()
        wait_s = self.next_wait_s()
        result = await self.store.watch(self.kind, self.watch_version, wait_s)
        if isinstance(result, Failure):
            return result
        self.contact.record_success()
        if self.watch_version is None:
            # Invalidated during the watch by an update from another gateway.
            return None
        self.watch_version = max(self.watch_version, result.version)
        self.complete_version = max(self.complete_version, result.version)
        before = self.last_change_version
        for change in result.changes:
            if change.version > self.last_change_version:
                self.apply_change(change)
                self.last_change_version = change.version
        self.confirm(self.confirmed_time(asked_at, wait_s, result))
        if result.changes:
            self.on_watch_changes(self, before, result)
            await asyncio.sleep(BATCH_DELAY_S)
        return None

    def next_wait_s(self) -> float:
        """Return how long the next watch waits.

        A gateway that begins to watch in place of another confirms nothing to those
        that rely on it before its first watch has ended.
        """
        age_s = boot_time_s() - self.confirmed_at
        return 0.0 if self.confirms_at_once and age_s > self.wait_s else self.wait_s

    def confirmed_time(self, asked_at: float, wait_s: float, result: Changes) -> float:
        """Return the latest time at which the store had certainly nothing newer.

        The store answers a watch without changes only after the whole wait.
        """
        waited_s = boot_time_s() - asked_at
        if result.changes or waited_s < wait_s:
            return asked_at
        return asked_at + wait_s
