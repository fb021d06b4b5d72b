"""Finds out whether a response that ended with its connection is whole.

One with neither a length nor chunks ends with its connection, and the connections of a
process that ends are closed as after a whole response.  So such a response is whole
only if the process that wrote it still runs.
"""

from __future__ import annotations

from baobabturn.core.probe import REPEAT_DELAY_S, keeps_accepting
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.incarnations import IncarnationCheck
from baobabturn.gateway.pathopinions import PathOpinions
from baobabturn.gateway.peer import parse_address

# A process that shuts down may close its connections before its listener.
SHUTDOWN_S = 0.25


class ResponseEndCheck:
    """Judges whether responses without a length or chunks are whole.

    The process still runs if it takes connections of this gateway or, as the path to
    it may be cut, of another one.  An engine may have started again at its address
    meanwhile, which its own report shows.
    """

    def __init__(self, *, opinions: PathOpinions, incarnations: IncarnationCheck):
        self.opinions = opinions
        self.incarnations = incarnations

    async def failure(self, endpoint: Endpoint, *, is_engine: bool) -> Failure | None:
        """Return why a response that ended with its connection isn't whole.

        Return None if it is.  Only engines say in reports when they started.
        """
        if not await self.is_running(endpoint):
            reason = f"{endpoint.name} doesn't run any more after its response"
            return Failure(Code.OUTCOME_UNKNOWN, reason)
        if is_engine and await self.incarnations.is_replaced(endpoint):
            reason = f"{endpoint.name} has started again since its response began"
            return Failure(Code.OUTCOME_UNKNOWN, reason)
        return None

    async def is_running(self, endpoint: Endpoint) -> bool:
        """Return whether a process takes connections at an endpoint's address."""
        host, port = parse_address(endpoint.record.address)
        for_s = SHUTDOWN_S if endpoint.leaving else REPEAT_DELAY_S
        if await keeps_accepting(host, port, for_s=for_s):
            return True
        return await self.opinions.reached_elsewhere(endpoint)
