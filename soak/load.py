"""Callers of the soak: they keep connections open and note what they got."""

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
# Share of streams that their callers leave before the end.
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
    """One request of a caller; times are monotonic seconds, 0 for not yet."""

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
        """Return the answer's status, 0 where there was none."""
        return self.reply.status if self.reply is not None else 0


class Caller:
    """One caller, that uses a connection for as long as it stays open."""

    def __init__(self, *, world: World, number: int, note: Callable[[Sent], None]):
        self.world = world
        self.number = number
        self.note = note
        self.count = 0
        self.gateway: GatewayProcess | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until this is cancelled."""
        while True:
            await self.one(self.world.random.choice(KINDS))
            await asyncio.sleep(PAUSE_S * self.world.random.uniform(0.5, 1.5))

    async def one(self, kind: str, gateway: GatewayProcess | None = None) -> Sent:
        """Send one request and note how it ended."""
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
            sent.problem = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            sent.problem = type(error).__name__
            self.close()
        finally:
            sent.ended = time.monotonic()
        return sent

    async def exchange(self, sent: Sent, leaves: bool) -> None:
        """Send a request and read its answer, or leave on the way."""
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
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
