"""In which order the runs of a leaving engine are copied, and which of them are.

An engine's link carries one copy after another.  Every gateway knows all runs of
an engine, so each derives the same plan for all of them and keeps to its part.
"""

from __future__ import annotations

from collections.abc import Iterable

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
    near_room_tokens: int,
) -> dict[str, float]:
    """Return when the copy of each run that is to be moved begins.

    Times are seconds after the notice, by reservation.  Small runs go first, so
    that as many as possible get away, and those last that will probably have ended
    when their turn comes.  ``near_room_tokens`` is the room at other
    engines of the same failure domain, which the first runs take.
    """
    staying = [held for held in runs if not ends_surely(held, gap_s)]
    staying.sort(
        key=lambda held: (ends_probably(held, gap_s), held.memory_tokens, held.name)
    )
    token_s = traits.token_bytes / max(traits.link_bytes_per_s, 1.0)
    starts: dict[str, float] = {}
    at = 0.0
    room = near_room_tokens
    for held in staying:
        starts[held.name] = at
        room -= held.memory_tokens
        factor = FAR_FACTOR if room < 0 else 1.0
        at += held.memory_tokens * token_s * factor + SWITCH_S
    return starts
