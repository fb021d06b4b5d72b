"""The gateway's HTTP applications: callers, readiness, directory, metrics."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.core.serving import wait_for_disconnect
from baobabturn.entry.answers import error_body, send_bytes, send_json
from baobabturn.gateway.call import Call, Headers
from baobabturn.gateway.dialect import Dialect, Edge
from baobabturn.gateway.exchange import Answer
from baobabturn.gateway.httpheaders import (
    CONNECTION_CLOSE,
    bearer_key,
    end_to_end_headers,
    first_value,
)
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.peers import address_of
from baobabturn.gateway.routes import Route, RouteKind, RouteTable

MS = 1000
US = 1_000_000
RETRY_AFTER_S = 0.3
# Another host can take the request at once.
STOP_RETRY_S = 0.05
# A request that can't end before this host stops is refused.
STOP_MARGIN_S = 1.0
PROMISED = 503
UNKNOWN_STATUSES = (502, 504)


class GatewayApp:
    """Answers requests by the listener that they came in at."""

    def __init__(self, *, node: GatewayNode, dialect: Dialect, edge: Edge):
        self.node = node
        self.dialect = dialect
        self.edge = edge
        gateway = node.program.settings.gateway
        self.handlers = {
            address_of(gateway.ready)[1]: self.ready,
            address_of(gateway.directory)[1]: self.directory,
            address_of(gateway.metrics)[1]: self.metrics,
            address_of(gateway.callers)[1]: self.caller,
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        await self.handlers[scope["server"][1]](scope, receive, send)

    async def ready(self, scope: Any, receive: Any, send: Any) -> None:
        """Say whether callers may be sent here."""
        known = scope["path"] == self.edge.ready_path
        status = 404 if not known else 200 if self.node.serving() else 503
        await send_bytes(
            send, b"{}", status, b"application/json", self.node.connection_headers()
        )

    async def directory(self, scope: Any, receive: Any, send: Any) -> None:
        """Tell a caller which addresses to use."""
        if scope["path"] != self.edge.directory_path:
            await send_bytes(
                send, b"{}", 404, b"application/json", self.node.connection_headers()
            )
            return
        lifetime_s = self.node.program.settings.gateway.address_lifetime_s
        body = self.edge.address_answer(self.node.addresses(), lifetime_s)
        data = json.dumps(body).encode()
        await send_bytes(
            send, data, 200, b"application/json", self.node.connection_headers()
        )

    async def metrics(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the metrics as text."""
        data = self.node.program.metrics.exposition().encode()
        await send_bytes(send, data, 200, b"text/plain; version=0.0.4")

    async def caller(self, scope: Any, receive: Any, send: Any) -> None:
        """Carry out one request of a caller."""
        arrived = time.monotonic()
        node = self.node
        node.open_requests += 1
        try:
            call = await self.read(scope, receive, arrived)
            if isinstance(call, Failure):
                await self.refuse(scope, send, call)
                return
            await self.carry_out(call, receive, send)
        finally:
            node.open_requests -= 1

    async def read(self, scope: Any, receive: Any, arrived: float) -> Call | Failure:
        """Return a request once it is whole, or why it is refused."""
        headers: Headers = scope["headers"]
        table = self.node.table
        if table is None:
            return Failure(Code.NO_CONFIGURATION, "", retry_after_s=RETRY_AFTER_S)
        found = self.permitted(table, scope, headers)
        if isinstance(found, Failure):
            return found
        route, workspace, priority = found
        body = await read_body(receive, table.limits.max_body_bytes)
        if isinstance(body, Failure):
            return body
        patience_s = self.dialect.patience_s(headers)
        timeout_at = arrived + route.timeout_s
        own_end = arrived + patience_s if patience_s is not None else timeout_at
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        service = table.services.get(route.pick_service())
        if service is None:
            return Failure(Code.NO_ENDPOINT, "the route's service isn't declared")
        return Call(
            ident=self.dialect.ident(headers),
            method=scope["method"],
            target=target.decode("latin-1"),
            headers=headers,
            body=body,
            route=route,
            service=service,
            workspace=workspace,
            priority=priority,
            arrived=arrived,
            deadline=min(timeout_at, own_end),
            prompt=self.dialect.prompt(headers) if route.is_generation else None,
        )

    def permitted(
        self, table: RouteTable, scope: Any, headers: Headers
    ) -> tuple[Route, str, int] | Failure:
        """Return a request's route, workspace and priority, or why it has none."""
        host = first_value(headers, b"host").decode("latin-1").partition(":")[0].lower()
        path = scope["raw_path"].decode("latin-1")
        route = table.match(host, path)
        if route is None:
            return Failure(Code.NO_ROUTE, "")
        if route.keyless or not table.keys_required:
            return route, "", route.priority
        if not self.node.config_staleness.allows_keys():
            reason = f"last confirmed {self.node.config_staleness.age_s():.1f} s ago"
            return Failure(Code.KEYS_UNCONFIRMED, reason, retry_after_s=RETRY_AFTER_S)
        key = bearer_key(headers)
        holder = table.key_holders.get(key)
        if holder is None:
            code = Code.WRONG_CREDENTIALS if key else Code.NO_CREDENTIALS
            return Failure(code, "")
        priority = route.priority if holder.priority is None else holder.priority
        return route, holder.workspace, priority

    async def carry_out(self, call: Call, receive: Any, send: Any) -> None:
        """Carry out a call until it ends or its caller goes away."""
        node = self.node
        node.budget.earn(call.service.name)
        node.program.events.emit(
            Event.REQUEST_RECEIVED,
            request=call.ident,
            route=call.route.name,
            workspace=call.workspace,
            service=call.service.name,
            revision=node.table.version if node.table else 0,
            left_ms=int(call.left_s() * MS),
        )
        refused = self.cannot_end(call)
        if refused is not None:
            await self.fail(call, send, refused)
            return
        work = asyncio.create_task(self.work(call, send))
        watch = asyncio.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
                return
            self.left(call)
            if call.route.kind is RouteKind.UNSAFE:
                # It may not be sent again, so it isn't broken off.
                await work
        finally:
            for task in (work, watch):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work

    def left(self, call: Call) -> None:
        """Note that a caller went away before its answer."""
        self.node.program.events.emit(
            Event.REQUEST_FAILED,
            request=call.ident,
            code=int(Code.CANCELLED),
            after_ms=int((time.monotonic() - call.arrived) * MS),
        )

    def cannot_end(self, call: Call) -> Failure | None:
        """Return the refusal of a call that this host's stop would cut."""
        since = self.node.stopping_since
        if not since:
            return None
        left_s = since + self.node.program.settings.gateway.grace_s - time.monotonic()
        if call.route.kind is RouteKind.STREAM or left_s < STOP_MARGIN_S:
            reason = f"{left_s:.1f} s are left"
            return Failure(Code.STOPPING, reason, retry_after_s=STOP_RETRY_S)
        return None

    async def work(self, call: Call, send: Any) -> None:
        """Carry out a call and send its answer."""
        if call.route.kind is RouteKind.STREAM:
            await self.stream(call, send)
            return
        result = await self.node.plain.answer(call)
        if isinstance(result, Failure):
            await self.fail(call, send, result)
            return
        await self.send_answer(result, send)
        self.finished(call, result.status)

    async def stream(self, call: Call, send: Any) -> None:
        """Carry out a stream."""
        failure = await self.node.streams.answer(call, send)
        if failure is None:
            self.finished(call, 200)
        elif failure.tokens:
            # The server closes the connection without the end of the answer.
            self.log_failure(call, failure)
        else:
            await self.fail(call, send, failure)

    async def send_answer(self, answer: Answer, send: Any) -> None:
        """Send an endpoint's answer as it is."""
        length = (b"content-length", str(len(answer.body)).encode())
        headers = [
            *end_to_end_headers(answer.headers),
            length,
            *self.node.connection_headers(),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": answer.body})

    def finished(self, call: Call, status: int) -> None:
        """Log and measure a call that got its answer."""
        took_s = time.monotonic() - call.arrived
        self.node.program.metrics.record(
            "answer_us", took_s * US, route=call.route.name
        )
        self.node.program.events.emit(
            Event.REQUEST_FINISHED,
            request=call.ident,
            status=status,
            took_ms=int(took_s * MS),
        )

    def log_failure(self, call: Call, failure: Failure) -> None:
        """Log and count a call that failed."""
        self.node.program.metrics.count("failures", code=str(int(failure.code)))
        self.node.program.events.emit(
            Event.REQUEST_FAILED,
            request=call.ident,
            code=int(failure.code),
            reason=failure.reason,
            run=failure.run.value,
            after_ms=int((time.monotonic() - call.arrived) * MS),
        )

    async def fail(self, call: Call, send: Any, failure: Failure) -> None:
        """Answer a call with a failure."""
        self.log_failure(call, failure)
        await self.send_failure(send, failure, call.ident)

    async def refuse(self, scope: Any, send: Any, failure: Failure) -> None:
        """Answer a request that was refused before any attempt."""
        ident = self.dialect.ident(scope["headers"])
        self.node.program.metrics.count("failures", code=str(int(failure.code)))
        self.node.program.events.emit(
            Event.REQUEST_REFUSED,
            request=ident,
            code=int(failure.code),
            reason=failure.reason,
            revision=self.node.table.version if self.node.table else 0,
        )
        await self.send_failure(send, failure, ident)

    async def send_failure(self, send: Any, failure: Failure, ident: str) -> None:
        """Send a failure.

        One after which the request certainly has not run is a promise that it
        may be sent again, so it has the status that says so.
        """
        status = failure.status
        not_run = failure.run is Run.NOT_RUN
        if not_run and status in UNKNOWN_STATUSES:
            status = PROMISED
        headers = [(b"x-baobabturn-code", str(int(failure.code)).encode())]
        if not_run and status == PROMISED:
            seconds = failure.retry_after_s or RETRY_AFTER_S
            headers.append((b"retry-after", f"{seconds:.3g}".encode()))
        if status in (400, 413):
            headers.append(CONNECTION_CLOSE)
        else:
            headers += self.node.connection_headers()
        await send_json(send, error_body(failure, ident), status, headers)


async def read_body(receive: Any, limit: int) -> bytes | Failure:
    """Return a request's whole body, or why there is none."""
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Failure(Code.CANCELLED, "the caller went away")
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            return Failure(Code.BODY_TOO_LARGE, f"over {limit} bytes")
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)
