"""Background tasks: named, referenced until they end, and logged if they fail."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from typing import Any

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
