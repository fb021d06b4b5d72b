"""Writes log lines to standard output, with a rate limit and without blocking.

Lines over the rate limit, and lines that the full output pipe can't take, are
dropped.  A line with the number of dropped lines precedes the next line written.
"""

from __future__ import annotations

import logging
import os
import sys
import time

# The long-term rate, and the burst that may exceed it.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
NOISY = ("uvicorn", "uvicorn.error", "uvicorn.access", "aiohttp", "asyncio")


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, within a token bucket."""

    def __init__(self, *, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.level_lines = BURST_LINES
        self.updated = time.monotonic()
        self.dropped = 0
        self.rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        now = time.monotonic()
        earned = (now - self.updated) * LINES_PER_S
        self.level_lines = min(BURST_LINES, self.level_lines + earned)
        self.updated = now
        if self.level_lines < 1 or not self.write_rest():
            self.dropped += 1
            return
        self.level_lines -= 1
        text = self.format(record)
        if self.dropped:
            text = f"event=log-dropped lines={self.dropped}\n{text}"
            self.dropped = 0
        self.rest = f"{text}\n".encode("utf-8", "replace")
        self.write_rest()

    def write_rest(self) -> bool:
        """Write the rest of the last line; return whether all of it is written."""
        while self.rest:
            try:
                written = os.write(self.descriptor, self.rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the output.
                self.rest = b""
                return False
            self.rest = self.rest[written:]
        return True


def setup_logging(level: str) -> None:
    """Send the messages of all loggers to standard output, without a prefix."""
    descriptor = sys.stdout.fileno()
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor=descriptor)
    handler.setFormatter(logging.Formatter("%(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in NOISY:
        logging.getLogger(noisy).setLevel("WARNING")
