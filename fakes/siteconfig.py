"""The operator's configuration of a small test site."""

from __future__ import annotations

from typing import Any

SITE_HOST_NAME = "desk.example"
API_KEY = "key-of-herders"
WORKSPACE = "herders"
OTHER_API_KEY = "key-of-millers"
OTHER_WORKSPACE = "millers"
PLAIN_SERVICE, ENGINE_SERVICE = "ledger", "summaries"
ENGINE_MIGRATION_FIELDS = {
    "slots": 8,
    "kvTokens": 40_000,
    "kvBytes": 1000,
    "linkMbps": 1000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
}


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route; ``more`` adds to or replaces its default fields."""
    return {
        "name": name,
        "host": SITE_HOST_NAME,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 3000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" or more.get("streamResume") else 1,
        "authExempt": False,
        "stickySessions": kind == "stream",
        "streamResume": False,
        "gapAimMs": 180,
        **more,
    }


def configuration(version: int = 1, keys: tuple[str, ...] = (API_KEY,)) -> dict:
    """Return a complete configuration with the given version and API keys."""
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "safe", PLAIN_SERVICE),
            route("post", "/post/", "unsafe", PLAIN_SERVICE),
            route("open", "/open/", "safe", PLAIN_SERVICE, authExempt=True),
            route("draft", "/draft/", "stream", ENGINE_SERVICE, timeoutMs=20_000),
            route(
                "check",
                "/check/",
                "stream",
                ENGINE_SERVICE,
                timeoutMs=20_000,
                streamResume=True,
            ),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConns": 100},
            {
                "name": ENGINE_SERVICE,
                "healthPath": "/healthz",
                "engine": ENGINE_MIGRATION_FIELDS,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": WORKSPACE, "apiKeys": list(keys), "priority": 1},
            {"name": OTHER_WORKSPACE, "apiKeys": [OTHER_API_KEY], "priority": 1},
        ],
    }
