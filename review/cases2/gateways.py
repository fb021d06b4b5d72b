"""Gateway processes, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import time
import tomllib

from fakes.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
INHERITED = ("PATH", "HOME", "LANG")
LISTENERS = ("callers", "ready", "directory", "metrics", "peers", "relay")
READY_REQUEST = (
    b"GET /baobabturn/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)


class Gateway:
    """The gateway of one machine, with settings as the deploy file's template has."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        zones: list[str],
        store: str,
        folder: pathlib.Path,
    ):
        self.name = name
        self.addresses = {each: f"127.0.0.1:{free_port()}" for each in LISTENERS}
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        settings = {
            "host": {
                "name": name,
                "failure_domain": zone,
                "region": "region-1",
                "cpu_share": 0.537,
                "core_speed": 2,
                "regions": dict.fromkeys(zones, "region-1"),
                "address": "127.0.0.1",
            },
            "gateway": {
                **self.addresses,
                "platform": store,
                "revoke_ms": 5000,
                "grace_s": 8,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 56,
            },
            "scheduler": {"short_share": 0.1, "choice_spread": 0.15},
        }
        self.settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process."""
        words = tomllib.loads(DEPLOY.read_text())["roles"]["gateway"]["run"].split()
        environment = {
            **{name: os.environ[name] for name in INHERITED if name in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BAOBABTURN_SETTINGS": str(self.settings_path),
        }
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the gateway says that it is ready."""
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise TimeoutError(f"{self.name} isn't ready in time")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        host, _, port = self.addresses["ready"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(READY_REQUEST)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended by itself."""
        return self.process is not None and self.process.returncode is not None
