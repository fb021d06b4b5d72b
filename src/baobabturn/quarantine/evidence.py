"""What hosts tell one another about parts of prompts and crashes of engines."""

from __future__ import annotations

import attrs

# Hosts that see the same crash give it times that differ by less than this.
SAME_CRASH_MS = 1000


@attrs.define(kw_only=True, slots=True, frozen=True)
class Crash:
    """A crash of an endpoint, seen at ``stamp_ms`` of the hybrid clock."""

    endpoint: str = ""
    stamp_ms: int = 0

    def is_same(self, other: Crash) -> bool:
        """Return whether two sightings are of one crash."""
        if self.endpoint != other.endpoint:
            return False
        return abs(self.stamp_ms - other.stamp_ms) < SAME_CRASH_MS


@attrs.define(kw_only=True, slots=True)
class PartEvidence:
    """What a host knows of one part of prompts.

    ``crashes`` are those of endpoints that had just begun to answer a prompt with the
    part, and ``forgiven`` the ones after which such a prompt was answered.
    ``answers`` counts the answered prompts with the part, as far as one host knows
    them.  ``depth`` is the part's place in the prompt.  ``term`` counts the
    quarantines of the part; the newest still lasts for ``remaining_ms``, unless it
    was ``lifted``.
    """

    part: str = ""
    crashes: list[Crash] = attrs.Factory(list)
    forgiven: list[Crash] = attrs.Factory(list)
    answers: int = 0
    depth: int = 0
    term: int = 0
    lifted: bool = False
    remaining_ms: int = 0
