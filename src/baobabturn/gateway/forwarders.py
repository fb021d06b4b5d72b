"""Chooses, for each other failure domain, the gateway that forwards changes there.

The choice is by rendezvous hashing over the sender and the domain, so that the work is
spread over all gateways of the domain.  A forwarder confirms the messages that it gets.
One that leaves a message unconfirmed may be dead or cut off from this gateway, long
before its silence shows; another one is chosen for some time.
"""

from __future__ import annotations

import attrs

from baobabturn.gateway.peer import Peer
from baobabturn.gateway.watchers import rank

# A forwarder confirms after 0.2 s at most; this leaves time for a busy one.
CONFIRMATION_TIMEOUT_S = 0.8
# For this long a forwarder that hasn't confirmed a message isn't chosen.
AVOIDANCE_S = 6.0


@attrs.frozen(kw_only=True)
class Delivery:
    """Who gets a change: some gateways directly, and one for each other domain."""

    direct: list[Peer]
    forwarders: list[Peer]


@attrs.frozen(kw_only=True)
class AwaitedConfirmation:
    """A message sent to a forwarder, which hasn't confirmed it yet."""

    forwarder: str
    sent_at: float


class Forwarders:
    """The forwarders of one sender; times are passed in, in seconds.

    ``awaited`` holds, by failure domain and sequence, the messages without a
    confirmation, ``avoided_until`` the time for each forwarder that is avoided.
    """

    def __init__(self, *, sender: str, failure_domain: str):
        self.sender = sender
        self.failure_domain = failure_domain
        self.awaited: dict[str, dict[int, AwaitedConfirmation]] = {}
        self.avoided_until: dict[str, float] = {}

    def delivery(self, peers: list[Peer], now: float) -> Delivery:
        """Return who among some live gateways gets a change directly."""
        direct = []
        members: dict[str, list[Peer]] = {}
        for peer in peers:
            domain = peer.failure_domain
            if not peer.forwards or domain in ("", self.failure_domain):
                direct.append(peer)
            else:
                members.setdefault(domain, []).append(peer)
        forwarders = [
            self.choose(domain, members[domain], now) for domain in sorted(members)
        ]
        return Delivery(direct=direct, forwarders=forwarders)

    def choose(self, domain: str, peers: list[Peer], now: float) -> Peer:
        """Return a domain's forwarder: one that serves and isn't avoided if possible.

        A gateway that is about to end says first that it isn't serving.
        """
        key = f"{self.sender}/{domain}"
        return max(
            peers,
            key=lambda peer: (
                self.avoided_until.get(peer.name, now) <= now,
                peer.serving,
                rank(key, peer.name),
            ),
        )

    def record_sent(self, forwarder: Peer, sequence: int, now: float) -> None:
        """Await the confirmation of a message."""
        awaited = self.awaited.setdefault(forwarder.failure_domain, {})
        awaited[sequence] = AwaitedConfirmation(forwarder=forwarder.name, sent_at=now)

    def confirm(self, forwarder: Peer, sequences: list[int]) -> None:
        """Record a forwarder's confirmation."""
        awaited = self.awaited.get(forwarder.failure_domain, {})
        for sequence in sequences:
            awaited.pop(sequence, None)

    def avoid_overdue(self, now: float) -> dict[str, set[str]]:
        """Avoid the forwarders whose confirmations are overdue.

        Return them by the failure domains that may have missed changes.
        """
        overdue: dict[str, set[str]] = {}
        for domain, awaited in self.awaited.items():
            for confirmation in awaited.values():
                if now - confirmation.sent_at >= CONFIRMATION_TIMEOUT_S:
                    overdue.setdefault(domain, set()).add(confirmation.forwarder)
        self.avoided_until = {
            name: until for name, until in self.avoided_until.items() if until > now
        }
        for domain, names in overdue.items():
            self.avoided_until.update(dict.fromkeys(names, now + AVOIDANCE_S))
            self.awaited[domain] = {
                sequence: confirmation
                for sequence, confirmation in self.awaited[domain].items()
                if confirmation.forwarder not in names
            }
        return overdue

    def restart(self) -> None:
        """Await nothing any more: this process was paused."""
        self.awaited.clear()
