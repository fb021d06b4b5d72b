"""The entry program of one host."""

from __future__ import annotations

import asyncio
import time

import uvicorn

from baobabturn.core.events import Event
from baobabturn.core.program import Program, start
from baobabturn.core.results import Failure
from baobabturn.core.serving import freeze_startup_objects, listen
from baobabturn.entry.app import EntryApp
from baobabturn.entry.node import Node
from baobabturn.entry.protocol import limited_protocol

DRAIN_CHECK_S = 0.1


def make_server(program: Program, node: Node) -> uvicorn.Server:
    """Return the HTTP server of the entry's application."""
    entry = program.settings.entry
    config = uvicorn.Config(
        EntryApp(node=node).app,
        loop="asyncio",
        http=limited_protocol(entry),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=max(1, int(entry.keepalive_s)),
        ssl_certfile=entry.tls_cert or None,
        ssl_keyfile=entry.tls_key or None,
    )
    return uvicorn.Server(config)


async def serve(program: Program) -> Failure | None:
    """Serve callers until the signal to stop, then finish open requests."""
    settings = program.settings
    listener = listen(settings.host.address, settings.ports.entry)
    if isinstance(listener, Failure):
        return listener
    node = Node(program=program)
    node.controller.start()
    program.background.start(node.report_progress(), "progress")
    program.background.start(node.claim_sweep.run(), "claim-sweep")
    program.metrics.gauge("open_requests", lambda: node.open_requests)
    program.metrics.gauge("platform_calls", lambda: node.store.calls)
    server = make_server(program, node)
    server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]
    serving = asyncio.create_task(server._serve([listener]))
    freeze_startup_objects()
    program.events.emit(Event.PROCESS_READY, port=listener.getsockname()[1])
    await program.stopping.wait()
    await drain(program, node)
    server.should_exit = True
    await serving
    await node.close()
    return None


async def drain(program: Program, node: Node) -> None:
    """Wait until this entry's address has expired and nothing is open.

    First waits, for at most ``suspect_s``, until the members list this entry as
    down, so that other hosts stop sending out its address.  Then waits until all
    address lists with it have expired and no request or cancellation is open.
    """
    node.drain_state.set_stopping()
    program.events.emit(Event.PROCESS_DRAINING, open=node.open_requests)
    membership = program.settings.membership
    limit = time.monotonic() + membership.suspect_s
    while node.is_listed() and time.monotonic() < limit:
        await asyncio.sleep(DRAIN_CHECK_S)
    while (
        not node.drain_state.addresses_expired()
        or node.open_requests
        or node.canceller.open_count
    ):
        await asyncio.sleep(DRAIN_CHECK_S)


def main() -> None:
    """Start the program from the command line."""
    start("entry", serve)


if __name__ == "__main__":
    main()
