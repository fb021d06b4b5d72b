"""The streams of a gateway and the parts that they share."""

from __future__ import annotations

from collections.abc import Callable

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.budget import FleetRetryBudget
from baobabturn.gateway.endpointclient import EndpointClient
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.relayedstream import US_PER_MS, RelayedStream, Send
from baobabturn.gateway.request import CallerRequest, Headers


class Streams:
    """Relays streams, and keeps the set of those that are active."""

    def __init__(
        self,
        *,
        program: Program,
        pools: EnginePools,
        endpoints: Endpoints,
        endpoint_client: EndpointClient,
        budget: FleetRetryBudget,
        connection_headers: Callable[[], Headers],
    ):
        self.program = program
        self.pools = pools
        self.endpoints = endpoints
        self.endpoint_client = endpoint_client
        self.budget = budget
        self.connection_headers = connection_headers
        self.active: set[RelayedStream] = set()

    async def forward(self, request: CallerRequest, send: Send) -> Failure | None:
        """Relay one stream; return why it failed, None if it was complete.

        A failure has ``tokens`` above 0 if the response's head has been sent.
        """
        stream = RelayedStream(streams=self, request=request, send=send)
        self.active.add(stream)
        try:
            failure = await stream.run()
        finally:
            self.active.discard(stream)
        if failure is None:
            self.program.events.emit(
                Event.STREAM_FINISHED,
                request=request.request_id,
                events=stream.event_count,
                first_ms=int(stream.first_event_us / US_PER_MS),
                longest_gap_ms=int(stream.longest_gap_us / US_PER_MS),
                gap_at=stream.longest_gap_at,
            )
        if failure is not None and stream.head_sent:
            return Failure(
                failure.code, failure.reason, tokens=max(1, stream.event_count)
            )
        return failure

    def active_at(self, endpoint: Endpoint) -> list[RelayedStream]:
        """Return the active streams whose generation is at an endpoint."""
        return [
            stream
            for stream in self.active
            if stream.endpoint is endpoint and not stream.ended
        ]

    def tokens_per_event(self, request: CallerRequest) -> int:
        """Return how many tokens an event of a request's stream holds."""
        engine = request.service.engine
        return engine.tokens_per_event if engine is not None else 1
