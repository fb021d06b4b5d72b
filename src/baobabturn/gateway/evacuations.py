"""Applies the evacuations in the platform's store to this gateway's endpoints.

Which failure domains are closed is decided in ``placement/evacuation.py``.  After a
long pause of this process requests wait until a peer or the store has confirmed the
list again, as an evacuation may have begun meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.mirror import boot_time_s
from baobabturn.gateway.pools import EnginePools
from baobabturn.placement.evacuation import Evacuations
from baobabturn.store.interface import Change

MS_PER_S = 1000
# The watch of the store waits for this part of the time within which gateways must
# comply, so that a watch that gets no answer is repeated in that time.
WATCH_WAIT_RATIO = 0.8
MAX_WATCH_WAIT_S = 4.0
# How often this process notes that it runs.
TICK_INTERVAL_S = 0.2
# After a pause for this part of the time within which gateways must comply, the list
# has to be confirmed before the next request is sent.
LONG_PAUSE_RATIO = 0.4
# A request waits for that confirmation for this long at most: without the store and
# peers, what is known stays in force.
MAX_CONFIRMATION_WAIT_S = 1.0
CONFIRMATION_CHECK_INTERVAL_S = 0.01


class EvacuationWatch:
    """Closes and opens the failure domains of endpoints.

    ``list_received`` says whether the list of evacuations is known, ``era`` returns the
    store's era at the newest list or change.  ``closed_since`` holds the monotonic
    times since when failure domains have been closed here.  ``resumed_at`` is
    the boot time at which a long pause of this process ended, 0 for never;
    ``confirmed_since`` tells whether the list was confirmed after a boot time, and
    ``ask`` has it confirmed.
    """

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        pools: EnginePools,
        evacuate_s: float,
    ):
        self.program = program
        self.endpoints = endpoints
        self.pools = pools
        self.evacuate_s = evacuate_s
        self.evacuations = Evacuations(hold_s=evacuate_s)
        self.list_received = False
        self.closed_since: dict[str, float] = {}
        self.held: set[str] = set()
        self.unknown: set[str] = set()
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.ticked_at = boot_time_s()
        self.resumed_at = 0.0
        self.era: Callable[[], int] = lambda: 0
        self.confirmed_since: Callable[[float], bool] = lambda at: True
        self.ask: Callable[[], None] = lambda: None
        endpoints.change_listeners.append(self.log_unknown)
        program.metrics.gauge(
            "failure_domains_closed", lambda: len(self.closed_known())
        )
        program.metrics.gauge("closed_generations", self.generation_count)

    @property
    def watch_wait_s(self) -> float:
        """Return how long a watch of the evacuations waits."""
        return min(WATCH_WAIT_RATIO * self.evacuate_s, MAX_WATCH_WAIT_S)

    def apply_list(self, changes: tuple[Change, ...]) -> None:
        """Apply the list of all evacuations."""
        names = [change.name for change in changes]
        self.list_received = True
        self.evacuations.apply_list(names, era=self.era(), now=time.monotonic())
        self.refresh()

    def apply_change(self, change: Change) -> None:
        """Apply the change of one evacuation, whose value is None if it was removed."""
        self.evacuations.apply_change(
            change.name, exists=change.value is not None, now=time.monotonic()
        )
        self.refresh()

    def refresh(self) -> None:
        """Close and open failure domains; set a timer for evacuations that are held."""
        now = time.monotonic()
        before, closed = self.endpoints.closed_domains, self.evacuations.closed(now)
        self.closed_since = {
            domain: self.closed_since.get(domain, now) for domain in closed
        }
        if closed != before:
            self.endpoints.set_closed_domains(closed)
        for domain in sorted(closed - before):
            self.log(Event.DOMAIN_CLOSED, domain)
        for domain in sorted(before - closed):
            self.log(Event.DOMAIN_OPENED, domain)
        for domain in sorted(self.evacuations.held.keys() - self.held):
            self.log(Event.DOMAIN_HELD, domain)
        self.held = set(self.evacuations.held)
        self.log_unknown()
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        expiry = self.evacuations.next_expiry()
        if expiry is not None:
            self.expiry_timer = asyncio.get_running_loop().call_later(
                max(0.0, expiry - now), self.refresh
            )

    def log(self, event: Event, domain: str) -> None:
        """Log a decision on a failure domain, and what runs there."""
        self.program.events.emit(
            event,
            failure_domain=domain,
            endpoints=self.endpoints.index.failure_domains[domain],
            generations=self.pools.generation_count({domain}),
        )

    def closed_known(self) -> frozenset[str]:
        """Return the closed failure domains that have endpoints."""
        return (
            self.endpoints.closed_domains & self.endpoints.index.failure_domains.keys()
        )

    def generation_count(self) -> int:
        """Return how many generations run in closed failure domains."""
        return self.pools.generation_count(self.endpoints.closed_domains)

    def log_unknown(self) -> None:
        """Log each evacuation of a name without endpoints, once; it closes nothing."""
        if not (self.endpoints.list_received and self.endpoints.closed_domains):
            self.unknown.clear()
            return
        unknown = self.endpoints.closed_domains - self.closed_known()
        for domain in sorted(unknown - self.unknown):
            self.program.events.emit(Event.DOMAIN_UNKNOWN, failure_domain=domain)
        self.unknown = set(unknown)

    async def run(self) -> None:
        """Note that this process runs, for as long as it does."""
        while True:
            self.check_pause()
            await asyncio.sleep(TICK_INTERVAL_S)

    def check_pause(self) -> None:
        """Have the list confirmed again if this process was paused for long."""
        now = boot_time_s()
        long_pause_s = max(LONG_PAUSE_RATIO * self.evacuate_s, 2 * TICK_INTERVAL_S)
        if now - self.ticked_at > long_pause_s:
            self.resumed_at = now
            self.ask()
        self.ticked_at = now

    async def wait_current(self) -> None:
        """Wait until the list was confirmed after the last long pause, but not long."""
        self.check_pause()
        while self.resumed_at and not self.confirmed_since(self.resumed_at):
            if boot_time_s() - self.resumed_at > MAX_CONFIRMATION_WAIT_S:
                self.program.events.emit(
                    Event.EVACUATIONS_UNCONFIRMED,
                    after_ms=int(MAX_CONFIRMATION_WAIT_S * MS_PER_S),
                )
                break
            await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL_S)
        self.resumed_at = 0.0
