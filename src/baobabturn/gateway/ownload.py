"""Measures which part of its capacity this process has used lately."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from baobabturn.settings.model import Host

PER_THOUSAND = 1000
# Loads are averaged over about this time: long against the delays with which other
# gateways hear of them and callers follow, so that callers don't swing.
AVERAGE_S = 8.0
# A shorter interval says little of the load.
MIN_INTERVAL_S = 0.05


class OwnLoad:
    """The capacity of this host, and the part of it that the process uses.

    ``capacity`` is in thousandths of a core of usual speed, 0 if it isn't known.
    ``ratio`` is the processor time used over that which the host's share of a core
    permits, whatever its speed.
    """

    def __init__(
        self,
        *,
        host: Host,
        clock: Callable[[], float] = time.monotonic,
        used_s: Callable[[], float] = time.process_time,
    ):
        self.cpu_share = host.cpu_share
        self.capacity = round(PER_THOUSAND * host.cpu_share * host.core_speed)
        self.clock = clock
        self.used_s = used_s
        self.ratio = 0.0
        self.measured_at = clock()
        self.measured_used_s = used_s()

    def measure(self) -> None:
        """Add what has been used since the last call to the average."""
        now = self.clock()
        elapsed_s = now - self.measured_at
        if elapsed_s < MIN_INTERVAL_S or not self.cpu_share:
            return
        used_s = self.used_s()
        used = (used_s - self.measured_used_s) / (elapsed_s * self.cpu_share)
        self.measured_at, self.measured_used_s = now, used_s
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        self.ratio += weight * (min(1.0, used) - self.ratio)

    def reported(self) -> int:
        """Return the load to report to others, in thousandths, 0 if it isn't known."""
        if not self.cpu_share:
            return 0
        return min(PER_THOUSAND, max(1, round(PER_THOUSAND * self.ratio)))
