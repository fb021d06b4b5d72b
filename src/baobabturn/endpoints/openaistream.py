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

MAX_LINE_BYTES = 1024 * 1024
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
USAGE_FIELD = "usage"
USAGE_TIMEOUT_S = 1.0
PARSE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class OpenAIStream:
    """Implements the ``ChunkStream`` protocol over one HTTP response.

    ``first_index`` is the index of the first token, for engines that send no
    ``sequence_number``.  A response without a finish reason ends in a failure.
    """

    def __init__(self, *, response: aiohttp.ClientResponse, first_index: int):
        self.response = response
        self.next_index = first_index
        self.incomplete_line = b""
        self.failure: Failure | None = None
        self.last_chunk: Chunk | None = None

    async def read(self) -> list[Chunk] | Failure:
        """Return the next chunks, at least one, or why there are no more."""
        while self.failure is None:
            try:
                data = await self.response.content.readany()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                return Failure(Code.GENERATION_CUT, type(error).__name__)
            if not data:
                return Failure(
                    Code.GENERATION_CUT,
                    "stream closed without a finish reason",
                )
            chunks = self.feed(data)
            if self.last_chunk is not None:
                return [*chunks, await self.wait_for_usage()]
            if chunks:
                return chunks
        return self.failure

    async def wait_for_usage(self) -> Chunk:
        """Return the finishing chunk, with usage if that arrives in time."""
        chunk = self.last_chunk
        assert chunk is not None
        with contextlib.suppress(TimeoutError, aiohttp.ClientError, OSError):
            async with asyncio.timeout(USAGE_TIMEOUT_S):
                while not chunk.values.get(USAGE_FIELD) and self.failure is None:
                    data = await self.response.content.readany()
                    if not data:
                        break
                    self.feed(data)
        return chunk

    def feed(self, data: bytes) -> list[Chunk]:
        """Parse more bytes; return the chunks that they complete."""
        lines = (self.incomplete_line + data).split(b"\n")
        self.incomplete_line = lines.pop()
        if len(self.incomplete_line) > MAX_LINE_BYTES:
            self.failure = Failure(
                Code.GENERATION_CUT, "an event line exceeds the length limit"
            )
        chunks = []
        for line in lines:
            if not line.startswith(DATA_PREFIX):
                continue
            chunk = self.parse_event(line[len(DATA_PREFIX) :].strip())
            if chunk is not None:
                chunks.append(chunk)
            if self.failure is not None:
                break
        return chunks

    def parse_event(self, data: bytes) -> Chunk | None:
        """Return the token in an event's data, None if it has none.

        The end of the stream sets ``last_chunk``, an error sets ``failure``.
        """
        if data == DONE_DATA:
            self.failure = Failure(
                Code.GENERATION_CUT,
                "stream ended without a finish reason",
            )
            return None
        try:
            values = json.loads(data)
            choices = values["choices"]
            if not choices:
                self.store_usage(values.get(USAGE_FIELD))
                return None
            index = int(values.get("sequence_number", self.next_index))
            finish = choices[0].get("finish_reason")
            if not isinstance(finish, str | None):
                raise TypeError("finish_reason")
        except PARSE_ERRORS:
            self.failure = Failure(
                Code.GENERATION_CUT, "an event is not a completion chunk"
            )
            return None
        if finish is not None:
            self.last_chunk = make_last_chunk(index, data, values, finish)
            return None
        self.next_index = max(self.next_index, index + 1)
        return Chunk(index=index, raw=data, values=values)

    def store_usage(self, usage: Any) -> None:
        """Store the usage in the finishing chunk."""
        if self.last_chunk is not None and isinstance(usage, dict):
            self.last_chunk.values[USAGE_FIELD] = usage

    def close(self) -> None:
        """Close the connection; the engine goes on generating."""
        self.response.close()


def make_last_chunk(
    index: int, data: bytes, values: dict[str, Any], finish: str
) -> Chunk:
    """Return the last chunk; ``raw`` is without usage."""
    raw = data
    if USAGE_FIELD in values:
        values_without_usage = {
            name: value for name, value in values.items() if name != USAGE_FIELD
        }
        raw = json.dumps(values_without_usage).encode()
    return Chunk(index=index, raw=raw, values=values, finish=finish)
