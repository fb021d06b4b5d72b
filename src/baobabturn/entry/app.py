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
from baobabturn.core.idents import request_id
from baobabturn.core.results import Code, Failure
from baobabturn.entry.addresses import entries_body
from baobabturn.entry.admin import admin_routes
from baobabturn.entry.bodies import BodyReader, body_length
from baobabturn.entry.node import Node
from baobabturn.entry.requests import (
    GenerationRequest,
    read_deadline,
    read_request,
)
from baobabturn.entry.responses import (
    error_body,
    error_headers,
    send_failure,
    send_json,
)
from baobabturn.entry.services import ServiceCall, ServiceCaller
from baobabturn.entry.streams import (
    models_body,
    resume_answer,
    stream_answer,
    whole_answer,
)

BEARER = "bearer "
POST = ("POST",)
KEY_LIMIT = 255

Handler = Callable[[Scope, Receive, Send], Awaitable[None]]


class Endpoint:
    """Wraps an ASGI function, which Starlette would take for a request handler."""

    def __init__(self, *, handler: Handler):
        self.handler = handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Call the wrapped function."""
        await self.handler(scope, receive, send)


def headers_of(scope: Scope) -> dict[bytes, bytes]:
    """Return a request's headers by lower-case name."""
    return dict(scope["headers"])


class Freeing:
    """Sends a response; releases the request body's memory when it starts.

    No other engine is tried after the first token unless the caller accepts a
    restart, so the messages, which may hold images, are no longer needed.
    """

    def __init__(self, *, reader: BodyReader, send: Send, wanted: GenerationRequest):
        self.reader = reader
        self.send = send
        self.wanted = wanted

    async def __call__(self, message: Any) -> None:
        """Send one ASGI message of the response."""
        if message["type"] == "http.response.start" and not self.wanted.restart:
            messages = self.wanted.body.get("messages")
            if isinstance(messages, list):
                messages.clear()
            self.reader.release()
        await self.send(message)


class EntryApp:
    """The HTTP application of one entry."""

    def __init__(self, *, node: Node):
        self.node = node
        self.caller = ServiceCaller(node=node)
        self.app = Starlette(
            routes=[
                Route("/v1/entries", self.entries),
                Route("/v1/models", self.models),
                route("/v1/completions", self.completions),
                route("/v1/chat/completions", self.chat),
                route("/v1/services/{service}/{path:path}", self.service, None),
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
        failure = self.unready()
        if failure is not None:
            return failure_response(failure)
        revision = self.node.state.revision
        return JSONResponse({"ready": True, "revision": revision, **self.node.contact})

    def unready(self) -> Failure | None:
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
        text = headers.get(b"authorization", b"").decode("latin-1")
        if not text.lower().startswith(BEARER):
            return Failure(Code.NO_CREDENTIALS, "send Authorization: Bearer <key>")
        found = self.node.state.workspace_of(text[len(BEARER) :].strip())
        return found or Failure(Code.WRONG_CREDENTIALS, "unknown workspace key")

    async def models(self, request: Request) -> Response:
        """Return the models that the workspace may use."""
        space = self.authenticate(headers_of(request.scope))
        if isinstance(space, Failure):
            return failure_response(space)
        return JSONResponse(models_body(sorted(space.models)))

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
        headers = headers_of(scope)
        request = request_id()
        space = self.authenticate(headers)
        if isinstance(space, Failure):
            await self.refuse(send, space, request)
            return
        if await self.sent_elsewhere(scope, send, request):
            return
        resume = headers.get(b"last-event-id")
        if resume is not None:
            await self.resume(headers, space, request, receive, send)
            return
        self.node.events.emit(
            Event.REQUEST_RECEIVED, request=request, workspace=space.name
        )
        reader = self.reader(space, headers)
        try:
            body = await reader.read_json(receive)
            if isinstance(body, Failure):
                await self.refuse(send, body, request)
                return
            answer = self.generation(space, headers, request, chat, body)
            if isinstance(answer, Failure):
                await self.refuse(send, answer, request)
                return
            freeing = Freeing(reader=reader, send=send, wanted=answer)
            stream = stream_answer if answer.stream else whole_answer
            await self.counted(stream(self.node, answer, receive, freeing))
        finally:
            reader.release()

    def reader(self, space: Workspace, headers: dict[bytes, bytes]) -> BodyReader:
        """Return a reader that charges a request's body to a workspace."""
        return BodyReader(
            memory=self.node.body_memory,
            workspace=space.name,
            length=body_length(headers),
        )

    def generation(
        self,
        space: Workspace,
        headers: dict[bytes, bytes],
        request: str,
        chat: bool,
        body: dict[str, Any],
    ) -> GenerationRequest | Failure:
        """Return the checked generation request, or what is wrong with it."""
        return read_request(
            request=request,
            chat=chat,
            body=body,
            headers=headers,
            workspace=space,
            state=self.node.state,
            default_deadline_s=self.node.settings.entry.default_deadline_s,
        )

    async def sent_elsewhere(self, scope: Scope, send: Send, request: str) -> bool:
        """Refuse a request, naming other entries, if this host is drained.

        Return whether it was refused.
        """
        failure = self.node.refusal()
        if failure is None:
            return False
        self.node.failed(failure)
        body = error_body(failure, request)
        body["error"].update(entries_body(self.node, scope["scheme"]))
        await send_json(send, body, failure.status, error_headers(failure))
        return True

    async def resume(
        self, headers: dict, space: Workspace, request: str, receive: Any, send: Any
    ) -> None:
        """Resume a stream after the event in the ``Last-Event-ID`` header."""
        deadline = read_deadline(headers, self.node.settings.entry.default_deadline_s)
        if isinstance(deadline, Failure):
            await self.refuse(send, deadline, request)
            return
        event_id = headers[b"last-event-id"].decode("latin-1")
        await self.counted(
            resume_answer(self.node, space.name, event_id, deadline, receive, send)
        )

    async def counted(self, work: Any) -> None:
        """Await the handling of a request and count it as open meanwhile."""
        self.node.open_requests += 1
        try:
            await work
        finally:
            self.node.open_requests -= 1

    async def refuse(self, send: Send, failure: Failure, request: str) -> None:
        """Log and count a refusal and send it to the caller."""
        self.node.failed(failure)
        self.node.events.emit(
            Event.REQUEST_REFUSED, request=request, code=int(failure.code)
        )
        await send_failure(send, failure, request)

    async def service(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request to a plain service."""
        headers = headers_of(scope)
        request = request_id()
        if await self.sent_elsewhere(scope, send, request):
            return
        space = self.authenticate(headers)
        if isinstance(space, Failure):
            await self.refuse(send, space, request)
            return
        reader = self.reader(space, headers)
        try:
            call = await self.read_call(scope, space, reader, receive, request)
            if isinstance(call, Failure):
                await self.refuse(send, call, request)
                return
            await self.counted(self.caller.answer(call, receive, send))
        finally:
            reader.release()

    async def read_call(
        self,
        scope: Scope,
        space: Workspace,
        reader: BodyReader,
        receive: Receive,
        request: str,
    ) -> ServiceCall | Failure:
        """Return the checked request to a plain service, or what is wrong with it."""
        headers = headers_of(scope)
        service = scope["path_params"]["service"]
        path = "/" + scope["path_params"]["path"]
        operation = self.node.state.operation(service, scope["method"], path)
        if operation is None or service not in space.services:
            return Failure(
                Code.UNKNOWN_SERVICE, f"no operation {scope['method']} {service}{path}"
            )
        entry = self.node.settings.entry
        deadline = read_deadline(headers, entry.default_deadline_s)
        if isinstance(deadline, Failure):
            return deadline
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        if len(key) > KEY_LIMIT:
            return Failure(
                Code.BAD_FIELD, f"Idempotency-Key is longer than {KEY_LIMIT} bytes"
            )
        body = await reader.read(receive)
        if isinstance(body, Failure):
            return body
        self.node.events.emit(
            Event.REQUEST_RECEIVED, request=request, workspace=space.name
        )
        query = scope["query_string"].decode("latin-1")
        content_type = headers.get(b"content-type", b"application/json")
        return ServiceCall(
            request=request,
            workspace=space,
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


def route(path: str, handler: Handler, methods: Sequence[str] | None = POST) -> Route:
    """Return a route to an ASGI function; None for ``methods`` means all methods."""
    named = None if methods is None else list(methods)
    return Route(path, Endpoint(handler=handler), methods=named)


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
