"""An endpoint that reads request bodies slowly and counts what it holds."""

from __future__ import annotations

import asyncio
from typing import Any

from fakes.rawhttp import Request
from fakes.site import SiteEndpoint

READ_S = 0.5
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class SlowBodyEndpoint(SiteEndpoint):
    """A plain endpoint or an engine that begins to read each body after ``READ_S``.

    ``held_bytes`` counts declared bodies from the head to the end of the response,
    ``max_held_bytes`` the most at any time.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.held_bytes = 0
        self.max_held_bytes = 0

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Count the body that a connection's head declares, and read it later."""
        size_bytes = 0
        try:
            head = await reader.readuntil(HEAD_END)
            lines = head.lower().split(b"\r\n")
            lengths = [line[len(LENGTH) :] for line in lines if line.startswith(LENGTH)]
            size_bytes = sum(map(int, lengths))
            self.held_bytes += size_bytes
            self.max_held_bytes = max(self.max_held_bytes, self.held_bytes)
            await asyncio.sleep(READ_S)
            body = await reader.readexactly(size_bytes)
            request = parsed(head, body)
            self.writers.add(writer)
            await self.handle(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.held_bytes -= size_bytes
            self.writers.discard(writer)
            writer.close()


def parsed(head: bytes, body: bytes) -> Request:
    """Return a request from its head and body."""
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.split(":", 1) for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Request(method=method, target=target, headers=headers, body=body)
