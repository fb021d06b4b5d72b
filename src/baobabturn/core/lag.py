"""Measures how late the event loop runs due callbacks, and logs long delays."""

from __future__ import annotations

import asyncio
import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program

CHECK_INTERVAL_S = 0.25
# From this delay on, callers notice a pause.
MIN_LOGGED_DELAY_S = 0.05
MS_PER_S = 1000
US_PER_S = 1_000_000


class LagWatch:
    """Sleeps for a fixed time repeatedly and records how much longer it took."""

    def __init__(self, *, program: Program):
        self.program = program

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started_at = time.monotonic()
            cpu_before_s = time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record_delay(
                time.monotonic() - started_at - CHECK_INTERVAL_S,
                time.process_time() - cpu_before_s,
            )

    def record_delay(self, late_s: float, used_s: float) -> None:
        """Record one delay; emit an event if it is long.

        ``used_s`` is the processor time that this process used meanwhile.
        """
        self.program.metrics.record("loop_lag_us", late_s * US_PER_S)
        if late_s >= MIN_LOGGED_DELAY_S:
            self.program.events.emit(
                Event.PROCESS_LATE,
                late_ms=int(late_s * MS_PER_S),
                used_ms=int(used_s * MS_PER_S),
            )
