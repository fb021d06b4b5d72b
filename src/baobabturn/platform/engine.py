"""Translates the moving of runs between engines into the engines' calls."""

from __future__ import annotations

from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.platforminterface import CacheCopy
from baobabturn.gateway.transport import Transport

REPORT = "/baobabturn/report"
LEAVING = "draining"
MOVE = "/baobabturn/kv-move"
HANDLE = "/baobabturn/kv-handle/"
DISCARD_TIMEOUT_S = 1.0
REASONS = {
    404: Code.GENERATION_GONE,
    409: Code.ENDPOINT_REFUSED,
    429: Code.ENDPOINT_REFUSED,
    503: Code.ENDPOINT_REFUSED,
}


class SiteMover:
    """Moves runs over the engines' own calls."""

    def __init__(self, *, transport: Transport):
        self.transport = transport

    async def copy(
        self,
        source: str,
        request_id: str,
        target: str,
        *,
        final: bool,
        timeout_s: float,
    ) -> CacheCopy | Failure:
        """Copy a run's memory from an engine to another one."""
        body = {"id": request_id, "target": target, "last": final}
        answer = await self.call("POST", source, MOVE, body, timeout_s)
        if isinstance(answer, Failure):
            return answer
        status, values = answer
        handle = values.get("handle") if isinstance(values, dict) else None
        if status != 200 or not handle:
            code = REASONS.get(status, Code.OUTCOME_UNKNOWN)
            return Failure(code, f"status {status}, handle {handle}")
        # Their name says revision; it counts the events that the run has made.
        events = values.get("createRevision", 0)
        return CacheCopy(cache_handle=f"{source}/{handle}", event_count=events)

    async def is_leaving(self, address: str, timeout_s: float) -> bool | Failure:
        """Return whether an engine says itself that it leaves."""
        answer = await self.call("GET", address, REPORT, None, timeout_s)
        if isinstance(answer, Failure):
            return answer
        status, values = answer
        if status != 200 or not isinstance(values, dict):
            return Failure(Code.OUTCOME_UNKNOWN, f"report: status {status}")
        state = values.get("state")
        return state == LEAVING or values.get("leaves_ms") is not None

    async def discard(self, source: str, cache_handle: str) -> None:
        """Free a copy that won't be used."""
        path = HANDLE + cache_handle.rpartition("/")[2]
        await self.call("DELETE", source, path, None, DISCARD_TIMEOUT_S)

    async def call(
        self, method: str, address: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int, Any] | Failure:
        """Return status and decoded body of one call, or why there is none."""
        try:
            async with self.transport.session.request(
                method,
                f"http://{address}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                values = await answer.json(content_type=None)
                return answer.status, values
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            reason = f"{address}{path}: {type(error).__name__} {str(error)[:60]}"
            return Failure(Code.OUTCOME_UNKNOWN, reason)
