"""Tells a process that has ended from one whose connections were cut on the way."""

from __future__ import annotations

import asyncio
import logging

# A host that is up accepts or refuses a connection within this time.
PROBE_TIMEOUT_S = 1.0
# A process that is ending has closed its listener by then.
REPEAT_DELAY_S = 0.05

log = logging.getLogger("baobabturn.probe")


async def has_ended(host: str, port: int) -> bool:
    """Return whether the process that listened at a port of a host has ended.

    It then refuses new connections.  While its connections are being closed one after
    the other, it may still accept some, so it is asked twice.
    """
    if await refuses_connections(host, port):
        return True
    await asyncio.sleep(REPEAT_DELAY_S)
    return await refuses_connections(host, port)


async def refuses_connections(host: str, port: int) -> bool:
    """Return whether nothing listens at a port of a host that is up."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        log.info("event=probe-failed address=%s:%d error=%r", host, port, error)
        return False
    writer.close()
    return False


async def keeps_accepting(
    host: str, port: int, *, for_s: float = REPEAT_DELAY_S
) -> bool:
    """Return whether a port takes connections, now and ``for_s`` seconds later.

    That shows that its process hasn't ended, whereas a refusal may come from the way.
    """
    if not await can_connect(host, port):
        return False
    await asyncio.sleep(for_s)
    return await can_connect(host, port)


async def can_connect(host: str, port: int) -> bool:
    """Return whether a port of a host takes a connection."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        log.info("event=probe-failed address=%s:%d error=%r", host, port, error)
        return False
    writer.close()
    return True
