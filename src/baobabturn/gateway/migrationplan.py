"""Plans which generations of a leaving engine are copied, and in which order.

An engine's link carries one copy after another.  Every gateway knows all
generations of an engine, so all derive the same plan, and each carries out the
part that concerns its own generations.  A copy starts when the generations before
it in the plan have left the engine, or when they have overrun their planned time.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import attrs

from baobabturn.gateway.routes import EngineTraits
from baobabturn.scheduler.state import Reservation

# How long a leaving engine is expected to keep running after its notice.
EXPECTED_NOTICE_PERIOD_S = 1.6
# Generations that end within the notice period with at least this probability are
# copied after the others.
LIKELY_END_PROBABILITY = 0.7
# Time between two generations' pre-copies, for the final copy of the earlier one.
COPY_SWITCH_S = 0.04
# A copy to another failure domain takes this many times as long.
OTHER_DOMAIN_COPY_FACTOR = 2.0
# Later copies may start when a copy has taken this many times its planned time.
MAX_OVERRUN_FACTOR = 1.5


@attrs.frozen(kw_only=True)
class CopySchedule:
    """When a generation's copy may start, in seconds after the notice.

    ``predecessors`` names the reservations of the generations that are copied before
    it.  After ``latest_start_s`` it starts even if one of them is still present.
    """

    predecessors: tuple[str, ...]
    latest_start_s: float

    def may_start(self, present: Container[str], elapsed_s: float) -> bool:
        """Return whether the copy may start while ``present`` are at the engine."""
        if elapsed_s >= self.latest_start_s:
            return True
        return not any(name in present for name in self.predecessors)


def ends_within_notice_period(reservation: Reservation, gap_s: float) -> bool:
    """Return whether a generation almost certainly ends within the notice period."""
    tokens = EXPECTED_NOTICE_PERIOD_S / max(gap_s, 1e-4)
    return reservation.short or reservation.produced + tokens >= reservation.max_tokens


def likely_ends_within_notice_period(reservation: Reservation, gap_s: float) -> bool:
    """Return whether a generation probably ends within the notice period.

    Lengths are learned from generations that ended, so the lengths of long ones
    become known late.
    """
    if reservation.length_distribution is None:
        return False
    tokens = EXPECTED_NOTICE_PERIOD_S / max(gap_s, 1e-4)
    return (
        1 - reservation.length_distribution.survival(reservation.produced, tokens)
        >= LIKELY_END_PROBABILITY
    )


def migration_plan(
    reservations: Iterable[Reservation],
    traits: EngineTraits,
    gap_s: float,
    *,
    nearby_free_tokens: list[int],
) -> dict[str, CopySchedule]:
    """Return the copy schedule of each generation to migrate, by reservation.

    Small generations go first, so that as many as possible get away; those that
    will probably have ended by then go last.  An engine copies no generation before
    its first token, so one in prefill goes after those that have begun, and holds up
    none.  ``nearby_free_tokens`` are the free tokens of each other engine in the same
    failure domain; what doesn't fit into one of them is planned with the longer copy
    to another failure domain.
    """
    migrating = [
        reservation
        for reservation in reservations
        if not ends_within_notice_period(reservation, gap_s)
    ]
    migrating.sort(
        key=lambda reservation: (
            likely_ends_within_notice_period(reservation, gap_s),
            not reservation.produced,
            reservation.memory_tokens,
            reservation.name,
        )
    )
    copy_s_per_token = traits.kv_bytes_per_token / max(traits.link_bytes_per_s, 1.0)
    free_tokens = sorted(nearby_free_tokens)
    plan: dict[str, CopySchedule] = {}
    begun: list[str] = []
    start_s = 0.0
    for reservation in migrating:
        plan[reservation.name] = CopySchedule(
            predecessors=tuple(begun), latest_start_s=start_s
        )
        if not reservation.produced:
            continue
        begun.append(reservation.name)
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
    """Subtract tokens from the smallest sufficient entry; return whether one exists."""
    for index, free in enumerate(free_tokens):
        if free >= tokens:
            free_tokens[index] -= tokens
            free_tokens.sort()
            return True
    return False
