"""The entry's HTTP application: routes, credentials and limits."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from baobabturn.config.declared import Workspace
from baobabturn.core.events import Event
from baobabturn.core.idents import request_id as new_request_id
from baobabturn.core.results import Code, Failure
from baobabturn.entry.addresses import entries_body
from baobabturn.entry.admin import admin_routes
from baobabturn.entry.bodies import BodyReader, body_length
from baobabturn.entry.node import Node
from baobabturn.entry.requests import (
    GenerationRequest,
    parse_deadline,
    parse_request,
)
from baobabturn.entry.responses import (
    error_body,
    error_headers,
    send_failure,
    send_json,
)
from baobabturn.entry.services import ServiceDispatcher, ServiceRequest
from baobabturn.entry.streams import (
    models_body,
    send_resumed,
    send_streamed,
    send_whole,
)

BEARER = "bearer "
POST_ONLY = ("POST",)
MAX_IDEMPOTENCY_KEY_BYTES = 255

Handler = Callable[[Scope, Receive, Send], Awaitable[None]]


class AsgiHandler:
    """Wraps an ASGI function, which Starlette would take for a request handler."""

    def __init__(self, *, handler: Handler):
        self.handler = handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Call the wrapped function."""
        await self.handler(scope, receive, send)


def headers_by_name(scope: Scope) -> dict[bytes, bytes]:
    """Return a request's headers by lower-case name."""
    return dict(scope["headers"])


class BodyReleasingSender:
    """Sends a response; releases the request body's memory when it starts.

    No other engine is tried after the first token unless the caller accepts a
    restart, so the messages, which may hold images, are no longer needed.
    """

    def __init__(
        self, *, reader: BodyReader, send: Send, generation_request: GenerationRequest
    ):
        self.reader = reader
        self.send = send
        self.generation_request = generation_request

    async def __call__(self, message: Any) -> None:
        """Send one ASGI message of the response."""
        if (
            message["type"] == "http.response.start"
            and not self.generation_request.restart
        ):
            messages = self.generation_request.body.get("messages")
            if isinstance(messages, list):
                messages.clear()
            self.reader.release()
        await self.send(message)


class EntryApp:
    """The HTTP application of one entry."""

    def __init__(self, *, node: Node):
        self.node = node
        self.dispatcher = ServiceDispatcher(node=node)
        self.app = Starlette(
            routes=[
                Route("/v1/entries", self.entries),
                Route("/v1/models", self.models),
                route("/v1/completions", self.completions),
                route("/v1/chat/completions", self.chat),
                route("/v1/services/{service}/{path:path}", self.handle_service, None),
                Route("/healthz", self.health),
                Route("/readyz", self.ready),
                *admin_routes(node),
            ],
            exception_handlers={404: not_found, 405: not_found},
        )

    async def entries(self, request: Request) -> Response:
        """Return the entry addresses that callers should use."""
        return JSONResponse(entries_body(self.node, request.url.scheme))

    async def health(self, request: Request) -> Response:
        """Return 200 while the process runs."""
        return PlainTextResponse("ok\n")

    async def ready(self, request: Request) -> Response:
        """Return 200 if callers should use this entry, else the reason."""
        failure = self.readiness_failure()
        if failure is not None:
            return failure_response(failure)
        revision = self.node.state.revision
        return JSONResponse(
            {"ready": True, "revision": revision, **self.node.contact_status}
        )

    def readiness_failure(self) -> Failure | None:
        """Return why callers should not use this entry, None if they may."""
        if self.node.drain_state.since is not None:
            return Failure(Code.DRAINING, "draining")
        if not self.node.state.revision:
            return Failure(Code.NO_CONFIGURATION, "no configuration is in force")
        return None

    def authenticate(self, headers: dict[bytes, bytes]) -> Workspace | Failure:
        """Return the workspace whose key a request carries."""
        if not self.node.state.revision:
            return Failure(Code.NO_CONFIGURATION, "no configuration is in force")
        credentials = headers.get(b"authorization", b"").decode("latin-1")
        if not credentials.lower().startswith(BEARER):
            return Failure(Code.NO_CREDENTIALS, "send Authorization: Bearer <key>")
        workspace = self.node.state.workspace_of(credentials[len(BEARER) :].strip())
        return workspace or Failure(Code.WRONG_CREDENTIALS, "unknown workspace key")

    async def models(self, request: Request) -> Response:
        """Return the models that the workspace may use."""
        workspace = self.authenticate(headers_by_name(request.scope))
        if isinstance(workspace, Failure):
            return failure_response(workspace)
        return JSONResponse(models_body(sorted(workspace.models)))

    async def completions(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a completion request."""
        await self.generate(scope, receive, send, chat=False)

    async def chat(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a chat completion request."""
        await self.generate(scope, receive, send, chat=True)

    async def generate(
        self, scope: Scope, receive: Receive, send: Send, chat: bool
    ) -> None:
        """Authenticate, read and run a generation request, or resume its stream."""
        headers = headers_by_name(scope)
        request_id = new_request_id()
        workspace = self.authenticate(headers)
        if isinstance(workspace, Failure):
            await self.refuse(send, workspace, request_id)
            return
        if await self.refuse_if_drained(scope, send, request_id):
            return
        event_id = headers.get(b"last-event-id")
        if event_id is not None:
            await self.resume(headers, workspace, request_id, receive, send)
            return
        self.node.events.emit(
            Event.REQUEST_RECEIVED, request=request_id, workspace=workspace.name
        )
        reader = self.reader(workspace, headers)
        try:
            body = await reader.read_json(receive)
            if isinstance(body, Failure):
                await self.refuse(send, body, request_id)
                return
            generation_request = self.parse_generation_request(
                workspace, headers, request_id, chat, body
            )
            if isinstance(generation_request, Failure):
                await self.refuse(send, generation_request, request_id)
                return
            releasing_send = BodyReleasingSender(
                reader=reader, send=send, generation_request=generation_request
            )
            respond = send_streamed if generation_request.stream else send_whole
            await self.count_open(
                respond(self.node, generation_request, receive, releasing_send)
            )
        finally:
            reader.release()

    def reader(self, workspace: Workspace, headers: dict[bytes, bytes]) -> BodyReader:
        """Return a reader that charges a request's body to a workspace."""
        return BodyReader(
            memory=self.node.body_memory,
            settings=self.node.settings.entry,
            workspace=workspace.name,
            length=body_length(headers),
            limit_bytes=self.node.settings.entry.body_limit_bytes,
        )

    def parse_generation_request(
        self,
        workspace: Workspace,
        headers: dict[bytes, bytes],
        request_id: str,
        chat: bool,
        body: dict[str, Any],
    ) -> GenerationRequest | Failure:
        """Return the checked generation request, or what is wrong with it."""
        return parse_request(
            request_id=request_id,
            chat=chat,
            body=body,
            headers=headers,
            workspace=workspace,
            state=self.node.state,
            default_deadline_s=self.node.settings.entry.default_deadline_s,
        )

    async def refuse_if_drained(
        self, scope: Scope, send: Send, request_id: str
    ) -> bool:
        """Refuse a request, naming other entries, if this host is drained.

        Return whether it was refused.
        """
        failure = self.node.drained_failure()
        if failure is None:
            return False
        self.node.count_failure(failure)
        body = error_body(failure, request_id)
        body["error"].update(entries_body(self.node, scope["scheme"]))
        await send_json(send, body, failure.status, error_headers(failure))
        return True

    async def resume(
        self,
        headers: dict,
        workspace: Workspace,
        request_id: str,
        receive: Any,
        send: Any,
    ) -> None:
        """Resume a stream after the event in the ``Last-Event-ID`` header."""
        deadline = parse_deadline(headers, self.node.settings.entry.default_deadline_s)
        if isinstance(deadline, Failure):
            await self.refuse(send, deadline, request_id)
            return
        event_id = headers[b"last-event-id"].decode("latin-1")
        await self.count_open(
            send_resumed(self.node, workspace.name, event_id, deadline, receive, send)
        )

    async def count_open(self, work: Any) -> None:
        """Await the handling of a request and count it as open meanwhile."""
        self.node.open_requests += 1
        try:
            await work
        finally:
            self.node.open_requests -= 1

    async def refuse(self, send: Send, failure: Failure, request_id: str) -> None:
        """Log and count a refusal and send it to the caller."""
        self.node.count_failure(failure)
        self.node.events.emit(
            Event.REQUEST_REFUSED, request=request_id, code=int(failure.code)
        )
        await send_failure(send, failure, request_id)

    async def handle_service(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request to a plain service."""
        headers = headers_by_name(scope)
        request_id = new_request_id()
        if await self.refuse_if_drained(scope, send, request_id):
            return
        workspace = self.authenticate(headers)
        if isinstance(workspace, Failure):
            await self.refuse(send, workspace, request_id)
            return
        reader = self.reader(workspace, headers)
        try:
            service_request = await self.read_service_request(
                scope, workspace, reader, receive, request_id
            )
            if isinstance(service_request, Failure):
                await self.refuse(send, service_request, request_id)
                return
            await self.count_open(
                self.dispatcher.handle(service_request, receive, send)
            )
        finally:
            reader.release()

    async def read_service_request(
        self,
        scope: Scope,
        workspace: Workspace,
        reader: BodyReader,
        receive: Receive,
        request_id: str,
    ) -> ServiceRequest | Failure:
        """Return the checked request to a plain service, or what is wrong with it."""
        headers = headers_by_name(scope)
        service = scope["path_params"]["service"]
        path = "/" + scope["path_params"]["path"]
        operation = self.node.state.operation(service, scope["method"], path)
        if operation is None or service not in workspace.services:
            return Failure(
                Code.UNKNOWN_SERVICE, f"no operation {scope['method']} {service}{path}"
            )
        entry = self.node.settings.entry
        deadline = parse_deadline(headers, entry.default_deadline_s)
        if isinstance(deadline, Failure):
            return deadline
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        if len(key) > MAX_IDEMPOTENCY_KEY_BYTES:
            return Failure(
                Code.BAD_FIELD,
                f"Idempotency-Key is longer than {MAX_IDEMPOTENCY_KEY_BYTES} bytes",
            )
        body = await reader.read(receive)
        if isinstance(body, Failure):
            return body
        self.node.events.emit(
            Event.REQUEST_RECEIVED, request=request_id, workspace=workspace.name
        )
        query = scope["query_string"].decode("latin-1")
        content_type = headers.get(b"content-type", b"application/json")
        return ServiceRequest(
            request_id=request_id,
            workspace=workspace,
            service=service,
            operation=operation,
            method=scope["method"],
            path=path,
            query=f"?{query}" if query else "",
            content_type=content_type.decode("latin-1"),
            body=body,
            key=key,
            deadline=deadline,
        )


def route(
    path: str, handler: Handler, methods: Sequence[str] | None = POST_ONLY
) -> Route:
    """Return a route to an ASGI function; None for ``methods`` means all methods."""
    method_list = None if methods is None else list(methods)
    return Route(path, AsgiHandler(handler=handler), methods=method_list)


def failure_response(failure: Failure) -> Response:
    """Return a failure as a Starlette response."""
    headers = {name.decode(): value.decode() for name, value in error_headers(failure)}
    return JSONResponse(error_body(failure), failure.status, headers=headers)


async def not_found(request: Request, error: Exception) -> Response:
    """Return the error for an unknown path or method."""
    path = request.url.path[:100]
    return failure_response(
        Failure(Code.NOT_FOUND, f"no route {request.method} {path}")
    )
