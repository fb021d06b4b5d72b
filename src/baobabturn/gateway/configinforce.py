"""Decides which configuration is in force.

Of the versions that the operator wrote the newest is in force, whatever the store holds
now: it may have returned from a copy that is older.  The operator writes again what was
lost.  Where that never happens, the store's version takes effect in the end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from baobabturn.core.events import Event, EventLog
from baobabturn.core.results import Failure
from baobabturn.gateway.mirror import boot_time_s
from baobabturn.gateway.platforminterface import ObjectCodec
from baobabturn.gateway.routes import RouteTable
from baobabturn.store.interface import Change

# For this long the store may hold an older configuration than the one in force.
MAX_BEHIND_S = 300.0


class ConfigInForce:
    """The configuration in force, and whether the store holds an older one.

    ``change`` is the object from which ``table`` was decoded.  ``stored`` is the older
    one that the store has held since the boot time ``behind_since``, None and 0 if it
    holds the one in force.  ``on_table`` gets each configuration that takes effect.
    """

    def __init__(
        self,
        *,
        object_codec: ObjectCodec,
        events: EventLog,
        on_table: Callable[[RouteTable], None],
        clock: Callable[[], float] = boot_time_s,
    ):
        self.object_codec = object_codec
        self.events = events
        self.on_table = on_table
        self.clock = clock
        self.table: RouteTable | None = None
        self.change: Change | None = None
        self.stored: Change | None = None
        self.behind_since = 0.0

    @property
    def revision(self) -> int:
        """Return the operator's version of the configuration, 0 for none."""
        return self.table.version if self.table is not None else 0

    def apply_list(self, changes: tuple[Change, ...]) -> None:
        """Apply the configuration from the list of all objects of its kind."""
        for change in changes:
            self.apply(change)

    def apply(self, change: Change) -> None:
        """Apply a configuration of the store, if it is valid and newer."""
        table = self.decode(change)
        if table is None:
            return
        if table.version > self.revision:
            self.put_in_force(table, change)
        elif table.version == self.revision:
            self.change = change
            self.record_caught_up()
        elif self.change is not None and change.version.era > self.change.version.era:
            self.record_behind(table, change)

    def decode(self, change: Change) -> RouteTable | None:
        """Return the configuration in an object, None if it has no valid one."""
        if change.name != self.object_codec.config_name or change.value is None:
            return None
        table: Any = self.object_codec.decode_table(change.value)
        if isinstance(table, Failure):
            self.events.emit(
                Event.ENTRY_UNREADABLE, endpoint=change.name, reason=table.reason
            )
            return None
        return table

    def put_in_force(self, table: RouteTable, change: Change) -> None:
        """Put a configuration in force."""
        self.table = table
        self.change = change
        self.record_caught_up()
        self.on_table(table)
        self.events.emit(
            Event.CONFIG_IN_FORCE, revision=table.version, routes=len(table.routes)
        )

    def record_caught_up(self) -> None:
        """Record that the store holds the configuration in force."""
        self.stored = None
        self.behind_since = 0.0

    def record_behind(self, table: RouteTable, change: Change) -> None:
        """Record that the store holds an older configuration."""
        if self.stored is None:
            self.events.emit(
                Event.CONFIG_BEHIND, revision=table.version, in_force=self.revision
            )
        self.stored = change
        self.behind_since = self.behind_since or self.clock()

    def behind_s(self) -> float:
        """Return for how long the store has held an older configuration, 0 if not."""
        return self.clock() - self.behind_since if self.behind_since else 0.0

    def check_behind(self) -> None:
        """Put the store's configuration in force if it has been older for too long."""
        if self.stored is None or self.behind_s() < MAX_BEHIND_S:
            return
        table = self.decode(self.stored)
        if table is not None:
            self.put_in_force(table, self.stored)

    def apply_from_peer(self, change: Change, behind_s: float) -> None:
        """Apply a newer configuration that another gateway has in force.

        The store has held an older one for ``behind_s``, as far as that one knows.
        """
        table = self.decode(change)
        if table is None or table.version <= self.revision or behind_s >= MAX_BEHIND_S:
            return
        older = self.change
        self.put_in_force(table, change)
        if older is not None and older.version > change.version:
            self.stored = older
            self.behind_since = self.clock() - behind_s
