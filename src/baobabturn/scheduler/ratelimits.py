"""Limits on the rate of requests to endpoints, shared by all who send.

A limit has two sources, what the endpoint names in its answers and its warm-up after
it has started; the smaller one holds.  It is for all hosts together.  Each host keeps a
schedule for each limited endpoint, on which it books its own requests and those that
the others tell it of: the times at which requests are due one after another.  A request
whose turn hasn't come goes to another endpoint, waits for it, or is refused with the
time until then.
Groups of hosts that don't hear of one another's requests each have a share of a limit.

Example::

    limits = RateLimits()
    limits.set_limit("engine-1", 2.0, stamp=1)
    limits.book("engine-1")
    limits.book("engine-1")
    limits.delay_s("engine-1")  # 0.5: two went ahead, the next has to wait
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Iterable

import attrs

# So many requests may be sent at once after a pause, by all hosts together; where the
# limit is divided between groups of hosts, one by each group.
BURST_REQUESTS, DIVIDED_BURST_REQUESTS = 2, 1
# An endpoint that takes nothing still gets a request now and then, whose answer shows
# when that ends.
MIN_RATE_PER_S = 0.1
# The stamp of a schedule of which no answer has named a limit.
NEVER_ANSWERED = 0
# A share that falls to less than this part of itself has been used by hosts that didn't
# know of others; these then begin at different times.
SPREAD_RATIO = 0.5
# Where a limit is divided, the hosts of a group spread a turn over this part of the
# time between two turns: requests that several of them send at once make no other
# group wait.
DIVIDED_TURN_RATIO = 0.2
# So much of the time between two turns that was lost by the spread is made up for:
# otherwise less than four fifths of a limit were used where few hosts wait for a turn.
MAX_CREDIT_RATIO = 0.5
# Endpoints of which others send requests before this host knows of a limit.
MAX_EARLY_DEBTS = 256


@attrs.define(kw_only=True, eq=False)
class Schedule:
    """The schedule of one endpoint; ``stamp`` orders what its answers said.

    ``per_s`` is None if the newest answer named no limit, ``cold_per_s`` while the
    endpoint isn't warming up, which it does until ``cold_until``.  ``next_at`` is the
    monotonic time at which the next request is due, ``known_since`` that from which on
    there has been a limit.  ``share`` is the part of it that may be used here, and
    ``position`` the part of the spread for which this host waits beyond its turn.
    """

    per_s: float | None
    stamp: int
    next_at: float
    known_since: float
    share: float = 1.0
    cold_per_s: float | None = None
    cold_until: float = -math.inf
    position: float = attrs.Factory(random.random)

    @property
    def allowed_per_s(self) -> float | None:
        """Return the smaller one of both limits, None without any."""
        if self.cold_per_s is None:
            return self.per_s
        if self.per_s is None:
            return self.cold_per_s
        return min(self.per_s, self.cold_per_s)


class RateLimits:
    """The schedules of the endpoints that have a limit.

    ``share`` returns the part of an endpoint's limit that this host and those that tell
    it of their requests may use, given the monotonic time since when it has had one.
    The hosts that wait for the same turn take it at different times within
    ``spread_s``, so that most hear of the request that is sent first.  ``group`` names
    the hosts that share a part of the limits; each group begins at another time.
    ``on_warm`` is called with each endpoint whose warm-up has ended, and its limit
    until then.  ``early_debts`` holds until when the requests of others fill the
    schedules of endpoints that have no limit here yet.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        share: Callable[[str, float], float] = lambda endpoint, known_since: 1.0,
        group: str = "",
    ):
        self.clock = clock
        self.share = share
        self.group = group
        self.spread_s = 0.0
        self.early_debts: dict[str, float] = {}
        self.on_warm: Callable[[str, float], None] = lambda endpoint, per_s: None
        self.schedules: dict[str, Schedule] = {}

    def set_limit(self, endpoint: str, per_s: float | None, *, stamp: int) -> bool:
        """Set the limit that an answer named; return whether that changes it.

        ``stamp`` is the hybrid clock's time of the answer; an older one is ignored.
        A first answer that names no limit isn't kept: it says nothing new.
        """
        known = self.schedules.get(endpoint)
        if per_s is None and (known is None or known.stamp == NEVER_ANSWERED):
            return False
        schedule = self.schedule_of(endpoint)
        if stamp <= schedule.stamp:
            return False
        schedule.stamp = stamp
        if schedule.per_s == per_s:
            return False
        before = schedule.allowed_per_s
        schedule.per_s = per_s
        self.rescale(endpoint, schedule, before)
        return True

    def set_warm_up(self, endpoint: str, per_s: float, until: float) -> None:
        """Set the limit of an endpoint that warms up until a monotonic time."""
        schedule = self.schedule_of(endpoint)
        before = schedule.allowed_per_s
        schedule.cold_per_s, schedule.cold_until = per_s, until
        self.rescale(endpoint, schedule, before)

    def end_warm_up(self, endpoint: str) -> None:
        """End the warm-up of an endpoint; a limit that it names still holds."""
        schedule = self.schedules.get(endpoint)
        if schedule is None or schedule.cold_per_s is None:
            return
        before, cold_per_s = schedule.allowed_per_s, schedule.cold_per_s
        schedule.cold_per_s = None
        self.rescale(endpoint, schedule, before)
        if schedule.stamp == NEVER_ANSWERED:
            del self.schedules[endpoint]
        self.on_warm(endpoint, cold_per_s)

    def schedule_of(self, endpoint: str) -> Schedule:
        """Return the schedule of an endpoint, a new one without a limit if need be."""
        schedule = self.schedules.get(endpoint)
        if schedule is None:
            now = self.clock()
            schedule = self.schedules[endpoint] = Schedule(
                per_s=None, stamp=NEVER_ANSWERED, next_at=now, known_since=now
            )
        return schedule

    def rescale(self, endpoint: str, schedule: Schedule, before: float | None) -> None:
        """Let the booked requests fit a limit that was another one before.

        Where there was none, the share is found anew, as no demand was counted.
        """
        now, per_s = self.clock(), schedule.allowed_per_s
        if per_s == before:
            return
        if per_s is None:
            schedule.next_at = now
        elif before is None:
            schedule.known_since = now
            schedule.next_at = max(now, self.early_debts.pop(endpoint, now))
            schedule.share = 1.0
            self.set_share(endpoint, schedule, self.share(endpoint, now))
        else:
            ratio = max(before, MIN_RATE_PER_S) / max(per_s, MIN_RATE_PER_S)
            schedule.next_at = now + max(0.0, schedule.next_at - now) * ratio

    def update_shares(self) -> None:
        """Set the shares of all limits to what they are now."""
        for endpoint, schedule in self.schedules.items():
            share = self.share(endpoint, schedule.known_since)
            self.set_share(endpoint, schedule, share)

    def set_share(self, endpoint: str, schedule: Schedule, share: float) -> None:
        """Set the share of a limit; as many requests as before are booked ahead."""
        if share == schedule.share:
            return
        if schedule.allowed_per_s is None:
            schedule.share = share
            return
        now = self.clock()
        booked = max(0.0, schedule.next_at - now) / self.interval_s(schedule)
        if share < SPREAD_RATIO * schedule.share:
            booked = max(booked, random.Random(f"{self.group}/{endpoint}").random())
        schedule.share = share
        schedule.next_at = now + booked * self.interval_s(schedule)

    def forget(self, endpoint: str) -> None:
        """Forget the limit of an endpoint that is gone."""
        self.schedules.pop(endpoint, None)

    def limited(self, endpoint: str) -> Schedule | None:
        """Return the schedule of an endpoint, None if it has no limit now."""
        schedule = self.schedules.get(endpoint)
        if schedule is None:
            return None
        if schedule.cold_per_s is not None and schedule.cold_until <= self.clock():
            self.end_warm_up(endpoint)
        return schedule if schedule.allowed_per_s is not None else None

    def is_warming_up(self, endpoint: str) -> bool:
        """Return whether an endpoint warms up now."""
        schedule = self.limited(endpoint)
        return schedule is not None and schedule.cold_per_s is not None

    def interval_s(self, schedule: Schedule) -> float:
        """Return the time between two requests that keep to a limit."""
        assert schedule.allowed_per_s is not None
        return 1 / (max(schedule.allowed_per_s, MIN_RATE_PER_S) * schedule.share)

    def delay_s(self, endpoint: str) -> float:
        """Return how long a request to an endpoint would have to wait, 0 for none."""
        schedule = self.limited(endpoint)
        if schedule is None:
            return 0.0
        burst = BURST_REQUESTS if schedule.share >= 1 else DIVIDED_BURST_REQUESTS
        turn_at = schedule.next_at - (burst - 1) * self.interval_s(schedule)
        turn_at += schedule.position * self.turn_spread_s(schedule)
        delay_s = max(0.0, turn_at - self.clock())
        return min(delay_s, self.limit_left_s(schedule))

    def turn_spread_s(self, schedule: Schedule) -> float:
        """Return the time over which the hosts that wait for a turn spread."""
        if schedule.share >= 1:
            return self.spread_s
        return max(self.spread_s, DIVIDED_TURN_RATIO * self.interval_s(schedule))

    def limit_left_s(self, schedule: Schedule) -> float:
        """Return for how long a limit holds, infinity for one that is named."""
        if schedule.per_s is not None:
            return math.inf
        return max(0.0, schedule.cold_until - self.clock())

    def shortest_delay_s(self, endpoints: Iterable[str]) -> float:
        """Return the shortest of some endpoints' delays, 0 without endpoints."""
        return min((self.delay_s(each) for each in endpoints), default=0.0)

    def queue_delay_s(self, endpoints: list[str], waiting: int) -> float:
        """Return how long a request waits behind others, 0 if any has no limit."""
        schedules = [self.limited(each) for each in endpoints]
        limited = [each for each in schedules if each is not None]
        if not endpoints or len(limited) < len(endpoints):
            return 0.0
        per_s = sum(1 / self.interval_s(each) for each in limited)
        delay_s = self.shortest_delay_s(endpoints) + waiting / per_s
        return min(delay_s, *(self.limit_left_s(each) for each in limited))

    def book(self, endpoint: str) -> bool:
        """Book a request to an endpoint; return whether it has a limit."""
        schedule = self.limited(endpoint)
        if schedule is None:
            return False
        interval_s = self.interval_s(schedule)
        credit_s = min(self.turn_spread_s(schedule), MAX_CREDIT_RATIO * interval_s)
        start_at = max(schedule.next_at, self.clock() - credit_s)
        schedule.next_at = start_at + interval_s
        schedule.position = random.random()
        return True

    def debt_s(self, endpoint: str) -> float:
        """Return for how long the booked requests of an endpoint fill its schedule."""
        schedule = self.limited(endpoint)
        return max(0.0, schedule.next_at - self.clock()) if schedule else 0.0

    def add_debt(self, endpoint: str, debt_s: float) -> None:
        """Let the schedule of an endpoint be full for some seconds at least.

        Without a limit here it will be so as soon as there is one.
        """
        until = self.clock() + debt_s
        schedule = self.limited(endpoint)
        if schedule is not None:
            schedule.next_at = max(schedule.next_at, until)
        elif debt_s:
            self.add_early_debt(endpoint, until)

    def add_early_debt(self, endpoint: str, until: float) -> None:
        """Keep until when others' requests fill the schedule of an endpoint."""
        if len(self.early_debts) >= MAX_EARLY_DEBTS:
            now = self.clock()
            due = {name: at for name, at in self.early_debts.items() if at > now}
            self.early_debts = due if len(due) < MAX_EARLY_DEBTS else {}
        self.early_debts[endpoint] = max(until, self.early_debts.get(endpoint, until))
