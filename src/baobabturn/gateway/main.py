"""Starts, serves and drains the gateway program of one host."""

from __future__ import annotations

import asyncio
import socket
import time

import uvicorn

from baobabturn.core.eventdrivenserver import EventDrivenServer
from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Failure
from baobabturn.core.serving import freeze_startup_objects, listen
from baobabturn.gateway.app import GatewayApp
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.peer import parse_address
from baobabturn.gateway.protocol import caller_protocol
from baobabturn.gateway.settingsreload import SettingsReloader
from baobabturn.gateway.transport import Transport
from baobabturn.platform.adapter import PlatformAdapter

DRAIN_CHECK_INTERVAL_S = 0.05
# Requests that are on their way when the listeners close arrive within this time.
LINGER_S = 0.3
# Reserved at the end of the grace time for the exit itself.
EXIT_MARGIN_S = 0.5


def open_listeners(program: Program) -> list[socket.socket] | Failure:
    """Open the listening sockets, or return a failure if an address is in use."""
    gateway = program.settings.gateway
    sockets = []
    for address in (
        gateway.callers,
        gateway.ready,
        gateway.directory,
        gateway.metrics,
        gateway.relay,
    ):
        listener = listen(*parse_address(address))
        if isinstance(listener, Failure):
            return listener
        sockets.append(listener)
    return sockets


def make_server(node: GatewayNode, app: GatewayApp) -> EventDrivenServer:
    """Return the HTTP server for all listeners."""
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=caller_protocol(node),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
    )
    return EventDrivenServer(config)


async def serve(program: Program) -> Failure | None:
    """Serve callers until the stop signal, then drain.

    Return a failure if an address is in use.
    """
    sockets = open_listeners(program)
    if isinstance(sockets, Failure):
        return sockets
    gateway = program.settings.gateway
    transport = Transport(connect_timeout_s=gateway.connect_timeout_s)
    platform = PlatformAdapter(
        transport=transport, address=gateway.platform, events=program.events
    )
    node = GatewayNode(
        program=program,
        header_translator=platform.header_translator,
        object_codec=platform.object_codec,
        cache_copier=platform.cache_copier,
        store=platform.store,
        transport=transport,
    )
    program.metrics.gauge("open_requests", lambda: node.open_requests)
    program.metrics.gauge("own_load", lambda: node.peers.own_load.ratio)
    program.metrics.gauge("callers_awaited", lambda: len(node.unread.awaited))
    program.metrics.gauge("body_memory_held_bytes", lambda: node.body_memory.held_bytes)
    program.metrics.gauge("places_held", lambda: len(node.pools.reservations))
    program.metrics.gauge("slow_engines", node.pools.slow_engine_count)
    program.metrics.gauge("urgent_reserve_tokens", node.pools.urgent_reserve_tokens)
    program.metrics.gauge("cold_endpoints", lambda: node.rate_limits.cold.count())
    program.metrics.gauge("platform_calls", lambda: platform.store.calls)
    await node.start()
    reloader = SettingsReloader(program=program, apply=node.apply_settings)
    program.background.start(reloader.run(), "settings")
    app = GatewayApp(
        node=node, header_translator=platform.header_translator, paths=platform.paths
    )
    server = make_server(node, app)
    server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
    serving = asyncio.create_task(server._serve(sockets))
    freeze_startup_objects()
    program.events.emit(Event.PROCESS_READY, address=gateway.callers)
    try:
        await program.stopping.wait()
        await drain(program, node)
        server.stop_listening()
        await linger(program, node)
    finally:
        server.end()
        await serving
        await program.background.stop()
        node.close()
        await transport.close()
    return None


async def drain(program: Program, node: GatewayNode) -> None:
    """Keep serving until no request is open and callers have dropped this address.

    Callers keep an address for its lifetime, and two heartbeats are allowed for the
    other gateways to stop naming it; that wait is limited to half the grace time.
    The process is killed at the end of the grace time.
    """
    node.stop()
    program.events.emit(Event.PROCESS_DRAINING, open=node.open_requests)
    gateway = program.settings.gateway
    min_end = node.stopping_since + min(
        gateway.address_lifetime_s + 2 * gateway.heartbeat_s, gateway.grace_s / 2
    )
    max_end = drain_end(program, node) - LINGER_S
    while time.monotonic() < max_end:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if time.monotonic() >= min_end and not node.open_requests:
            return


async def linger(program: Program, node: GatewayNode) -> None:
    """Keep answering on open connections until no request has come for a while.

    A request that was on its way when the listeners were closed is answered so.
    """
    quiet_since = time.monotonic()
    while time.monotonic() < drain_end(program, node):
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if node.open_requests:
            continue
        if time.monotonic() - max(quiet_since, node.last_request_at) >= LINGER_S:
            return


def drain_end(program: Program, node: GatewayNode) -> float:
    """Return the monotonic time at which the process has to exit."""
    grace_s = program.settings.gateway.grace_s
    return node.stopping_since + max(0.0, grace_s - EXIT_MARGIN_S)


def main() -> None:
    """Start the program from the command line."""
    start("gateway", serve)
