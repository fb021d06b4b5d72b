"""The gateway's HTTP applications: callers, readiness, directory, metrics."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.core.serving import gone
from baobabturn.entry.answers import error_body, send_bytes, send_json
from baobabturn.gateway.endpointclient import CompleteResponse
from baobabturn.gateway.httpheaders import CLOSE, bearer_key, first, passed_on
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.peers import parse_address
from baobabturn.gateway.platforminterface import GatewayPaths, HeaderTranslator
from baobabturn.gateway.request import CallerRequest, Headers
from baobabturn.gateway.routes import Kind, Route, RouteTable

MS_PER_S = 1000
US_PER_S = 1_000_000
RETRY_AFTER_S = 0.3
# Another host can take the request at once.
STOPPING_RETRY_AFTER_S = 0.05
# A request that can't end before this host stops is refused.
MIN_STOPPING_REMAINING_S = 1.0
NOT_RUN_STATUS = 503
OUTCOME_UNKNOWN_STATUSES = (502, 504)


class GatewayApp:
    """Answers requests by the listener that they came in at."""

    def __init__(
        self,
        *,
        node: GatewayNode,
        header_translator: HeaderTranslator,
        paths: GatewayPaths,
    ):
        self.node = node
        self.header_translator = header_translator
        self.paths = paths
        gateway = node.program.settings.gateway
        self.handlers = {
            parse_address(gateway.ready)[1]: self.serve_readiness,
            parse_address(gateway.directory)[1]: self.serve_directory,
            parse_address(gateway.metrics)[1]: self.serve_metrics,
            parse_address(gateway.callers)[1]: self.serve_caller,
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        await self.handlers[scope["server"][1]](scope, receive, send)

    async def serve_readiness(self, scope: Any, receive: Any, send: Any) -> None:
        """Say whether callers may be sent here."""
        path_known = scope["path"] == self.paths.ready_path
        status = 404 if not path_known else 200 if self.node.serving() else 503
        await send_bytes(
            send, b"{}", status, b"application/json", self.node.connection_headers()
        )

    async def serve_directory(self, scope: Any, receive: Any, send: Any) -> None:
        """Tell a caller which addresses to use."""
        if scope["path"] != self.paths.directory_path:
            await send_bytes(
                send, b"{}", 404, b"application/json", self.node.connection_headers()
            )
            return
        lifetime_s = self.node.program.settings.gateway.address_lifetime_s
        body = self.paths.directory_body(self.node.addresses(), lifetime_s)
        data = json.dumps(body).encode()
        await send_bytes(
            send, data, 200, b"application/json", self.node.connection_headers()
        )

    async def serve_metrics(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the metrics as text."""
        data = self.node.program.metrics.exposition().encode()
        await send_bytes(send, data, 200, b"text/plain; version=0.0.4")

    async def serve_caller(self, scope: Any, receive: Any, send: Any) -> None:
        """Carry out one request of a caller."""
        arrived_at = time.monotonic()
        node = self.node
        node.open_requests += 1
        try:
            request = await self.read_request(scope, receive, arrived_at)
            if isinstance(request, Failure):
                await self.refuse(scope, send, request)
                return
            await self.process(request, receive, send)
        finally:
            node.open_requests -= 1

    async def read_request(
        self, scope: Any, receive: Any, arrived_at: float
    ) -> CallerRequest | Failure:
        """Return a request once it is whole, or why it is refused."""
        headers: Headers = scope["headers"]
        table = self.node.table
        if table is None:
            return Failure(Code.NO_CONFIGURATION, "", retry_after_s=RETRY_AFTER_S)
        authorized = self.authorize(table, scope, headers)
        if isinstance(authorized, Failure):
            return authorized
        route, workspace, priority = authorized
        body = await read_body(receive, table.limits.body_bytes)
        if isinstance(body, Failure):
            return body
        caller_timeout_s = self.header_translator.caller_timeout_s(headers)
        route_deadline = arrived_at + route.timeout_s
        caller_deadline = (
            arrived_at + caller_timeout_s
            if caller_timeout_s is not None
            else route_deadline
        )
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        service = table.services.get(route.pick_service())
        if service is None:
            return Failure(Code.NO_ENDPOINT, "the route's service isn't declared")
        return CallerRequest(
            request_id=self.header_translator.request_id(headers),
            method=scope["method"],
            target=target.decode("latin-1"),
            headers=headers,
            body=body,
            route=route,
            service=service,
            workspace=workspace,
            priority=priority,
            arrived_at=arrived_at,
            deadline=min(route_deadline, caller_deadline),
            generation_size=self.header_translator.generation_size(headers)
            if route.generates
            else None,
        )

    def authorize(
        self, table: RouteTable, scope: Any, headers: Headers
    ) -> tuple[Route, str, int] | Failure:
        """Return a request's route, workspace and priority, or why it has none."""
        host = first(headers, b"host").decode("latin-1").partition(":")[0].lower()
        path = scope["raw_path"].decode("latin-1")
        route = table.match(host, path)
        if route is None:
            return Failure(Code.NO_ROUTE, "")
        if route.keyless or not table.keyed:
            return route, "", route.priority
        if not self.node.freshness.holds():
            reason = f"last confirmed {self.node.freshness.age_s():.1f} s ago"
            return Failure(Code.KEYS_UNCONFIRMED, reason, retry_after_s=RETRY_AFTER_S)
        key = bearer_key(headers)
        key_owner = table.holders.get(key)
        if key_owner is None:
            code = Code.WRONG_CREDENTIALS if key else Code.NO_CREDENTIALS
            return Failure(code, "")
        priority = route.priority if key_owner.priority is None else key_owner.priority
        return route, key_owner.workspace, priority

    async def process(self, request: CallerRequest, receive: Any, send: Any) -> None:
        """Carry out a call until it ends or its caller goes away."""
        node = self.node
        node.budget.record_request(request.service.name)
        node.program.events.emit(
            Event.REQUEST_RECEIVED,
            request=request.request_id,
            route=request.route.name,
            workspace=request.workspace,
            service=request.service.name,
            revision=node.table.version if node.table else 0,
            left_ms=int(request.remaining_s() * MS_PER_S),
        )
        refusal = self.stopping_refusal(request)
        if refusal is not None:
            await self.fail(request, send, refusal)
            return
        response_task = asyncio.create_task(self.respond(request, send))
        disconnect_task = asyncio.create_task(gone(receive))
        try:
            await asyncio.wait(
                {response_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if response_task.done():
                response_task.result()
                return
            self.log_caller_gone(request)
            if request.route.kind is Kind.UNSAFE:
                # It may not be sent again, so it isn't broken off.
                await response_task
        finally:
            for task in (response_task, disconnect_task):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await response_task

    def log_caller_gone(self, request: CallerRequest) -> None:
        """Note that a caller went away before its answer."""
        self.node.program.events.emit(
            Event.REQUEST_FAILED,
            request=request.request_id,
            code=int(Code.CANCELLED),
            after_ms=int((time.monotonic() - request.arrived_at) * MS_PER_S),
        )

    def stopping_refusal(self, request: CallerRequest) -> Failure | None:
        """Return the refusal of a call that this host's stop would cut."""
        stopping_since = self.node.stopping_since
        if not stopping_since:
            return None
        remaining_s = (
            stopping_since
            + self.node.program.settings.gateway.grace_s
            - time.monotonic()
        )
        if request.route.kind is Kind.STREAM or remaining_s < MIN_STOPPING_REMAINING_S:
            reason = f"{remaining_s:.1f} s are left"
            return Failure(Code.STOPPING, reason, retry_after_s=STOPPING_RETRY_AFTER_S)
        return None

    async def respond(self, request: CallerRequest, send: Any) -> None:
        """Carry out a call and send its answer."""
        if request.route.kind is Kind.STREAM:
            await self.relay_stream(request, send)
            return
        result = await self.node.plain.forward(request)
        if isinstance(result, Failure):
            await self.fail(request, send, result)
            return
        await self.send_response(result, send)
        self.log_finished(request, result.status)

    async def relay_stream(self, request: CallerRequest, send: Any) -> None:
        """Carry out a stream."""
        failure = await self.node.streams.forward(request, send)
        if failure is None:
            self.log_finished(request, 200)
        elif failure.tokens:
            # The server closes the connection without the end of the answer.
            self.record_failure(request, failure)
        else:
            await self.fail(request, send, failure)

    async def send_response(self, answer: CompleteResponse, send: Any) -> None:
        """Send an endpoint's answer as it is."""
        length = (b"content-length", str(len(answer.body)).encode())
        headers = [*passed_on(answer.headers), length, *self.node.connection_headers()]
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": answer.body})

    def log_finished(self, request: CallerRequest, status: int) -> None:
        """Log and measure a call that got its answer."""
        elapsed_s = time.monotonic() - request.arrived_at
        self.node.program.metrics.record(
            "answer_us", elapsed_s * US_PER_S, route=request.route.name
        )
        self.node.program.events.emit(
            Event.REQUEST_FINISHED,
            request=request.request_id,
            status=status,
            took_ms=int(elapsed_s * MS_PER_S),
        )

    def record_failure(self, request: CallerRequest, failure: Failure) -> None:
        """Log and count a call that failed."""
        self.node.program.metrics.count("failures", code=str(int(failure.code)))
        self.node.program.events.emit(
            Event.REQUEST_FAILED,
            request=request.request_id,
            code=int(failure.code),
            reason=failure.reason,
            run=failure.run.value,
            after_ms=int((time.monotonic() - request.arrived_at) * MS_PER_S),
        )

    async def fail(self, request: CallerRequest, send: Any, failure: Failure) -> None:
        """Answer a call with a failure."""
        self.record_failure(request, failure)
        await self.send_failure(send, failure, request.request_id)

    async def refuse(self, scope: Any, send: Any, failure: Failure) -> None:
        """Answer a request that was refused before any attempt."""
        request_id = self.header_translator.request_id(scope["headers"])
        self.node.program.metrics.count("failures", code=str(int(failure.code)))
        self.node.program.events.emit(
            Event.REQUEST_REFUSED,
            request=request_id,
            code=int(failure.code),
            reason=failure.reason,
            revision=self.node.table.version if self.node.table else 0,
        )
        await self.send_failure(send, failure, request_id)

    async def send_failure(self, send: Any, failure: Failure, request_id: str) -> None:
        """Send a failure.

        One after which the request certainly has not run is a promise that it
        may be sent again, so it has the status that says so.
        """
        status = failure.status
        not_run = failure.run is Run.NOT_RUN
        if not_run and status in OUTCOME_UNKNOWN_STATUSES:
            status = NOT_RUN_STATUS
        headers = [(b"x-baobabturn-code", str(int(failure.code)).encode())]
        if not_run and status == NOT_RUN_STATUS:
            retry_after_s = failure.retry_after_s or RETRY_AFTER_S
            headers.append((b"retry-after", f"{retry_after_s:.3g}".encode()))
        if status in (400, 413):
            headers.append(CLOSE)
        else:
            headers += self.node.connection_headers()
        await send_json(send, error_body(failure, request_id), status, headers)


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
