"""A loopback proxy that can delay, silence, reset or refuse connections."""

from __future__ import annotations

import asyncio
import enum
import struct

import attrs

from fakes.site import Server

READ_BYTES = 65_536
SOL_SOCKET, SO_LINGER = 1, 13


class Way(enum.Enum):
    """The directions of a connection: to the target and back to the caller."""

    THERE = "there"
    BACK = "back"


@attrs.define(eq=False)
class Pair:
    """The two sockets of one connection through a proxy."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter


class Proxy(Server):
    """Forwards bytes between callers and one target address.

    ``delay_s`` is added to each read in both directions, ``silent`` has the directions
    in which bytes are held back until ``restore``, and with ``refusing`` new
    connections are reset.  Bytes are never lost or changed.
    """

    def __init__(self, *, target: str):
        super().__init__()
        self.target = target
        self.delay_s = 0.0
        self.silent: set[Way] = set()
        self.refusing = False
        self.heard = asyncio.Event()
        self.pairs: set[Pair] = set()

    async def connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until both have ended."""
        if self.refusing:
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = Pair(near=writer, far=far)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self.carry(reader, far, Way.THERE),
                self.carry(far_reader, writer, Way.BACK),
            )
        except (OSError, asyncio.CancelledError):
            reset(writer)
            reset(far)
        finally:
            self.pairs.discard(pair)
            writer.close()
            far.close()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        """Forward one direction to its end."""
        while True:
            data = await reader.read(READ_BYTES)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while way in self.silent:
                await self.heard.wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    def silence(self, *ways: Way) -> None:
        """Hold back the bytes of the given directions."""
        self.silent = set(ways)
        self.heard.clear()

    def restore(self) -> None:
        """End all faults; bytes that were held back go on."""
        self.silent = set()
        self.refusing = False
        self.delay_s = 0.0
        self.heard.set()
        self.heard = asyncio.Event()

    def drop(self) -> None:
        """Reset all open connections."""
        for pair in list(self.pairs):
            reset(pair.near)
            reset(pair.far)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.restore()
        await super().stop()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
