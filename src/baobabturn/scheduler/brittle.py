"""Endpoints that fall over if they have to refuse too many requests within a second.

An endpoint's bound is for the refusals of all hosts together.  Each host counts its own
and those that the others tell it of, and sends an endpoint nothing once half of what it
bears has been refused.

Example::

    brittle = BrittleEndpoints()
    brittle.set_bound("engine-1", 4.0, stamp=1)
    brittle.record_refusal("engine-1")
    brittle.record_refusal("engine-1")
    brittle.delay_s("engine-1")  # 1.1: the next request has to wait
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

import attrs

# Refusals within this time are counted together: a second, and the time that news of a
# refusal may take.
WINDOW_S = 1.1
# Requests on their way when this part of the bound is reached may be refused as well.
USED_BOUND_RATIO = 0.5
MAX_KEPT_REFUSALS = 1_000


@attrs.define(kw_only=True, eq=False)
class Brittleness:
    """How many refusals a second an endpoint bears, None if it isn't brittle.

    ``stamp`` orders what its answers said; ``refused_at`` holds the monotonic times of
    the newest refusals.
    """

    refusals_per_s: float | None
    stamp: int
    refused_at: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_KEPT_REFUSALS)
    )


class BrittleEndpoints:
    """The endpoints that say how many refusals they bear, and their refusals.

    ``share`` returns the part of each bound that this host and those that tell it of
    their refusals may use.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        share: Callable[[], float] = lambda: 1.0,
    ):
        self.clock = clock
        self.share = share
        self.by_endpoint: dict[str, Brittleness] = {}

    def set_bound(
        self, endpoint: str, refusals_per_s: float | None, *, stamp: int
    ) -> bool:
        """Set the bound that an answer named, None for none; return if that is new.

        ``stamp`` is the hybrid clock's time of the answer; an older one is ignored.
        """
        known = self.by_endpoint.get(endpoint)
        if known is None:
            if refusals_per_s is None:
                return False
            self.by_endpoint[endpoint] = Brittleness(
                refusals_per_s=refusals_per_s, stamp=stamp
            )
            return True
        if stamp <= known.stamp:
            return False
        known.stamp = stamp
        changed = known.refusals_per_s != refusals_per_s
        known.refusals_per_s = refusals_per_s
        return changed

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self.by_endpoint.pop(endpoint, None)

    def bound(self, endpoint: str) -> float | None:
        """Return how many refusals a second an endpoint bears, None for any number."""
        known = self.by_endpoint.get(endpoint)
        return known.refusals_per_s if known is not None else None

    def is_brittle(self, endpoint: str) -> bool:
        """Return whether the newest answer of an endpoint says that it is brittle."""
        return self.bound(endpoint) is not None

    def record_refusal(self, endpoint: str) -> None:
        """Record that an endpoint has refused a request."""
        known = self.by_endpoint.get(endpoint)
        if known is not None:
            known.refused_at.append(self.clock())

    def delay_s(self, endpoint: str) -> float:
        """Return how long a request to an endpoint has to wait, 0 for none."""
        known = self.by_endpoint.get(endpoint)
        if known is None or known.refusals_per_s is None:
            return 0.0
        allowed = int(known.refusals_per_s * USED_BOUND_RATIO * self.share())
        allowed = min(max(1, allowed), MAX_KEPT_REFUSALS)
        if len(known.refused_at) < allowed:
            return 0.0
        return max(0.0, known.refused_at[-allowed] + WINDOW_S - self.clock())
