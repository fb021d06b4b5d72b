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
from baobabturn.entry.promptwatch import PromptWatch
from baobabturn.membership.owners import owner
from baobabturn.scheduler.learnedreplicas import LearnedReplicas
from baobabturn.wire.client import LinkClient
from baobabturn.wire.gatewaymessages import PartNews
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

# A scheduler refuses at the deadline itself; its reply may be this much later.
REPLY_SLACK_S = 0.5
MAX_CHANGE_WAIT_S = 0.05
MS_PER_S = 1000
UNREACHED_CODES = (
    Code.LINK_LOST,
    Code.SCHEDULER_UNREACHABLE,
    Code.POOL_MOVED,
    Code.UNSUPPORTED,
)


class Schedulers:
    """Keeps a link to each pool's scheduler and re-sends the reservations to new ones.

    ``reservations`` has the pool and the reservation by reservation id.
    ``links_changed`` is set and replaced when a link opens or a pool's owner
    changes.
    """

    def __init__(self, *, program: Program, state: ConfigState):
        self.program = program
        self.state = state
        self.members: list[Member] = []
        self.leaving_endpoints: set[str] = set()
        self.links: dict[tuple[str, int], LinkClient] = {}
        self.owner_addresses: dict[str, tuple[str, int]] = {}
        self.reservations: dict[str, tuple[str, Holding]] = {}
        self.progress: dict[str, ProgressItem] = {}
        self.random = random.Random(program.identity.node)
        self.links_changed = asyncio.Event()
        self.hedge_callbacks: dict[str, Callable[[], None]] = {}
        self.learned_replicas = LearnedReplicas()
        self.prompt_watch = PromptWatch(
            program=program,
            send=self.send_part_news,
            send_everywhere=self.send_news_everywhere,
        )

    def handle_learned(self, link: Link, body: Learned) -> None:
        """Keep a replica of a scheduler's learned state for the pool's next owner."""
        self.learned_replicas.keep(body, self.state.pools)

    def handle_hedge(self, link: Link, body: Hedge) -> None:
        """Handle a scheduler's advice to hedge a generation."""
        callback = self.hedge_callbacks.get(body.reservation)
        if callback is not None:
            callback()

    def apply_members(self, members: list[Member], leaving_endpoints: set[str]) -> None:
        """Apply a member update: open links to new pool owners and close old ones.

        ``leaving_endpoints`` are the names of endpoints that take no new requests.
        """
        self.members = members
        self.leaving_endpoints = leaving_endpoints
        previous_addresses = self.owner_addresses
        self.owner_addresses = {}
        for pool in self.state.pools.values():
            pool_owner = owner(pool.name, pool.region, members)
            if pool_owner is not None:
                self.owner_addresses[pool.name] = (
                    pool_owner.address,
                    pool_owner.scheduler_port,
                )
        wanted_addresses = set(self.owner_addresses.values())
        for address in wanted_addresses - set(self.links):
            self.links[address] = self.connect(address)
        for address in set(self.links) - wanted_addresses:
            client = self.links.pop(address)
            self.program.background.start(client.stop(), "link-stop")
        moved_pools = [
            name
            for name in self.owner_addresses
            if self.owner_addresses[name] != previous_addresses.get(name)
        ]
        for name in moved_pools:
            self.send_reservations(name)
        if moved_pools:
            self.links_changed.set()
            self.links_changed = asyncio.Event()

    def connect(self, address: tuple[str, int]) -> LinkClient:
        """Return a started link client to a scheduler."""
        client = LinkClient(
            address=address[0],
            port=address[1],
            identity=self.program.identity,
            inner=self.program.settings.inner,
            clock=self.program.clock,
            handlers={
                Hedge: self.handle_hedge,
                Learned: self.handle_learned,
                PartNews: self.prompt_watch.handle_news,
            },
            opened=lambda link: self.handle_link_open(address),
        )
        client.start()
        return client

    def handle_link_open(self, address: tuple[str, int]) -> None:
        """Send a scheduler the reservations in its pools; wake waiting admissions."""
        for name, owner_address in self.owner_addresses.items():
            if owner_address == address:
                self.send_reservations(name)
        self.links[address].send(self.prompt_watch.introduction())
        self.links_changed.set()
        self.links_changed = asyncio.Event()

    def send_part_news(self, pool: str, news: PartNews) -> None:
        """Send news of parts of prompts to a pool's scheduler, or to any other."""
        client = self.link(pool)
        if client is not None and client.send(news):
            return
        for other in self.links.values():
            if other.send(news):
                return

    def send_news_everywhere(self, news: PartNews) -> None:
        """Send news of requests that crash endpoints to all schedulers."""
        for client in self.links.values():
            client.send(news)

    def send_reservations(self, pool: str) -> None:
        """Send a pool's scheduler all reservations that this entry has in it.

        An empty list is sent too: a new scheduler waits for each entry's list.
        """
        client = self.link(pool)
        if client is not None:
            items = [
                reservation
                for name, reservation in self.reservations.values()
                if name == pool
            ]
            body = self.learned_replicas.body_by_pool.get(pool)
            if body is not None:
                client.send(Learned(pool=pool, body=body))
            client.send(Holdings(pool=pool, items=items))

    def link(self, pool: str) -> LinkClient | None:
        """Return the link to a pool's scheduler, None without a known owner."""
        address = self.owner_addresses.get(pool)
        return self.links.get(address) if address is not None else None

    def pick_pool(self, pools: list[Pool]) -> Pool | None:
        """Return a random one of the pools, from this region if any is."""
        region = self.program.settings.host.region
        nearby = [pool for pool in pools if pool.region == region] or pools
        return self.random.choice(nearby) if nearby else None

    async def admit(self, body: Admit) -> Grant | Failure:
        """Return a grant in a pool, or the refusal.

        While the pool's scheduler is unreachable or has changed, waits up to
        ``scheduler_wait_s`` for the next one, then grants by own estimate.  Time
        for which a scheduler had the request doesn't count.
        """
        deadline = time.monotonic() + body.deadline_ms / MS_PER_S
        timeout_s = self.program.settings.entry.scheduler_wait_s
        unreached_since = 0.0
        while True:
            sent_at = time.monotonic()
            reply = await self.send_admit(body)
            if not isinstance(reply, Failure) or reply.code not in UNREACHED_CODES:
                return reply
            now = time.monotonic()
            if now - sent_at > MAX_CHANGE_WAIT_S or not unreached_since:
                unreached_since = now
            if now >= deadline:
                return Failure(
                    Code.DEADLINE_NOT_RUN,
                    "no scheduler was reached before the deadline",
                )
            if now - unreached_since >= timeout_s:
                return self.grant_by_estimate(body)
            await self.wait_for_change(deadline)
            body.deadline_ms = self.remaining_ms(deadline)

    async def send_admit(self, body: Admit) -> Grant | Failure:
        """Return the reply of the pool's scheduler, or why there is none."""
        client = self.link(body.pool)
        if client is None:
            return Failure(
                Code.SCHEDULER_UNREACHABLE, "the pool has no known scheduler"
            )
        timeout_s = body.deadline_ms / MS_PER_S + REPLY_SLACK_S
        reply = await client.call(body, timeout_s)
        if isinstance(reply, Grant | Failure):
            return reply
        return Failure(
            Code.SCHEDULER_UNREACHABLE, "the scheduler sent an unexpected reply"
        )

    async def wait_for_change(self, deadline: float) -> None:
        """Wait for a link to open or a pool's owner to change.

        Return after ``MAX_CHANGE_WAIT_S`` or at the deadline in any case.
        """
        wait_s = min(deadline - time.monotonic(), MAX_CHANGE_WAIT_S)
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                await self.links_changed.wait()
        except TimeoutError:
            return

    def grant_by_estimate(self, body: Admit) -> Grant | Failure:
        """Grant the endpoint with the fewest reservations of this entry.

        Used without a scheduler, so reservations of other entries are unknown.
        """
        pool = self.state.pools.get(body.pool)
        excluded = {*body.excluded, *self.leaving_endpoints}
        endpoints = self.state.endpoints
        excluded.update(
            endpoint for endpoint in endpoints if endpoints[endpoint].role == DRAIN_ROLE
        )
        candidates = (
            [endpoint for endpoint in pool.endpoints if endpoint not in excluded]
            if pool
            else []
        )
        if not candidates:
            return Failure(Code.NO_ENDPOINT, "no endpoint is left to try")
        counts = dict.fromkeys(candidates, 0)
        for _, reservation in self.reservations.values():
            if reservation.endpoint in counts:
                counts[reservation.endpoint] += 1
        name = min(
            candidates, key=lambda endpoint: (counts[endpoint], self.random.random())
        )
        self.program.metrics.count("own_estimates")
        return Grant(reservation=body.reservation, endpoint=name)

    def record_reservation(self, pool: str, reservation: Holding) -> None:
        """Record a reservation of this entry."""
        self.reservations[reservation.reservation] = (pool, reservation)

    def take_over(self, pool: str, reservation: Holding) -> None:
        """Record a reservation that another entry had, and send it to the scheduler."""
        self.record_reservation(pool, reservation)
        client = self.link(pool)
        if client is not None:
            client.send(Holdings(pool=pool, items=[reservation], added=True))

    def owns_reservation(self, reservation: Holding) -> bool:
        """Return whether a reservation still belongs to the stream that recorded it.

        Another stream of this entry may have resumed the generation since.
        """
        recorded = self.reservations.get(reservation.reservation)
        return recorded is not None and recorded[1] is reservation

    def remove_reservation(self, reservation_id: str) -> None:
        """Remove a reservation that another entry has taken over."""
        self.reservations.pop(reservation_id, None)
        self.progress.pop(reservation_id, None)

    def record_progress(
        self, reservation_id: str, produced: int, gap_us: int, first_token_us: int
    ) -> None:
        """Record a generation's progress, to be sent with the next batch.

        The first token is reported at once: the engine has finished the prefill,
        so its scheduler may admit the next request.
        """
        recorded = self.reservations.get(reservation_id)
        if recorded is None:
            return
        is_first_token = not recorded[1].produced
        recorded[1].produced = produced
        item = ProgressItem(
            reservation=reservation_id,
            produced=produced,
            gap_us=gap_us,
            first_token_us=first_token_us,
        )
        if not is_first_token:
            self.progress[reservation_id] = item
            return
        client = self.link(recorded[0])
        if client is not None:
            client.send(Progress(items=[item]))

    def send_progress(self) -> None:
        """Send the recorded progress to the schedulers, one message for each pool."""
        batches: dict[str, list[ProgressItem]] = {}
        for reservation_id, item in self.progress.items():
            recorded = self.reservations.get(reservation_id)
            if recorded is not None:
                batches.setdefault(recorded[0], []).append(item)
        self.progress.clear()
        for pool, items in batches.items():
            client = self.link(pool)
            if client is not None:
                client.send(Progress(items=items))

    def release(
        self, reservation_id: str, pool: str, outcome: str, first_token_us: int = 0
    ) -> None:
        """Release a reservation at its scheduler."""
        recorded = self.reservations.pop(reservation_id, None)
        self.hedge_callbacks.pop(reservation_id, None)
        self.progress.pop(reservation_id, None)
        client = self.link(pool)
        if client is not None:
            client.send(
                Release(
                    reservation=reservation_id,
                    produced=recorded[1].produced if recorded is not None else 0,
                    outcome=outcome,
                    first_token_us=first_token_us,
                )
            )

    def remaining_ms(self, deadline: float) -> int:
        """Return the milliseconds until a monotonic deadline, at least 0."""
        return max(0, int((deadline - time.monotonic()) * MS_PER_S))
