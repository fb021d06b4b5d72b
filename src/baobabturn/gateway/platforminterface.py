"""What the gateway needs of a platform's wire, as ``Protocol`` types.

One package implements them for one platform; nothing else knows its names.
"""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from baobabturn.core.results import Failure
from baobabturn.gateway.request import CallerRequest, GenerationSize, Headers
from baobabturn.gateway.routes import RouteTable


@attrs.frozen(kw_only=True)
class EndpointRecord:
    """What the platform says of one endpoint.

    ``started`` tells incarnations of one name apart, 0 where it isn't known.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    incarnation: int = 0


@attrs.frozen(kw_only=True)
class GatewayRecord:
    """What a gateway writes to the platform's store for the others to find it."""

    name: str
    peers: str
    callers: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class Continuation:
    """Where a run that began elsewhere goes on.

    ``memory`` names the copy of the run's memory, empty for a run that is begun
    anew after its last event.
    """

    last_event_id: str
    cache_handle: str = ""


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What an endpoint's answer says besides its content.

    ``signed`` holds for answers that the endpoint vouches for, ``refused`` for
    those that say that the request was not run and won't be.
    """

    request_id: str
    signed: bool
    refused: bool
    encoded: bool


@attrs.frozen(kw_only=True)
class CacheCopy:
    """A copy of a run's memory at another engine; ``memory`` names it."""

    cache_handle: str
    event_count: int


class HeaderTranslator(Protocol):
    """Reads and writes requests and answers as the platform's parties do."""

    def request_id(self, headers: Headers) -> str:
        """Return the caller's id of a request, empty where it has none."""

    def caller_timeout_s(self, headers: Headers) -> float | None:
        """Return the seconds that the caller will wait, None where it says none."""

    def generation_size(self, headers: Headers) -> GenerationSize | None:
        """Return the sizes of a generation request, None where it has none."""

    def outgoing_headers(
        self,
        request: CallerRequest,
        *,
        endpoint: str,
        remaining_s: float,
        engine_priority: int | None = None,
        continuation: Continuation | None = None,
    ) -> Headers:
        """Return the headers with which a request goes to an endpoint."""

    def response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an endpoint's answer says of itself."""


class DocumentCodec(Protocol):
    """Reads and writes the objects that the platform's store holds."""

    config_kind: str
    config_name: str
    endpoint_kind: str
    gateway_kind: str

    def decode_table(self, value: Any) -> RouteTable | Failure:
        """Return the configuration in an object."""

    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord | Failure:
        """Return the endpoint in an object."""

    def decode_gateway(self, name: str, value: Any) -> GatewayRecord | Failure:
        """Return the gateway in an object."""

    def encode_gateway(self, record: GatewayRecord) -> Any:
        """Return a gateway as the value of its object."""


class CacheCopier(Protocol):
    """Copies the memory of running generations from engine to engine."""

    async def copy(
        self,
        source: str,
        request_id: str,
        target: str,
        *,
        final: bool,
        timeout_s: float,
    ) -> CacheCopy | Failure:
        """Copy a run's memory from an engine to another one.

        Addresses are ``address:port``.  With ``stop`` the run ends at the source
        first, so that the copy is whole.
        """

    async def is_leaving(self, address: str, timeout_s: float) -> bool | Failure:
        """Return whether an engine says itself that it leaves."""

    async def discard(self, source: str, cache_handle: str) -> None:
        """Free a copy that won't be used."""


class GatewayPaths(Protocol):
    """The calls that a platform's parties make to a gateway itself."""

    ready_path: str
    directory_path: str

    def directory_body(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that tells a caller which addresses to use."""
