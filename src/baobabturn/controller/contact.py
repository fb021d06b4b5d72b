"""When this host last heard of the platform and of peers, and what that means."""

from __future__ import annotations

import time

from baobabturn.membership.heartbeat import Membership
from baobabturn.store.httpstore import HttpStore

MS_PER_S = 1000


class Contact:
    """Tells whether this host is cut off from the platform and all peers."""

    def __init__(self, *, membership: Membership, store: HttpStore):
        self.membership = membership
        self.store = store

    def read(self) -> tuple[int, int, bool]:
        """Return the wall times of the last contacts in ms, and if it is cut off."""
        now = time.monotonic()
        peers = self.membership.messenger.last_contact
        platform = self.store.budget.last_response_at
        silent = now - peers > self.membership.settings.dead_s
        cut_off = silent and self.store.budget.is_down
        return wall_ms(now, platform), wall_ms(now, peers), cut_off


def wall_ms(now: float, at: float) -> int:
    """Return a monotonic time as wall time in ms, 0 for never."""
    if not at:
        return 0
    return int((time.time() - (now - at)) * MS_PER_S)
