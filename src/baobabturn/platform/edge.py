"""Readiness check and directory: the requests that a gateway answers by itself."""

from __future__ import annotations

from typing import Any


class PlatformGatewayPaths:
    """Paths of a gateway's readiness check and directory, and their bodies."""

    ready_path = "/baobabturn/readyz"
    directory_path = "/baobabturn/resolve"

    def directory_body(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that tells a caller which addresses to use."""
        return {"addresses": addresses, "ttlS": lifetime_s}
