"""Sends orders to engines, under a lease for each shard of the engine groups.

Engines that share a model are in one group, and each group belongs to a shard.  The
host that owns a shard by rendezvous hashing tries to hold the shard's lease; a
holder that is no longer the owner releases it.  Each pass reads the engines' actual
state and sends the orders that bring it closer to the declared state.
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
    engine_groups,
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
from baobabturn.store.interface import ObjectStore
from baobabturn.store.leases import Lease, LeaseTimes
from baobabturn.store.objects import STATUS_KIND
from baobabturn.store.version import ANY_VERSION
from baobabturn.wire.messages import Member

RENEWALS_PER_LEASE = 3  # attempts to renew a lease within its duration
S_PER_MIN = 60.0
MAX_LOAD_FAILURES = 2  # of a model version, at which it is rolled back


@attrs.define(kw_only=True)
class Rollback:
    """A model version that failed to load, and the one to return to."""

    version: str
    previous: str


class Shard:
    """A part of the engine groups: its lease, and its holder's state between passes.

    ``load_tokens`` is the token bucket that limits loads.  No orders are sent before
    ``not_before``.  ``revision`` is the configuration's at the last pass.  Times are
    in monotonic seconds.
    """

    def __init__(self, *, number: int, lease: Lease):
        self.number = number
        self.lease = lease
        self.not_before = 0.0
        self.next_pass = 0.0
        self.revision = 0
        self.load_tokens = 1.0
        self.load_tokens_at = time.monotonic()
        self.load_failures: dict[tuple[str, str], int] = {}
        self.previous_versions: dict[str, str] = {}
        self.rollbacks: dict[str, Rollback] = {}
        self.written_status: dict = {}
        self.status_written_at = 0.0

    def start_term(self, wait_s: float) -> None:
        """Start a new lease term, with no orders for ``wait_s``.

        Orders of the last holder may still be in flight during that time.
        """
        self.not_before = time.monotonic() + wait_s
        self.next_pass = 0.0
        self.load_failures.clear()
        self.previous_versions.clear()
        self.rollbacks.clear()


def state_after(state: EngineState, order: Order) -> EngineState:
    """Return the state after an order, for the remaining decisions of this pass.

    An order counts as carried out even if its answer was lost: the decision to
    disrupt the next engine must not rely on a state that may have changed.
    """
    if order.order == "load":
        return attrs.evolve(state, loading=order.model)
    if order.order == "role":
        return attrs.evolve(state, role=order.role)
    return state


class OrderSender:
    """Holds the leases of the shards that this host owns, and sends their orders."""

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
        identity = program.identity
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
                    holder=f"{identity.node}/{identity.incarnation}",
                    times=times,
                ),
            )
            for number in range(settings.order_shards)
        ]

    def start(self) -> None:
        """Start a task for each shard."""
        for shard in self.shards:
            self.program.background.start(
                self.run_shard(shard), f"orders-{shard.number}"
            )

    async def stop(self) -> None:
        """Release all leases."""
        for shard in self.shards:
            if shard.lease.held:
                await shard.lease.release()
                self.program.events.emit(Event.LEASE_LOST, lease=shard.lease.name)

    def owns(self, shard: Shard) -> bool:
        """Return whether this host owns a shard and so should hold its lease."""
        shard_owner = owner(f"orders-{shard.number}", "", self.members())
        return (
            shard_owner is not None and shard_owner.name == self.program.identity.node
        )

    async def run_shard(self, shard: Shard) -> None:
        """Hold a shard's lease and send its orders while this host owns the shard."""
        while True:
            await asyncio.sleep(self.settings.lease_duration_s / RENEWALS_PER_LEASE)
            if not self.state.revision:
                continue
            if not self.owns(shard):
                await shard.lease.release()
                continue
            await self.keep_lease(shard)
            if shard.lease.held:
                await self.run_pass(shard)

    async def keep_lease(self, shard: Shard) -> None:
        """Acquire or renew a shard's lease."""
        lease = shard.lease
        was_held, term = lease.held, lease.term
        await lease.acquire_or_renew()
        if lease.held and (not was_held or lease.term != term):
            shard.start_term(self.settings.order_send_s)
            await self.read_status(shard)
            self.program.events.emit(
                Event.LEASE_TAKEN, lease=lease.name, term=lease.term
            )
        elif was_held and not lease.held:
            self.program.events.emit(Event.LEASE_LOST, lease=lease.name)

    def engines_of(self, shard: Shard) -> list[Endpoint]:
        """Return the engines whose group belongs to a shard."""
        groups = engine_groups(self.state.endpoints.values())
        count = len(self.shards)
        return [
            self.state.endpoints[name]
            for name, group in groups.items()
            if xxhash.xxh32_intdigest(group.encode()) % count == shard.number
        ]

    async def run_pass(self, shard: Shard) -> None:
        """Read the engines' states and send the orders that are due."""
        now = time.monotonic()
        if shard.revision != self.state.revision:
            shard.revision, shard.next_pass = self.state.revision, 0.0
        if now < max(shard.not_before, shard.next_pass):
            return
        engines = self.engines_of(shard)
        results = await asyncio.gather(*(self.engine.state(e.url) for e in engines))
        states = {
            engine.name: None if isinstance(state, Failure) else state
            for engine, state in zip(engines, results, strict=True)
        }
        busy = False
        for engine in engines:
            busy = await self.send_next(shard, engine, engines, states) or busy
        interval_s = self.settings.order_interval_s if busy else self.settings.reread_s
        shard.next_pass = now + interval_s
        await self.write_status(shard, engines, states)

    async def send_next(
        self,
        shard: Shard,
        engine: Endpoint,
        engines: list[Endpoint],
        states: dict[str, EngineState | None],
    ) -> bool:
        """Send one engine its next order.

        Return whether its state is unknown or not yet the declared one.
        """
        state = states[engine.name]
        if state is None:
            return True
        self.record_versions(shard, state)
        versions = {
            name: rollback.previous
            for name, rollback in shard.rollbacks.items()
            if name in self.state.models
            and self.state.models[name].version == rollback.version
        }
        wanted = wanted_state(engine, self.state.models, versions)
        permitted = may_disrupt(engine, engines, states)
        order = next_order(wanted, state, permitted, shard.lease.term)
        if order is None:
            return bool(state.loading) or state.models != wanted.models
        if order.order == "load" and not self.try_start_load(shard):
            return True
        await self.send(shard, engine, order)
        states[engine.name] = state_after(state, order)
        return True

    def record_versions(self, shard: Shard, state: EngineState) -> None:
        """Record served versions other than the declared ones, and failed loads.

        A rollback returns to the version that was recorded last.
        """
        for name, version in state.models.items():
            if name in self.state.models:
                declared = self.state.models[name].version
                if version != declared:
                    shard.previous_versions[name] = version
        for name, version in state.failed.items():
            self.record_failure(shard, name, version)

    def record_failure(self, shard: Shard, model: str, version: str) -> None:
        """Count a failed load; roll the model back after ``MAX_LOAD_FAILURES``."""
        declared = self.state.models.get(model)
        if declared is None or declared.version != version:
            return
        rollback = shard.rollbacks.get(model)
        if rollback is not None and rollback.version == version:
            return
        key = (model, version)
        shard.load_failures[key] = shard.load_failures.get(key, 0) + 1
        previous = shard.previous_versions.get(model)
        if shard.load_failures[key] >= MAX_LOAD_FAILURES and previous is not None:
            shard.rollbacks[model] = Rollback(version=version, previous=previous)
            self.program.events.emit(
                Event.ROLLED_BACK, model=model, version=version, previous=previous
            )

    def try_start_load(self, shard: Shard) -> bool:
        """Return whether ``loads_per_min`` permits a load now, and count it if so.

        The limit protects the weight store, from which engines load models.
        """
        rate_per_min = self.settings.loads_per_min / len(self.shards)
        now = time.monotonic()
        refill = (now - shard.load_tokens_at) * rate_per_min / S_PER_MIN
        shard.load_tokens = min(
            shard.load_tokens + refill, max(1.0, rate_per_min / S_PER_MIN)
        )
        shard.load_tokens_at = now
        if shard.load_tokens < 1:
            return False
        shard.load_tokens -= 1
        return True

    async def send(self, shard: Shard, engine: Endpoint, order: Order) -> None:
        """Send an order if the lease lasts for longer than a send may take."""
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
        """Read the rollbacks that the last holder of the lease decided on."""
        stored = await self.store.get(STATUS_KIND, shard.lease.name)
        if isinstance(stored, Failure):
            return
        for model, fields in stored.value.get("rollbacks", {}).items():
            shard.rollbacks[model] = Rollback(**fields)

    async def write_status(
        self,
        shard: Shard,
        engines: list[Endpoint],
        states: dict[str, EngineState | None],
    ) -> None:
        """Write a shard's status to the platform if it changed.

        Changed rollbacks are written at once, all else every ``status_interval_s``.
        """
        status = {
            "revision": self.state.revision,
            "engines": len(engines),
            "unreachable": sorted(n for n, s in states.items() if s is None),
            "not_serving": sorted(
                n for n, s in states.items() if s is not None and is_disrupted(s)
            ),
            "rollbacks": {
                name: attrs.asdict(rollback)
                for name, rollback in shard.rollbacks.items()
            },
        }
        now = time.monotonic()
        due = now - shard.status_written_at >= self.settings.status_interval_s
        if status == shard.written_status or not engines:
            return
        rollbacks_changed = status["rollbacks"] != shard.written_status.get("rollbacks")
        if not due and not rollbacks_changed:
            return
        written = await self.store.put(
            STATUS_KIND, shard.lease.name, status, ANY_VERSION
        )
        if not isinstance(written, Failure):
            shard.written_status, shard.status_written_at = status, now
