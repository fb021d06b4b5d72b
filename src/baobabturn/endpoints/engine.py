"""The interface of a model engine, as a ``Protocol``."""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from baobabturn.core.results import Failure


@attrs.define(kw_only=True, slots=True)
class Chunk:
    """One token of a stream, or its end.

    ``index`` is the token's position in the generation from 0.  ``finish`` is
    the finish reason on the last chunk, whose ``index`` is the number of tokens.
    ``raw`` is the engine's event data as received, ``values`` the same decoded.
    """

    index: int
    raw: bytes
    values: dict[str, Any]
    finish: str | None = None


class ChunkStream(Protocol):
    """An open connection that delivers a generation's chunks."""

    async def read(self) -> list[Chunk] | Failure:
        """Return the next chunks, at least one, or why there are no more.

        Chunks that arrived together are returned together.  A cancelled call
        loses no chunk.
        """

    def close(self) -> None:
        """Close the connection; the engine goes on generating."""


@attrs.frozen(kw_only=True)
class OpenGeneration:
    """A generation that has not ended; ``waiting`` if it is queued or preempted."""

    age_s: float
    waiting: bool


@attrs.frozen(kw_only=True)
class LoadReport:
    """An engine's load as it reports it; ``age_s`` is the age of the report."""

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int
    preemptions: int
    leaving: bool
    age_s: float
    models: dict[str, str]


@attrs.frozen(kw_only=True)
class CacheChange:
    """Hashes of the prefix blocks stored and removed since a sequence number.

    ``last`` is the newest sequence number; ``gap`` says that events are missing.
    """

    last: int
    gap: bool
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Order:
    """An order to an endpoint; it states the desired state, so it can be repeated.

    ``term`` is the fencing token of the lease under which it is sent.
    """

    order: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    term: int = 0


@attrs.frozen(kw_only=True)
class EngineState:
    """What an engine serves at the time of the call, not from a lagging report.

    ``models`` has the versions by model.  ``loading`` names a model that is being
    loaded, ``failed`` has the versions whose last load failed, by model.
    ``open_count`` is the number of open generations.
    """

    models: dict[str, str]
    adapters: frozenset[str]
    role: str
    term: int
    loading: str
    failed: dict[str, str]
    open_count: int


class Engine(Protocol):
    """A model engine that streams, resumes, cancels, reports and obeys orders."""

    async def start(
        self, url: str, chat: bool, body: dict[str, Any]
    ) -> ChunkStream | Failure:
        """Start a generation; return its chunk stream, or why it did not start."""

    async def resume(
        self, url: str, generation: str, after: int
    ) -> ChunkStream | Failure:
        """Return the chunk stream after a token index, -1 for all tokens."""

    async def cancel(self, url: str, generation: str) -> bool | Failure:
        """Cancel a generation; return whether the engine confirmed it."""

    async def open_generations(self, url: str) -> dict[str, OpenGeneration] | Failure:
        """Return the open generations by id."""

    async def load(self, url: str) -> LoadReport | Failure:
        """Return the engine's newest load report."""

    async def cache_changes(self, url: str, after: int) -> CacheChange | Failure:
        """Return the cache events after a sequence number."""

    async def state(self, url: str) -> EngineState | Failure:
        """Return the engine's current state."""

    async def order(self, url: str, order: Order, timeout_s: float) -> None | Failure:
        """Send an order; the failure is ``FENCED`` if its ``term`` is too old."""
