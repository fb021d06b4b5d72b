"""The routes, services and keys in force, as typed data."""

from __future__ import annotations

import enum
import random

import attrs

from baobabturn.placement.homes import ANY_REGION, Homes


class RouteKind(str, enum.Enum):
    """How often the requests of a route may run.

    ``SAFE`` requests may run any number of times, ``UNSAFE`` ones at most once.
    A ``STREAM`` may run at most once unless its route is ``continuable``.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties that all engines of a service share.

    ``slots`` is the number of concurrent generations and ``kv_cache_tokens`` the
    KV cache of one engine, ``kv_bytes_per_token`` the size of one token's KV cache,
    ``link_bytes_per_s`` the speed of an engine's link, and ``tokens_per_event`` the
    number of tokens in one event of a stream.
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
    """A service behind the gateway; ``engine`` is None for a plain service.

    For ``cold_start_s`` after its start an endpoint takes ``cold_per_s`` requests a
    second from all gateways together, 0 for no limit.
    """

    name: str
    engine: EngineTraits | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Route:
    """The services and rules for requests of one host and path prefix.

    ``services`` holds names with their weights.  ``answer_goal_s`` is the promised
    time to the response (of a stream: to its first event) and ``event_gap_goal_s``
    the promised longest pause between events.  ``keyless`` routes need no key,
    ``is_generation`` marks requests for a model's generation, and a stream of a
    ``continuable`` route may be continued at another engine.  ``homes`` are its home
    regions.
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
    homes: Homes = ANY_REGION

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.continuable
        )

    def has_service(self, name: str) -> bool:
        """Return whether requests of the route may go to a service."""
        return any(name == service for service, _ in self.services)

    def pick_service(self) -> str:
        """Return the service for one request, chosen at random by weight."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return random.choices(names, weights)[0]


@attrs.frozen(kw_only=True)
class KeyHolder:
    """The workspace that a key belongs to.

    ``priority`` overrides the route's priority unless it is None.  ``homes`` are the
    workspace's home regions.
    """

    workspace: str
    priority: int | None = None
    homes: Homes = ANY_REGION


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of callers' requests and the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class RouteTable:
    """One version of the configuration.

    ``routes`` is keyed by host and path prefix, ``key_holders`` by key.  If
    ``keys_required`` is false, no route needs a key.
    """

    version: int
    routes: dict[tuple[str, str], Route]
    services: dict[str, Service]
    key_holders: dict[str, KeyHolder]
    keys_required: bool
    limits: CallerLimits = CallerLimits()

    def homes_of_host(self, host: str) -> Homes:
        """Return the regions that the routes of a host have as homes, any if none has.

        Those that all its routes allow, or if there are none, those that some allow.
        """
        homes = [
            route.homes
            for route in self.routes.values()
            if route.host == host and route.homes is not None
        ]
        if not homes:
            return ANY_REGION
        return frozenset.intersection(*homes) or frozenset.union(*homes)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None if none matches.

        Prefixes end with a slash: of ``/a/`` and ``/a/b/``, the path ``/a/b/c``
        matches the latter.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
