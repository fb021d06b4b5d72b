"""Background tasks that are held, named, and logged when they fail."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any

log = logging.getLogger("baobabturn.tasks")


class Background:
    """A set of tasks that end together."""

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def start(self, work: Awaitable[Any], name: str) -> asyncio.Task:
        """Start a coroutine as a task and return the task."""
        task: asyncio.Task = asyncio.ensure_future(work)
        task.set_name(name)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task) -> None:
        """Forget a task that ended and log the error if it had one."""
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
