"""Gives orders to engines, under a lease for each group of engines.

The host that a shard's rendezvous hash names tries to hold the shard's lease;
a holder that is no longer named gives it back.  Each pass reads the engines'
actual state and sends the orders that lead to what is declared.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs
import xxhash

from baobabturn.config.declared import Endpoint
from baobabturn.config.state import ConfigState
from baobabturn.controller.rollout import (
    group_of,
    is_disrupted,
    may_disrupt,
    next_order,
    wanted_state,
)
from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.engine import Engine, EngineState, Order
from baobabturn.membership.owners import owner
from baobabturn.store.interface import ANY_VERSION, ObjectStore
from baobabturn.store.leases import Lease, LeaseTimes
from baobabturn.store.objects import STATUS_KIND
from baobabturn.wire.messages import Member

RENEW_SHARE = 3
S_PER_MIN = 60.0
FAILURE_LIMIT = 2


@attrs.define(kw_only=True)
class Rollback:
    """A version that failed to load, and the one to go back to."""

    version: str
    previous: str


class Shard:
    """One lease with what its holder remembers between passes."""

    def __init__(self, *, number: int, lease: Lease):
        self.number = number
        self.lease = lease
        self.not_before = 0.0
        self.next_pass = 0.0
        self.revision = 0
        self.loads = 1.0
        self.loads_at = time.monotonic()
        self.failures: dict[tuple[str, str], int] = {}
        self.previous: dict[str, str] = {}
        self.rollbacks: dict[str, Rollback] = {}
        self.status: dict = {}
        self.status_at = 0.0

    def took_over(self, wait_s: float) -> None:
        """Begin a new term; orders of the last holder may still be on the way."""
        self.not_before = time.monotonic() + wait_s
        self.next_pass = 0.0
        self.failures.clear()
        self.previous.clear()
        self.rollbacks.clear()


def expected(state: EngineState, order: Order) -> EngineState:
    """Return the state an order leads to, for the decisions left in this pass.

    An order counts as carried out even if its answer was lost: the next engine
    must not be disrupted on the strength of a state that may have changed.
    """
    if order.order == "load":
        return attrs.evolve(state, loading=order.model)
    if order.order == "role":
        return attrs.evolve(state, role=order.role)
    return state


class OrderGiver:
    """Holds leases and gives orders for the shards that are this host's."""

    def __init__(
        self,
        *,
        program: Program,
        store: ObjectStore,
        engine: Engine,
        state: ConfigState,
        members: Callable[[], list[Member]],
    ):
        self.program = program
        self.store = store
        self.engine = engine
        self.state = state
        self.members = members
        settings = program.settings.controller
        self.settings = settings
        who = program.identity
        times = LeaseTimes(
            duration_s=settings.lease_duration_s,
            rate_margin=settings.clock_rate_margin,
        )
        self.shards = [
            Shard(
                number=number,
                lease=Lease(
                    store=store,
                    name=f"orders-{number}",
                    holder=f"{who.node}/{who.incarnation}",
                    times=times,
                ),
            )
            for number in range(settings.order_shards)
        ]

    def start(self) -> None:
        """Start a task for each shard."""
        for shard in self.shards:
            self.program.background.start(self.follow(shard), f"orders-{shard.number}")

    async def stop(self) -> None:
        """Give all leases back."""
        for shard in self.shards:
            if shard.lease.held:
                await shard.lease.release()
                self.program.events.emit(Event.LEASE_LOST, lease=shard.lease.name)

    def named(self, shard: Shard) -> bool:
        """Return whether this host is the one to hold a shard's lease."""
        found = owner(f"orders-{shard.number}", "", self.members())
        return found is not None and found.name == self.program.identity.node

    async def follow(self, shard: Shard) -> None:
        """Hold a shard's lease while this host is named for it, and give orders."""
        while True:
            await asyncio.sleep(self.settings.lease_duration_s / RENEW_SHARE)
            if not self.state.revision:
                continue
            if not self.named(shard):
                await shard.lease.release()
                continue
            await self.hold(shard)
            if shard.lease.held:
                await self.give(shard)

    async def hold(self, shard: Shard) -> None:
        """Take or renew a shard's lease."""
        lease = shard.lease
        before, term = lease.held, lease.term
        await lease.acquire_or_renew()
        if lease.held and (not before or lease.term != term):
            shard.took_over(self.settings.order_send_s)
            await self.read_status(shard)
            self.program.events.emit(
                Event.LEASE_TAKEN, lease=lease.name, term=lease.term
            )
        elif before and not lease.held:
            self.program.events.emit(Event.LEASE_LOST, lease=lease.name)

    def engines_of(self, shard: Shard) -> list[Endpoint]:
        """Return the engines whose group belongs to a shard."""
        groups = group_of(self.state.endpoints.values())
        count = len(self.shards)
        return [
            self.state.endpoints[name]
            for name, group in groups.items()
            if xxhash.xxh32_intdigest(group.encode()) % count == shard.number
        ]

    async def give(self, shard: Shard) -> None:
        """Read the engines' state and send the orders that are due."""
        now = time.monotonic()
        if shard.revision != self.state.revision:
            shard.revision, shard.next_pass = self.state.revision, 0.0
        if now < max(shard.not_before, shard.next_pass):
            return
        engines = self.engines_of(shard)
        found = await asyncio.gather(*(self.engine.state(e.url) for e in engines))
        states = {
            engine.name: None if isinstance(state, Failure) else state
            for engine, state in zip(engines, found, strict=True)
        }
        busy = False
        for engine in engines:
            busy = await self.give_one(shard, engine, engines, states) or busy
        interval = self.settings.order_interval_s if busy else self.settings.reread_s
        shard.next_pass = now + interval
        await self.write_status(shard, engines, states)

    async def give_one(
        self,
        shard: Shard,
        engine: Endpoint,
        engines: list[Endpoint],
        states: dict[str, EngineState | None],
    ) -> bool:
        """Send one engine its next order; return whether it isn't there yet."""
        state = states[engine.name]
        if state is None:
            return True
        self.learn_versions(shard, state)
        versions = {
            name: each.previous
            for name, each in shard.rollbacks.items()
            if name in self.state.models
            and self.state.models[name].version == each.version
        }
        wanted = wanted_state(engine, self.state.models, versions)
        permitted = may_disrupt(engine, engines, states)
        order = next_order(wanted, state, permitted, shard.lease.term)
        if order is None:
            return bool(state.loading) or state.models != wanted.models
        if order.order == "load" and not self.take_load(shard):
            return True
        await self.send(shard, engine, order)
        states[engine.name] = expected(state, order)
        return True

    def learn_versions(self, shard: Shard, state: EngineState) -> None:
        """Note versions that serve, to go back to, and loads that failed."""
        for name, version in state.models.items():
            if name in self.state.models:
                declared = self.state.models[name].version
                if version != declared:
                    shard.previous[name] = version
        for name, version in state.failed.items():
            self.note_failure(shard, name, version)

    def note_failure(self, shard: Shard, model: str, version: str) -> None:
        """Count a failed load; roll the model back when there were too many."""
        declared = self.state.models.get(model)
        if declared is None or declared.version != version:
            return
        known = shard.rollbacks.get(model)
        if known is not None and known.version == version:
            return
        key = (model, version)
        shard.failures[key] = shard.failures.get(key, 0) + 1
        previous = shard.previous.get(model)
        if shard.failures[key] >= FAILURE_LIMIT and previous is not None:
            shard.rollbacks[model] = Rollback(version=version, previous=previous)
            self.program.events.emit(
                Event.ROLLED_BACK, model=model, version=version, previous=previous
            )

    def take_load(self, shard: Shard) -> bool:
        """Return whether the weight store's rate permits another load now."""
        rate = self.settings.loads_per_min / len(self.shards)
        now = time.monotonic()
        earned = (now - shard.loads_at) * rate / S_PER_MIN
        shard.loads = min(shard.loads + earned, max(1.0, rate / S_PER_MIN))
        shard.loads_at = now
        if shard.loads < 1:
            return False
        shard.loads -= 1
        return True

    async def send(self, shard: Shard, engine: Endpoint, order: Order) -> None:
        """Send an order if the lease outlasts the time a send may take."""
        lease = shard.lease
        if lease.remaining_s() <= self.settings.order_send_s:
            return
        result = await self.engine.order(
            engine.url, order, timeout_s=self.settings.order_send_s
        )
        refused = isinstance(result, Failure)
        self.program.metrics.count("orders", kind=order.order)
        self.program.events.emit(
            Event.ORDER_REFUSED if refused else Event.ORDER_SENT,
            endpoint=engine.name,
            order=order.order,
            model=order.model,
            version=order.version,
            role=order.role,
            term=order.term,
        )
        if isinstance(result, Failure) and result.code is Code.FENCED:
            lease.mark_not_held()

    async def read_status(self, shard: Shard) -> None:
        """Take over what the last holder wrote about failed versions."""
        found = await self.store.get(STATUS_KIND, shard.lease.name)
        if isinstance(found, Failure):
            return
        for model, each in found.value.get("rollbacks", {}).items():
            shard.rollbacks[model] = Rollback(**each)

    async def write_status(
        self,
        shard: Shard,
        engines: list[Endpoint],
        states: dict[str, EngineState | None],
    ) -> None:
        """Write a shard's status to the platform, seldom and only if it changed."""
        status = {
            "revision": self.state.revision,
            "engines": len(engines),
            "unreachable": sorted(n for n, s in states.items() if s is None),
            "not_serving": sorted(
                n for n, s in states.items() if s is not None and is_disrupted(s)
            ),
            "rollbacks": {
                name: attrs.asdict(each) for name, each in shard.rollbacks.items()
            },
        }
        now = time.monotonic()
        late = now - shard.status_at >= self.settings.status_interval_s
        if status == shard.status or not engines:
            return
        changed = status["rollbacks"] != shard.status.get("rollbacks")
        if not late and not changed:
            return
        written = await self.store.put(
            STATUS_KIND, shard.lease.name, status, ANY_VERSION
        )
        if not isinstance(written, Failure):
            shard.status, shard.status_at = status, now
