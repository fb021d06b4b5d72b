"""The requests from callers and the platform that a gateway answers itself."""

from __future__ import annotations

from typing import Any


class PlatformEdge:
    """Paths of a gateway's readiness check and directory, and their bodies."""

    ready_path = "/baobabturn/readyz"
    directory_path = "/baobabturn/resolve"

    def address_answer(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that tells a caller which addresses to use."""
        return {"addresses": addresses, "ttlS": lifetime_s}
