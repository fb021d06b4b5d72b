"""The parts of a gateway that its streams use."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from baobabturn.core.program import Program
from baobabturn.gateway.budget import FleetRetryBudget
from baobabturn.gateway.crashwatch import CrashWatch
from baobabturn.gateway.endpointclient import EndpointClient
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.incarnations import IncarnationCheck
from baobabturn.gateway.paths import Paths
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.request import CallerRequest, Headers
from baobabturn.gateway.resumption import ResumedStreams
from baobabturn.gateway.routes import RouteTable


@attrs.frozen(kw_only=True)
class StreamParts:
    """What every stream of one gateway needs besides its request."""

    program: Program
    pools: EnginePools
    endpoints: Endpoints
    endpoint_client: EndpointClient
    budget: FleetRetryBudget
    crash_watch: CrashWatch
    resumed_streams: ResumedStreams
    incarnations: IncarnationCheck
    paths: Paths
    table: Callable[[], RouteTable | None]
    connection_headers: Callable[[], Headers]


def tokens_per_event(request: CallerRequest) -> int:
    """Return how many tokens an event of a request's stream holds."""
    engine = request.service.engine
    return engine.tokens_per_event if engine is not None else 1
