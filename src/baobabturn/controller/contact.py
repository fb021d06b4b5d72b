"""Reports when the platform and the peers last answered, and whether both are lost."""

from __future__ import annotations

import time

from baobabturn.membership.heartbeat import Membership
from baobabturn.store.httpstore import HttpStore

MS_PER_S = 1000


class Contact:
    """Detects that this host is cut off from the platform and all peers."""

    def __init__(self, *, membership: Membership, store: HttpStore):
        self.membership = membership
        self.store = store

    def last_contacts(self) -> tuple[int, int, bool]:
        """Return the platform's and the peers' last contact, and if both are lost.

        Contacts are wall-clock times in ms, 0 for never.
        """
        now = time.monotonic()
        peers_at = self.membership.messenger.last_contact
        platform_at = self.store.budget.last_response_at
        peers_silent = now - peers_at > self.membership.settings.dead_s
        cut_off = peers_silent and self.store.budget.is_down
        return wall_ms(now, platform_at), wall_ms(now, peers_at), cut_off


def wall_ms(now: float, at: float) -> int:
    """Return a monotonic time as wall-clock time in ms, 0 for never."""
    if not at:
        return 0
    return int((time.time() - (now - at)) * MS_PER_S)
