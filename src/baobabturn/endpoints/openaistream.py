"""Reads the chunks of an OpenAI-compatible stream of server-sent events."""

from __future__ import annotations

import json

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Chunk

LINE_LIMIT_BYTES = 1024 * 1024
DATA = b"data:"
DONE = b"[DONE]"


class OpenAIStream:
    """Meets the ``ChunkStream`` protocol over one HTTP answer.

    ``first`` is the index of the first token to come, for engines that give
    none.  An answer that ends without a finish marker ends in a failure.
    """

    def __init__(self, *, answer: aiohttp.ClientResponse, first: int):
        self.answer = answer
        self.count = first
        self.rest = b""
        self.failure: Failure | None = None

    async def read(self) -> list[Chunk] | Failure:
        """Return the next chunks, at least one, or why there are no more."""
        while self.failure is None:
            try:
                data = await self.answer.content.readany()
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                return Failure(Code.GENERATION_CUT, type(error).__name__)
            if not data:
                return Failure(Code.GENERATION_CUT, "closed with no finish marker")
            found = self.feed(data)
            if found:
                return found
        return self.failure

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks that some more bytes complete."""
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > LINE_LIMIT_BYTES:
            self.failure = Failure(Code.GENERATION_CUT, "an event line is too long")
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
        """Return the chunk in an event's data, None where it holds no token."""
        if data == DONE:
            self.failure = Failure(Code.GENERATION_CUT, "done with no finish marker")
            return None
        try:
            values = json.loads(data)
            choices = values["choices"]
            if not choices:
                return None
            index = int(values.get("sequence_number", self.count))
            finish = choices[0].get("finish_reason")
        except (ValueError, TypeError, LookupError, AttributeError, RecursionError):
            self.failure = Failure(Code.GENERATION_CUT, "an event that is not a chunk")
            return None
        if finish is None:
            self.count = max(self.count, index + 1)
        return Chunk(index=index, raw=data, values=values, finish=finish)

    def close(self) -> None:
        """Drop the link; the generation goes on."""
        self.answer.close()
