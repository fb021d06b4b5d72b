"""The limits on their rate of requests that endpoints name in their answers."""

from __future__ import annotations

from baobabturn.core.events import Event, EventLog
from baobabturn.gateway.endpoints import Endpoint


class RateLimits:
    """The rate limit of each endpoint that names one, in requests a second.

    A limit holds for as long as the endpoint's answers name it.
    """

    def __init__(self, *, events: EventLog):
        self.events = events
        self.per_s: dict[str, float] = {}

    def record_answer(self, endpoint: str, per_s: float | None) -> None:
        """Record the limit that an answer of an endpoint names, None for none."""
        if self.per_s.get(endpoint) == per_s:
            return
        if per_s is None:
            del self.per_s[endpoint]
            self.events.emit(Event.ENDPOINT_UNLIMITED, endpoint=endpoint)
            return
        self.per_s[endpoint] = per_s
        self.events.emit(
            Event.ENDPOINT_LIMITED, endpoint=endpoint, per_s=f"{per_s:.3g}"
        )

    def forget(self, endpoint: Endpoint) -> None:
        """Forget the limit of an endpoint that is leaving."""
        self.per_s.pop(endpoint.name, None)
