"""Copies KV caches and reads engines' reports through the engines' HTTP API."""

from __future__ import annotations

from typing import Any

import aiohttp

from baobabturn.core.boundedjson import load_bounded
from baobabturn.core.httpclient import read_limited
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.platforminterface import CacheCopy, Conditions, EngineReport
from baobabturn.gateway.transport import Transport
from baobabturn.platform.headers import is_leaving, parse_pause

REPORT_PATH = "/baobabturn/report"
LEAVING_STATE = "draining"
MOVE_PATH = "/baobabturn/kv-move"
HANDLE_PATH = "/baobabturn/kv-handle/"
DISCARD_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1_048_576
FAILURE_CODES = {
    404: Code.GENERATION_GONE,
    409: Code.ENDPOINT_REFUSED,
    429: Code.ENDPOINT_REFUSED,
    503: Code.ENDPOINT_REFUSED,
}


class PlatformCacheCopier:
    """Copies KV caches between engines and reads engines' reports."""

    def __init__(self, *, transport: Transport):
        self.transport = transport
        self.conditions: Conditions | None = None

    async def copy(
        self,
        source: str,
        request_id: str,
        target: str,
        *,
        final: bool,
        timeout_s: float,
    ) -> CacheCopy | Failure:
        """Copy a generation's KV cache from engine ``source`` to ``target``.

        With ``final`` the source first stops the generation, so that the copy is
        complete.
        """
        body = {"id": request_id, "target": target, "last": final}
        response = await self.call("POST", source, MOVE_PATH, body, timeout_s)
        if isinstance(response, Failure):
            return response
        status, values = response
        handle = values.get("handle") if isinstance(values, dict) else None
        if status != 200 or not handle:
            code = FAILURE_CODES.get(status, Code.OUTCOME_UNKNOWN)
            return Failure(code, f"status {status}, handle {handle}")
        # Despite its name, this field counts the events that the generation has sent.
        events = values.get("createRevision", 0)
        return CacheCopy(cache_handle=f"{source}/{handle}", event_count=events)

    async def report(self, address: str, timeout_s: float) -> EngineReport | Failure:
        """Return what an engine's own report says now."""
        response = await self.call("GET", address, REPORT_PATH, None, timeout_s)
        if isinstance(response, Failure):
            return response
        status, values = response
        if status != 200 or not isinstance(values, dict):
            return Failure(Code.OUTCOME_UNKNOWN, f"report: status {status}")
        state, born = values.get("state"), values.get("born")
        return EngineReport(
            leaving=state == LEAVING_STATE or values.get("leaves_ms") is not None,
            incarnation=born if isinstance(born, int) else 0,
        )

    async def discard(self, source: str, cache_handle: str) -> None:
        """Delete a copy that won't be used; a failure is ignored."""
        path = HANDLE_PATH + cache_handle.rpartition("/")[2]
        await self.call("DELETE", source, path, None, DISCARD_TIMEOUT_S)

    async def call(
        self, method: str, address: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int, Any] | Failure:
        """Return the status and decoded body of one call, or a failure.

        An engine that wants nothing for a while isn't called.
        """
        pause_s = self.conditions.pause_s(address) if self.conditions else 0.0
        if pause_s:
            reason = f"{address} wants no call for {pause_s:.2f} s"
            return Failure(Code.ENDPOINT_REFUSED, reason)
        try:
            async with self.transport.endpoint_session.request(
                method,
                f"http://{address}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                self.record_conditions(address, response)
                data = await read_limited(response, MAX_RESPONSE_BYTES)
                return response.status, load_bounded(data or b"null")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            reason = f"{address}{path}: {type(error).__name__} {str(error)[:60]}"
            return Failure(Code.OUTCOME_UNKNOWN, reason)

    def record_conditions(self, address: str, response: aiohttp.ClientResponse) -> None:
        """Record what an answer says of its engine."""
        if self.conditions is None:
            return
        headers = [(key.lower(), value) for key, value in response.raw_headers]
        if is_leaving(headers):
            self.conditions.record_leaving(address)
        pause_s = parse_pause(response.status, headers)
        if pause_s:
            self.conditions.record_pause(address, pause_s)
