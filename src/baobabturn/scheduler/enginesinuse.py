"""Tells which engines of a pool are in use: with reservations, or learned of lately.

The others needn't be classified, which in a pool of thousands would cost more than all
that runs there.
"""

from __future__ import annotations

from baobabturn.placement.enginespeed import EngineSpeeds
from baobabturn.scheduler.candidates import is_small
from baobabturn.scheduler.state import EndpointState, PoolState
from baobabturn.scheduler.stragglers import StragglerDetector


class EnginesInUse:
    """The engines of one pool that got a reservation and aren't forgotten yet."""

    def __init__(self):
        self.names: dict[str, None] = {}

    def add(self, name: str) -> None:
        """Record that an engine got a reservation."""
        self.names[name] = None

    def classified(
        self, pool: PoolState, stragglers: StragglerDetector, speeds: EngineSpeeds
    ) -> list[EndpointState]:
        """Return the engines to classify: all of a small pool, those in use of others.

        Those that are out of use by now are forgotten.
        """
        if is_small(pool):
            self.names = {each: None for each in self.names if each in pool.endpoints}
            return list(pool.endpoints.values())
        in_use = []
        for name in list(self.names):
            endpoint = pool.endpoints.get(name)
            is_learned = stragglers.has_learned(name) or speeds.has_learned(name)
            if endpoint is not None and (endpoint.reservations or is_learned):
                in_use.append(endpoint)
            else:
                del self.names[name]
                stragglers.forget(name)
        return in_use
