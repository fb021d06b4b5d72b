"""Reads the settings file again when it has changed, and applies what it can."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

import attrs

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.settings.model import Gateway, Settings

# How often the file is looked at for a change that no signal told of.
LOOK_S = 2.0
SIGNALLED, CHANGED = "signal", "file"
# Fields that hold from the moment at which they are read.
LIVE = frozenset(
    {
        "revoke_ms",
        "grace_s",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
        "address_lifetime_s",
        "heartbeat_s",
        "silent_s",
    }
)


class SettingsReloader:
    """Follows the settings file; ``apply`` gets the gateway's new settings.

    A file that can't be read or holds a mistake changes nothing, and is logged.
    The first look, soon after the start, finds what has changed since the file
    was read for it.
    """

    def __init__(self, *, program: Program, apply: Callable[[Gateway], None]):
        self.program = program
        self.apply = apply
        self.seen = (0, 0)

    def stamp(self) -> tuple[int, int]:
        """Return what tells versions of the file apart, zeros without a file."""
        try:
            found = os.stat(self.program.settings_path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    async def run(self) -> None:
        """Read the file at each signal and change for as long as the process runs."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.read, SIGNALLED)
        while True:
            await asyncio.sleep(LOOK_S)
            if self.stamp() != self.seen:
                self.read(CHANGED)

    def read(self, cause: str) -> None:
        """Read the file and put in force what has changed."""
        self.seen = self.stamp()
        loaded = self.program.read_settings()
        if isinstance(loaded, Failure):
            self.program.events.emit(
                Event.SETTINGS_READ, cause=cause, reason=loaded.reason
            )
            return
        applied, waiting = self.apply_changes(loaded.settings)
        if cause == CHANGED and not applied and not waiting:
            return
        self.program.events.emit(
            Event.SETTINGS_READ,
            cause=cause,
            applied=",".join(applied),
            at_restart=",".join(waiting),
        )

    def apply_changes(self, found: Settings) -> tuple[list[str], list[str]]:
        """Apply new settings; return the changed fields, live and others."""
        old = self.program.settings
        applied: list[str] = []
        waiting = [
            field.name
            for field in attrs.fields(Settings)
            if field.name != "gateway"
            and getattr(found, field.name) != getattr(old, field.name)
        ]
        values = {}
        for field in attrs.fields(Gateway):
            name = field.name
            if getattr(found.gateway, name) == getattr(old.gateway, name):
                continue
            if name in LIVE:
                applied.append(name)
                values[name] = getattr(found.gateway, name)
            else:
                waiting.append(f"gateway.{name}")
        if values:
            gateway = attrs.evolve(old.gateway, **values)
            self.program.settings = attrs.evolve(old, gateway=gateway)
            self.apply(gateway)
        return applied, waiting
