"""Orders what another gateway says of its reservations, whichever way it comes.

All messages of a gateway with reservations are numbered by one sequence: its full
states, which it sends itself, and its changes, which other gateways may forward.  A
full state contains every change with a lower number, so an older change is ignored and
a newer one outlasts it.  Messages may come in any order, and more than once.

Example: after the release with number 7, the reservation with number 6 comes too late
and is ignored; so is either of them after a full state with number 8.  A summary with
number 8 that agrees with the replica has the same effect.
"""

from __future__ import annotations

from collections import deque

import attrs

from baobabturn.gateway.reservationsummary import Summary, SummaryCheck, digest_of
from baobabturn.wire.gatewaymessages import ReservationChanges
from baobabturn.wire.messages import Holding, Release

# Names of ended reservations that are kept between two full states of a gateway, or
# summaries that agree, which are at most seconds apart.  Beyond this the oldest are
# dropped.
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
    since its newest full state or the newest summary that agreed, the number of each
    release, and the progress that came before its reservation with the number of the
    message.  ``newest`` is the number of the newest message with changes.
    ``is_whole`` says whether a full state, or a summary that agrees, has come since the
    reservations were forgotten; ``confirmed_sequence`` is the number of the newest such
    summary.  ``check`` is the comparison with a summary while changes may be on their
    way.
    """

    def __init__(self):
        self.incarnation = 0
        self.full_sequence = 0
        self.confirmed_sequence = 0
        self.newest = 0
        self.is_whole = False
        self.check: SummaryCheck | None = None
        self.known: dict[str, KnownReservation] = {}
        self.ended: dict[str, int] = {}
        self.early_progress: dict[str, tuple[int, int]] = {}
        self.held_back: deque[ReservationChanges] = deque(maxlen=MAX_HELD_BACK_MESSAGES)

    def begin(self, incarnation: int) -> None:
        """Forget all reservations: the gateway is new, restarted or was silent."""
        self.forget()
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.full_sequence = self.confirmed_sequence = self.newest = 0
            self.ended.clear()
            self.early_progress.clear()

    def forget(self) -> None:
        """Forget the reservations, but not which have ended."""
        self.known.clear()
        self.is_whole = False
        self.check = None

    def hold_back(self, changes: ReservationChanges) -> None:
        """Keep changes until something comes from the gateway itself."""
        self.held_back.append(changes)

    def take_held_back(self) -> list[ReservationChanges]:
        """Return the changes that were kept, and keep them no longer."""
        changes = list(self.held_back)
        self.held_back.clear()
        return changes

    def digest(self) -> int:
        """Return the digest of the reservations."""
        return digest_of((known.pool, known.holding) for known in self.known.values())

    def compare(self, summary: Summary, now: float) -> None:
        """Begin to compare the reservations with a summary that isn't out of date."""
        if summary.sequence > self.full_sequence:
            self.check = SummaryCheck(
                summary=summary,
                replica_digest=self.digest(),
                newest=self.newest,
                now=now,
            )

    def confirm(self, summary: Summary) -> AcceptedChanges:
        """Return what follows from a summary that agrees: all reservations hold.

        Its progress is that of the reservations known unless they have changed since.
        """
        self.check = None
        self.is_whole = True
        if self.digest() == summary.digest:
            names = sorted(self.known)
            for name, produced in zip(names, summary.produced, strict=False):
                self.advance(AcceptedChanges(), name, produced, summary.sequence)
        self.confirmed_sequence = summary.sequence
        self.drop_covered(summary.sequence)
        recorded = [(known.pool, known.holding) for known in self.known.values()]
        return AcceptedChanges(recorded=recorded, retained=set(self.known))

    def accept(self, changes: ReservationChanges) -> AcceptedChanges:
        """Return what follows from a message, nothing if it is out of date."""
        if changes.incarnation != self.incarnation:
            return AcceptedChanges()
        if changes.sequence <= self.full_sequence:
            return AcceptedChanges()
        if changes.sequence <= self.confirmed_sequence:
            return self.accept_progress(changes)
        if has_content(changes):
            self.newest = max(self.newest, changes.sequence)
        if self.check is None:
            return self.accept_changes(changes)
        before = self.digest()
        accepted = self.accept_changes(changes)
        self.check.record(changes.sequence, before, self.digest())
        if self.full_sequence > self.check.summary.sequence:
            self.check = None
        return accepted

    def accept_progress(self, changes: ReservationChanges) -> AcceptedChanges:
        """Return what follows from a message that a summary covers: progress alone."""
        accepted = AcceptedChanges()
        for item in changes.progress:
            if item.reservation in self.known:
                self.advance(
                    accepted, item.reservation, item.produced, changes.sequence
                )
        return accepted

    def accept_changes(self, changes: ReservationChanges) -> AcceptedChanges:
        """Return what follows from a message that nothing covers yet."""
        accepted = AcceptedChanges()
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
        self.is_whole = True
        self.full_sequence = state.sequence
        self.drop_covered(state.sequence)
        accepted.retained = set(self.known)

    def drop_covered(self, covered: int) -> None:
        """Drop what was kept of messages up to a number, as all of them are known."""
        self.ended = {
            name: sequence
            for name, sequence in self.ended.items()
            if sequence > covered
        }
        self.early_progress = {
            name: progress
            for name, progress in self.early_progress.items()
            if progress[0] > covered
        }


def has_content(changes: ReservationChanges) -> bool:
    """Return whether a message says anything of reservations."""
    return bool(changes.full or changes.holdings or changes.progress or changes.ended)


def drop_oldest(entries: dict) -> None:
    """Drop the entry that was added first if there are too many."""
    if len(entries) > MAX_ENDED_RESERVATIONS:
        del entries[next(iter(entries))]
