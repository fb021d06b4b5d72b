"""Calls the controllers of other hosts, with a short-lived link for each call."""

from __future__ import annotations

from typing import Any

from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.wire.client import LinkClient
from baobabturn.wire.messages import Member


async def call_peer(program: Program, member: Member, body: Any) -> Any:
    """Return a peer's answer to a message, or why there is none."""
    client = LinkClient(
        address=member.address,
        port=member.controller_port,
        identity=program.identity,
        inner=program.settings.inner,
        clock=program.clock,
    )
    link = await client.open()
    if isinstance(link, Failure):
        return link
    program.background.start(link.serve({}), "peer-link")
    try:
        return await link.call(body)
    finally:
        link.close()
