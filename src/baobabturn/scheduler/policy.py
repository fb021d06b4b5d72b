"""The ``Policy`` protocol, and the policies by their names in the settings."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from baobabturn.scheduler.baselines import LeastLoad, RoundRobin, TwoChoices
from baobabturn.scheduler.overflowpolicy import ChanceBound
from baobabturn.scheduler.state import EndpointState, PoolState, Reservation, Waiting


class Policy(Protocol):
    """Decides the order of a pool's requests and their endpoints.

    A policy keeps its own learned state.  ``saturated`` says that the last pass over
    the queue found no capacity for any kind of request.
    """

    saturated: bool

    def queued(self, waiting: Waiting, now: float) -> None:
        """Record a request that waits from now on."""

    def unqueued(self, waiting: Waiting) -> None:
        """Record that a request no longer waits."""

    def order(self, pool: PoolState, now: float) -> Iterable[Waiting]:
        """Return the waiting requests in the order in which to serve them."""

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, None if it has to wait."""

    def may_take(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint with free capacity may get new requests."""

    def engine_priority(self, waiting: Waiting) -> int:
        """Return the priority to send to the engine; smaller values go first."""

    def granted(self, endpoint: EndpointState, held: Reservation, now: float) -> None:
        """Record a reservation that is held from now on."""

    def progressed(
        self, endpoint: EndpointState, held: Reservation, before: int, now: float
    ) -> None:
        """Record a generation's progress since it had ``before`` tokens."""

    def released(
        self, endpoint: EndpointState | None, held: Reservation, outcome: str
    ) -> None:
        """Record the end of a reservation, and learn from its generation.

        ``endpoint`` is None if it is no longer in the pool.
        """

    def token_gap_s(self) -> float:
        """Return the typical seconds between two tokens of a generation."""

    def hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Return the reservations whose requests need a second attempt (hedge)."""

    def learned(self) -> bytes:
        """Return the packed learned state, empty without any."""

    def known_keys(self) -> int:
        """Return the number of learned length distributions."""

    def take_learned(self, body: bytes) -> None:
        """Merge the packed learned state of another scheduler."""


POLICIES: dict[str, type] = {
    "baobabturn": ChanceBound,
    "least-load": LeastLoad,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
}
