"""Shared by the long-running programs: startup, signals and exit codes."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable

from baobabturn import __version__
from baobabturn.core.background import Background
from baobabturn.core.clock import HybridClock
from baobabturn.core.events import Event, EventLog
from baobabturn.core.idents import incarnation
from baobabturn.core.logs import setup_logging
from baobabturn.core.metrics import Metrics
from baobabturn.core.results import Failure
from baobabturn.settings.load import EXIT_USAGE, Loaded, load
from baobabturn.settings.model import Settings
from baobabturn.wire.identity import Identity
from baobabturn.wire.link import TRAFFIC


def resident_bytes() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class Program:
    """One running program: its settings, identity, clock, events and metrics."""

    def __init__(
        self,
        *,
        role: str,
        settings: Settings,
        settings_path: str = "",
        flags: list[str] | None = None,
    ):
        self.role = role
        self.settings = settings
        self.settings_path = settings_path
        self.flags = flags
        self.clock = HybridClock()
        self.identity = Identity(
            node=settings.host.name,
            role=role,
            failure_domain=settings.host.failure_domain,
            incarnation=incarnation(),
        )
        self.events = EventLog(
            node=settings.host.name,
            role=role,
            failure_domain=settings.host.failure_domain,
            clock=self.clock,
        )
        self.metrics = Metrics(role=role)
        self.background = Background()
        self.stopping = asyncio.Event()
        self.describe: Callable[[], str] = str
        self.register_process_gauges()

    def register_process_gauges(self) -> None:
        """Register the gauges that every process has."""
        self.metrics.gauge("up", lambda: 1)
        self.metrics.gauge("process_cpu_seconds", time.process_time)
        self.metrics.gauge("process_resident_bytes", resident_bytes)
        self.metrics.gauge("inner_sent_bytes", lambda: TRAFFIC.sent_bytes)
        self.metrics.gauge("inner_received_bytes", lambda: TRAFFIC.received_bytes)

    def read_settings(self) -> Loaded | Failure:
        """Read the settings file again and return settings with the flags applied."""
        return load(self.settings_path or None, self.flags)

    def stop(self) -> None:
        """Ask the program to stop gracefully."""
        self.stopping.set()

    def stats(self, kind: str) -> str:
        """Return the newest events, the state or else the metrics as text."""
        if kind == "events":
            return "\n".join(self.events.ring) + "\n"
        if kind == "state":
            return self.describe()
        return self.metrics.exposition()


# The environment variable with the settings file, if no flag gives it.
SETTINGS_VARIABLE = "BAOBABTURN_SETTINGS"

Main = Callable[[Program], Awaitable[Failure | None]]


async def run_program(program: Program, main: Main) -> Failure | None:
    """Run a program's main function; return its failure if it could not start.

    SIGINT and SIGTERM ask the program to stop gracefully.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, program.stop)
    program.events.emit(Event.PROCESS_STARTED, release=__version__)
    try:
        return await main(program)
    finally:
        program.events.emit(Event.PROCESS_STOPPED)
        await program.background.stop()


def complain(text: str) -> None:
    """Print an error for the user as one line on standard error."""
    print(f"baobabturn: {' '.join(text.split())}", file=sys.stderr)


def start(role: str, main: Main) -> None:
    """Parse the command line of a program and run it; exit with its code.

    Without arguments there is nothing to parse, and the library that does it isn't
    loaded: where many processes start at once, that delays them all.
    """
    if len(sys.argv) == 1:
        sys.exit(run_role(role, main))
    from baobabturn.core.commandline import program_app, run_app

    sys.exit(run_app(program_app(role, main)))


def run_role(
    role: str, main: Main, settings: str | None = None, flags: list[str] | None = None
) -> int:
    """Run a program until it is signalled; return its exit code.

    ``settings`` names the settings file, ``flags`` are laid over it.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load(path or None, flags)
    if isinstance(loaded, Failure):
        complain(loaded.reason)
        return EXIT_USAGE
    setup_logging(loaded.settings.log.level)
    program = Program(
        role=role, settings=loaded.settings, settings_path=path, flags=flags
    )
    failure = asyncio.run(run_program(program, main))
    if failure is not None:
        complain(failure.reason)
        return EXIT_USAGE
    return 0
