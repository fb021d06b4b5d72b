"""Operators' HTTP routes: metrics, events, status, pools and draining."""

from __future__ import annotations

import asyncio
import hmac
import json

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from baobabturn.core.metrics import Metrics, merged
from baobabturn.core.results import Code, Failure
from baobabturn.entry.bodies import parse_json
from baobabturn.entry.node import Node
from baobabturn.entry.responses import error_body
from baobabturn.wire.client import LinkClient
from baobabturn.wire.messages import Drain, Stats, StatsRequest

OTHER_ROLES = ("scheduler", "controller")
EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4"


class Admin:
    """Handles operators' requests; queries scheduler and controller over links."""

    def __init__(self, *, node: Node):
        self.node = node

    def is_operator(self, request: Request) -> bool:
        """Return whether a request carries the operators' key."""
        credentials = request.headers.get("authorization", "")
        expected = f"Bearer {self.node.settings.entry.admin_key}"
        return hmac.compare_digest(credentials.encode(), expected.encode())

    async def fetch_stats(self, port: int, kind: str) -> str:
        """Return statistics of another process of this host, empty if unreachable."""
        program = self.node.program
        client = LinkClient(
            address=program.settings.host.address,
            port=port,
            identity=program.identity,
            inner=program.settings.inner,
            clock=program.clock,
        )
        link = await client.open()
        if isinstance(link, Failure):
            return ""
        program.background.start(link.serve({}), "admin-link")
        reply = await link.call(StatsRequest(kind=kind))
        link.close()
        return reply.text if isinstance(reply, Stats) else ""

    async def fetch_all_stats(self, kind: str) -> list[str]:
        """Return the statistics of entry, scheduler and controller, in this order."""
        ports = self.node.settings.ports
        fetches = [
            self.fetch_stats(port, kind) for port in (ports.scheduler, ports.controller)
        ]
        return [self.node.program.stats(kind), *await asyncio.gather(*fetches)]

    async def metrics(self, request: Request) -> Response:
        """Return the metrics of this host's processes.

        For an unreachable process that is the metric ``up`` with the value 0.
        """
        if not self.is_operator(request):
            return not_allowed_response()
        texts = await self.fetch_all_stats("metrics")
        for role, text in zip(OTHER_ROLES, texts[1:], strict=True):
            if not text:
                unreachable = Metrics(role=role)
                unreachable.gauge("up", lambda: 0)
                texts.append(unreachable.exposition())
        return Response(merged(texts), media_type=EXPOSITION_CONTENT_TYPE)

    async def events(self, request: Request) -> Response:
        """Return the newest event log lines of this host's processes."""
        if not self.is_operator(request):
            return not_allowed_response()
        return PlainTextResponse("".join(await self.fetch_all_stats("events")))

    async def status(self, request: Request) -> Response:
        """Return this host's state, and the members with their revisions."""
        if not self.is_operator(request):
            return not_allowed_response()
        members = [
            {
                "host": member.name,
                "failure_domain": member.failure_domain,
                "region": member.region,
                "state": member.state,
                "revision": member.revision,
                "address": f"{member.address}:{member.entry_port}",
            }
            for member in sorted(self.node.members, key=lambda member: member.name)
        ]
        domains = [
            {
                "failure_domain": digest.failure_domain,
                "hosts": digest.hosts,
                "revision": digest.revision,
                "behind": digest.behind,
            }
            for digest in self.node.view.domains
        ]
        return JSONResponse(
            {
                "host": self.node.program.identity.node,
                "revision": self.node.state.revision,
                "open_requests": self.node.open_requests,
                "members": members,
                "failure_domains": domains,
                **self.node.contact_status,
            }
        )

    async def pools(self, request: Request) -> Response:
        """Return the pools that this host's scheduler owns, with their endpoints."""
        if not self.is_operator(request):
            return not_allowed_response()
        text = await self.fetch_stats(self.node.settings.ports.scheduler, "state")
        return JSONResponse(json.loads(text or "[]"))

    async def drain(self, request: Request) -> Response:
        """Start draining this host, or end it if the body has ``"on": false``."""
        if not self.is_operator(request):
            return not_allowed_response()
        body = parse_json(await request.body() or b"{}", self.node.settings.entry)
        if isinstance(body, Failure):
            return JSONResponse(error_body(body), body.status)
        host = self.node.program.identity.node
        message = Drain(node=host, on=bool(body.get("on", True)))
        reply = await self.node.controller.call(message)
        if isinstance(reply, Failure):
            return JSONResponse({"drained": False, "reason": str(reply)}, 503)
        return JSONResponse({"host": host, "draining": message.on})


def not_allowed_response() -> Response:
    """Return the response to a request without the operators' key."""
    failure = Failure(Code.NOT_ALLOWED, "send Authorization: Bearer <operators' key>")
    return JSONResponse(error_body(failure), failure.status)


def admin_routes(node: Node) -> list[Route]:
    """Return the operators' routes."""
    admin = Admin(node=node)
    return [
        Route("/metrics", admin.metrics),
        Route("/admin/events", admin.events),
        Route("/admin/status", admin.status),
        Route("/admin/pools", admin.pools),
        Route("/admin/drain", admin.drain, methods=["POST"]),
    ]
