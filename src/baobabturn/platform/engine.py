"""Translates the moving of runs between engines into the engines' calls."""

from __future__ import annotations

from typing import Any

import aiohttp

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.dialect import Copy
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


class PlatformMover:
    """Moves runs over the engines' own calls."""

    def __init__(self, *, transport: Transport):
        self.transport = transport

    async def copy(
        self, source: str, ident: str, target: str, *, stop: bool, timeout_s: float
    ) -> Copy | Failure:
        """Copy a run's memory from an engine to another one."""
        body = {"id": ident, "target": target, "last": stop}
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
        return Copy(memory=f"{source}/{handle}", events=events)

    async def leaves(self, address: str, timeout_s: float) -> bool | Failure:
        """Return whether an engine says itself that it leaves."""
        answer = await self.call("GET", address, REPORT, None, timeout_s)
        if isinstance(answer, Failure):
            return answer
        status, values = answer
        if status != 200 or not isinstance(values, dict):
            return Failure(Code.OUTCOME_UNKNOWN, f"report: status {status}")
        state = values.get("state")
        return state == LEAVING or values.get("leaves_ms") is not None

    async def discard(self, source: str, memory: str) -> None:
        """Free a copy that won't be used."""
        path = HANDLE + memory.rpartition("/")[2]
        await self.call("DELETE", source, path, None, DISCARD_TIMEOUT_S)

    async def call(
        self, method: str, address: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int, Any] | Failure:
        """Return status and decoded body of one call, or why there is none."""
        try:
            async with self.transport.endpoint_session.request(
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
