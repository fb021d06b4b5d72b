"""Accepts links and serves each in a task of its own."""

from __future__ import annotations

import asyncio
import hmac
import os
from collections.abc import Callable

from baobabturn.core.clock import HybridClock
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Inner
from baobabturn.wire.identity import Identity, hello_proof, welcome_proof
from baobabturn.wire.link import Link
from baobabturn.wire.messages import Hello, Welcome
from baobabturn.wire.tls import server_tls, tls_options

HELLO_TIMEOUT_S = 3.0
PENDING_LIMIT = 512


class LinkServer:
    """Accepts links and serves each in a task of its own."""

    def __init__(
        self,
        *,
        identity: Identity,
        inner: Inner,
        clock: HybridClock,
        handlers: dict[type, Callable],
        closed: Callable[[Link], None] | None = None,
    ):
        self.identity = identity
        self.inner = inner
        self.clock = clock
        self.handlers = handlers
        self.when_closed = closed
        self.links: set[Link] = set()
        self.pending = 0
        self.server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> int | Failure:
        """Listen and return the port, or the failure where it is in use."""
        try:
            self.server = await asyncio.start_server(
                self.accept, address, port, **tls_options(server_tls(self.inner))
            )
        except OSError as error:
            reason = f"{address}:{port}: {os.strerror(error.errno or 0)}"
            return Failure(Code.ADDRESS_IN_USE, reason)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer) -> None:
        """Authenticate one connection and serve it until it closes."""
        link = Link(reader=reader, writer=writer, clock=self.clock, inner=self.inner)
        if not await self.is_authentic(link):
            link.close()
            return
        link.limit = self.inner.frame_limit_bytes
        self.links.add(link)
        try:
            await link.serve(self.handlers)
        finally:
            self.links.discard(link)
            if self.when_closed is not None:
                self.when_closed(link)

    async def is_authentic(self, link: Link) -> bool:
        """Return whether a new connection proved the secret in time."""
        if self.pending >= PENDING_LIMIT:
            return False
        self.pending += 1
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                return await self.welcome(link)
        except TimeoutError:
            return False
        finally:
            self.pending -= 1

    async def welcome(self, link: Link) -> bool:
        """Return whether the peer's hello proved the secret; answer it."""
        challenge = nonce()
        link.write(Welcome(nonce=challenge))
        envelope = await link.receive()
        if isinstance(envelope, Failure) or not isinstance(envelope.body, Hello):
            return False
        hello = envelope.body
        wanted = hello_proof(self.inner.secret, hello, challenge)
        if not hmac.compare_digest(wanted.encode(), hello.proof.encode()):
            refused = Failure(Code.LINK_REFUSED, "wrong proof")
            link.answer(envelope.call, refused)
            return False
        link.peer = Identity(
            node=hello.node,
            role=hello.role,
            failure_domain=hello.failure_domain,
            incarnation=hello.incarnation,
        )
        answer = Welcome(
            node=self.identity.node,
            role=self.identity.role,
            incarnation=self.identity.incarnation,
        )
        answer.proof = welcome_proof(self.inner.secret, answer, hello.nonce, challenge)
        link.answer(envelope.call, answer)
        return True

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()
