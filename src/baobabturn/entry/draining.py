"""Tracks since when an entry drains and when it may refuse new requests."""

from __future__ import annotations

import time

from baobabturn.settings.model import Settings

# The kind of stats request by which the controller asks for the open requests.
OPEN_REQUESTS = "open-requests"


class DrainState:
    """Whether this entry drains: while its process stops or its host leaves.

    ``since`` is the monotonic time at which draining began, None otherwise.
    Callers may use an address list for its lifetime, and other hosts may still
    send out this entry's address until gossip reaches them; new requests are
    served until then.
    """

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.since: float | None = None
        self.stopping = False
        self.leaving = False

    def set_stopping(self) -> None:
        """Start draining because the process stops; this can't be undone."""
        self.stopping = True
        self.update_since()

    def set_host_leaving(self, leaving: bool) -> None:
        """Set whether the host leaves."""
        self.leaving = leaving
        self.update_since()

    def update_since(self) -> None:
        """Set ``since`` from the two reasons to drain."""
        if not (self.stopping or self.leaving):
            self.since = None
        elif self.since is None:
            self.since = time.monotonic()

    def addresses_expired(self) -> bool:
        """Return whether every address list with this entry has expired."""
        if self.since is None:
            return False
        # Gossip reaches the other hosts within about two intervals.
        gossip_s = 2 * self.settings.membership.interval_s
        max_address_age_s = self.settings.entry.address_lifetime_s + gossip_s
        return time.monotonic() - self.since >= max_address_age_s
