"""A stand-in for an endpoint of a plain service that counts the requests it ran."""

from __future__ import annotations

import asyncio
import json
import os

import attrs
from aiohttp import web

from fakes.server import Server

DEATH_S = 0.05


@attrs.define
class Faults:
    """Faults of a plain endpoint, set by name over ``POST /control``.

    A request whose tag contains ``crash_on`` ends the process as it begins to run, any
    with ``end_within_answer`` after half of an answer without a length or chunks.
    """

    slow_s: float = 0.0
    refuse: bool = False
    reset_before_run: bool = False
    reset_after_run: bool = False
    hang_after_run: bool = False
    truncate: bool = False
    status: int = 200
    body_bytes: int = 0
    redirect: bool = False
    leaving: bool = False
    crash_on: str = ""
    end_within_answer: bool = False


class FakeService:
    """One endpoint of a plain service."""

    def __init__(self, *, name: str):
        self.name = name
        self.faults = Faults()
        self.ran: dict[str, int] = {}
        self.open = 0
        self.server = Server(
            routes=[
                web.get("/load", self.load),
                web.post("/control", self.control),
                web.get("/counts", self.counts),
                web.route("*", "/{path:.*}", self.call),
            ]
        )

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the URL."""
        return await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop without waiting for open requests."""
        await self.server.stop()

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one request, count it under its tag and answer as the faults say."""
        if self.faults.refuse:
            raise web.HTTPServiceUnavailable(text='{"error":"refused"}')
        body = await request.read()
        if self.faults.reset_before_run:
            return abort(request)
        self.open += 1
        try:
            tag = tag_of(request, body)
            self.ran[tag] = self.ran.get(tag, 0) + 1
            if self.faults.crash_on and self.faults.crash_on in tag:
                os._exit(1)
            if self.faults.slow_s:
                await asyncio.sleep(self.faults.slow_s)
            if self.faults.hang_after_run:
                await asyncio.sleep(3600)
            if self.faults.reset_after_run:
                return abort(request)
            if self.faults.redirect:
                raise web.HTTPTemporaryRedirect(str(request.url))
            answer = {"ok": True, "tag": tag, "worker": self.name, "path": request.path}
            if self.faults.body_bytes:
                answer["filling"] = "x" * self.faults.body_bytes
            if self.faults.end_within_answer:
                await end_within_answer(request, json.dumps(answer).encode())
            if self.faults.truncate:
                return await truncated(request, json.dumps(answer).encode())
            return web.json_response(answer, status=self.faults.status)
        finally:
            self.open -= 1

    async def load(self, request: web.Request) -> web.Response:
        """Return the load report."""
        report = {"running": self.open, "leaving": self.faults.leaving, "age_s": 0}
        return web.json_response(report)

    async def control(self, request: web.Request) -> web.Response:
        """Set faults by name; ``die`` ends the process and answers its counts."""
        for name, value in (await request.json()).items():
            if name == "die":
                return self.die()
            setattr(self.faults, name, value)
        return web.json_response(attrs.asdict(self.faults))

    def die(self) -> web.Response:
        """Return the counts and exit; requests until the exit are reset, not run."""
        self.faults.reset_before_run = True
        asyncio.get_running_loop().call_later(DEATH_S, os._exit, 1)
        return web.json_response({"ran": self.ran})

    async def counts(self, request: web.Request) -> web.Response:
        """Return the number of runs by tag and the number of open requests."""
        body = {"name": self.name, "ran": self.ran, "open": self.open}
        return web.json_response(body)


def tag_of(request: web.Request, body: bytes) -> str:
    """Return the tag in a request's body or query, or its method and path."""
    try:
        return str(json.loads(body)["tag"])
    except (ValueError, KeyError, TypeError):
        return request.query.get("tag", f"{request.method} {request.path}")


def abort(request: web.Request) -> web.StreamResponse:
    """Abort the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def truncated(request: web.Request, body: bytes) -> web.StreamResponse:
    """Send half of a body and abort the connection."""
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    return abort(request)


async def end_within_answer(request: web.Request, body: bytes) -> None:
    """Send half of a body that has neither a length nor chunks, and exit."""
    assert request.transport is not None
    request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: len(body) // 2])
    await asyncio.sleep(DEATH_S)
    os._exit(1)
