"""The routes, services and keys in force, as typed data."""

from __future__ import annotations

import enum
import random

import attrs


class RouteKind(str, enum.Enum):
    """What may be done with a request more than once.

    ``SAFE`` requests may run any number of times, ``UNSAFE`` ones at most once.
    A ``STREAM`` counts as unsafe unless its route lets it be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What the model engines of a service have in common.

    ``memory_tokens`` is the memory of one engine, ``token_bytes`` what a token
    takes of it, ``link_bytes_per_s`` the speed of its link, ``tokens_per_event``
    how many tokens one event of a stream holds.
    """

    slots: int
    kv_cache_tokens: int
    kv_bytes_per_token: int
    link_bytes_per_s: float
    tokens_per_event: int
    supports_migration: bool
    supports_backups: bool


@attrs.frozen(kw_only=True)
class Service:
    """A service behind the gateway; ``engine`` is None for a plain one."""

    name: str
    engine: EngineTraits | None = None


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of a host and path go, and what may be done with them.

    ``services`` holds names with their weights.  ``goal_s`` is the time to the
    answer (of a stream: to its first event) that callers are promised, and
    ``gap_goal_s`` the longest pause between events.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    answer_goal_s: float
    event_gap_goal_s: float
    priority: int
    attempt_limit: int
    keyless: bool
    is_generation: bool
    continuable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.continuable
        )

    def pick_service(self) -> str:
        """Return the service for one request, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return random.choices(names, weights)[0]


@attrs.frozen(kw_only=True)
class KeyHolder:
    """The workspace that a key belongs to; its priority goes before a route's."""

    workspace: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of the configuration, ready to be asked.

    ``routes`` is keyed by host and prefix, ``holders`` by key.

    Example: a table with the prefixes ``/a/`` and ``/a/b/`` matches the path
    ``/a/b/c`` with the longer one.
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, Service]
    key_holders: dict[str, KeyHolder]
    keys_required: bool
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None for none."""
        end = path.rfind("/")
        while end >= 0:
            found = self.routes.get((host, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
