"""The calls that callers and the platform make to a gateway itself."""

from __future__ import annotations

from typing import Any


class PlatformEdge:
    """Paths and bodies of the calls that a gateway answers by itself."""

    ready_path = "/baobabturn/readyz"
    directory_path = "/baobabturn/resolve"

    def address_answer(self, addresses: list[str], lifetime_s: float) -> Any:
        """Return the body that tells a caller which addresses to use."""
        return {"addresses": addresses, "ttlS": lifetime_s}
