"""A loopback proxy that can delay, silence, reset or refuse connections."""

from __future__ import annotations

import asyncio
import enum
import struct

import attrs

from fakes.rawhttp import RawHttpServer

READ_SIZE_BYTES = 65_536
SOL_SOCKET, SO_LINGER = 1, 13


class Direction(enum.Enum):
    """The directions of a connection: to the target and back to the caller."""

    TO_TARGET = "there"
    TO_CALLER = "back"


@attrs.define(eq=False)
class ProxiedConnection:
    """The two sockets of one connection through a proxy."""

    caller_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter


class Proxy(RawHttpServer):
    """Forwards bytes between callers and one target address.

    ``delay_s`` is added to each read in both directions, ``silent`` has the directions
    in which bytes are held back until ``restore``, and with ``refusing`` new
    connections are reset.  Bytes are never lost or changed.
    """

    def __init__(self, *, target: str):
        super().__init__()
        self.target = target
        self.delay_s = 0.0
        self.silent: set[Direction] = set()
        self.refusing = False
        self.restored = asyncio.Event()
        self.connections: set[ProxiedConnection] = set()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until both have ended."""
        if self.refusing:
            reset_connection(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset_connection(writer)
            return
        connection = ProxiedConnection(
            caller_writer=writer, target_writer=target_writer
        )
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, Direction.TO_TARGET),
                self.forward(target_reader, writer, Direction.TO_CALLER),
            )
        except (OSError, asyncio.CancelledError):
            reset_connection(writer)
            reset_connection(target_writer)
        finally:
            self.connections.discard(connection)
            writer.close()
            target_writer.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forward one direction to its end."""
        while True:
            data = await reader.read(READ_SIZE_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while direction in self.silent:
                await self.restored.wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def silence(self, *directions: Direction) -> None:
        """Hold back the bytes of the given directions."""
        self.silent = set(directions)
        self.restored.clear()

    def restore(self) -> None:
        """End all faults; bytes that were held back go on."""
        self.silent = set()
        self.refusing = False
        self.delay_s = 0.0
        self.restored.set()
        self.restored = asyncio.Event()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            reset_connection(connection.caller_writer)
            reset_connection(connection.target_writer)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.restore()
        await super().stop()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
