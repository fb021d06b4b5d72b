"""The gateway program of one host."""

from __future__ import annotations

import asyncio
import socket
import time

import uvicorn

from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Failure
from baobabturn.core.serving import listen, spare_collector
from baobabturn.gateway.app import GatewayApp
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.peers import address_of
from baobabturn.gateway.protocol import caller_protocol
from baobabturn.gateway.settingsreload import SettingsReloader
from baobabturn.gateway.transport import Transport
from baobabturn.platform.adapter import PlatformAdapter

CHECK_S = 0.05
# Kept free at the end of the grace time for the exit itself.
EXIT_MARGIN_S = 0.5


def listeners(program: Program) -> list[socket.socket] | Failure:
    """Return the listening sockets, or the failure where an address is in use."""
    gateway = program.settings.gateway
    found = []
    for address in (gateway.callers, gateway.ready, gateway.directory, gateway.metrics):
        listener = listen(*address_of(address))
        if isinstance(listener, Failure):
            return listener
        found.append(listener)
    return found


def make_server(node: GatewayNode, app: GatewayApp) -> uvicorn.Server:
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
    return uvicorn.Server(config)


async def serve(program: Program) -> Failure | None:
    """Serve callers until the signal to stop, then finish what is open."""
    found = listeners(program)
    if isinstance(found, Failure):
        return found
    gateway = program.settings.gateway
    transport = Transport(connect_timeout_s=gateway.connect_timeout_s)
    platform = PlatformAdapter(transport=transport, address=gateway.platform)
    node = GatewayNode(
        program=program,
        dialect=platform.dialect,
        documents=platform.documents,
        mover=platform.mover,
        store=platform.store,
        transport=transport,
    )
    program.metrics.gauge("open_requests", lambda: node.open_requests)
    program.metrics.gauge("places_held", lambda: len(node.pools.held))
    program.metrics.gauge("platform_calls", lambda: platform.store.calls)
    await node.start()
    watch = SettingsReloader(program=program, apply=node.apply_settings)
    program.background.start(watch.run(), "settings")
    app = GatewayApp(node=node, dialect=platform.dialect, edge=platform.edge)
    server = make_server(node, app)
    server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
    serving = asyncio.create_task(server._serve(found))
    spare_collector()
    program.events.emit(Event.PROCESS_READY, address=gateway.callers)
    await program.stopping.wait()
    await drain(program, node)
    server.should_exit = True
    server.force_exit = True
    await serving
    await program.background.stop()
    await transport.close()
    return None


async def drain(program: Program, node: GatewayNode) -> None:
    """Serve on until nothing is open and no caller can hold this address.

    The process is killed at the end of the grace time.
    """
    node.stop()
    program.events.emit(Event.PROCESS_DRAINING, open=node.open_requests)
    gateway = program.settings.gateway
    began = time.monotonic()
    least = began + min(
        gateway.address_lifetime_s + 2 * gateway.heartbeat_s, gateway.grace_s / 2
    )
    end = began + max(0.0, gateway.grace_s - EXIT_MARGIN_S)
    while time.monotonic() < end:
        await asyncio.sleep(CHECK_S)
        if time.monotonic() >= least and not node.open_requests:
            return


def main() -> None:
    """Start the program from the command line."""
    start("gateway", serve)
