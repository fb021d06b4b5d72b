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
GRACE_S = 4.0
# Added to the grace time before the process is killed.
KILL_SLACK_S = 1.0
# Upper bound for the start of the interpreter, before the program runs.
INTERPRETER_S = 1.0
LISTENERS = ("callers", "ready", "directory", "metrics", "peers")


@attrs.frozen(kw_only=True)
class Exit:
    """How a process ended, and whether a signal of this test requested it."""

    host: str
    code: int
    asked: bool
    took_s: float


class GatewayProcess:
    """The gateway of one host, with proxies towards its callers and the store.

    ``calm_since`` is the time of the last start, resumption or disturbance in
    monotonic seconds, and infinity while the process is down or suspended.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        ports: dict[str, int],
        store: Proxy,
        folder: pathlib.Path,
        options: dict[str, Any],
    ):
        self.name = name
        self.domain = domain
        self.addresses = {part: f"127.0.0.1:{ports[part]}" for part in LISTENERS}
        self.store = store
        self.door = Proxy(target=self.addresses["callers"])
        self.path = folder / f"{name}.jsonc"
        self.log_path = folder / f"{name}.log"
        self.options = dict(options)
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[Exit] = []
        self.asked_at = 0.0
        self.started_at = 0.0
        self.calm_since = float("inf")
        self.watching: asyncio.Task | None = None
        self.ended = asyncio.Event()

    def write_settings(self) -> None:
        """Write the settings file from the current options."""
        settings = {
            "host": {"name": self.name, "failure_domain": self.domain},
            "gateway": {
                **self.addresses,
                "platform": self.store.address,
                "grace_s": GRACE_S,
                **self.options,
            },
        }
        self.path.write_text(json.dumps(settings))

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
                str(self.path),
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.asked_at = 0.0
        self.ended.clear()
        self.calm_since = self.started_at = time.monotonic()
        self.watching = asyncio.create_task(self.watch(self.process))

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        """Wait for the end of the process and record it."""
        code = await process.wait()
        self.calm_since = float("inf")
        asked = self.asked_at > 0
        took_s = time.monotonic() - self.asked_at if asked else 0.0
        self.exits.append(Exit(host=self.name, code=code, asked=asked, took_s=took_s))
        self.ended.set()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def runs_own_code(self) -> bool:
        """Return whether the program itself, not only the interpreter, is running.

        The program first sets the handling of SIGHUP.  Before that the signal ends the
        interpreter, which the program cannot prevent.
        """
        if self.process is None or self.process.returncode is not None:
            return False
        if time.monotonic() - self.started_at > INTERPRETER_S:
            return True
        with open(f"/proc/{self.process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(masks & (1 << (signal.SIGHUP - 1)))

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.asked_at = time.monotonic()
        self.send_signal(signal.SIGKILL)
        await self.ended.wait()

    async def terminate(self) -> None:
        """Send SIGTERM; kill the process if it outlives the grace time and a slack."""
        self.asked_at = time.monotonic()
        self.calm_since = float("inf")
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + KILL_SLACK_S):
                await self.ended.wait()
        except TimeoutError:
            await self.kill()

    async def pause(self, seconds: float) -> None:
        """Suspend the process with SIGSTOP for some seconds."""
        self.calm_since = float("inf")
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)
        self.calm_since = time.monotonic()

    def touch(self) -> None:
        """Record a fault on the process's connections at the current time."""
        if self.calm_since < float("inf"):
            self.calm_since = time.monotonic()

    def resident_bytes(self) -> int:
        """Return the process's resident memory, or 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def open_files(self) -> int:
        """Return the number of open file descriptors, or 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
