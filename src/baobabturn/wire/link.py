"""Authenticated message links over TCP: framing, calls, servers and clients.

A frame is a four-byte big-endian length and a packed message.  The accepting
side opens a link with a ``Welcome`` that carries a fresh nonce as challenge, the
other answers with a ``Hello`` whose proof of the shared secret covers it, so
that a recorded one is of no use.  The answer is a ``Welcome`` with a proof over
the other's nonce, or a ``Refusal``.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import inspect
import itertools
import logging
import os
import ssl
import struct
from collections.abc import Callable
from typing import Any

import attrs

from baobabturn import __version__
from baobabturn.core.background import Background
from baobabturn.core.clock import HybridClock
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Inner
from baobabturn.wire import codec
from baobabturn.wire.messages import Ack, Hello, Refusal, Welcome

log = logging.getLogger("baobabturn.link")

HEADER = struct.Struct(">I")
HELLO_TIMEOUT_S = 3.0
HELLO_LIMIT_BYTES = 4096
PENDING_LIMIT = 512
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024
RECONNECT_FIRST_S = 0.05
RECONNECT_LIMIT_S = 1.0


@attrs.frozen(kw_only=True)
class Identity:
    """Who a process is, as it says in ``Hello``."""

    node: str
    role: str
    failure_domain: str
    incarnation: int


@attrs.define
class Traffic:
    """The bytes that this process has exchanged with others of the system."""

    sent_bytes: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


def proof(secret: str, *texts: str) -> str:
    """Return the keyed hash of some texts as hexadecimal text."""
    joined = "\n".join(texts).encode()
    return hmac.new(secret.encode(), joined, hashlib.sha256).hexdigest()


def to_refusal(failure: Failure) -> Refusal:
    """Return a failure as the message that carries it."""
    return Refusal(
        code=int(failure.code),
        reason=failure.reason,
        run=failure.run.value,
        retry_after_s=failure.retry_after_s,
    )


def from_refusal(body: Refusal) -> Failure:
    """Return the failure that a message carries."""
    try:
        code = Code(body.code)
        run = Run(body.run)
    except ValueError:
        return Failure(Code.UNSUPPORTED, f"code {body.code}: {body.reason}")
    return Failure(code, body.reason, run=run, retry_after_s=body.retry_after_s)


def hello_proof(secret: str, hello: Hello, challenge: str) -> str:
    """Return the proof that a hello must carry for a challenge."""
    who = (hello.node, hello.role, hello.failure_domain, str(hello.incarnation))
    return proof(secret, "hello", *who, hello.nonce, challenge)


def welcome_proof(secret: str, welcome: Welcome, mark: str, challenge: str) -> str:
    """Return the proof that a welcome must carry for a hello's nonce."""
    who = (welcome.node, welcome.role, str(welcome.incarnation))
    return proof(secret, "welcome", *who, mark, challenge)


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes | Failure:
    """Return the next frame's bytes, or why there is none."""
    try:
        (length,) = HEADER.unpack(await reader.readexactly(HEADER.size))
        if length > limit:
            return Failure(Code.MALFORMED, f"frame of {length} bytes")
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return Failure(Code.LINK_LOST, "connection closed")


class Link:
    """One open connection that carries calls and one-way messages both ways."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: HybridClock,
        inner: Inner,
        peer: Identity | None = None,
    ):
        self.reader = reader
        self.writer = writer
        self.clock = clock
        self.inner = inner
        self.peer = peer
        self.waiting: dict[int, asyncio.Future] = {}
        self.numbers = itertools.count(1)
        self.background = Background()
        self.closed = False
        self.limit = HELLO_LIMIT_BYTES
        self.sent_bytes = 0
        self.received_bytes = 0

    def write(self, body: Any, *, call: int = 0, reply: bool = False) -> bool:
        """Queue a message; return whether the link could take it."""
        if self.closed:
            return False
        transport = self.writer.transport
        if transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            self.close()
            return False
        data = codec.pack(
            codec.Envelope(body=body, hlc=self.clock.now(), call=call, reply=reply)
        )
        self.writer.write(HEADER.pack(len(data)) + data)
        self.sent_bytes += HEADER.size + len(data)
        TRAFFIC.sent_bytes += HEADER.size + len(data)
        return True

    def send(self, body: Any) -> bool:
        """Queue a one-way message; return whether the link could take it."""
        return self.write(body)

    async def call(self, body: Any, timeout_s: float | None = None) -> Any:
        """Send a message and return its answer or a failure."""
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            if not self.write(body, call=number):
                return Failure(Code.LINK_LOST, "link closed", run=Run.NOT_RUN)
            limit = self.inner.call_timeout_s if timeout_s is None else timeout_s
            async with asyncio.timeout(limit):
                return await future
        except TimeoutError:
            return Failure(Code.LINK_TIMEOUT, f"no answer in {limit:g} s")
        finally:
            self.waiting.pop(number, None)

    async def receive(self) -> codec.Envelope | Failure:
        """Return the next message, or why there is none."""
        data = await read_frame(self.reader, self.limit)
        if isinstance(data, Failure):
            return data
        self.received_bytes += HEADER.size + len(data)
        TRAFFIC.received_bytes += HEADER.size + len(data)
        envelope = codec.unpack(data)
        if not isinstance(envelope, Failure):
            self.clock.observe(envelope.hlc)
        return envelope

    async def serve(self, handlers: dict[type, Callable]) -> None:
        """Read messages until the link closes and hand each to its handler."""
        try:
            while not self.closed:
                envelope = await self.receive()
                if isinstance(envelope, Failure):
                    if envelope.code is Code.UNSUPPORTED:
                        continue
                    return
                self.dispatch(envelope, handlers)
        finally:
            self.close()
            await self.background.stop()

    def dispatch(self, envelope: codec.Envelope, handlers: dict) -> None:
        """Settle a reply, or run the handler of a request."""
        if envelope.reply:
            future = self.waiting.get(envelope.call)
            if future is not None and not future.done():
                body = envelope.body
                failed = isinstance(body, Refusal)
                future.set_result(from_refusal(body) if failed else body)
            return
        handler = handlers.get(type(envelope.body))
        if handler is None:
            self.answer(envelope.call, Failure(Code.UNSUPPORTED, "no handler"))
            return
        result = handler(self, envelope.body)
        if inspect.isawaitable(result):
            name = f"handle-{type(envelope.body).__name__}"
            self.background.start(self.finish(envelope.call, result), name)
        else:
            self.answer(envelope.call, result)

    async def finish(self, call: int, result: Any) -> None:
        """Await a handler and send its result."""
        self.answer(call, await result)

    def answer(self, call: int, result: Any) -> None:
        """Send the result of a call; one-way messages get none."""
        if not call:
            return
        if isinstance(result, Failure):
            result = to_refusal(result)
        self.write(result if result is not None else Ack(), call=call, reply=True)

    def close(self) -> None:
        """Close the link and fail the calls that wait on it."""
        if self.closed:
            return
        self.closed = True
        for future in self.waiting.values():
            if not future.done():
                future.set_result(Failure(Code.LINK_LOST, "link closed"))
        self.writer.close()


def server_tls(inner: Inner) -> ssl.SSLContext | None:
    """Return the TLS context for accepting links, None where TLS is off."""
    if not inner.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(inner.tls_cert, inner.tls_key)
    context.load_verify_locations(inner.tls_ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_tls(inner: Inner) -> ssl.SSLContext | None:
    """Return the TLS context for opening links, None where TLS is off."""
    if not inner.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(inner.tls_ca)
    context.load_cert_chain(inner.tls_cert, inner.tls_key)
    return context


def tls_options(context: ssl.SSLContext | None) -> dict[str, Any]:
    """Return the options that put TLS with a bounded handshake on a connection."""
    if context is None:
        return {}
    return {"ssl": context, "ssl_handshake_timeout": HELLO_TIMEOUT_S}


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
            async with asyncio.timeout(HELLO_TIMEOUT_S):
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
