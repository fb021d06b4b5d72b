"""One open connection between two processes: framing, calls, one-way messages.

A frame is a four-byte big-endian length and a packed message.
"""

from __future__ import annotations

import asyncio
import inspect
import itertools
import struct
from collections.abc import Callable
from typing import Any

import attrs

from baobabturn.core.background import Background
from baobabturn.core.clock import HybridClock
from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Inner
from baobabturn.wire import codec
from baobabturn.wire.identity import Identity
from baobabturn.wire.messages import Ack, Refusal

HEADER = struct.Struct(">I")
HELLO_LIMIT_BYTES = 4096
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024


@attrs.define
class Traffic:
    """The bytes that this process has exchanged with others of the system."""

    sent_bytes: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


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
