"""An HTTP server that does no periodic work."""

from __future__ import annotations

import asyncio

import uvicorn


class EventDrivenServer(uvicorn.Server):
    """An HTTP server without periodic work, stopped by ``end``.

    The library's own loop wakes ten times a second for a date header and a limit on
    requests, which aren't used here.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.ended = asyncio.Event()

    async def main_loop(self) -> None:
        """Wait for ``end``."""
        await self.ended.wait()

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay."""
        for server in self.servers:
            server.close()

    def end(self) -> None:
        """Stop serving, without waiting for open connections."""
        self.should_exit = True
        self.force_exit = True
        self.ended.set()
