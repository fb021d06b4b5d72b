"""Keeps a link to an address open for as long as it is wanted."""

from __future__ import annotations

import asyncio
import hmac
import inspect
from collections.abc import Callable
from typing import Any

from baobabturn import __version__
from baobabturn.core.background import Background
from baobabturn.core.clock import HybridClock
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Inner
from baobabturn.wire.identity import Identity, hello_proof, welcome_proof
from baobabturn.wire.link import Link, from_refusal
from baobabturn.wire.messages import Hello, Refusal, Welcome
from baobabturn.wire.tls import client_tls, tls_options

WELCOME_TIMEOUT_S = 3.0
RECONNECT_FIRST_S = 0.05
RECONNECT_LIMIT_S = 1.0


class LinkClient:
    """Keeps one link to an address open, reconnecting while it is wanted."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        identity: Identity,
        inner: Inner,
        clock: HybridClock,
        handlers: dict[type, Callable] | None = None,
        opened: Callable[[Link], Any] | None = None,
    ):
        self.address = address
        self.port = port
        self.identity = identity
        self.inner = inner
        self.clock = clock
        self.handlers = handlers or {}
        self.when_opened = opened
        self.link: Link | None = None
        self.ready = asyncio.Event()
        self.background = Background()

    def start(self) -> None:
        """Start the task that keeps the link open."""
        self.background.start(self.keep(), f"link-{self.address}:{self.port}")

    async def keep(self) -> None:
        """Connect, serve until the link closes, wait, and connect again."""
        delay = RECONNECT_FIRST_S
        while True:
            link = await self.open()
            if isinstance(link, Failure):
                await asyncio.sleep(delay)
                delay = min(delay * 2, RECONNECT_LIMIT_S)
                continue
            delay = RECONNECT_FIRST_S
            self.link = link
            self.ready.set()
            if self.when_opened is not None:
                result = self.when_opened(link)
                if inspect.isawaitable(result):
                    link.background.start(result, "link-opened")
            await link.serve(self.handlers)
            self.ready.clear()
            self.link = None
            await asyncio.sleep(delay)

    async def open(self) -> Link | Failure:
        """Return a new authenticated link, or why there is none."""
        limit = self.inner.call_timeout_s
        try:
            async with asyncio.timeout(limit):
                reader, writer = await asyncio.open_connection(
                    self.address, self.port, **tls_options(client_tls(self.inner))
                )
        except (OSError, TimeoutError) as error:
            return Failure(Code.LINK_LOST, f"connect: {error}", run=Run.NOT_RUN)
        link = Link(reader=reader, writer=writer, clock=self.clock, inner=self.inner)
        try:
            async with asyncio.timeout(WELCOME_TIMEOUT_S):
                welcomed = await self.introduce(link)
        except TimeoutError:
            welcomed = Failure(Code.LINK_TIMEOUT, "no welcome")
        if isinstance(welcomed, Failure):
            link.close()
            return welcomed
        link.limit = self.inner.frame_limit_bytes
        return link

    async def introduce(self, link: Link) -> Failure | None:
        """Answer the challenge with a hello and check the other's proof."""
        opening = await link.receive()
        if isinstance(opening, Failure):
            return opening
        if not isinstance(opening.body, Welcome):
            return Failure(Code.LINK_REFUSED, "no challenge")
        challenge = opening.body.nonce
        mark = nonce()
        who = self.identity
        hello = Hello(
            node=who.node,
            role=who.role,
            failure_domain=who.failure_domain,
            incarnation=who.incarnation,
            release=__version__,
            nonce=mark,
        )
        hello.proof = hello_proof(self.inner.secret, hello, challenge)
        link.write(hello, call=next(link.numbers))
        envelope = await link.receive()
        if isinstance(envelope, Failure):
            return envelope
        body = envelope.body
        if isinstance(body, Refusal):
            return from_refusal(body)
        if not isinstance(body, Welcome):
            return Failure(Code.LINK_REFUSED, "no welcome")
        wanted = welcome_proof(self.inner.secret, body, mark, challenge)
        if not hmac.compare_digest(wanted.encode(), body.proof.encode()):
            return Failure(Code.LINK_REFUSED, "wrong proof")
        link.peer = Identity(
            node=body.node,
            role=body.role,
            failure_domain="",
            incarnation=body.incarnation,
        )
        return None

    def send(self, body: Any) -> bool:
        """Send a one-way message; return whether there was a link to take it."""
        return self.link is not None and self.link.send(body)

    async def call(self, body: Any, timeout_s: float | None = None) -> Any:
        """Send a message over the open link and return its answer or a failure."""
        if self.link is None:
            return Failure(Code.LINK_LOST, "not connected", run=Run.NOT_RUN)
        return await self.link.call(body, timeout_s)

    async def stop(self) -> None:
        """Close the link and stop reconnecting."""
        await self.background.stop()
        if self.link is not None:
            self.link.close()
