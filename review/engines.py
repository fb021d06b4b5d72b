"""Engines whose streams a case can check."""

from __future__ import annotations

import asyncio
import socket
import struct

from fakes.rawhttp import Request, chunk_bytes, response_bytes
from fakes.site import SiteEndpoint
from fakes.siteconfig import ENGINE_SERVICE
from review.record import Record

# The value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Which of each run of streams is the one without a length or chunks.
FIRST_UNFRAMED = 3


class Engine(SiteEndpoint):
    """An engine whose events name it and the version of its software.

    ``unframed_every`` is how many streams there are to each one that has neither a
    length nor chunks, 0 for none.  ``unframed`` holds the ids of such requests that
    run.  With ``resets_stopped`` a stream that a move has stopped is reset.
    """

    def __init__(
        self,
        *,
        name: str,
        events: int,
        interval_s: float,
        record: Record,
        version: str = "v1",
        unframed_every: int = 0,
    ):
        super().__init__(
            name=name, service=ENGINE_SERVICE, events=events, version=version
        )
        self.event_interval_s = interval_s
        self.record = record
        self.unframed_every = unframed_every
        self.unframed: set[str] = set()
        self.stream_count = 0
        self.born = 0

    def entry(self, state: str = "ready", **fields) -> dict:
        """Return the engine's entry in the store."""
        born = {"born": self.born} if self.born else {}
        return super().entry(state, slots=24, **born, **fields)

    async def stream(self, request: Request, reader, writer) -> None:
        """Stream events from the one after the request's Last-Event-ID."""
        kv_copy = request.headers.get("kv-from", "").rpartition("/")[2]
        if kv_copy and kv_copy not in {*self.kv_copies, *self.stopped}:
            writer.write(response_bytes(503, b"", {"X-Not-Executed": "1"}))
            await writer.drain()
            return
        self.kv_copies.pop(kv_copy, None)
        self.stopped.discard(request.attempt_id)
        self.stream_count += 1
        is_unframed = bool(
            self.unframed_every
            and self.stream_count % self.unframed_every == FIRST_UNFRAMED
        )
        first = int(request.headers.get("last-event-id") or 0)
        self.record.add(
            f"{self.name} ({self.version}) runs {request.attempt_id} after event"
            f" {first}{', without a length or chunks' if is_unframed else ''}"
        )
        headers = {
            **self.answer_headers(request),
            "Content-Type": "text/event-stream",
        }
        if not is_unframed:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Connection"] = "close"
            self.unframed.add(request.attempt_id)
        writer.write(response_bytes(200, b"", headers, length=False))
        disconnect_watch = asyncio.create_task(reader.read(1))
        self.running[request.attempt_id] = first
        try:
            for number in range(first + 1, self.event_count + 1):
                if request.attempt_id in self.stopped:
                    self.record.add(f"{self.name} has stopped {request.attempt_id}")
                    return
                if disconnect_watch.done():
                    self.cancelled.append(request.attempt_id)
                    return
                event = f"id: {number}\ndata: {self.name}/{self.version}\n\n".encode()
                writer.write(event if is_unframed else chunk_bytes(event))
                await writer.drain()
                self.running[request.attempt_id] = number
                await asyncio.sleep(self.event_interval_s)
            if not is_unframed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.record.add(f"{self.name} has ended {request.attempt_id}")
        finally:
            self.running.pop(request.attempt_id, None)
            self.unframed.discard(request.attempt_id)
            disconnect_watch.cancel()

    async def crash(self) -> None:
        """End as a process that is killed: all connections are reset."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.stop()
