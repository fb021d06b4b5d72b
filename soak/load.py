"""Callers of the soak test, which reuse connections and record every response."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs

from fakes.callers import Reply, read_reply, request_bytes
from fakes.callers import request_headers as plain_headers
from soak.process import GatewayProcess
from soak.world import World

PAUSE_S = 0.06
DEADLINE_S = 4.0
ANSWER_SLACK_S = 2.0
# Probability that a caller closes the connection during a stream.
LEAVE_SHARE = 0.1
PATHS = {
    "read": ("/read/x", "GET"),
    "post": ("/post/x", "POST"),
    "draft": ("/draft/x", "POST"),
    "check": ("/check/x", "POST"),
}
KINDS = ("read", "read", "post", "post", "draft", "check")


@attrs.define(kw_only=True)
class Sent:
    """One request of a caller and its response.

    Times are monotonic seconds, 0 for an event that has not happened.
    """

    ident: str
    kind: str
    key: str
    gateway: GatewayProcess
    began: float
    ended: float = 0.0
    left: float = 0.0
    reply: Reply | None = None
    problem: str = ""

    @property
    def status(self) -> int:
        """Return the response's status, or 0 without a response."""
        return self.reply.status if self.reply is not None else 0


class Caller:
    """A caller that reuses its connection for as long as it stays open."""

    def __init__(self, *, world: World, number: int, note: Callable[[Sent], None]):
        self.world = world
        self.number = number
        self.note = note
        self.count = 0
        self.gateway: GatewayProcess | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            await self.one(self.world.random.choice(KINDS))
            await asyncio.sleep(PAUSE_S * self.world.random.uniform(0.5, 1.5))

    async def one(self, kind: str, gateway: GatewayProcess | None = None) -> Sent:
        """Send one request and record how it ended.

        Without ``gateway`` the request goes to the gateway of the open connection, or
        to a random one.
        """
        chance = self.world.random
        self.count += 1
        if gateway is not None and gateway is not self.gateway:
            self.close()
        if self.writer is None:
            self.gateway = gateway or chance.choice(self.world.gateways)
        assert self.gateway is not None
        sent = Sent(
            ident=f"{self.number:08x}{self.count:08x}",
            kind=kind,
            key=chance.choice(self.world.keys),
            gateway=self.gateway,
            began=time.monotonic(),
        )
        self.note(sent)
        leaves = kind in ("draft", "check") and chance.random() < LEAVE_SHARE
        try:
            async with asyncio.timeout(DEADLINE_S + ANSWER_SLACK_S):
                await self.exchange(sent, leaves)
        except TimeoutError:
            sent.problem = "no response"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            sent.problem = type(error).__name__
            self.close()
        finally:
            sent.ended = time.monotonic()
        return sent

    async def exchange(self, sent: Sent, leaves: bool) -> None:
        """Send a request and read its response, or disconnect before its end."""
        if self.writer is None:
            host, _, port = sent.gateway.door.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        assert self.reader is not None
        path, method = PATHS[sent.kind]
        headers = plain_headers(path, {"X-Attempt-Id": sent.ident})
        headers["X-Deadline-Ms"] = str(int(DEADLINE_S * 1000))
        headers["Authorization"] = f"Bearer {sent.key}"
        body = sent.ident.encode() if method == "POST" else b""
        self.writer.write(request_bytes(method, path, headers, body))
        await self.writer.drain()
        if leaves:
            await asyncio.sleep(self.world.random.uniform(0.05, 0.6))
            sent.left = time.monotonic()
            self.close()
            return
        sent.reply = await read_reply(self.reader)
        closing = sent.reply.headers.get("connection") == "close"
        if closing or not sent.reply.whole:
            self.close()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
