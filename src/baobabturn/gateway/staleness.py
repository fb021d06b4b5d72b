"""How long the configuration in force may be believed to be the newest."""

from __future__ import annotations

from baobabturn.gateway.mirror import boot_time_s

# Kept free of the time in which a removed key must stop to be accepted.
MARGIN_S = 1.0


class ConfigStaleness:
    """Until when keys may be accepted, by the last word of the store.

    Times are of the clock that goes on while a host is suspended.
    """

    def __init__(self, *, revoke_s: float):
        self.confirmed_at = 0.0
        self.set_limit(revoke_s)

    def set_limit(self, revoke_s: float) -> None:
        """Set the time in which a removed key must stop to be accepted."""
        self.limit_s = max(0.0, revoke_s - MARGIN_S)

    def confirm(self, at: float) -> None:
        """Note that nothing newer existed at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self) -> float:
        """Return the seconds since nothing newer existed for certain."""
        return boot_time_s() - self.confirmed_at

    def allows_keys(self) -> bool:
        """Return whether keys may be accepted."""
        return self.confirmed_at > 0 and self.age_s() < self.limit_s
