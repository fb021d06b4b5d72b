"""Limits on a caller's connection, which follow the configuration in force."""

from __future__ import annotations

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from baobabturn.entry.protocol import limited_protocol
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.routes import CallerLimits

# Beyond the time that callers may leave a connection idle.
IDLE_SLACK_S = 30.0


class CallerBounds:
    """The limits in the form that the connection's protocol reads."""

    def __init__(self, *, node: GatewayNode):
        self.node = node

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        table = self.node.table
        return table.limits if table is not None else CallerLimits()

    @property
    def header_limit_bytes(self) -> int:
        """Return the most bytes of a request's headers."""
        return self.limits.max_header_bytes

    @property
    def header_timeout_s(self) -> float:
        """Return the longest that headers may take to arrive."""
        return self.limits.header_timeout_s

    @property
    def header_count_limit(self) -> int:
        """Return the most headers of a request."""
        return self.node.program.settings.entry.header_count_limit


def caller_protocol(node: GatewayNode) -> type[HttpToolsProtocol]:
    """Return the class of callers' connections."""
    bounds = CallerBounds(node=node)

    class GatewayProtocol(limited_protocol(bounds)):  # type: ignore[misc]
        """A caller's connection that stays open while it is idle."""

        def connection_made(self, transport) -> None:
            """Let the connection be idle for as long as callers may leave it."""
            super().connection_made(transport)
            self.timeout_keep_alive = bounds.limits.idle_timeout_s + IDLE_SLACK_S

    return GatewayProtocol
