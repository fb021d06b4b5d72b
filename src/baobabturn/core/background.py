"""Background tasks: named, referenced until they end, and logged if they fail."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

MIN_RESTART_DELAY_S = 0.2
MAX_RESTART_DELAY_S = 5.0

log = logging.getLogger("baobabturn.tasks")


class Background:
    """A set of tasks that are cancelled together.

    asyncio itself keeps only weak references to tasks.
    """

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def start(self, work: Awaitable[Any], name: str) -> asyncio.Task:
        """Start a coroutine as a task and return the task."""
        task: asyncio.Task = asyncio.ensure_future(work)
        task.set_name(name)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def supervise(self, work: Callable[[], Awaitable[Any]], name: str) -> None:
        """Run work that has no end; start it again after an error."""
        self.start(self.run_with_restarts(work, name), name)

    async def run_with_restarts(
        self, work: Callable[[], Awaitable[Any]], name: str
    ) -> None:
        """Run work, and run it again after each error, with backoff."""
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = time.monotonic()
            try:
                await work()
                return
            except Exception:
                log.exception("event=task-restarted task=%s", name)
            if time.monotonic() - started_at > MAX_RESTART_DELAY_S:
                delay_s = MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Remove a task that ended and log its error, if any."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("event=task-failed task=%s", task.get_name(), exc_info=error)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
