"""Orders what another gateway says of its reservations, whichever way it comes.

All messages of a gateway with reservations are numbered by one sequence: its full
states, which it sends itself, and its changes, which other gateways may forward.  A
full state contains every change with a lower number, so an older change is ignored and
a newer one outlasts it.  Messages may come in any order, and more than once.

Example: after the release with number 7, the reservation with number 6 comes too late
and is ignored; so is either of them after a full state with number 8.
"""

from __future__ import annotations

from collections import deque

import attrs

from baobabturn.wire.gatewaymessages import ReservationChanges
from baobabturn.wire.messages import Holding, Release

# Names of ended reservations that are kept between two full states of a gateway, which
# are at most seconds apart.  Beyond this the oldest are dropped.
MAX_ENDED_RESERVATIONS = 4096
# Messages kept for a gateway of whose present incarnation nothing has come directly.
MAX_HELD_BACK_MESSAGES = 64


@attrs.frozen(kw_only=True)
class KnownReservation:
    """A reservation, and the number of the newest message that had it whole."""

    pool: str
    holding: Holding
    sequence: int


@attrs.define(kw_only=True)
class AcceptedChanges:
    """What follows from a message; ``retained`` is None unless it is a full state."""

    recorded: list[tuple[str, Holding]] = attrs.Factory(list)
    released: list[Release] = attrs.Factory(list)
    retained: set[str] | None = None


class ReservationOrder:
    """Decides which changes of one other gateway still hold.

    ``known`` holds its reservations by name.  ``ended`` and ``early_progress`` hold,
    since its newest full state, the number of each release, and the progress that came
    before its reservation with the number of the message.
    """

    def __init__(self):
        self.incarnation = 0
        self.full_sequence = 0
        self.known: dict[str, KnownReservation] = {}
        self.ended: dict[str, int] = {}
        self.early_progress: dict[str, tuple[int, int]] = {}
        self.held_back: deque[ReservationChanges] = deque(maxlen=MAX_HELD_BACK_MESSAGES)

    def begin(self, incarnation: int) -> None:
        """Forget all reservations: the gateway is new, restarted or was silent."""
        self.forget()
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.full_sequence = 0
            self.ended.clear()
            self.early_progress.clear()

    def forget(self) -> None:
        """Forget the reservations, but not which have ended."""
        self.known.clear()

    def hold_back(self, changes: ReservationChanges) -> None:
        """Keep changes until something comes from the gateway itself."""
        self.held_back.append(changes)

    def take_held_back(self) -> list[ReservationChanges]:
        """Return the changes that were kept, and keep them no longer."""
        changes = list(self.held_back)
        self.held_back.clear()
        return changes

    def accept(self, changes: ReservationChanges) -> AcceptedChanges:
        """Return what follows from a message, nothing if it is out of date."""
        accepted = AcceptedChanges()
        if changes.incarnation != self.incarnation:
            return accepted
        if changes.sequence <= self.full_sequence:
            return accepted
        for holdings in changes.holdings:
            for holding in holdings.items:
                self.add(accepted, holdings.pool, holding, changes.sequence)
        for item in changes.progress:
            self.advance(accepted, item.reservation, item.produced, changes.sequence)
        for release in changes.ended:
            self.end(accepted, release, changes.sequence)
        if changes.full:
            self.retain(accepted, changes)
        return accepted

    def add(
        self, accepted: AcceptedChanges, pool: str, holding: Holding, sequence: int
    ) -> None:
        """Add a reservation, unless its release or a newer version of it came before.

        The tokens produced never decrease.
        """
        name = holding.reservation
        if self.ended.get(name, -1) >= sequence:
            return
        known = self.known.get(name)
        if known is not None and known.sequence > sequence:
            return
        _, produced = self.early_progress.pop(name, (0, 0))
        if known is not None:
            produced = max(produced, known.holding.produced)
        if produced > holding.produced:
            holding = attrs.evolve(holding, produced=produced)
        self.known[name] = KnownReservation(
            pool=pool, holding=holding, sequence=sequence
        )
        accepted.recorded.append((pool, holding))

    def advance(
        self, accepted: AcceptedChanges, name: str, produced: int, sequence: int
    ) -> None:
        """Record progress; keep it if its reservation hasn't come yet."""
        if name in self.ended:
            return
        known = self.known.get(name)
        if known is None:
            _, before = self.early_progress.get(name, (0, 0))
            self.early_progress[name] = (sequence, max(produced, before))
            drop_oldest(self.early_progress)
        elif produced > known.holding.produced:
            holding = attrs.evolve(known.holding, produced=produced)
            self.known[name] = attrs.evolve(known, holding=holding)
            accepted.recorded.append((known.pool, holding))

    def end(self, accepted: AcceptedChanges, release: Release, sequence: int) -> None:
        """End a reservation, also one that hasn't come yet."""
        name = release.reservation
        self.known.pop(name, None)
        self.early_progress.pop(name, None)
        self.ended[name] = sequence
        drop_oldest(self.ended)
        accepted.released.append(release)

    def retain(self, accepted: AcceptedChanges, state: ReservationChanges) -> None:
        """Drop the reservations that a full state doesn't name, except newer ones."""
        named = {
            holding.reservation
            for holdings in state.holdings
            for holding in holdings.items
        }
        self.known = {
            name: known
            for name, known in self.known.items()
            if name in named or known.sequence > state.sequence
        }
        self.ended = {
            name: sequence
            for name, sequence in self.ended.items()
            if sequence > state.sequence
        }
        self.early_progress = {
            name: progress
            for name, progress in self.early_progress.items()
            if progress[0] > state.sequence
        }
        self.full_sequence = state.sequence
        accepted.retained = set(self.known)


def drop_oldest(entries: dict) -> None:
    """Drop the entry that was added first if there are too many."""
    if len(entries) > MAX_ENDED_RESERVATIONS:
        del entries[next(iter(entries))]
