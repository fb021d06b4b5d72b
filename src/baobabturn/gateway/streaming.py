"""All streams of a gateway, and what they share."""

from __future__ import annotations

from collections.abc import Callable

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.budget import FleetBudget
from baobabturn.gateway.endpointclient import Exchange
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.relayedstream import MS, Send, StreamRun
from baobabturn.gateway.request import Call, Headers


class Streams:
    """All streams of this gateway."""

    def __init__(
        self,
        *,
        program: Program,
        pools: EnginePools,
        endpoints: Endpoints,
        exchange: Exchange,
        budget: FleetBudget,
        connection_headers: Callable[[], Headers],
    ):
        self.program = program
        self.pools = pools
        self.endpoints = endpoints
        self.exchange = exchange
        self.budget = budget
        self.connection_headers = connection_headers
        self.runs: set[StreamRun] = set()

    async def answer(self, call: Call, send: Send) -> Failure | None:
        """Relay one stream; return why it could not be, None if it was.

        A failure counts tokens if the head of the answer has gone out.
        """
        run = StreamRun(streams=self, call=call, send=send)
        self.runs.add(run)
        try:
            failure = await run.run()
        finally:
            self.runs.discard(run)
        if failure is None:
            self.program.events.emit(
                Event.STREAM_FINISHED,
                request=call.ident,
                events=run.events,
                first_ms=int(run.first_us / MS),
                longest_gap_ms=int(run.longest_gap_us / MS),
                gap_at=run.longest_gap_at,
            )
        if failure is not None and run.began:
            return Failure(failure.code, failure.reason, tokens=max(1, run.events))
        return failure

    def at(self, endpoint: Endpoint) -> list[StreamRun]:
        """Return the runs at an endpoint."""
        return [run for run in self.runs if run.endpoint is endpoint and not run.ended]

    def tokens_per_event(self, call: Call) -> int:
        """Return how many tokens an event of a call's stream holds."""
        engine = call.service.engine
        return engine.tokens_per_event if engine is not None else 1
