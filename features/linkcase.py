"""A link server in this process, with peers of all sorts."""

import asyncio

import attrs

from baobabturn.core.clock import HybridClock
from baobabturn.core.results import Failure
from baobabturn.settings.load import load
from baobabturn.wire.client import LinkClient
from baobabturn.wire.identity import Identity
from baobabturn.wire.messages import Ack, StatsRequest
from baobabturn.wire.server import LinkServer

LIMIT_S = 6.0


def inner(secret="s"):
    """Return the settings of links with a secret."""
    return attrs.evolve(load(None, None).settings.inner, secret=secret)


def identity(name):
    """Return the identity of a process of a name."""
    return Identity(node=name, role="entry", failure_domain="d", incarnation=1)


class Case:
    """A link server, with peers of all sorts."""

    def __init__(self, secret="s"):
        self.server = LinkServer(
            identity=identity("server"),
            inner=inner(secret),
            clock=HybridClock(),
            handlers={StatsRequest: lambda link, body: Ack(revision=7)},
        )
        self.port = 0

    async def run(self, work):
        """Run a case while the server listens."""
        self.port = await self.server.start("127.0.0.1", 0)
        try:
            return await work(self)
        finally:
            await self.server.stop()

    def client(self, secret="s"):
        """Return a client of the server."""
        return LinkClient(
            address="127.0.0.1",
            port=self.port,
            identity=identity("client"),
            inner=inner(secret),
            clock=HybridClock(),
        )

    async def served(self):
        """Return whether a true peer is served."""
        link = await self.client().open()
        if isinstance(link, Failure):
            return link
        task = asyncio.create_task(link.serve({}))
        answer = await link.call(StatsRequest(kind="metrics"))
        link.close()
        await task
        return answer.revision == 7

    async def raw(self, *parts, pause=0.0):
        """Send bytes over a connection; return whether the server closed it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            async with asyncio.timeout(LIMIT_S):
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(pause)
                while await reader.read(65536):
                    pass
            return True
        except ConnectionError:
            return True
        except TimeoutError:
            return False
        finally:
            writer.close()
