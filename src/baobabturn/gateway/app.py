"""The gateway's HTTP application: callers, readiness, directory and metrics."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from baobabturn.core.events import Event
from baobabturn.core.results import Code, Failure, Run
from baobabturn.core.serving import wait_for_disconnect
from baobabturn.entry.bodies import BodyReader, body_length
from baobabturn.entry.responses import error_body, send_bytes, send_json
from baobabturn.gateway.callerconnection import CONNECTION_KEY
from baobabturn.gateway.callersend import CallerSend, CallerStalled
from baobabturn.gateway.crashwatch import part_ids
from baobabturn.gateway.endpointclient import CompleteResponse
from baobabturn.gateway.httpheaders import (
    CONNECTION_CLOSE,
    bearer_key,
    end_to_end_headers,
    first_value,
    non_utf8_header,
)
from baobabturn.gateway.node import GatewayNode
from baobabturn.gateway.operatorstate import OperatorState
from baobabturn.gateway.peer import parse_address
from baobabturn.gateway.platforminterface import GatewayPaths, HeaderTranslator
from baobabturn.gateway.relaysigner import RELAY_HEADER, request_head
from baobabturn.gateway.request import CallerRequest, Headers, request_digest
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.routes import Route, RouteKind, RouteTable
from baobabturn.placement.homes import Homes, combined_homes
from baobabturn.wire.words import STATE_PATH

MS_PER_S = 1000
US_PER_S = 1_000_000
RETRY_AFTER_S = 0.3
# Short, because another host can take the request at once.
STOPPING_RETRY_AFTER_S = 0.05
# With less time than this until this host stops, a request is refused.
MIN_STOPPING_REMAINING_S = 1.0
NOT_RUN_STATUS = 503
OUTCOME_UNKNOWN_STATUSES = (502, 504)
# Marks the scope of a request that came through another gateway.
IS_RELAYED = "baobabturn.relayed"


class GatewayApp:
    """Dispatches HTTP requests by the port that they arrived on."""

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
        self.operator_state = OperatorState(node=node)
        gateway = node.program.settings.gateway
        self.handlers = {
            parse_address(gateway.ready)[1]: self.serve_readiness,
            parse_address(gateway.directory)[1]: self.serve_directory,
            parse_address(gateway.metrics)[1]: self.serve_metrics,
            parse_address(gateway.callers)[1]: self.serve_caller,
            parse_address(gateway.relay)[1]: self.serve_relayed,
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        await self.handlers[scope["server"][1]](scope, receive, send)

    async def serve_readiness(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer 200 while callers may be sent to this gateway, otherwise 503."""
        path_known = scope["path"] == self.paths.ready_path
        status = 404 if not path_known else 200 if self.node.serving() else 503
        await send_bytes(
            send, b"{}", status, b"application/json", self.node.connection_headers()
        )

    async def serve_directory(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the addresses that callers should use."""
        if scope["path"] != self.paths.directory_path:
            await send_bytes(
                send, b"{}", 404, b"application/json", self.node.connection_headers()
            )
            return
        lifetime_s = self.node.program.settings.gateway.address_lifetime_s
        caller = self.paths.caller_place(scope["query_string"])
        addresses = self.node.directory.addresses(caller)
        body = self.paths.directory_body(addresses, lifetime_s)
        data = json.dumps(body).encode()
        await send_bytes(
            send, data, 200, b"application/json", self.node.connection_headers()
        )

    async def serve_metrics(self, scope: Any, receive: Any, send: Any) -> None:
        """Send the metrics in the Prometheus text format, or the operators' state."""
        if scope["path"] == STATE_PATH:
            await self.operator_state.serve(scope["query_string"], send)
            return
        data = self.node.program.metrics.exposition().encode()
        await send_bytes(send, data, 200, b"text/plain; version=0.0.4")

    async def serve_caller(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one request of a caller, and count it as open meanwhile."""
        arrived_at = time.monotonic()
        node = self.node
        with contextlib.ExitStack() as stack:
            stack.enter_context(node.count_request())
            request = await self.read_request(scope, receive, arrived_at, stack)
            if isinstance(request, Failure):
                await self.refuse(scope, send, request)
                return
            stack.callback(request.release_bodies)
            caller_send = CallerSend(
                send=send,
                connection=scope[CONNECTION_KEY],
                request=request,
                program=node.program,
                memory=node.body_memory,
                unread=node.unread,
            )
            stack.callback(caller_send.close)
            await self.process(request, receive, caller_send)

    async def serve_relayed(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle a request that another gateway passes on; refuse any other."""
        target = scope_target(scope).decode("latin-1")
        head = request_head(scope["method"], target, scope["headers"])
        mark = first_value(scope["headers"], RELAY_HEADER)
        if not self.node.relay.signer.verify(mark, head):
            refusal = Failure(Code.NOT_ALLOWED, "no gateway has signed the request")
            await self.refuse(scope, send, refusal)
            return
        scope["headers"] = [
            pair for pair in scope["headers"] if pair[0] != RELAY_HEADER
        ]
        scope[IS_RELAYED] = True
        await self.serve_caller(scope, receive, send)

    async def read_request(
        self,
        scope: Any,
        receive: Any,
        arrived_at: float,
        stack: contextlib.ExitStack,
    ) -> CallerRequest | Failure:
        """Return the complete request, or the failure with which it is refused.

        ``stack`` releases the memory that the body holds.
        """
        headers: Headers = scope["headers"]
        table = self.node.table
        if table is None:
            return Failure(Code.NO_CONFIGURATION, "", retry_after_s=RETRY_AFTER_S)
        name = non_utf8_header(headers)
        if name:
            reason = f"the header {name.decode('latin-1')} isn't UTF-8"
            return Failure(Code.MALFORMED, reason)
        authorized = self.authorize(table, scope, headers)
        if isinstance(authorized, Failure):
            return authorized
        route, workspace, priority, homes = authorized
        refusal = self.node.home_regions.refusal(homes)
        if refusal is not None:
            return refusal
        reader = BodyReader(
            memory=self.node.body_memory,
            settings=self.node.program.settings.entry,
            workspace=workspace,
            length=body_length(dict(headers)),
            limit_bytes=table.limits.max_body_bytes,
        )
        stack.callback(reader.release)
        body = await reader.read(receive)
        if isinstance(body, Failure):
            return body
        caller_timeout_s = self.header_translator.caller_timeout_s(headers)
        route_deadline = arrived_at + route.timeout_s
        caller_deadline = (
            arrived_at + caller_timeout_s
            if caller_timeout_s is not None
            else route_deadline
        )
        service = table.services.get(route.pick_service())
        if service is None:
            return Failure(Code.NO_ENDPOINT, "the route's service isn't declared")
        method, path = scope["method"], scope_target(scope).decode("latin-1")
        return CallerRequest(
            request_id=self.header_translator.request_id(headers),
            method=method,
            target=path,
            headers=headers,
            body=body,
            route=route,
            service=service,
            workspace=workspace,
            priority=priority,
            arrived_at=arrived_at,
            deadline=min(route_deadline, caller_deadline),
            digest=request_digest((method, route.host, path, workspace), body),
            generation_size=self.header_translator.generation_size(headers)
            if route.is_generation
            else None,
            relayed=IS_RELAYED in scope,
            homes=homes,
            resumption=self.header_translator.resumption(headers)
            if route.kind is RouteKind.STREAM
            else None,
        )

    def authorize(
        self, table: RouteTable, scope: Any, headers: Headers
    ) -> tuple[Route, str, int, Homes] | Failure:
        """Return a request's route, workspace, priority and home regions.

        Return why it isn't allowed if it isn't.
        """
        host = first_value(headers, b"host").decode("latin-1").partition(":")[0].lower()
        path = scope["raw_path"].decode("latin-1")
        route = table.match(host, path)
        if route is None:
            return Failure(Code.NO_ROUTE, "")
        if route.keyless or not table.keys_required:
            return route, "", route.priority, route.homes
        if not self.node.config_staleness.allows_keys():
            reason = f"last confirmed {self.node.config_staleness.age_s():.1f} s ago"
            return Failure(Code.KEYS_UNCONFIRMED, reason, retry_after_s=RETRY_AFTER_S)
        key = bearer_key(headers)
        key_holder = table.key_holders.get(key)
        if key_holder is None:
            code = Code.WRONG_CREDENTIALS if key else Code.NO_CREDENTIALS
            return Failure(code, "")
        priority = (
            route.priority if key_holder.priority is None else key_holder.priority
        )
        homes = combined_homes(route.homes, key_holder.homes)
        return route, key_holder.workspace, priority, homes

    async def process(
        self, request: CallerRequest, receive: Any, send: CallerSend
    ) -> None:
        """Respond to a request until it ends or its caller disconnects."""
        node = self.node
        resumption = request.resumption
        node.program.events.emit(
            Event.REQUEST_RECEIVED,
            request=request.request_id,
            route=request.route.name,
            workspace=request.workspace,
            service=request.service.name,
            revision=node.table.version if node.table else 0,
            left_ms=int(request.remaining_s() * MS_PER_S),
            digest=request.digest,
            parts=part_ids(request),
            resumes=resumption.attempt if resumption else "",
            after=resumption.last_event_id if resumption else "",
        )
        response_task = asyncio.create_task(self.respond_until_stalled(request, send))
        disconnect_task = asyncio.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {response_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if response_task.done():
                response_task.result()
                return
            self.log_caller_disconnected(request)
            if request.route.kind is RouteKind.UNSAFE and request.sent:
                # An unsafe request may not be sent again, so it runs to its end.
                await response_task
        finally:
            for task in (response_task, disconnect_task):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await response_task

    def log_caller_disconnected(self, request: CallerRequest) -> None:
        """Log that a caller disconnected before the response was complete."""
        self.node.program.events.emit(
            Event.REQUEST_FAILED,
            request=request.request_id,
            code=int(Code.CANCELLED),
            after_ms=int((time.monotonic() - request.arrived_at) * MS_PER_S),
        )

    def stopping_refusal(self, request: CallerRequest) -> Failure | None:
        """Return the refusal of a request that would outlast this host's stop."""
        stopping_since = self.node.stopping_since
        if not stopping_since:
            return None
        remaining_s = (
            stopping_since
            + self.node.program.settings.gateway.grace_s
            - time.monotonic()
        )
        if (
            request.route.kind is RouteKind.STREAM
            or remaining_s < MIN_STOPPING_REMAINING_S
        ):
            reason = f"{remaining_s:.1f} s until this host stops"
            return Failure(Code.STOPPING, reason, retry_after_s=STOPPING_RETRY_AFTER_S)
        return None

    async def respond_until_stalled(
        self, request: CallerRequest, send: CallerSend
    ) -> None:
        """Respond to a request; reset the connection of a caller that doesn't read."""
        try:
            await self.respond(request, send)
        except CallerStalled as stalled:
            self.record_failure(request, stalled.failure)
            await send.reset()

    async def respond(self, request: CallerRequest, send: Any) -> None:
        """Forward a request and send the response or the failure."""
        node = self.node
        refusal = self.stopping_refusal(request)
        if refusal is not None:
            await self.fail(request, send, refusal)
            return
        if not request.relayed and not node.paths.reaches(request.service.name):
            await self.send_through_peer(request, send)
            return
        node.budget.record_request(request.service.name)
        if request.route.kind is RouteKind.STREAM:
            await self.relay_stream(request, send)
            return
        result = await node.plain.forward(request)
        if isinstance(result, Failure):
            await self.fail_or_relay(request, send, result)
            return
        await self.send_response(result, send)
        self.log_finished(request, result.status)

    async def send_through_peer(self, request: CallerRequest, send: Any) -> None:
        """Let another gateway serve a request, and record how it ended."""
        failure = await self.node.relay.relay(request, send)
        if failure is None:
            self.log_finished(request, 200)
        elif failure.tokens:
            self.record_failure(request, failure)
        else:
            await self.fail(request, send, failure)

    async def fail_or_relay(
        self, request: CallerRequest, send: Any, failure: Failure
    ) -> None:
        """Send a failure; let another gateway try if this one reached no endpoint."""
        is_unsent = failure.code is Code.CONNECT_FAILED and failure.run is Run.NOT_RUN
        if is_unsent and not request.relayed:
            await self.send_through_peer(request, send)
        else:
            await self.fail(request, send, failure)

    async def relay_stream(self, request: CallerRequest, send: Any) -> None:
        """Relay a stream, and record how it ended."""
        failure = await self.node.streams.forward(request, send)
        if failure is None:
            self.log_finished(request, 200)
        elif failure.tokens:
            # The response has begun: the HTTP server closes the connection before
            # its end, which shows the caller that the response is incomplete.
            self.record_failure(request, failure)
        else:
            await self.fail_or_relay(request, send, failure)

    async def send_response(self, response: CompleteResponse, send: Any) -> None:
        """Send an endpoint's response unchanged, except for per-connection headers."""
        length = (b"content-length", str(response.body.size_bytes).encode())
        headers = [
            *end_to_end_headers(response.headers),
            length,
            *self.node.connection_headers(),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await response.body.send_to(send)
        await send({"type": "http.response.body", "body": b""})

    def log_finished(self, request: CallerRequest, status: int) -> None:
        """Log a request that got its response, and record the time that it took."""
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
        """Log and count a request that failed."""
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
        """Record a request's failure and send it as the response."""
        self.record_failure(request, failure)
        await self.send_failure(send, failure, request.request_id)

    async def refuse(self, scope: Any, send: Any, failure: Failure) -> None:
        """Log a refusal before any attempt and send it as the response."""
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
        """Send a failure as the response.

        A caller may send a request again that certainly didn't run.  The failure of
        such a request is never sent with a status which says that the outcome is
        unknown, but with 503 instead.
        """
        status = failure.status
        not_run = failure.run is Run.NOT_RUN
        if not_run and status in OUTCOME_UNKNOWN_STATUSES:
            status = NOT_RUN_STATUS
        headers = [(b"x-baobabturn-code", str(int(failure.code)).encode())]
        if not_run and status == NOT_RUN_STATUS:
            retry_after_s = failure.retry_after_s or spread_retry_s(RETRY_AFTER_S)
            headers.append((b"retry-after", f"{retry_after_s:.3g}".encode()))
        if status in (400, 413):
            headers.append(CONNECTION_CLOSE)
        else:
            headers += self.node.connection_headers()
        await send_json(send, error_body(failure, request_id), status, headers)


def scope_target(scope: Any) -> bytes:
    """Return a request's path with its query."""
    query = scope["query_string"]
    return scope["raw_path"] + (b"?" + query if query else b"")
