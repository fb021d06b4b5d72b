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
NOTICE_S = 1.6
# A run with at least this chance to end within the notice is moved after others.
ENDS_CHANCE = 0.7
# Between two runs' copies: the second copy of the first one goes in between.
SWITCH_S = 0.04
# Copies to another failure domain take this many times as long.
FAR_FACTOR = 2.0
# A run may take this many times as long as planned before the next one begins.
PATIENCE = 1.5


@attrs.frozen(kw_only=True)
class Turn:
    """When a run's copy begins, in seconds after the notice.

    ``ahead`` names the runs that are copied before it, ``latest_s`` is when it
    begins though one of them is still there.
    """

    ahead: tuple[str, ...]
    latest_s: float

    def has_come(self, held: Container[str], passed_s: float) -> bool:
        """Return whether a copy may begin while some runs are at the engine."""
        if passed_s >= self.latest_s:
            return True
        return not any(name in held for name in self.ahead)


def ends_surely(held: Reservation, gap_s: float) -> bool:
    """Return whether a run ends within the notice, as nearly as can be known."""
    tokens = NOTICE_S / max(gap_s, 1e-4)
    return held.short or held.produced + tokens >= held.max_tokens


def ends_probably(held: Reservation, gap_s: float) -> bool:
    """Return whether a run is more likely to end within the notice than not.

    Lengths are learned from runs that ended, so long ones come late to be known.
    """
    if held.curve is None:
        return False
    tokens = NOTICE_S / max(gap_s, 1e-4)
    return 1 - held.curve.survival(held.produced, tokens) >= ENDS_CHANCE


def move_plan(
    runs: Iterable[Reservation],
    traits: EngineTraits,
    gap_s: float,
    *,
    near_rooms: list[int],
) -> dict[str, Turn]:
    """Return when the copy of each run that is to be moved begins, by reservation.

    Small runs go first, so that as many as possible get away, and those last that
    will probably have ended when their turn comes.  ``near_rooms`` are the tokens
    for which there is room at other engines of the same failure domain.
    """
    staying = [held for held in runs if not ends_surely(held, gap_s)]
    staying.sort(
        key=lambda held: (ends_probably(held, gap_s), held.memory_tokens, held.name)
    )
    token_s = traits.kv_bytes_per_token / max(traits.link_bytes_per_s, 1.0)
    rooms = sorted(near_rooms)
    plan: dict[str, Turn] = {}
    at = 0.0
    for held in staying:
        plan[held.name] = Turn(ahead=tuple(plan), latest_s=at)
        factor = 1.0 if take_room(rooms, held.memory_tokens) else FAR_FACTOR
        at += PATIENCE * (held.memory_tokens * token_s * factor + SWITCH_S)
    return plan


def take_room(rooms: list[int], tokens: int) -> bool:
    """Take the smallest room that is large enough; return whether there is one."""
    for place, room in enumerate(rooms):
        if room >= tokens:
            rooms[place] -= tokens
            rooms.sort()
            return True
    return False
