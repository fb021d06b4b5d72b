"""Which software version began a stream, and where it may go on."""

from __future__ import annotations

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.pools import EnginePools, HeldReservation

# Begins a version that no engine has.
DOUBTED_VERSION = "doubted"


class StreamVersion:
    """The version of the engine that wrote the first event which the caller has.

    ``key`` is empty before that; then only engines of that version may go on.
    ``doubted`` says that it isn't known any more, so that none may.
    """

    def __init__(self, *, endpoints: Endpoints, pools: EnginePools):
        self.endpoints = endpoints
        self.pools = pools
        self.key = ""
        self.doubted = False

    def refusal(self, endpoint: Endpoint) -> Failure | None:
        """Return why the stream can't go on at an endpoint, None if it can."""
        version = endpoint.record.software_version.key
        if self.key in ("", version):
            return None
        reason = f"{endpoint.name} has version {version}, not {self.key}"
        return Failure(Code.NO_ENDPOINT, reason)

    def record_first(self, reservation: HeldReservation | None) -> None:
        """Record which version wrote the first event, unless the caller had some."""
        if not self.key and reservation is not None:
            self.key = reservation.holding.software_version

    def check_incarnation(
        self, endpoint: Endpoint | None, reservation: HeldReservation | None
    ) -> None:
        """Forget the version if the engine had started again before the stream began.

        Call this as an event comes.  Those that come after the engine's new start was
        learned are of its next incarnation, and so were the first ones.
        """
        if endpoint is None or reservation is None or self.doubted:
            return
        if not endpoint.replaced or self.runs_same_version(endpoint):
            return
        self.doubted = True
        self.key = f"{DOUBTED_VERSION}:{reservation.holding.reservation}"
        self.pools.record_software_version(reservation, self.key)

    def runs_same_version(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's next incarnation has the same version."""
        successor = self.endpoints.by_name.get(endpoint.name)
        if successor is None:
            return False
        return successor.record.software_version == endpoint.record.software_version
