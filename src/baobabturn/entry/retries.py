"""A budget of retries for each endpoint, as a share of its requests."""

from __future__ import annotations

LEVEL_LIMIT = 20.0
FIRST_LEVEL = 3.0


class RetryBudget:
    """Each request earns an endpoint a share of a retry; a retry spends one."""

    def __init__(self, *, share: float):
        self.share = share
        self.levels: dict[str, float] = {}

    def earn(self, endpoint: str) -> None:
        """Note a first attempt at an endpoint."""
        level = self.levels.get(endpoint, FIRST_LEVEL)
        self.levels[endpoint] = min(level + self.share, LEVEL_LIMIT)

    def take(self, endpoint: str) -> bool:
        """Return whether a retry after a failure at an endpoint is in budget."""
        level = self.levels.get(endpoint, FIRST_LEVEL)
        if level < 1:
            return False
        self.levels[endpoint] = level - 1
        return True
