"""Applies what endpoints say of themselves: leaving, brittle, cold, a pause.

It holds for this gateway at once and by its own memory, whatever the store says.
"""

from __future__ import annotations

from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.limitnews import LimitExchange
from baobabturn.gateway.platforminterface import ResponseMetadata

LEAVING_REASON = "its answer says that it is leaving"


class EndpointConditions:
    """Records the conditions of endpoints, given themselves or by their addresses."""

    def __init__(self, *, endpoints: Endpoints, rate_limits: LimitExchange):
        self.endpoints = endpoints
        self.rate_limits = rate_limits

    def record(self, endpoint: Endpoint, response_metadata: ResponseMetadata) -> None:
        """Record what the head of an endpoint's response says."""
        if response_metadata.leaving:
            self.endpoints.mark_announced_leaving(endpoint, LEAVING_REASON)
        if response_metadata.refused and response_metadata.pause_s:
            self.rate_limits.pause(endpoint, response_metadata.pause_s)
        if response_metadata.cold_left_s:
            self.rate_limits.record_cold(endpoint, response_metadata.cold_left_s)
        self.rate_limits.brittle.record_answer(
            endpoint,
            response_metadata.refusals_per_s,
            refused=response_metadata.refused,
        )

    def at(self, address: str) -> list[Endpoint]:
        """Return the endpoints at an ``address:port``, one or none as a rule."""
        known = self.endpoints.by_name.values()
        return [each for each in known if each.record.address == address]

    def record_leaving(self, address: str) -> None:
        """Record that an answer from an address says that its endpoint is leaving."""
        for endpoint in self.at(address):
            self.endpoints.mark_announced_leaving(endpoint, LEAVING_REASON)

    def record_pause(self, address: str, seconds: float) -> None:
        """Record that the endpoint at an address wants nothing for some seconds."""
        for endpoint in self.at(address):
            self.rate_limits.pause(endpoint, seconds)

    def pause_s(self, address: str) -> float:
        """Return for how long an endpoint wants nothing, 0 if it takes calls."""
        return max(
            (self.rate_limits.pause_s(each.name) for each in self.at(address)),
            default=0.0,
        )
