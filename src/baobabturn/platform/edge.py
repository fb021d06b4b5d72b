"""Readiness check and directory: the requests that a gateway answers by itself."""

from __future__ import annotations

import urllib.parse
from typing import Any

from baobabturn.gateway.platforminterface import CallerPlace


class PlatformGatewayPaths:
    """Paths of a gateway's readiness check and directory, and their bodies."""

    ready_path = "/baobabturn/readyz"
    directory_path = "/baobabturn/resolve"

    def caller_place(self, query: bytes) -> CallerPlace:
        """Return what the query of a directory call says of its caller."""
        fields = dict(urllib.parse.parse_qsl(query.decode("latin-1")))
        return CallerPlace(
            host=fields.get("name", "").partition(":")[0].lower(),
            region=fields.get("region", ""),
            failure_domain=fields.get("zone", ""),
        )

    def directory_body(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that tells a caller which addresses to use."""
        return {"addresses": addresses, "ttlS": lifetime_s}
