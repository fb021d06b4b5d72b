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
NOISY_LOGGERS = ("uvicorn", "uvicorn.error", "uvicorn.access", "aiohttp", "asyncio")


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, within a token bucket."""

    def __init__(self, *, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.available_lines = BURST_LINES
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_S
        self.available_lines = min(BURST_LINES, self.available_lines + refill)
        self.refilled_at = now
        if self.available_lines < 1 or not self.write_unwritten():
            self.dropped += 1
            return
        self.available_lines -= 1
        text = self.format(record)
        if self.dropped:
            text = f"event=log-dropped lines={self.dropped}\n{text}"
            self.dropped = 0
        self.unwritten = f"{text}\n".encode("utf-8", "replace")
        self.write_unwritten()

    def write_unwritten(self) -> bool:
        """Write the rest of the last line; return whether all of it is written."""
        while self.unwritten:
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the output.
                self.unwritten = b""
                return False
            self.unwritten = self.unwritten[written:]
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
    for logger_name in NOISY_LOGGERS:
        logging.getLogger(logger_name).setLevel("WARNING")
