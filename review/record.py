"""The record of a script: what was sent, answered and run, in order of time."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes a line for each event to a file, with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self.started_at
        self.file.write(f"{elapsed_s:8.3f} {text}\n")
        self.file.flush()
