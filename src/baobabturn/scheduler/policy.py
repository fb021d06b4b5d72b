"""The ``Policy`` protocol, and the policies by their names in the settings."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from baobabturn.scheduler.baselines import LeastLoad, RoundRobin, TwoChoices
from baobabturn.scheduler.overflowpolicy import OverflowBoundPolicy
from baobabturn.scheduler.state import (
    EndpointState,
    PoolState,
    Reservation,
    WaitingRequest,
)


class Policy(Protocol):
    """Decides the order of a pool's requests and their endpoints.

    A policy keeps its own learned state.  ``saturated`` says that the last pass over
    the queue found no capacity for any request.
    """

    saturated: bool

    def on_queued(self, waiting: WaitingRequest, now: float) -> None:
        """Record a request that waits from now on."""

    def on_dequeued(self, waiting: WaitingRequest) -> None:
        """Record that a request no longer waits."""

    def service_order(self, pool: PoolState, now: float) -> Iterable[WaitingRequest]:
        """Return the waiting requests in the order in which to serve them."""

    def choose_endpoint(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, None if it has to wait."""

    def accepts_requests(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint with free capacity may get new requests."""

    def engine_priority(self, waiting: WaitingRequest) -> int:
        """Return the priority to send to the engine; smaller values go first."""

    def on_granted(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Record a reservation that is held from now on."""

    def on_progress(
        self, endpoint: EndpointState, reservation: Reservation, before: int, now: float
    ) -> None:
        """Record a generation's progress since it had ``before`` tokens."""

    def on_released(
        self, endpoint: EndpointState | None, reservation: Reservation, outcome: str
    ) -> None:
        """Record the end of a reservation, and learn from its generation.

        ``endpoint`` is None if it is no longer in the pool.
        """

    def typical_token_gap_s(self) -> float:
        """Return the typical seconds between two tokens of a generation."""

    def choose_hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Return the reservations whose requests need a second attempt (hedge)."""

    def export_learned(self) -> bytes:
        """Return the packed learned state, empty without any."""

    def learned_key_count(self) -> int:
        """Return the number of learned length distributions."""

    def merge_learned(self, body: bytes) -> None:
        """Merge the packed learned state of another scheduler."""


POLICIES: dict[str, type] = {
    "baobabturn": OverflowBoundPolicy,
    "least-load": LeastLoad,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
}
