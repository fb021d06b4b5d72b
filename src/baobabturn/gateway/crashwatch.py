"""Finds out whether an endpoint has crashed when a response of it breaks off."""

from __future__ import annotations

import asyncio
import logging
import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.peer import parse_address
from baobabturn.gateway.request import CallerRequest

# A host that is up accepts or refuses a connection within this time.
PROBE_TIMEOUT_S = 1.0
MS_PER_S = 1000

log = logging.getLogger("baobabturn.gateway.crashwatch")


class CrashWatch:
    """Checks the endpoints of responses that broke off, and logs those that crashed.

    A process that has ended refuses new connections, while one whose connections
    were cut on the way takes them.  So one connection tells a crash from a cut.
    """

    def __init__(self, *, program: Program):
        self.program = program

    def record_broken(
        self, request: CallerRequest, endpoint: Endpoint, began_at: float
    ) -> None:
        """Check an endpoint whose response broke off.

        ``began_at`` is the monotonic time at which the response's head arrived.
        """
        self.program.background.start(
            self.check(request, endpoint, time.monotonic() - began_at),
            f"crash-check-{request.request_id}",
        )

    async def check(
        self, request: CallerRequest, endpoint: Endpoint, began_s: float
    ) -> None:
        """Log the endpoint's crash, if it has crashed."""
        if not await refuses_connections(endpoint.record.address):
            return
        self.program.metrics.count("crashes_seen")
        self.program.events.emit(
            Event.ENDPOINT_CRASHED,
            request=request.request_id,
            endpoint=endpoint.name,
            began_ms=int(began_s * MS_PER_S),
            parts=part_ids(request),
        )


def part_ids(request: CallerRequest) -> str:
    """Return the ids of a request's prompt parts for a log line."""
    size = request.generation_size
    return ",".join(part for part, _ in size.prompt_parts) if size is not None else ""


async def refuses_connections(address: str) -> bool:
    """Return whether nothing listens at an ``address:port`` of a host that is up."""
    host, port = parse_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        log.info("event=probe-failed address=%s error=%s", address, error)
        return False
    writer.close()
    return False
