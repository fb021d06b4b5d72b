"""The entry's links to the schedulers, and its reservations in their pools."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from baobabturn.config.declared import DRAIN_ROLE
from baobabturn.config.state import ConfigState, Pool
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.membership.owners import owner
from baobabturn.scheduler.sharing import LearnedStore
from baobabturn.wire.client import LinkClient
from baobabturn.wire.link import Link
from baobabturn.wire.messages import (
    Admit,
    Grant,
    Hedge,
    Holding,
    Holdings,
    Learned,
    Member,
    Progress,
    ProgressItem,
    Release,
)

ANSWER_SLACK_S = 0.5
RECHECK_S = 0.05
MS = 1000
UNREACHED = (
    Code.LINK_LOST,
    Code.SCHEDULER_UNREACHABLE,
    Code.POOL_MOVED,
    Code.UNSUPPORTED,
)


class Schedulers:
    """Keeps a link to each pool's scheduler and re-sends the reservations to new ones.

    ``holdings`` has the pool and the reservation by reservation id; ``changed``
    is set and replaced whenever a link opens or a pool's owner changes.
    """

    def __init__(self, *, program: Program, state: ConfigState):
        self.program = program
        self.state = state
        self.members: list[Member] = []
        self.leaving: set[str] = set()
        self.links: dict[tuple[str, int], LinkClient] = {}
        self.owners: dict[str, tuple[str, int]] = {}
        self.holdings: dict[str, tuple[str, Holding]] = {}
        self.progress: dict[str, ProgressItem] = {}
        self.random = random.Random(program.identity.node)
        self.changed = asyncio.Event()
        self.hedge_calls: dict[str, Callable[[], None]] = {}
        self.kept = LearnedStore()

    def learned(self, link: Link, body: Learned) -> None:
        """Keep a replica of a scheduler's learned state for the pool's next owner."""
        self.kept.keep(body, self.state.pools)

    def hedge(self, link: Link, body: Hedge) -> None:
        """Handle a scheduler's advice to hedge a generation."""
        call = self.hedge_calls.get(body.reservation)
        if call is not None:
            call()

    def update(self, members: list[Member], leaving: set[str]) -> None:
        """Apply a member update: open links to new pool owners and close old ones.

        ``leaving`` names the endpoints that take no new requests.
        """
        self.members = members
        self.leaving = leaving
        before = self.owners
        self.owners = {}
        for pool in self.state.pools.values():
            found = owner(pool.name, pool.region, members)
            if found is not None:
                self.owners[pool.name] = (found.address, found.scheduler_port)
        wanted = set(self.owners.values())
        for place in wanted - set(self.links):
            self.links[place] = self.connect(place)
        for place in set(self.links) - wanted:
            client = self.links.pop(place)
            self.program.background.start(client.stop(), "link-stop")
        moved = [name for name in self.owners if self.owners[name] != before.get(name)]
        for name in moved:
            self.tell_holdings(name)
        if moved:
            self.changed.set()
            self.changed = asyncio.Event()

    def connect(self, place: tuple[str, int]) -> LinkClient:
        """Return a started link client to a scheduler."""
        client = LinkClient(
            address=place[0],
            port=place[1],
            identity=self.program.identity,
            inner=self.program.settings.inner,
            clock=self.program.clock,
            handlers={Hedge: self.hedge, Learned: self.learned},
            opened=lambda link: self.opened(place),
        )
        client.start()
        return client

    def opened(self, place: tuple[str, int]) -> None:
        """Send a scheduler the reservations in its pools; wake waiting admissions."""
        for name, at in self.owners.items():
            if at == place:
                self.tell_holdings(name)
        self.changed.set()
        self.changed = asyncio.Event()

    def tell_holdings(self, pool: str) -> None:
        """Send a pool's scheduler all reservations that this entry has in it.

        An empty list is sent too: a new scheduler waits for each entry's list.
        """
        client = self.link(pool)
        if client is not None:
            items = [held for name, held in self.holdings.values() if name == pool]
            body = self.kept.bodies.get(pool)
            if body is not None:
                client.send(Learned(pool=pool, body=body))
            client.send(Holdings(pool=pool, items=items))

    def link(self, pool: str) -> LinkClient | None:
        """Return the link to a pool's scheduler, None without a known owner."""
        place = self.owners.get(pool)
        return self.links.get(place) if place is not None else None

    def pick_pool(self, pools: list[Pool]) -> Pool | None:
        """Return a random one of the pools, from this region if any is."""
        region = self.program.settings.host.region
        near = [pool for pool in pools if pool.region == region] or pools
        return self.random.choice(near) if near else None

    async def admit(self, body: Admit) -> Grant | Failure:
        """Return a grant in a pool, or the refusal.

        While the pool's scheduler is unreachable or has changed, waits up to
        ``scheduler_wait_s`` for the next one, then grants by own estimate.
        """
        deadline = time.monotonic() + body.deadline_ms / MS
        wait_s = self.program.settings.entry.scheduler_wait_s
        lost_since = 0.0
        while True:
            asked = time.monotonic()
            answer = await self.ask(body)
            if not isinstance(answer, Failure) or answer.code not in UNREACHED:
                return answer
            now = time.monotonic()
            if now - asked > RECHECK_S or not lost_since:
                lost_since = now
            if now >= deadline:
                return Failure(
                    Code.DEADLINE_NOT_RUN,
                    "no scheduler was reached before the deadline",
                )
            if now - lost_since >= wait_s:
                return self.own_estimate(body)
            await self.wait_for_change(deadline)
            body.deadline_ms = self.left_ms(deadline)

    async def ask(self, body: Admit) -> Grant | Failure:
        """Return the reply of the pool's scheduler, or why there is none."""
        client = self.link(body.pool)
        if client is None:
            return Failure(
                Code.SCHEDULER_UNREACHABLE, "the pool has no known scheduler"
            )
        wait_s = body.deadline_ms / MS + ANSWER_SLACK_S
        answer = await client.call(body, wait_s)
        if isinstance(answer, Grant | Failure):
            return answer
        return Failure(
            Code.SCHEDULER_UNREACHABLE, "the scheduler sent an unexpected reply"
        )

    async def wait_for_change(self, end: float) -> None:
        """Wait until a link opens or a pool's owner changes, at most ``RECHECK_S``."""
        left = min(end - time.monotonic(), RECHECK_S)
        try:
            async with asyncio.timeout(max(0.0, left)):
                await self.changed.wait()
        except TimeoutError:
            return

    def own_estimate(self, body: Admit) -> Grant | Failure:
        """Grant the endpoint with the fewest reservations of this entry.

        Used without a scheduler, so reservations of other entries are unknown.
        """
        pool = self.state.pools.get(body.pool)
        barred = {*body.excluded, *self.leaving}
        declared = self.state.endpoints
        barred.update(n for n in declared if declared[n].role == DRAIN_ROLE)
        names = [n for n in pool.endpoints if n not in barred] if pool else []
        if not names:
            return Failure(Code.NO_ENDPOINT, "no endpoint is left to try")
        counts = dict.fromkeys(names, 0)
        for _, held in self.holdings.values():
            if held.endpoint in counts:
                counts[held.endpoint] += 1
        name = min(names, key=lambda each: (counts[each], self.random.random()))
        self.program.metrics.count("own_estimates")
        return Grant(reservation=body.reservation, endpoint=name)

    def hold(self, pool: str, held: Holding) -> None:
        """Record a reservation of this entry."""
        self.holdings[held.reservation] = (pool, held)

    def take_over(self, pool: str, held: Holding) -> None:
        """Record a reservation that another entry had, and send it to the scheduler."""
        self.hold(pool, held)
        client = self.link(pool)
        if client is not None:
            client.send(Holdings(pool=pool, items=[held], added=True))

    def holds(self, held: Holding) -> bool:
        """Return whether a reservation still belongs to the stream that recorded it.

        Another stream of this entry may have resumed the generation since.
        """
        found = self.holdings.get(held.reservation)
        return found is not None and found[1] is held

    def drop(self, reservation: str) -> None:
        """Remove a reservation that another entry has taken over."""
        self.holdings.pop(reservation, None)
        self.progress.pop(reservation, None)

    def note(self, reservation: str, produced: int, gap_us: int, first_us: int) -> None:
        """Record a generation's progress, to be sent with the next batch.

        The first token is reported at once: the engine has finished the prefill,
        so its scheduler may admit the next request.
        """
        entry = self.holdings.get(reservation)
        if entry is None:
            return
        began = not entry[1].produced
        entry[1].produced = produced
        item = ProgressItem(
            reservation=reservation,
            produced=produced,
            gap_us=gap_us,
            first_token_us=first_us,
        )
        if not began:
            self.progress[reservation] = item
            return
        client = self.link(entry[0])
        if client is not None:
            client.send(Progress(items=[item]))

    def send_progress(self) -> None:
        """Send the recorded progress to the schedulers, one message for each pool."""
        batches: dict[str, list[ProgressItem]] = {}
        for name, item in self.progress.items():
            entry = self.holdings.get(name)
            if entry is not None:
                batches.setdefault(entry[0], []).append(item)
        self.progress.clear()
        for pool, items in batches.items():
            client = self.link(pool)
            if client is not None:
                client.send(Progress(items=items))

    def release(
        self, reservation: str, pool: str, outcome: str, first_us: int = 0
    ) -> None:
        """Release a reservation at its scheduler."""
        entry = self.holdings.pop(reservation, None)
        self.hedge_calls.pop(reservation, None)
        self.progress.pop(reservation, None)
        client = self.link(pool)
        if client is not None:
            client.send(
                Release(
                    reservation=reservation,
                    produced=entry[1].produced if entry is not None else 0,
                    outcome=outcome,
                    first_token_us=first_us,
                )
            )

    def left_ms(self, deadline: float) -> int:
        """Return the milliseconds until a monotonic deadline, at least 0."""
        return max(0, int((deadline - time.monotonic()) * MS))
