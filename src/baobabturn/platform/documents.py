"""Translates the objects of the platform's store into typed records."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.dialect import EndpointRecord, GatewayRecord
from baobabturn.gateway.routes import (
    CallerLimits,
    EngineTraits,
    KeyHolder,
    Route,
    RouteKind,
    RouteTable,
    Service,
)

MS = 1000
BITS = 8
MEGA = 1_000_000
KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "stream": RouteKind.STREAM}
STATES = {"ready": False, "draining": True}
DEFAULT_STRIDE = 1

WRONG = (KeyError, TypeError, ValueError, AttributeError)


def decoded(read: Callable[[], Any], what: str) -> Any:
    """Return what a reader gives, or the failure that says what is wrong."""
    try:
        return read()
    except WRONG as error:
        reason = f"{what}: {type(error).__name__}: {str(error)[:100]}"
        return Failure(Code.CONFIG_INVALID, reason)


def text(value: Any) -> str:
    """Return a value that must be a text with something in it."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"not a text: {value!r}")
    return value


def count(value: Any) -> int:
    """Return a value that must be a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"not a whole number: {value!r}")
    return value


class PlatformDocuments:
    """The platform's kinds of objects, and the one that gateways add."""

    config_kind = "config"
    config_name = "main"
    endpoint_kind = "servers"
    gateway_kind = "baobabturn-gateways"

    def table(self, value: Any) -> RouteTable | Failure:
        """Return the configuration in an object."""
        return decoded(lambda: read_table(value), "configuration")

    def endpoint(self, name: str, value: Any) -> EndpointRecord | Failure:
        """Return the endpoint in an object."""
        return decoded(lambda: read_endpoint(name, value), f"endpoint {name}")

    def gateway(self, name: str, value: Any) -> GatewayRecord | Failure:
        """Return the gateway in an object."""
        return decoded(
            lambda: GatewayRecord(
                name=name,
                peers=text(value["peers"]),
                callers=text(value["callers"]),
                failure_domain=text(value["failure_domain"]),
            ),
            f"gateway {name}",
        )

    def gateway_value(self, record: GatewayRecord) -> Any:
        """Return a gateway as the value of its object."""
        return {
            "peers": record.peers,
            "callers": record.callers,
            "failure_domain": record.failure_domain,
        }


def read_endpoint(name: str, value: Any) -> EndpointRecord:
    """Return an endpoint; raises one of ``WRONG`` where it names none to use."""
    address = text(value["address"])
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not an address: {address!r}")
    born = value.get("born")
    return EndpointRecord(
        name=name,
        service=text(value["service"]),
        address=address,
        failure_domain=text(value["zone"]),
        slots=count(value["slots"]),
        leaving=STATES[value["state"]],
        started=born if isinstance(born, int) else 0,
    )


def read_table(value: Any) -> RouteTable:
    """Return a configuration."""
    routes = [read_route(each) for each in value.get("routes") or ()]
    services = [read_service(each) for each in value.get("services") or ()]
    tenants = value.get("tenants")
    key_holders: dict[str, KeyHolder] = {}
    for tenant in tenants or ():
        holder = KeyHolder(workspace=tenant["name"], priority=tenant.get("priority"))
        key_holders.update((key, holder) for key in tenant.get("apiKeys") or ())
    return RouteTable(
        version=count(value["version"]),
        routes={(route.host, route.prefix): route for route in routes},
        services={service.name: service for service in services},
        key_holders=key_holders,
        keys_required=tenants is not None,
        limits=read_limits(value.get("limits") or {}),
    )


def read_limits(value: Any) -> CallerLimits:
    """Return the limits on callers; those that aren't said are the defaults."""
    base = CallerLimits()
    return CallerLimits(
        max_header_bytes=value.get("maxHeaderBytes", base.max_header_bytes),
        max_body_bytes=value.get("maxBodyBytes", base.max_body_bytes),
        header_timeout_s=value.get("headerTimeoutMs", base.header_timeout_s * MS) / MS,
        idle_timeout_s=value.get("idleTimeoutMs", base.idle_timeout_s * MS) / MS,
    )


def read_route(value: Any) -> Route:
    """Return a route."""
    split = value.get("trafficSplit")
    if split:
        services = tuple((each["service"], float(each["weight"])) for each in split)
    else:
        services = ((text(value["service"]), 1.0),)
    return Route(
        name=value["name"],
        host=text(value["host"]).lower(),
        prefix=text(value["pathPrefix"]),
        kind=KINDS[value["routeType"]],
        services=services,
        timeout_s=value["timeoutMs"] / MS,
        answer_goal_s=value.get("sloMs", value["timeoutMs"]) / MS,
        event_gap_goal_s=value.get("gapAimMs", 0) / MS,
        priority=value.get("priority", 0),
        attempt_limit=value.get("maxAttempts", 1),
        keyless=bool(value.get("authExempt")),
        is_generation=bool(value.get("stickySessions")),
        continuable=bool(value.get("streamResume")),
    )


def read_service(value: Any) -> Service:
    """Return a service."""
    engine = value.get("engine")
    if not engine:
        return Service(name=text(value["name"]))
    return Service(
        name=text(value["name"]),
        engine=EngineTraits(
            slots=count(engine["slots"]),
            kv_cache_tokens=count(engine["kvTokens"]),
            kv_bytes_per_token=int(engine.get("kvBytes", 0)),
            link_bytes_per_s=engine.get("linkMbps", 0) * MEGA / BITS,
            tokens_per_event=engine.get("stride", DEFAULT_STRIDE),
            supports_migration=bool(engine.get("moves")),
            supports_backups=bool(engine.get("backups")),
        ),
    )
