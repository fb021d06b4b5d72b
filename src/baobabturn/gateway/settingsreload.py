"""Reads the settings file again when it changes and applies what it can."""

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

# Finds changes for which no SIGHUP was sent.
FILE_CHECK_INTERVAL_S = 2.0
SIGNAL_CAUSE, FILE_CAUSE = "signal", "file"
# Fields of the gateway's settings that take effect without a restart.
LIVE_FIELDS = frozenset(
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
    """Watches the settings file; ``apply`` gets the gateway's new settings.

    A file that is unreadable or invalid is logged and changes nothing.  The first
    check reads the file in any case, so that a change since the program loaded its
    settings is found too.
    """

    def __init__(self, *, program: Program, apply: Callable[[Gateway], None]):
        self.program = program
        self.apply = apply
        self.last_signature = (0, 0)

    def file_signature(self) -> tuple[int, int]:
        """Return the file's modification time in ns and size, zeros without a file."""
        try:
            status = os.stat(self.program.settings_path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    async def run(self) -> None:
        """Read the file at each SIGHUP and change for as long as the process runs."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.read, SIGNAL_CAUSE)
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            if self.file_signature() != self.last_signature:
                self.read(FILE_CAUSE)

    def read(self, cause: str) -> None:
        """Read the file, apply the live fields that changed, and log the result."""
        self.last_signature = self.file_signature()
        loaded = self.program.read_settings()
        if isinstance(loaded, Failure):
            self.program.events.emit(
                Event.SETTINGS_READ, cause=cause, reason=loaded.reason
            )
            return
        applied, at_restart = self.apply_changes(loaded.settings)
        if cause == FILE_CAUSE and not applied and not at_restart:
            return
        self.program.events.emit(
            Event.SETTINGS_READ,
            cause=cause,
            applied=",".join(applied),
            at_restart=",".join(at_restart),
        )

    def apply_changes(self, new: Settings) -> tuple[list[str], list[str]]:
        """Apply the live fields that changed.

        Return the names of the fields that were applied, and of those that changed
        but take effect only at a restart.
        """
        old = self.program.settings
        applied: list[str] = []
        at_restart = [
            field.name
            for field in attrs.fields(Settings)
            if field.name != "gateway"
            and getattr(new, field.name) != getattr(old, field.name)
        ]
        values = {}
        for field in attrs.fields(Gateway):
            name = field.name
            if getattr(new.gateway, name) == getattr(old.gateway, name):
                continue
            if name in LIVE_FIELDS:
                applied.append(name)
                values[name] = getattr(new.gateway, name)
            else:
                at_restart.append(f"gateway.{name}")
        if values:
            gateway = attrs.evolve(old.gateway, **values)
            self.program.settings = attrs.evolve(old, gateway=gateway)
            self.apply(gateway)
        return applied, at_restart
