"""Says on standard error what a command waits for, from two seconds on."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

PROGRESS_AFTER_S = 2.0

T = TypeVar("T")


async def with_progress(work: Coroutine[Any, Any, T], text: Callable[[], str]) -> T:
    """Return the result of some work; print the text every two seconds until then.

    Example::

        found = await with_progress(current(store), lambda: "reading the platform")
    """
    task = asyncio.ensure_future(work)
    try:
        while True:
            done, _ = await asyncio.wait({task}, timeout=PROGRESS_AFTER_S)
            if done:
                return task.result()
            print(f"baobabturn: {text()}", file=sys.stderr, flush=True)
    finally:
        task.cancel()
