"""The record of one run: what was sent, answered and run, and when."""

from __future__ import annotations

import os
import pathlib
import time


class Record:
    """Lines with the seconds since the start, written to ``record.txt`` at the end."""

    def __init__(self, *, folder: pathlib.Path):
        self.path = folder / "record.txt"
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> float:
        """Add a line; return its time."""
        now = self.now()
        self.lines.append(f"{now:8.3f} {text}")
        return now

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join([*self.lines, ""]))


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
