"""Launches a whole deployment on loopback addresses, with fakes around it.

This is a development script, not a program of the system.  It starts every
process itself, can kill, pause and replace each, and leaves none behind.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from typing import Any

import attrs

from dev.deployments import DEPLOYMENTS, Deployment

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = ("controller", "scheduler", "entry")
READY_LIMIT_S = 60.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05
HOST_ADDRESS = "127.0.0.{}"
FIRST_HOST = 11
FIRST_ENDPOINT = 101
FIRST_PORT = 20_000
PORT_STEP = 10
ADMIN_KEY = "operator-key"


def call(
    url: str, body: Any = None, method: str | None = None, headers: dict | None = None
) -> Any:
    """Return the decoded JSON answer of a short HTTP call."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())


def is_free(address: str, port: int) -> bool:
    """Return whether a TCP and UDP port can be bound."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def free_base(addresses: list[str], count: int) -> int:
    """Return the first of ``count`` ports in a row that are free on all addresses."""
    start = FIRST_PORT + (os.getpid() * PORT_STEP) % 20_000
    for base in range(start, start + 20_000, PORT_STEP):
        if all(is_free(a, base + n) for a in addresses for n in range(count)):
            return base
    raise RuntimeError("no ports are free")


@attrs.define(kw_only=True)
class HostPlace:
    """An entry host of a fleet."""

    name: str
    address: str
    failure_domain: str


class Fleet:
    """The processes of one deployment."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        hosts: int | None = None,
        engines: int | None = None,
        workers: int | None = None,
        overrides: dict[str, Any] | None = None,
        engine_options: tuple[str, ...] = (),
        python: str = sys.executable,
    ):
        self.deployment = deployment
        self.host_count = hosts or deployment.hosts
        self.engine_count = engines if engines is not None else deployment.engines
        self.worker_count = workers if workers is not None else deployment.workers
        self.overrides = overrides or {}
        self.engine_options = engine_options
        self.python = python
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="baobabturn-fleet-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.hosts: list[HostPlace] = []
        self.endpoints: list[dict] = []
        self.platform = ""
        self.base_port = 0

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything, apply the configuration, and wait until it serves."""
        deployment = self.deployment
        for number in range(self.host_count):
            domain = deployment.domain(number)
            place = number // len(deployment.failure_domains) + 1
            address = HOST_ADDRESS.format(FIRST_HOST + number)
            self.hosts.append(
                HostPlace(
                    name=f"{domain}-{place}", address=address, failure_domain=domain
                )
            )
        self.base_port = free_base([host.address for host in self.hosts], 3)
        self.platform = self.start_fake("platform", ["platform"], "127.0.0.1")
        self.start_endpoints()
        self.set_host_list()
        for host in self.hosts:
            self.write_settings(host)
            for role in ROLES:
                self.start_program(role, host.name)
        self.apply()
        self.wait_ready()

    def environment(self) -> dict[str, str]:
        """Return the environment in which processes find the project's code."""
        path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        return {**os.environ, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1"}

    def spawn(self, name: str, command: list[str], **options: Any) -> subprocess.Popen:
        """Start a process whose output goes to a log file, where it isn't read."""
        self.commands[name] = command
        with open(self.log(name), "ab") as log:
            process = subprocess.Popen(
                [self.python, "-m", *command],
                cwd=ROOT,
                env=self.environment(),
                stdin=subprocess.DEVNULL,
                **{"stdout": log, "stderr": log, **options},
            )
        self.processes[name] = process
        return process

    def log(self, name: str) -> pathlib.Path:
        """Return the path of a process's log."""
        return self.folder / f"{name}.log"

    def start_fake(self, name: str, arguments: list[str], address: str) -> str:
        """Start a fake and return the URL that it prints."""
        command = ["fakes.main", *arguments, "--address", address]
        process = self.spawn(name, command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        url = process.stdout.readline().strip()
        if not url:
            raise RuntimeError(f"{name} did not start; see {self.log(name)}")
        return url

    def start_endpoints(self) -> None:
        """Start the engines and the workers of the plain service."""
        deployment = self.deployment
        names = [f"{deployment.model}-{n + 1}" for n in range(self.engine_count)]
        names += [f"{deployment.service}-{n + 1}" for n in range(self.worker_count)]
        for number, name in enumerate(names):
            is_engine = number < self.engine_count
            address = HOST_ADDRESS.format(FIRST_ENDPOINT + number)
            arguments = ["service", name]
            if is_engine:
                memory = str(deployment.memory_tokens)
                arguments = ["engine", name, "--models", deployment.model]
                arguments += ["--memory-tokens", memory, *self.engine_options]
                if number % 2 == 0:
                    arguments.append("--checks-fencing")
            url = self.start_fake(name, arguments, address)
            self.endpoints.append(
                {
                    "name": name,
                    "url": url,
                    "kind": "engine" if is_engine else "service",
                    "failure_domain": deployment.domain(number),
                    "region": deployment.region,
                    "memory_tokens": deployment.memory_tokens if is_engine else 0,
                    "checks_fencing": is_engine and number % 2 == 0,
                }
            )

    def set_host_list(self, leaving: tuple[str, ...] = ()) -> None:
        """Tell the platform which hosts there are and which leave."""
        lines = [
            {
                "name": host.name,
                "address": host.address,
                "failure_domain": host.failure_domain,
                "region": self.deployment.region,
                "role": "entry",
                "state": "leaving" if host.name in leaving else "live",
            }
            for host in self.hosts
        ]
        for endpoint in self.endpoints:
            lines.append(
                {
                    "name": endpoint["name"],
                    "address": endpoint["url"],
                    "failure_domain": endpoint["failure_domain"],
                    "region": endpoint["region"],
                    "role": "endpoint",
                    "state": "leaving" if endpoint["name"] in leaving else "live",
                }
            )
        call(self.platform + "/control", {"hosts": lines})

    def settings_path(self, host: str) -> str:
        """Return the path of a host's settings file."""
        return str(self.folder / f"{host}.jsonc")

    def write_settings(self, host: HostPlace) -> None:
        """Write a host's settings file."""
        values: dict[str, Any] = {
            "host": {
                "name": host.name,
                "failure_domain": host.failure_domain,
                "region": self.deployment.region,
                "address": host.address,
            },
            "ports": {
                "entry": self.base_port,
                "scheduler": self.base_port + 1,
                "controller": self.base_port + 2,
            },
            "platform": {"url": self.platform},
            "inner": {"secret": "fleet-secret"},
            "entry": {"resume_keys": ["fleet-resume-key"], "admin_key": ADMIN_KEY},
        }
        for section, fields in self.overrides.items():
            values.setdefault(section, {}).update(fields)
        text = "// written by the launcher\n" + json.dumps(values, indent=1)
        pathlib.Path(self.settings_path(host.name)).write_text(text)

    def start_program(self, role: str, host: str) -> None:
        """Start one of the system's programs on a host."""
        command = [f"baobabturn.{role}", "--settings", self.settings_path(host)]
        self.spawn(f"{role}@{host}", command)

    def command(self, *arguments: str, check: bool = True) -> str:
        """Run the operators' command and return what it printed."""
        done = subprocess.run(
            [self.python, "-m", "baobabturn.commands", *arguments],
            cwd=ROOT,
            env=self.environment(),
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.stderr.strip()}")
        return done.stdout if check else done.stdout + done.stderr

    def declaration(self) -> str:
        """Run the deployment's declaration program; return its output's path."""
        endpoints = self.folder / "endpoints.json"
        endpoints.write_text(json.dumps(self.endpoints))
        done = subprocess.run(
            [self.python, self.deployment.program, str(endpoints)],
            cwd=ROOT,
            env=self.environment(),
            capture_output=True,
            text=True,
            check=True,
        )
        path = self.folder / "configuration.json"
        path.write_text(done.stdout)
        return str(path)

    def apply(self) -> None:
        """Apply the deployment's configuration."""
        settings = self.settings_path(self.hosts[0].name)
        self.command("apply", self.declaration(), "--settings", settings)

    def entry(self, number: int = 0) -> str:
        """Return an entry's URL."""
        return f"http://{self.hosts[number].address}:{self.base_port}"

    def entries(self) -> list[str]:
        """Return the URLs of all entries."""
        return [self.entry(number) for number in range(len(self.hosts))]

    def wait_ready(self) -> None:
        """Wait until every entry serves the configuration and knows all members."""
        end = time.monotonic() + READY_LIMIT_S
        for url in self.entries():
            while not self.is_ready(url):
                if time.monotonic() > end:
                    raise RuntimeError(f"{url} isn't ready; logs in {self.folder}")
                time.sleep(POLL_S)

    def is_ready(self, url: str) -> bool:
        """Return whether an entry is ready and knows all members."""
        try:
            call(url + "/readyz")
            return len(call(url + "/v1/entries")["entries"]) == len(self.hosts)
        except (urllib.error.URLError, OSError, ValueError):
            return False

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once and wait for its end."""
        process = self.processes[name]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait(STOP_LIMIT_S)

    def restart(self, name: str) -> None:
        """Start a killed program again."""
        role, _, host = name.partition("@")
        self.start_program(role, host)

    def restart_endpoint(self, name: str) -> None:
        """Start a killed endpoint again at its old address, with nothing kept."""
        port = self.endpoint_url(name).rpartition(":")[2]
        command = [*self.commands[name]]
        if "--port" not in command:
            command += ["--port", port]
        process = self.spawn(name, command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        if not process.stdout.readline().strip():
            raise RuntimeError(f"{name} did not start; see {self.log(name)}")

    def endpoint_url(self, name: str) -> str:
        """Return an endpoint's URL."""
        return next(e["url"] for e in self.endpoints if e["name"] == name)

    def control(self, name: str, **faults: Any) -> None:
        """Set faults at a fake, ``platform`` or an endpoint."""
        url = self.platform if name == "platform" else self.endpoint_url(name)
        call(url + "/control", faults)

    def counts(self, name: str) -> Any:
        """Return a fake's counts."""
        url = self.platform if name == "platform" else self.endpoint_url(name)
        return call(url + "/counts")

    def description(self) -> dict[str, Any]:
        """Return what a user of the fleet needs to know."""
        return {
            "callers": self.entries(),
            "models": [self.deployment.model],
            "services": [self.deployment.service],
            "keys": self.keys(),
            "platform": self.platform,
            "endpoints": {e["name"]: e["url"] for e in self.endpoints},
            "pids": {name: p.pid for name, p in self.processes.items()},
            "admin_key": ADMIN_KEY,
            "folder": str(self.folder),
        }

    def keys(self) -> dict[str, str]:
        """Return the key of each workspace."""
        declared = json.loads((self.folder / "configuration.json").read_text())
        return {s["name"]: f"key-{s['name']}" for s in declared["workspaces"]}

    def stop(self) -> None:
        """Stop all processes: first gently, then at once."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_LIMIT_S)
            if process.stdout is not None:
                process.stdout.close()


def main() -> None:
    """Run a deployment until SIGINT or SIGTERM."""
    deployment = DEPLOYMENTS.get(sys.argv[1] if len(sys.argv) > 1 else "")
    if deployment is None:
        print(f"fleet: allowed: {', '.join(DEPLOYMENTS)}", file=sys.stderr)
        sys.exit(2)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: sys.exit(0))
    with Fleet(deployment=deployment) as fleet:
        print("ready " + json.dumps(fleet.description()), flush=True)
        with contextlib.suppress(SystemExit):
            while True:
                signal.pause()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)


if __name__ == "__main__":
    main()
