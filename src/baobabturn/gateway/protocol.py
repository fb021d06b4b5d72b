"""Limits on a caller's connection, read from the configuration in force."""

from __future__ import annotations

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from baobabturn.entry.protocol import limited_protocol
from baobabturn.gateway.callerconnection import CONNECTION_KEY, CallerConnection
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.routes import CallerLimits

# Added to the time for which callers may leave a connection idle.
IDLE_MARGIN_S = 30.0


class CurrentCallerLimits:
    """The limits in force, with the attributes that ``limited_protocol`` reads."""

    def __init__(self, *, node: GatewayNode):
        self.node = node

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force, the defaults without a configuration."""
        table = self.node.table
        return table.limits if table is not None else CallerLimits()

    @property
    def header_limit_bytes(self) -> int:
        """Return the maximum size of a request's headers in bytes."""
        return self.limits.max_header_bytes

    @property
    def header_timeout_s(self) -> float:
        """Return the seconds within which all headers must arrive."""
        return self.limits.header_timeout_s

    @property
    def header_count_limit(self) -> int:
        """Return the maximum number of headers in a request."""
        return self.node.program.settings.entry.header_count_limit


def caller_protocol(node: GatewayNode) -> type[HttpToolsProtocol]:
    """Return the protocol class for callers' connections."""
    current = CurrentCallerLimits(node=node)

    class GatewayProtocol(limited_protocol(current)):  # type: ignore[misc]
        """A caller's connection with the idle timeout of the configuration."""

        def connection_made(self, transport) -> None:
            """Set the idle timeout in force when the connection opens."""
            super().connection_made(transport)
            self.timeout_keep_alive = current.limits.idle_timeout_s + IDLE_MARGIN_S
            self.caller_connection = CallerConnection(protocol=self)

        def on_message_begin(self) -> None:
            """Let the application see the connection of a request."""
            super().on_message_begin()
            self.scope[CONNECTION_KEY] = self.caller_connection

    return GatewayProtocol
