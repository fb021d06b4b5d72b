"""A gateway process, started with the command and the template of the deploy file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tomllib
from typing import Any

from fakes.callers import send_request
from fakes.ports import free_port
from review.template import render

ROOT = pathlib.Path(__file__).resolve().parents[1]
ADDRESS = "127.0.0.1"
READY_PATH = "/baobabturn/readyz"
READY_TIMEOUT_S = 15.0
END_TIMEOUT_S = 5.0
# The bounds of the small deployments.
BOUNDS = {
    "revokeMs": 5000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
}


class Gateway:
    """One gateway; ``callers`` is the address that callers connect to."""

    def __init__(self, *, name: str, zone: str, store: str, folder: pathlib.Path):
        self.name = name
        self.zone = zone
        self.store = store
        self.folder = folder
        self.callers = f"{ADDRESS}:{free_port()}"
        self.ready = f"{ADDRESS}:{free_port()}"
        self.directory = f"{ADDRESS}:{free_port()}"
        self.internal_ports = [free_port(), free_port()]
        self.metrics_port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def fields(self) -> dict[str, Any]:
        """Return the platform's fields for this machine."""
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "r1",
            "ip": ADDRESS,
            "listen": {
                "front": self.callers,
                "ready": self.ready,
                "directory": self.directory,
            },
            "internalPorts": self.internal_ports,
            "platform": {"address": self.store},
            "bounds": BOUNDS,
        }

    def start(self) -> None:
        """Write the settings file and start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        text = render((ROOT / role["template"]).read_text(), self.fields())
        # All gateways share one loopback address, so each has a port for metrics.
        text = text.replace(f"{ADDRESS}:9464", f"{ADDRESS}:{self.metrics_port}")
        path = self.folder / f"{self.name}.jsonc"
        path.write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BAOBABTURN_SETTINGS": str(path),
        }
        command = role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reply = await send_request(self.ready, "GET", READY_PATH, {}, b"")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the gateway is ready; raise ``TimeoutError`` if it isn't soon."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(END_TIMEOUT_S)
