"""Limits the age of the configuration by which callers' keys are accepted."""

from __future__ import annotations

from baobabturn.gateway.mirror import boot_time_s

# Subtracted from the time within which a removed key must be refused everywhere.
REVOCATION_MARGIN_S = 1.0


class ConfigStaleness:
    """Decides by the configuration's age whether keys may still be accepted.

    The age counts from the last time at which the configuration was confirmed to be
    the newest.  Times are boot times, which include time spent in suspend.
    """

    def __init__(self, *, revoke_s: float):
        self.confirmed_at = 0.0
        self.set_limit(revoke_s)

    def set_limit(self, revoke_s: float) -> None:
        """Set the seconds within which a removed key must be refused."""
        self.limit_s = max(0.0, revoke_s - REVOCATION_MARGIN_S)

    def confirm(self, at: float) -> None:
        """Record that the configuration was the newest at boot time ``at``."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self) -> float:
        """Return the seconds since the last confirmation."""
        return boot_time_s() - self.confirmed_at

    def allows_keys(self) -> bool:
        """Return whether keys may be accepted."""
        return self.confirmed_at > 0 and self.age_s() < self.limit_s
