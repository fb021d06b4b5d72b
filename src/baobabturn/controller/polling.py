"""Polls load reports and cache events of endpoints that this host's scheduler owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from baobabturn.config.declared import Endpoint
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.endpoints.engine import Engine
from baobabturn.wire.messages import CacheEvents, EndpointReport


class Poller:
    """Runs one task per owned endpoint, which polls and forwards to the scheduler."""

    def __init__(
        self, *, program: Program, engine: Engine, forward: Callable[[object], None]
    ):
        self.program = program
        self.engine = engine
        self.forward = forward
        self.tasks: dict[str, tuple[Endpoint, asyncio.Task]] = {}

    def watch(self, endpoints: list[Endpoint]) -> None:
        """Poll exactly these endpoints from now on."""
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name, (endpoint, task) in list(self.tasks.items()):
            if wanted.get(name) != endpoint:
                task.cancel()
                del self.tasks[name]
        for name, endpoint in wanted.items():
            if name not in self.tasks:
                self.tasks[name] = (endpoint, self.start(endpoint))

    def start(self, endpoint: Endpoint) -> asyncio.Task:
        """Start to poll an endpoint; an answer that can't be read doesn't end that."""
        background = self.program.background
        name = f"poll-{endpoint.name}"
        poll = lambda: self.poll(endpoint)
        return background.start(background.run_with_restarts(poll, name), name)

    def endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are polled now."""
        return [endpoint for endpoint, _ in self.tasks.values()]

    async def poll(self, endpoint: Endpoint) -> None:
        """Poll one endpoint for ever, every ``endpoint_poll_s``."""
        last_seen = 0
        while True:
            self.forward(await self.report(endpoint))
            if endpoint.kind == "engine":
                change = await self.engine.cache_changes(endpoint.url, last_seen)
                if not isinstance(change, Failure) and change.last > last_seen:
                    self.forward(
                        CacheEvents(
                            endpoint=endpoint.name,
                            first_seq=last_seen + 1,
                            last_seq=change.last,
                            stored=list(change.stored),
                            removed=list(change.removed),
                        )
                    )
                    last_seen = change.last
            await asyncio.sleep(self.program.settings.controller.endpoint_poll_s)

    async def report(self, endpoint: Endpoint) -> EndpointReport:
        """Return an endpoint's current load report; unreachable if it fails."""
        load = await self.engine.load(endpoint.url)
        if isinstance(load, Failure):
            return EndpointReport(endpoint=endpoint.name, reachable=False)
        return EndpointReport(
            endpoint=endpoint.name,
            running=load.running,
            waiting=load.waiting,
            used_tokens=load.used_tokens,
            total_tokens=load.total_tokens,
            age_ms=int(load.age_s * 1000),
            leaving=load.leaving,
            reachable=True,
            models=list(load.models),
            preemptions=load.preemptions,
        )
