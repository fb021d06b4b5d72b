"""Translates the objects of the platform's store into typed records."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable
from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.platforminterface import (
    EndpointRecord,
    GatewayRecord,
    QuarantineRecord,
    VersionsRecord,
)
from baobabturn.gateway.routes import (
    CallerLimits,
    EngineTraits,
    KeyHolder,
    Route,
    RouteKind,
    RouteTable,
    Service,
)
from baobabturn.gateway.softwareversion import SoftwareVersion
from baobabturn.gateway.streamorigins import StreamOrigin
from baobabturn.placement.homes import ANY_REGION, Homes

MS_PER_S = 1000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "stream": RouteKind.STREAM,
}
LEAVING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_TOKENS_PER_EVENT = 1
# A service that limits the rate of cold endpoints, and doesn't say for how long.
DEFAULT_COLD_START_S = 1.0
# An entry that names a longer time isn't believed.
MAX_COLD_LEFT_S = 600.0
HOME_REGIONS = "allowedRegions"

# What fits into the whole numbers of messages between gateways.
MAX_COUNT = 2**63 - 1
MAX_TERM = 2**32 - 1
MIN_PORT, MAX_PORT, MAX_PORT_DIGITS = 1, 65_535, 5
MAX_SHOWN_CHARACTERS = 100

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def decode(decoder: Callable[[], Any], subject: str) -> Any:
    """Return what a decoder returns, or a failure that names the subject."""
    try:
        return decoder()
    except DECODE_ERRORS as error:
        reason = f"{subject}: {type(error).__name__}: {str(error)[:100]}"
        return Failure(Code.CONFIG_INVALID, reason)


def required_text(value: Any) -> str:
    """Return a non-empty text; raise ``ValueError`` for any other value."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty text, got {value!r}")
    value.encode()  # raises for a lone surrogate, which no message can hold
    return value


def optional_text(value: Any) -> str:
    """Return a text, empty for none; raise ``ValueError`` for any other value."""
    return required_text(value) if value else ""


def required_int(value: Any) -> int:
    """Return a whole number; raise ``ValueError`` for any other value."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected a whole number, got {value!r}")
    return value


def required_count(value: Any, most: int = MAX_COUNT) -> int:
    """Return a whole number that messages can hold; raise ``ValueError`` for others."""
    if not 0 <= required_int(value) <= most:
        raise ValueError(f"expected 0 to {most}, got {value}")
    return value


def required_time(value: Any) -> float:
    """Return a finite time in seconds; raise ``ValueError`` for any other value."""
    time_s = float(value)
    if not math.isfinite(time_s):
        raise ValueError(f"expected a time in seconds, got {value!r}")
    return time_s


def required_amount(value: Any) -> float:
    """Return a finite number of at least 0; raise ``ValueError`` for other values."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected a number, got {value!r}")
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"expected a finite number of at least 0, got {value!r}")
    return float(value)


def required_address(value: Any) -> str:
    """Return an ``address:port``; raise ``ValueError`` for any other value."""
    host, _, port = required_text(value).rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError(f"expected address:port, got {value[:MAX_SHOWN_CHARACTERS]!r}")
    if not MIN_PORT <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port}, expected {MIN_PORT} to {MAX_PORT}")
    ipaddress.ip_address(host)
    return value


EVACUATION_KIND = "evacuations"
# Of objects of these kinds the existence alone counts, not their value.
PRESENCE_KINDS = frozenset((EVACUATION_KIND,))


class PlatformObjectCodec:
    """Decodes the platform's kinds of objects and the kinds that gateways add."""

    config_kind = "config"
    config_name = "main"
    endpoint_kind = "servers"
    gateway_kind = "baobabturn-gateways"
    quarantine_kind = "baobabturn-quarantine"
    versions_kind = "baobabturn-versions"
    evacuation_kind = EVACUATION_KIND

    def decode_table(self, value: Any) -> RouteTable | Failure:
        """Return the configuration from an object's value."""
        return decode(lambda: decode_table_value(value), "configuration")

    def decode_endpoint(self, name: str, value: Any) -> EndpointRecord | Failure:
        """Return the endpoint from an object's value."""
        return decode(lambda: decode_endpoint_value(name, value), f"endpoint {name}")

    def decode_gateway(self, name: str, value: Any) -> GatewayRecord | Failure:
        """Return the gateway's record from an object's value."""
        return decode(
            lambda: GatewayRecord(
                name=name,
                peers=required_address(value["peers"]),
                callers=required_address(value["callers"]),
                failure_domain=required_text(value["failure_domain"]),
                relay=optional_text(value.get("relay")),
            ),
            f"gateway {name}",
        )

    def encode_gateway(self, record: GatewayRecord) -> Any:
        """Return a gateway's record as an object's value."""
        return {
            "peers": record.peers,
            "callers": record.callers,
            "failure_domain": record.failure_domain,
            "relay": record.relay,
        }

    def decode_quarantine(self, name: str, value: Any) -> QuarantineRecord | Failure:
        """Return the quarantined part from an object's value."""
        return decode(
            lambda: QuarantineRecord(
                part=required_text(value["part"]),
                term=required_count(value["term"], MAX_TERM),
                ends_at=required_time(value["ends_at"]),
            ),
            f"quarantine {name}",
        )

    def encode_quarantine(self, record: QuarantineRecord) -> Any:
        """Return a quarantined part as an object's value."""
        return {"part": record.part, "term": record.term, "ends_at": record.ends_at}

    def decode_versions(self, value: Any) -> VersionsRecord | Failure:
        """Return the record of versions from an object's value."""
        return decode(lambda: decode_versions_value(value), "versions")

    def encode_versions(self, record: VersionsRecord) -> Any:
        """Return a record of versions as an object's value.

        Streams are listed by their origin, which many share.
        """
        by_origin: dict[StreamOrigin, list[str]] = {}
        for digest, origin in record.streams.items():
            by_origin.setdefault(origin, []).append(digest)
        return {
            "written_at": record.written_at,
            "versions": {name: list(each) for name, each in record.versions.items()},
            "streams": [
                [origin.service, origin.software_version, digests]
                for origin, digests in by_origin.items()
            ],
        }


def decode_versions_value(value: Any) -> VersionsRecord:
    """Return a record of versions; raise one of ``DECODE_ERRORS`` for a bad value."""
    return VersionsRecord(
        written_at=required_time(value["written_at"]),
        versions={
            required_text(service): tuple(required_text(each) for each in versions)
            for service, versions in value["versions"].items()
        },
        streams={
            required_text(digest): StreamOrigin(
                service=required_text(service),
                software_version=required_text(version),
            )
            for service, version, digests in value["streams"]
            for digest in digests
        },
    )


def decode_endpoint_value(name: str, value: Any) -> EndpointRecord:
    """Return an endpoint; raise one of ``DECODE_ERRORS`` for an unusable value."""
    return EndpointRecord(
        name=required_text(name),
        service=required_text(value["service"]),
        address=required_address(value["address"]),
        failure_domain=required_text(value["zone"]),
        slots=required_count(value["slots"]),
        leaving=LEAVING_BY_STATE[value["state"]],
        software_version=decode_software_version(name, value),
        incarnation=decode_incarnation(value),
        cold_left_s=decode_cold_left(value.get("coldLeftMs")),
    )


def decode_cold_left(value: Any) -> float | None:
    """Return for how many seconds an endpoint is still cold, None if it isn't known.

    An odd value must not cost the endpoint.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not 0 <= value <= MAX_COLD_LEFT_S * MS_PER_S:
        return None
    return value / MS_PER_S


def decode_incarnation(value: Any) -> int:
    """Return the start time that tells an endpoint's incarnations apart, 0 for none."""
    born = value.get("born")
    return required_count(born) if born is not None else 0


def decode_software_version(name: str, value: Any) -> SoftwareVersion:
    """Return the version of an endpoint's software, one of its own if it names none."""
    version = value.get("version")
    if isinstance(version, str) and version:
        return SoftwareVersion(name=required_text(version))
    return SoftwareVersion(endpoint=name, incarnation=decode_incarnation(value))


def decode_table_value(value: Any) -> RouteTable:
    """Return a configuration; raise one of ``DECODE_ERRORS`` for an invalid one.

    Without a list of tenants no route needs a key.
    """
    routes = [decode_route(each) for each in value.get("routes") or ()]
    services = [decode_service(each) for each in value.get("services") or ()]
    tenants = value.get("tenants")
    key_holders: dict[str, KeyHolder] = {}
    for tenant in tenants or ():
        holder = KeyHolder(
            workspace=tenant["name"],
            priority=tenant.get("priority"),
            homes=decode_homes(tenant),
        )
        key_holders.update((key, holder) for key in tenant.get("apiKeys") or ())
    return RouteTable(
        version=required_int(value["version"]),
        routes={(route.host, route.prefix): route for route in routes},
        services={service.name: service for service in services},
        key_holders=key_holders,
        keys_required=tenants is not None,
        limits=decode_limits(value.get("limits") or {}),
    )


def decode_limits(value: Any) -> CallerLimits:
    """Return the limits on callers, with defaults for those that are absent."""
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=value.get("maxHeaderBytes", defaults.max_header_bytes),
        max_body_bytes=value.get("maxBodyBytes", defaults.max_body_bytes),
        header_timeout_s=value.get(
            "headerTimeoutMs", defaults.header_timeout_s * MS_PER_S
        )
        / MS_PER_S,
        idle_timeout_s=value.get("idleTimeoutMs", defaults.idle_timeout_s * MS_PER_S)
        / MS_PER_S,
    )


def decode_route(value: Any) -> Route:
    """Return a route; raise one of ``DECODE_ERRORS`` for an invalid one."""
    weighted_services = value.get("trafficSplit")
    if weighted_services:
        services = tuple(
            (each["service"], float(each["weight"])) for each in weighted_services
        )
    else:
        services = ((required_text(value["service"]), 1.0),)
    return Route(
        name=value["name"],
        host=required_text(value["host"]).lower(),
        prefix=required_text(value["pathPrefix"]),
        kind=ROUTE_KINDS[value["routeType"]],
        services=services,
        timeout_s=value["timeoutMs"] / MS_PER_S,
        answer_goal_s=value.get("sloMs", value["timeoutMs"]) / MS_PER_S,
        event_gap_goal_s=value.get("gapAimMs", 0) / MS_PER_S,
        priority=value.get("priority", 0),
        attempt_limit=value.get("maxAttempts", 1),
        keyless=bool(value.get("authExempt")),
        is_generation=bool(value.get("stickySessions")),
        continuable=bool(value.get("streamResume")),
        homes=decode_homes(value),
    )


def decode_homes(value: Any) -> Homes:
    """Return the home regions of a route or workspace, any region if it names none.

    What can't be read allows no region: it must not run where it may not.
    """
    if HOME_REGIONS not in value:
        return ANY_REGION
    regions = value[HOME_REGIONS]
    if not isinstance(regions, list):
        return frozenset()
    return frozenset(each for each in regions if is_text(each))


def is_text(value: Any) -> bool:
    """Return whether a value is a non-empty text that messages can hold."""
    try:
        return bool(required_text(value))
    except ValueError:
        return False


def decode_service(value: Any) -> Service:
    """Return a service; raise one of ``DECODE_ERRORS`` for an invalid one."""
    engine = value.get("engine")
    cold_start_s = value.get("coldStartS")
    return Service(
        name=required_text(value["name"]),
        engine=decode_engine(engine) if engine else None,
        cold_start_s=DEFAULT_COLD_START_S
        if cold_start_s is None
        else required_amount(cold_start_s),
        cold_per_s=required_amount(value.get("coldPerS") or 0),
    )


def decode_engine(engine: Any) -> EngineTraits:
    """Return the properties of a service's engines; raise as ``decode_service``."""
    return EngineTraits(
        slots=required_int(engine["slots"]),
        kv_cache_tokens=required_int(engine["kvTokens"]),
        kv_bytes_per_token=int(engine.get("kvBytes", 0)),
        link_bytes_per_s=engine.get("linkMbps", 0) * BITS_PER_MEGABIT / BITS_PER_BYTE,
        tokens_per_event=engine.get("stride", DEFAULT_TOKENS_PER_EVENT),
        supports_migration=bool(engine.get("moves")),
        supports_backups=bool(engine.get("backups")),
    )
