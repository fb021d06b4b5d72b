"""The known gateways: which of them are near, which monitor this one, which live.

The near gateways of a gateway are those that learn of its reservations at once.  In
a fleet of up to ``MAX_EXACT_FLEET_SIZE`` gateways these are all others, in a larger
one those of its failure domain.

Among up to ``MAX_MESH_PEERS`` near gateways each sends every heartbeat to all of
them.  Among more, each sends every heartbeat to a few only, its monitors: those that
follow it on a hash ring.  The others get a heartbeat in turn, one in each
``ROUND_S``.  So the messages of a gateway don't grow with the fleet, and yet its
monitors notice its death at once; they report it to all near gateways.  If monitors
die with it, those that follow them on the ring take over.
"""

from __future__ import annotations

import bisect
import math
import time
from collections.abc import Callable

from baobabturn.gateway.peer import Peer, ring_position
from baobabturn.gateway.platforminterface import GatewayRecord
from baobabturn.settings.model import Gateway

# In larger fleets only gateways of the same failure domain are near.
MAX_EXACT_FLEET_SIZE = 128
# Among more near peers, heartbeats go to monitors and to the others in turn.
MAX_MESH_PEERS = 16
MONITOR_COUNT = 3
# Within this time every near peer gets a heartbeat.
ROUND_S = 6.0
# A peer is silent after this many of its announced heartbeat intervals, and not
# before the setting ``silent_s``.
SILENT_HEARTBEAT_INTERVALS = 2.5
# A gateway that hasn't been heard for longer isn't named to callers: each is heard once
# in a round, and a dead one may be named for 7 s at most.  Monitors notice it before,
# unless many that follow each other on the ring die together.
MAX_LISTED_SILENCE_S = 6.6
# A report of silence is ignored if the gateway was heard within this share of
# ``silent_s``: its monitors may have lost messages that came here.
RECENTLY_HEARD_RATIO = 0.6


class PeerTable:
    """The gateways that this one knows, by name.

    Silence is counted from ``silence_counted_from`` at the earliest: while this
    process was paused, it could not receive anything.  ``records_read`` says whether
    the records of all gateways have been read.  ``monitored`` names those that this
    gateway monitors.
    """

    def __init__(
        self,
        *,
        record: GatewayRecord,
        settings: Gateway,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.record = record
        self.settings = settings
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.silence_counted_from = clock()
        self.round_position = 0
        self.records_read = False
        self.monitored: set[str] = set()

    def is_large_fleet(self) -> bool:
        """Return whether only gateways of the own failure domain are near."""
        return len(self.peers) > MAX_EXACT_FLEET_SIZE

    def is_near(self, peer: Peer) -> bool:
        """Return whether a gateway learns of this one's reservations at once."""
        if not self.is_large_fleet():
            return True
        return peer.failure_domain == self.record.failure_domain

    def near(self) -> list[Peer]:
        """Return the near gateways, whether they are alive or not."""
        if not self.is_large_fleet():
            return list(self.peers.values())
        domain = self.record.failure_domain
        return [peer for peer in self.peers.values() if peer.failure_domain == domain]

    def far_domains(self) -> list[str]:
        """Return the other failure domains that have known gateways."""
        domains = {peer.failure_domain for peer in self.peers.values()}
        return sorted(domains - {self.record.failure_domain, ""})

    def silence_s(self, peer: Peer) -> float:
        """Return for how many seconds nothing came although it could have."""
        return self.clock() - max(peer.heard_at, self.silence_counted_from)

    def unheard_s(self, peer: Peer) -> float:
        """Return for how many seconds nothing came, pauses of this process included."""
        return self.clock() - max(peer.heard_at, peer.known_since)

    def silence_limit_s(self, peer: Peer) -> float:
        """Return after how many seconds of silence a gateway counts as silent."""
        interval_s = peer.heartbeat_interval_s or ROUND_S
        return max(self.settings.silent_s, SILENT_HEARTBEAT_INTERVALS * interval_s)

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a gateway was heard and isn't silent."""
        if not peer.heard or peer.silent:
            return False
        if self.silence_s(peer) >= self.silence_limit_s(peer):
            return False
        return not self.has_missed_takeover(peer)

    def has_missed_takeover(self, peer: Peer) -> bool:
        """Return whether nothing came since this gateway became a monitor of one.

        A sound gateway learns of the silence of its other monitors as well, and sends
        its heartbeats to this one instead.
        """
        if peer.heard_at >= peer.expected_since:
            return False
        expected_since = max(peer.expected_since, self.silence_counted_from)
        return self.clock() - expected_since >= self.settings.silent_s

    def alive(self) -> list[Peer]:
        """Return the gateways that were heard and aren't silent."""
        return [
            peer
            for peer in self.peers.values()
            if not peer.silent and self.is_alive(peer)
        ]

    def near_alive(self) -> list[Peer]:
        """Return the near gateways that are alive."""
        return [peer for peer in self.near() if self.is_alive(peer)]

    def near_listed(self) -> list[Peer]:
        """Return the near gateways that callers may be told of, serving or not."""
        limit_s = max(
            MAX_LISTED_SILENCE_S,
            SILENT_HEARTBEAT_INTERVALS * self.settings.heartbeat_s,
        )
        heard_after = self.clock() - limit_s
        return [peer for peer in self.near_alive() if peer.heard_at > heard_after]

    def all_heard_in_domain(self) -> bool:
        """Return whether all gateways of the own failure domain are known by now."""
        domain = self.record.failure_domain
        return self.records_read and all(
            peer.heard for peer in self.peers.values() if peer.failure_domain == domain
        )

    def restart_silence(self) -> None:
        """Count silence from now on, because this process was paused."""
        self.silence_counted_from = self.clock()

    def newly_silent(self) -> list[Peer]:
        """Mark and return the gateways whose silence has reached its limit."""
        silent = [
            peer
            for peer in self.peers.values()
            if not peer.silent and peer.heard and not self.is_alive(peer)
        ]
        for peer in silent:
            self.mark_silent(peer)
        return silent

    def mark_silent(self, peer: Peer) -> None:
        """Mark a gateway as silent until its next message."""
        peer.silent = True
        peer.silent_since = self.clock()

    def update_monitored(self) -> None:
        """Find out which gateways this one has to monitor now."""
        monitored = [] if self.is_mesh() else self.neighbours_on_ring(forward=False)
        for peer in monitored:
            if peer.name not in self.monitored:
                peer.expected_since = self.clock()
        self.monitored = {peer.name for peer in monitored}

    def apply_silence_report(self, name: str, incarnation: int) -> Peer | None:
        """Mark a gateway as silent that another gateway reported.

        Return it, or None if the report says nothing new or is out of date.
        """
        peer = self.peers.get(name)
        if peer is None or peer.silent or peer.incarnation != incarnation:
            return None
        if self.clock() - peer.heard_at < RECENTLY_HEARD_RATIO * self.settings.silent_s:
            return None
        self.mark_silent(peer)
        return peer

    def is_mesh(self) -> bool:
        """Return whether every heartbeat goes to all near gateways."""
        return len(self.near()) <= MAX_MESH_PEERS

    def monitors(self) -> list[Peer]:
        """Return the near gateways that get every heartbeat of this one.

        Silent ones are passed over, except where all near gateways get them.
        """
        if self.is_mesh():
            return self.near()
        return self.neighbours_on_ring(forward=True)

    def neighbours_on_ring(self, *, forward: bool) -> list[Peer]:
        """Return the near gateways next to this one on the ring that aren't silent.

        Those that follow it are its monitors, those before it are monitored by it.
        """
        ring = sorted(
            (peer for peer in self.near() if not peer.silent),
            key=lambda peer: ring_position(peer.name),
        )
        own = bisect.bisect(
            ring,
            ring_position(self.record.name),
            key=lambda peer: ring_position(peer.name),
        )
        following = [*ring[own:], *ring[:own]]
        return following[:MONITOR_COUNT] if forward else following[-MONITOR_COUNT:]

    def next_of_round(self) -> list[Peer]:
        """Return the near gateways whose turn in the round it is, silent ones too."""
        near = sorted(self.near(), key=lambda peer: ring_position(peer.name))
        count = math.ceil(len(near) * self.settings.heartbeat_s / ROUND_S)
        start = self.round_position
        self.round_position = (start + count) % max(1, len(near))
        return [*near[start:], *near[:start]][:count]
