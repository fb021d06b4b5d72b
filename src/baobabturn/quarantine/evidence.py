"""What hosts tell one another about suspects and crashes of endpoints.

A suspect is a part of prompts, or what the requests of a caller that are alike have in
common, their digest.
"""

from __future__ import annotations

import attrs

# Hosts that see the same crash give it times that differ by less than this.
SAME_CRASH_MS = 1000
# Begins the names of suspects that are digests; no part's id contains a colon.
REQUEST_PREFIX = "request:"


def request_suspect(digest: str) -> str:
    """Return the name of the suspect that stands for requests with a digest."""
    return REQUEST_PREFIX + digest


def is_request(suspect: str) -> bool:
    """Return whether a suspect stands for requests that are alike."""
    return suspect.startswith(REQUEST_PREFIX)


@attrs.define(kw_only=True, slots=True, frozen=True)
class Crash:
    """A crash of an endpoint, seen at ``stamp_ms`` of the hybrid clock.

    The suspect's request was in progress there since ``began_ms``, 0 if that isn't
    known.
    """

    endpoint: str = ""
    stamp_ms: int = 0
    began_ms: int = 0

    def is_same(self, other: Crash) -> bool:
        """Return whether two sightings are of one crash."""
        if self.endpoint != other.endpoint:
            return False
        return abs(self.stamp_ms - other.stamp_ms) < SAME_CRASH_MS


@attrs.define(kw_only=True, slots=True)
class PartEvidence:
    """What a host knows of one suspect, ``part``.

    ``crashes`` are those of endpoints that had just begun to answer a request with it,
    and ``forgiven`` the ones after which such a request was answered.  ``answers``
    counts the answered requests with it, as far as one host knows them.  ``depth`` is
    a part's place in the prompt.  ``term`` counts its quarantines; the newest still
    lasts for ``remaining_ms``, unless it was ``lifted``.  ``trial_ms`` is for how long
    the host may be trying a request with it, 0 if it isn't.
    """

    part: str = ""
    crashes: list[Crash] = attrs.Factory(list)
    forgiven: list[Crash] = attrs.Factory(list)
    answers: int = 0
    depth: int = 0
    term: int = 0
    lifted: bool = False
    remaining_ms: int = 0
    trial_ms: int = 0
