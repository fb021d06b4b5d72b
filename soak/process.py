"""A gateway process that can be signalled, killed and restarted."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

import attrs

from fakes.proxy import Proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
SHUTDOWN_GRACE_S = 4.0
# Added to the grace time before the process is killed.
KILL_DELAY_S = 1.0
# Upper bound for the start of the interpreter, before the program runs.
INTERPRETER_START_S = 1.0
LISTENERS = ("callers", "ready", "directory", "metrics", "peers", "relay")


@attrs.frozen(kw_only=True)
class ProcessExit:
    """How a process ended, and whether a signal of this test requested it."""

    host: str
    code: int
    stop_requested: bool
    stop_duration_s: float


class GatewayProcess:
    """The gateway of one host, with proxies towards its callers and the store.

    ``undisturbed_since`` is the time of the last start, resumption or disturbance in
    monotonic seconds, and infinity while the process is down or suspended.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        ports: dict[str, int],
        store_proxy: Proxy,
        folder: pathlib.Path,
        options: dict[str, Any],
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.addresses = {
            listener: f"127.0.0.1:{ports[listener]}" for listener in LISTENERS
        }
        self.store_proxy = store_proxy
        self.caller_proxy = Proxy(target=self.addresses["callers"])
        self.settings_path = folder / f"{name}.jsonc"
        self.log_path = folder / f"{name}.log"
        self.options = dict(options)
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[ProcessExit] = []
        self.stop_requested_at = 0.0
        self.started_at = 0.0
        self.undisturbed_since = float("inf")
        self.exit_watcher: asyncio.Task | None = None
        self.exited = asyncio.Event()

    def write_settings(self) -> None:
        """Write the settings file from the current options."""
        settings = {
            "host": {"name": self.name, "failure_domain": self.failure_domain},
            "gateway": {
                **self.addresses,
                "platform": self.store_proxy.address,
                "grace_s": SHUTDOWN_GRACE_S,
                **self.options,
            },
        }
        self.settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Write the settings file and start the process."""
        self.write_settings()
        environment = {**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}"}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "baobabturn.gateway",
                "--settings",
                str(self.settings_path),
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.stop_requested_at = 0.0
        self.exited.clear()
        self.undisturbed_since = self.started_at = time.monotonic()
        self.exit_watcher = asyncio.create_task(self.record_exit(self.process))

    async def record_exit(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end of the process and record it."""
        code = await process.wait()
        self.undisturbed_since = float("inf")
        stop_requested = self.stop_requested_at > 0
        stop_duration_s = (
            time.monotonic() - self.stop_requested_at if stop_requested else 0.0
        )
        self.exits.append(
            ProcessExit(
                host=self.name,
                code=code,
                stop_requested=stop_requested,
                stop_duration_s=stop_duration_s,
            )
        )
        self.exited.set()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def program_has_started(self) -> bool:
        """Return whether the program itself, not only the interpreter, is running.

        The program first sets the handling of SIGHUP.  Before that the signal ends the
        interpreter, which the program cannot prevent.
        """
        if self.process is None or self.process.returncode is not None:
            return False
        if time.monotonic() - self.started_at > INTERPRETER_START_S:
            return True
        with open(f"/proc/{self.process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        handled_signals = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(handled_signals & (1 << (signal.SIGHUP - 1)))

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.stop_requested_at = time.monotonic()
        self.send_signal(signal.SIGKILL)
        await self.exited.wait()

    async def terminate(self) -> None:
        """Send SIGTERM; kill the process if it outlives the grace time and a slack."""
        self.stop_requested_at = time.monotonic()
        self.undisturbed_since = float("inf")
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(SHUTDOWN_GRACE_S + KILL_DELAY_S):
                await self.exited.wait()
        except TimeoutError:
            await self.kill()

    async def pause(self, seconds: float) -> None:
        """Suspend the process with SIGSTOP for some seconds."""
        self.undisturbed_since = float("inf")
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self.undisturbed_since = time.monotonic()

    def record_disturbance(self) -> None:
        """Record a fault on the process's connections at the current time."""
        if self.undisturbed_since < float("inf"):
            self.undisturbed_since = time.monotonic()

    def resident_bytes(self) -> int:
        """Return the process's resident memory, or 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def open_descriptor_count(self) -> int:
        """Return the number of open file descriptors, or 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
