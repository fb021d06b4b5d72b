"""Runs a fake's HTTP application on a loopback address."""

from __future__ import annotations

from typing import Any

from aiohttp import web

BODY_LIMIT_BYTES = 64 * 1024 * 1024


class Server:
    """An aiohttp application listening on one address."""

    def __init__(self, *, routes: list[web.RouteDef], middlewares: Any = ()):
        self.app = web.Application(
            client_max_size=BODY_LIMIT_BYTES, middlewares=middlewares
        )
        self.app.add_routes(routes)
        self.runner = web.AppRunner(
            self.app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        self.address = ""
        self.port = 0

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the server's URL."""
        if self.runner.server is None:
            await self.runner.setup()
        site = web.TCPSite(self.runner, address, port, reuse_address=True)
        await site.start()
        self.address = address
        self.port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        return self.url

    @property
    def url(self) -> str:
        """Return the server's URL."""
        return f"http://{self.address}:{self.port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self.runner.cleanup()
