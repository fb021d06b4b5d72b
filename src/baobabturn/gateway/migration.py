"""Migrates running generations away from engines that are leaving.

A KV cache is pre-copied while the generation runs.  The final copy stops the
generation and transfers only what is new, so the caller sees a pause only for
the final copy.
"""

from __future__ import annotations

import asyncio
import time

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.migrationplan import CopySchedule
from baobabturn.gateway.migrationtargets import MigrationTargets
from baobabturn.gateway.platforminterface import (
    CacheCopier,
    CacheCopy,
    Conditions,
    Continuation,
)
from baobabturn.gateway.pools import EnginePools, HeldReservation
from baobabturn.gateway.relayedstream import ContinuationFuture, RelayedStream
from baobabturn.gateway.streaming import Streams
from baobabturn.wire.words import ABANDONED, FAILED

MS_PER_S = 1000
COPY_TIMEOUT_S = 2.5
# Longest time after the termination notice in which a migration is still tried.
MIGRATION_WINDOW_S = 2.2
RETRY_DELAY_S = 0.08
# How often a migration checks whether its scheduled start has come.
SCHEDULE_CHECK_INTERVAL_S = 0.01
# A pre-copy that takes less than this shows that the link is free.
SHORT_COPY_S = 0.06
# The final copy starts this long after the notice even if the link is busy.
MAX_FINAL_COPY_DELAY_S = 1.25


class Migrator:
    """Migrates this gateway's generations away from engines that start to leave."""

    def __init__(
        self,
        *,
        program: Program,
        endpoints: Endpoints,
        pools: EnginePools,
        streams: Streams,
        cache_copier: CacheCopier,
        conditions: Conditions,
    ):
        self.program = program
        self.endpoints = endpoints
        self.pools = pools
        self.targets = MigrationTargets(pools=pools)
        self.streams = streams
        self.cache_copier = cache_copier
        self.conditions = conditions
        endpoints.leaving_listeners.append(self.migrate_all)

    def migrate_all(self, endpoint: Endpoint) -> None:
        """Start to migrate the generations of an endpoint that is leaving.

        A generation that the plan leaves out isn't migrated: it is expected to end
        in time.  What still runs at an engine that has been replaced has begun at the
        next incarnation, whose software may be another.
        """
        if endpoint.replaced:
            return
        service = endpoint.record.service
        traits = self.pools.traits.get(service)
        if traits is None or not traits.supports_migration:
            return
        plan = self.targets.plan(service, endpoint.name)
        for stream in self.streams.active_at(endpoint):
            reservation = stream.reservation
            schedule = (
                plan.get(reservation.holding.reservation)
                if reservation is not None
                else None
            )
            if schedule is None:
                self.program.events.emit(
                    Event.MOVE_PASSED,
                    request=stream.request.request_id,
                    endpoint=endpoint.name,
                )
                continue
            self.program.background.start(
                self.migrate_with_retries(stream, endpoint, schedule),
                f"migrate-{stream.request.request_id}",
            )

    async def migrate_with_retries(
        self, stream: RelayedStream, source: Endpoint, schedule: CopySchedule
    ) -> None:
        """Migrate one generation, trying engines while the source may still run.

        One in prefill is migrated once it has had its first token.  A source that
        doesn't know the generation yet is asked again, and the target is not excluded.
        """
        noticed_at = time.monotonic()
        tried_endpoints: set[str] = set()
        pool, name = source.record.service, source.name
        while not schedule.may_start(
            self.targets.reservations_at(pool, name), time.monotonic() - noticed_at
        ):
            await asyncio.sleep(SCHEDULE_CHECK_INTERVAL_S)
        while time.monotonic() - noticed_at < MIGRATION_WINDOW_S:
            if (
                stream.ended
                or stream.endpoint is not source
                or stream.reservation is None
            ):
                return
            if not stream.reservation.holding.produced:
                await asyncio.sleep(SCHEDULE_CHECK_INTERVAL_S)
                continue
            target = self.targets.reserve(
                stream.request, stream.reservation, tried_endpoints
            )
            if target is None:
                tried_endpoints.clear()
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            failure = await self.migrate(
                stream, source, target, noticed_at + MAX_FINAL_COPY_DELAY_S
            )
            if failure is None:
                return
            self.pools.release(target, FAILED)
            if failure.code is not Code.GENERATION_GONE:
                tried_endpoints.add(target.endpoint)
            pause_s = self.conditions.pause_s(source.record.address)
            await asyncio.sleep(max(RETRY_DELAY_S, pause_s))

    async def migrate(
        self,
        stream: RelayedStream,
        source: Endpoint,
        target: HeldReservation,
        final_copy_at: float,
    ) -> Failure | None:
        """Migrate a generation to a reservation; return why that failed.

        Return None if it succeeded, or if the generation ended or left the source
        before.
        """
        reservation = stream.reservation
        assert reservation is not None
        started_at = time.monotonic()
        self.program.events.emit(
            Event.MOVE_STARTED,
            request=stream.request.request_id,
            endpoint=source.name,
            target=target.endpoint,
            tokens=reservation.holding.prompt_tokens + reservation.holding.produced,
        )
        pre_copy = await self.copy_cache(stream, source, target, final=False)
        if isinstance(pre_copy, Failure):
            return self.log_failure(stream, source, target, pre_copy)
        self.program.events.emit(
            Event.MOVE_COPIED,
            request=stream.request.request_id,
            endpoint=source.name,
            target=target.endpoint,
            took_ms=int((time.monotonic() - started_at) * MS_PER_S),
        )
        await self.repeat_pre_copy(stream, source, target, final_copy_at)
        if stream.ended or stream.endpoint is not source:
            await self.cache_copier.discard(
                source.record.address, pre_copy.cache_handle
            )
            self.pools.release(target, FAILED)
            return None
        continuation_future: ContinuationFuture = (
            asyncio.get_running_loop().create_future()
        )
        stream.continuation_future = continuation_future
        was_asked, stream.stop_asked = stream.stop_asked, True
        final_copy = await self.copy_cache(stream, source, target, final=True)
        if continuation_future.done():
            # The caller disconnected meanwhile, so nothing continues from the copy.
            if isinstance(final_copy, CacheCopy):
                await self.cache_copier.discard(
                    source.record.address, final_copy.cache_handle
                )
            self.pools.release(target, ABANDONED)
            return None
        if isinstance(final_copy, Failure):
            if final_copy.code is Code.GENERATION_GONE:
                # The generation had ended before, unless an earlier call stopped it.
                stream.stop_asked = was_asked
            continuation_future.set_result(None)
            return self.log_failure(stream, source, target, final_copy)
        continuation_future.set_result(
            (
                target,
                Continuation(last_event_id="", cache_handle=final_copy.cache_handle),
            )
        )
        return None

    async def repeat_pre_copy(
        self,
        stream: RelayedStream,
        source: Endpoint,
        target: HeldReservation,
        final_copy_at: float,
    ) -> None:
        """Repeat the pre-copy until one is quick, so that the final copy is short.

        A copy queues behind those of other generations; in the final copy the stopped
        generation would wait in that queue too.
        """
        while time.monotonic() < final_copy_at and not stream.ended:
            started_at = time.monotonic()
            pre_copy = await self.copy_cache(stream, source, target, final=False)
            if (
                isinstance(pre_copy, Failure)
                or time.monotonic() - started_at < SHORT_COPY_S
            ):
                return

    async def copy_cache(
        self,
        stream: RelayedStream,
        source: Endpoint,
        target: HeldReservation,
        *,
        final: bool,
    ) -> CacheCopy | Failure:
        """Copy a generation's KV cache to the engine of a reservation."""
        endpoint = self.endpoints.by_name.get(target.endpoint)
        if endpoint is None:
            return Failure(Code.NO_ENDPOINT, f"{target.endpoint} is unknown")
        if self.endpoints.is_closed(endpoint):
            return Failure(Code.NO_ENDPOINT, f"{target.endpoint} is evacuated")
        return await self.cache_copier.copy(
            source.record.address,
            stream.request.request_id,
            endpoint.record.address,
            final=final,
            timeout_s=COPY_TIMEOUT_S,
        )

    def log_failure(
        self,
        stream: RelayedStream,
        source: Endpoint,
        target: HeldReservation,
        failure: Failure,
    ) -> Failure:
        """Log a migration that failed, and return the failure."""
        self.program.events.emit(
            Event.MOVE_FAILED,
            request=stream.request.request_id,
            endpoint=source.name,
            target=target.endpoint,
            reason=str(failure),
        )
        return failure
