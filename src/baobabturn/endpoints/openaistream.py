"""Reads the chunks of an OpenAI-compatible stream of server-sent events.

Usage arrives in a separate chunk after the one with the finish reason, as in the
OpenAI API, or in that one, as some engines send it.  In both cases it is returned
in the finishing chunk's ``values`` and not in its ``raw``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunk

LINE_LIMIT_BYTES = 1024 * 1024
DATA = b"data:"
DONE = b"[DONE]"
USAGE = "usage"
USAGE_WAIT_S = 1.0
NO_CHUNK = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class OpenAIStream:
    """Implements the ``ChunkStream`` protocol over one HTTP response.

    ``first`` is the index of the first token, for engines that send no
    ``sequence_number``.  A response without a finish reason ends in a failure.
    """

    def __init__(self, *, answer: aiohttp.ClientResponse, first: int):
        self.answer = answer
        self.count = first
        self.rest = b""
        self.failure: Failure | None = None
        self.finishing: Chunk | None = None

    async def read(self) -> list[Chunk] | Failure:
        """Return the next chunks, at least one, or why there are no more."""
        while self.failure is None:
            try:
                data = await self.answer.content.readany()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                return Failure(Code.GENERATION_CUT, type(error).__name__)
            if not data:
                return Failure(
                    Code.GENERATION_CUT,
                    "stream closed without a finish reason",
                )
            found = self.feed(data)
            if self.finishing is not None:
                return [*found, await self.finish()]
            if found:
                return found
        return self.failure

    async def finish(self) -> Chunk:
        """Return the finishing chunk, with usage if that arrives in time."""
        chunk = self.finishing
        assert chunk is not None
        with contextlib.suppress(TimeoutError, aiohttp.ClientError, OSError):
            async with asyncio.timeout(USAGE_WAIT_S):
                while not chunk.values.get(USAGE) and self.failure is None:
                    data = await self.answer.content.readany()
                    if not data:
                        break
                    self.feed(data)
        return chunk

    def feed(self, data: bytes) -> list[Chunk]:
        """Parse more bytes; return the chunks that they complete."""
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > LINE_LIMIT_BYTES:
            self.failure = Failure(
                Code.GENERATION_CUT, "an event line exceeds the length limit"
            )
        found = []
        for line in lines:
            if not line.startswith(DATA):
                continue
            chunk = self.read_line(line[len(DATA) :].strip())
            if chunk is not None:
                found.append(chunk)
            if self.failure is not None:
                break
        return found

    def read_line(self, data: bytes) -> Chunk | None:
        """Return the chunk in an event's data, None if it is no token or an error."""
        if data == DONE:
            self.failure = Failure(
                Code.GENERATION_CUT,
                "stream ended without a finish reason",
            )
            return None
        try:
            values = json.loads(data)
            choices = values["choices"]
            if not choices:
                self.take_usage(values.get(USAGE))
                return None
            index = int(values.get("sequence_number", self.count))
            finish = choices[0].get("finish_reason")
            if not isinstance(finish, str | None):
                raise TypeError("finish_reason")
        except NO_CHUNK:
            self.failure = Failure(
                Code.GENERATION_CUT, "an event is not a completion chunk"
            )
            return None
        if finish is not None:
            self.finishing = finishing_chunk(index, data, values, finish)
            return None
        self.count = max(self.count, index + 1)
        return Chunk(index=index, raw=data, values=values)

    def take_usage(self, usage: Any) -> None:
        """Store the usage in the finishing chunk."""
        if self.finishing is not None and isinstance(usage, dict):
            self.finishing.values[USAGE] = usage

    def close(self) -> None:
        """Close the connection; the engine goes on generating."""
        self.answer.close()


def finishing_chunk(
    index: int, data: bytes, values: dict[str, Any], finish: str
) -> Chunk:
    """Return the last chunk; ``raw`` is without usage."""
    raw = data
    if USAGE in values:
        rest = {name: value for name, value in values.items() if name != USAGE}
        raw = json.dumps(rest).encode()
    return Chunk(index=index, raw=raw, values=values, finish=finish)
