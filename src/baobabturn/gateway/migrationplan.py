"""In which order the runs of a leaving engine are copied, and which of them are.

An engine's link carries one copy after another.  Every gateway knows all runs of
an engine, so each derives the same plan for all of them and keeps to its part: a
run's turn comes when those before it have left the engine, or when they have had
more time than they should have needed.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import attrs

from baobabturn.gateway.routes import EngineTraits
from baobabturn.scheduler.state import Reservation

# An engine that leaves is expected to run on for this long, in seconds.
EXPECTED_NOTICE_S = 1.6
# A run with at least this chance to end within the notice is moved after others.
LIKELY_END_PROBABILITY = 0.7
# Between two runs' copies: the second copy of the first one goes in between.
COPY_SWITCH_S = 0.04
# Copies to another failure domain take this many times as long.
OTHER_DOMAIN_COPY_FACTOR = 2.0
# A run may take this many times as long as planned before the next one begins.
MAX_OVERRUN_FACTOR = 1.5


@attrs.frozen(kw_only=True)
class CopySchedule:
    """When a run's copy begins, in seconds after the notice.

    ``ahead`` names the runs that are copied before it, ``latest_s`` is when it
    begins though one of them is still there.
    """

    predecessors: tuple[str, ...]
    latest_start_s: float

    def may_start(self, present: Container[str], elapsed_s: float) -> bool:
        """Return whether a copy may begin while some runs are at the engine."""
        if elapsed_s >= self.latest_start_s:
            return True
        return not any(name in present for name in self.predecessors)


def ends_within_notice(reservation: Reservation, gap_s: float) -> bool:
    """Return whether a run ends within the notice, as nearly as can be known."""
    tokens = EXPECTED_NOTICE_S / max(gap_s, 1e-4)
    return reservation.short or reservation.produced + tokens >= reservation.max_tokens


def likely_ends_within_notice(reservation: Reservation, gap_s: float) -> bool:
    """Return whether a run is more likely to end within the notice than not.

    Lengths are learned from runs that ended, so long ones come late to be known.
    """
    if reservation.curve is None:
        return False
    tokens = EXPECTED_NOTICE_S / max(gap_s, 1e-4)
    return (
        1 - reservation.curve.survival(reservation.produced, tokens)
        >= LIKELY_END_PROBABILITY
    )


def migration_plan(
    reservations: Iterable[Reservation],
    traits: EngineTraits,
    gap_s: float,
    *,
    nearby_free_tokens: list[int],
) -> dict[str, CopySchedule]:
    """Return when the copy of each run that is to be moved begins, by reservation.

    Small runs go first, so that as many as possible get away, and those last that
    will probably have ended when their turn comes.  ``near_rooms`` are the tokens
    for which there is room at other engines of the same failure domain.
    """
    migrating = [
        reservation
        for reservation in reservations
        if not ends_within_notice(reservation, gap_s)
    ]
    migrating.sort(
        key=lambda reservation: (
            likely_ends_within_notice(reservation, gap_s),
            reservation.memory_tokens,
            reservation.name,
        )
    )
    copy_s_per_token = traits.token_bytes / max(traits.link_bytes_per_s, 1.0)
    free_tokens = sorted(nearby_free_tokens)
    plan: dict[str, CopySchedule] = {}
    start_s = 0.0
    for reservation in migrating:
        plan[reservation.name] = CopySchedule(
            predecessors=tuple(plan), latest_start_s=start_s
        )
        distance_factor = (
            1.0
            if reserve_free_tokens(free_tokens, reservation.memory_tokens)
            else OTHER_DOMAIN_COPY_FACTOR
        )
        start_s += MAX_OVERRUN_FACTOR * (
            reservation.memory_tokens * copy_s_per_token * distance_factor
            + COPY_SWITCH_S
        )
    return plan


def reserve_free_tokens(free_tokens: list[int], tokens: int) -> bool:
    """Take the smallest room that is large enough; return whether there is one."""
    for index, free in enumerate(free_tokens):
        if free >= tokens:
            free_tokens[index] -= tokens
            free_tokens.sort()
            return True
    return False
