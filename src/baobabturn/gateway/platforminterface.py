"""What the gateway needs from a platform, as ``Protocol`` types.

One package implements them for one platform; only that package uses the names
of the platform's wire format.
"""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from baobabturn.core.results import Failure
from baobabturn.gateway.request import (
    CallerRequest,
    GenerationSize,
    Headers,
    Resumption,
)
from baobabturn.gateway.routes import RouteTable
from baobabturn.gateway.softwareversion import SoftwareVersion
from baobabturn.gateway.streamorigins import StreamOrigin


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """An endpoint as the platform's store describes it.

    ``incarnation`` tells processes of the same name apart, 0 if it isn't known.
    ``cold_left_s`` is for how much longer the endpoint is cold, None if that isn't
    known.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    software_version: SoftwareVersion
    incarnation: int = 0
    cold_left_s: float | None = None


@attrs.frozen(kw_only=True)
class GatewayRecord:
    """What a gateway writes to the platform's store for the others to find it.

    ``peers`` and ``callers`` are the ``address:port`` at which it listens for other
    gateways and for callers, ``relay`` where it takes the requests that other gateways
    pass on, empty for nowhere.
    """

    name: str
    peers: str
    callers: str
    failure_domain: str
    relay: str = ""


@attrs.frozen(kw_only=True)
class QuarantineRecord:
    """A part of prompts that crashes engines, as it is kept in the platform's store.

    ``term`` counts the quarantines of the part; the newest ends at ``ends_at``, in
    seconds since the epoch.
    """

    part: str
    term: int
    ends_at: float


@attrs.frozen(kw_only=True)
class VersionsRecord:
    """Which software versions have begun streams, as the platform's store keeps it.

    ``versions`` holds the versions of each service that can have begun a stream which
    may still be resumed, ``streams`` the origins of those of services with several,
    by digest.  ``written_at`` is in seconds since the epoch; two records that differ
    in it alone are equal.
    """

    written_at: float = attrs.field(eq=False)
    versions: dict[str, tuple[str, ...]]
    streams: dict[str, StreamOrigin]


@attrs.frozen(kw_only=True)
class Continuation:
    """How another engine continues a generation after the last event sent.

    ``cache_handle`` names a copy of the KV cache; without one the engine runs the
    rest of the generation again.
    """

    last_event_id: str
    cache_handle: str = ""


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What the headers of an endpoint's response say about it.

    ``signed`` means that the endpoint itself signed the response, ``refused`` that
    the request did not run and will not, ``encoded`` that the body is compressed or
    encoded otherwise.  ``rate_limit_per_s`` is how many requests a second the endpoint
    takes from all gateways together, None if it names no limit.  ``leaving`` means
    that the endpoint is leaving, ``pause_s`` for how many seconds it wants no request
    of this gateway.  ``refusals_per_s`` is how many refusals a second the endpoint
    bears, of all gateways together, None if it says nothing of that.  ``cold_left_s``
    is for how many seconds the endpoint is still cold, None if it doesn't say.
    """

    request_id: str
    signed: bool
    refused: bool
    encoded: bool
    rate_limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float = 0.0
    refusals_per_s: float | None = None
    cold_left_s: float | None = None


@attrs.frozen(kw_only=True)
class CacheCopy:
    """A copy of a generation's KV cache at another engine.

    ``cache_handle`` names the copy, ``event_count`` counts the events that the
    generation has produced.
    """

    cache_handle: str
    event_count: int


@attrs.frozen(kw_only=True)
class EngineReport:
    """What an engine's report says of the process that wrote it.

    ``incarnation`` tells it from others of the same name, 0 if the report doesn't say.
    """

    leaving: bool
    incarnation: int


@attrs.frozen(kw_only=True)
class CallerPlace:
    """Where the caller of a directory is and whom it calls, empty for not stated."""

    host: str = ""
    region: str = ""
    failure_domain: str = ""


class HeaderTranslator(Protocol):
    """Translates the headers of requests and responses."""

    def request_id(self, headers: Headers) -> str:
        """Return the caller's id of a request, empty if there is none."""

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return the seconds that the caller will wait, None if it states none."""

    def generation_size(self, headers: Headers) -> GenerationSize | None:
        """Return the sizes of a generation request, None if it states none."""

    def resumption(self, headers: Headers) -> Resumption | None:
        """Return where a caller resumes a stream, None if it begins a new one."""

    def outgoing_headers(
        self,
        request: CallerRequest,
        *,
        endpoint: str,
        remaining_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> Headers:
        """Return the headers to send to an endpoint.

        The endpoint learns that it has ``remaining_s`` seconds to respond.
        """

    def relayed_headers(self, headers: Headers, *, remaining_s: float) -> Headers:
        """Return a caller's headers for another gateway, with the time that is left."""

    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what the headers of an endpoint's response say about it."""


class ObjectCodec(Protocol):
    """Decodes and encodes the objects in the platform's store."""

    config_kind: str
    config_name: str
    endpoint_kind: str
    gateway_kind: str
    quarantine_kind: str
    versions_kind: str
    evacuation_kind: str

    def decode_table(self, value: Any) -> RouteTable | Failure:
        """Return the configuration in an object."""

    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord | Failure:
        """Return the endpoint in an object."""

    def decode_gateway(self, name: str, value: Any) -> GatewayRecord | Failure:
        """Return the gateway in an object."""

    def encode_gateway(self, record: GatewayRecord) -> Any:
        """Return the value to store for a gateway."""

    def decode_quarantine(self, name: str, value: Any) -> QuarantineRecord | Failure:
        """Return the quarantined part in an object."""

    def encode_quarantine(self, record: QuarantineRecord) -> Any:
        """Return the value to store for a quarantined part."""

    def decode_versions(self, value: Any) -> VersionsRecord | Failure:
        """Return the record of versions in an object."""

    def encode_versions(self, record: VersionsRecord) -> Any:
        """Return the value to store for a record of versions."""


class Conditions(Protocol):
    """What engines say of themselves in their answers, by their ``address:port``."""

    def record_leaving(self, address: str) -> None:
        """Record that an engine says that it is leaving."""

    def record_pause(self, address: str, seconds: float) -> None:
        """Record that an engine wants nothing of this gateway for some seconds."""

    def pause_s(self, address: str) -> float:
        """Return for how long an engine wants nothing, 0 if it takes calls."""


class CacheCopier(Protocol):
    """Copies running generations' KV caches, and reads engines' reports.

    It applies ``conditions``, and records there what the answers to its calls say.
    """

    conditions: Conditions | None

    async def copy(
        self,
        source: str,
        request_id: str,
        target: str,
        *,
        final: bool,
        timeout_s: float,
    ) -> CacheCopy | Failure:
        """Copy a generation's KV cache from one engine to another.

        Engines are given as ``address:port``.  With ``final`` the source first
        stops the generation, so that the copy is complete.
        """

    async def report(self, address: str, timeout_s: float) -> EngineReport | Failure:
        """Return what an engine's own report says now."""

    async def discard(self, source: str, cache_handle: str) -> None:
        """Delete a copy that won't be used, at the engine that made it."""


class GatewayPaths(Protocol):
    """Paths of the requests that a gateway answers by itself, and response bodies."""

    ready_path: str
    directory_path: str

    def caller_place(self, query: bytes) -> CallerPlace:
        """Return what the query of a directory call says of its caller."""

    def directory_body(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that lists the addresses which callers should use."""
