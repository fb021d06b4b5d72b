"""When an entry drains, and until when it still takes new work."""

from __future__ import annotations

import time

from baobabturn.settings.model import Settings

OPEN_REQUESTS = "open-requests"


class Drain:
    """Since when this entry drains, in monotonic seconds, None where it doesn't.

    It drains while its process stops and while its host leaves.  Callers may
    hold an address answer for its lifetime, and other hosts may give one out
    until they have heard; until then new work is served.
    """

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.since: float | None = None
        self.stopping = False
        self.leaving = False

    def stop(self) -> None:
        """Begin to drain because the process is to stop."""
        self.stopping = True
        self.update()

    def host_leaves(self, leaving: bool) -> None:
        """Follow the state of the host."""
        self.leaving = leaving
        self.update()

    def update(self) -> None:
        """Note the time of a change."""
        if not (self.stopping or self.leaving):
            self.since = None
        elif self.since is None:
            self.since = time.monotonic()

    def is_over(self) -> bool:
        """Return whether nobody can hold an address answer that names this entry."""
        if self.since is None:
            return False
        heard_s = 2 * self.settings.membership.interval_s
        limit_s = self.settings.entry.address_lifetime_s + heard_s
        return time.monotonic() - self.since >= limit_s
