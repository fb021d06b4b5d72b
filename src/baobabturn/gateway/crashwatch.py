"""Keeps requests from endpoints that they would crash.

Reports to the ledger of crashes which answers broke off with their endpoint and which
were written, and refuses requests with a quarantined suspect.  Everything that sends a
request to an endpoint asks here right before.
"""

from __future__ import annotations

import asyncio
import time

from baobabturn.core.clock import stamp_ms
from baobabturn.core.events import Event
from baobabturn.core.probe import has_ended
from baobabturn.core.program import Program
from baobabturn.core.results import Failure
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.partnews import PartNewsExchange
from baobabturn.gateway.pathopinions import PathOpinions
from baobabturn.gateway.peer import parse_address
from baobabturn.gateway.quarantinestore import QuarantineStore
from baobabturn.gateway.request import CallerRequest
from baobabturn.quarantine.evidence import request_suspect
from baobabturn.quarantine.ledger import CrashLedger
from baobabturn.quarantine.refusal import quarantine_failure, trial_failure
from baobabturn.quarantine.report import QuarantineReport

# A crash that this request may have caused is known so soon as a rule.
VERDICT_WAIT_S = 0.1
# An answer that was under way for longer when its engine crashed is no suspect, unless
# it had no event yet.
SUSPECT_AGE_S = 1.0
# An answer that has been under way for so long shows that its prompt is sound.
SOUND_AGE_S = 2.0
# How long a request waits for the outcome of another one's trial, as a part of its
# time, and how often it looks.
MAX_TRIAL_WAIT_RATIO = 0.5
TRIAL_CHECK_INTERVAL_S = 0.01
MS_PER_S = 1000


class CrashWatch:
    """Watches for requests that crash endpoints, and refuses them.

    A process that has ended refuses new connections, those of other gateways too.  One
    whose connections were cut on the way takes some.  That tells a crash from a cut.
    """

    def __init__(
        self,
        *,
        program: Program,
        ledger: CrashLedger,
        exchange: PartNewsExchange,
        store: QuarantineStore,
        opinions: PathOpinions,
    ):
        self.program = program
        self.ledger = ledger
        self.exchange = exchange
        self.store = store
        self.opinions = opinions
        self.report = QuarantineReport(program=program, ledger=ledger)
        self.probes: dict[str, asyncio.Task[bool]] = {}

    def refusal(self, request: CallerRequest) -> Failure | None:
        """Return why a request may not be sent to any endpoint, None if it may."""
        remaining_s = self.ledger.remaining_s(suspects(request))
        return quarantine_failure(remaining_s) if remaining_s else None

    async def admit(self, request: CallerRequest) -> Failure | None:
        """Return why a request may not be sent now, None if it may.

        One on trial waits for the outcome of another one's trial, and is then tried
        itself or let through.
        """
        suspect = request_suspect(request.digest)
        end = time.monotonic() + MAX_TRIAL_WAIT_RATIO * request.remaining_s()
        while self.ledger.is_on_trial(suspect) and time.monotonic() < end:
            await asyncio.sleep(TRIAL_CHECK_INTERVAL_S)
        refusal = self.refusal(request)
        if refusal is not None:
            return refusal
        if self.ledger.is_on_trial(suspect):
            return trial_failure()
        if self.ledger.are_suspect([suspect]):
            self.ledger.begin_trial(suspect, request.remaining_s())
            self.exchange.publish([suspect])
        return None

    def may_crash_endpoints(self, request: CallerRequest) -> bool:
        """Return whether a request that failed shouldn't be sent to another engine."""
        return self.ledger.are_suspect(suspects(request))

    async def record_broken(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        *,
        began_at: float,
        event_count: int,
    ) -> None:
        """Record that a response broke off; find out whether its endpoint crashed.

        ``began_at`` is the monotonic time at which the response's head arrived, or at
        which the request was sent if none has.  Wait a little for the outcome of a
        prompt, or of a request with a crash behind it, so that it counts for the next
        attempt.
        """
        began_s = time.monotonic() - began_at
        has_just_begun = not event_count or began_s <= SUSPECT_AGE_S
        # One that is leaving ends by itself.
        is_suspect = has_just_begun and not endpoint.leaving
        broken_ms = stamp_ms(self.program.clock.now())
        check = self.program.background.start(
            self.check(request, endpoint, began_s, is_suspect, broken_ms),
            f"crash-check-{request.request_id}",
        )
        is_prompt = request.generation_size is not None
        if is_prompt or self.ledger.has_crashes(suspects(request)):
            await asyncio.wait({check}, timeout=VERDICT_WAIT_S)

    async def check(
        self,
        request: CallerRequest,
        endpoint: Endpoint,
        began_s: float,
        is_suspect: bool,
        broken_ms: int,
    ) -> None:
        """Record the crash of an endpoint, if it has crashed.

        ``broken_ms`` is the time of the hybrid clock at which the response broke off.
        """
        if not await self.has_ended(endpoint):
            return
        if await self.opinions.reached_elsewhere(endpoint):
            self.program.events.emit(
                Event.CRASH_REFUTED, request=request.request_id, endpoint=endpoint.name
            )
            return
        self.report.log_crash(
            request.request_id,
            endpoint.name,
            began_s=began_s,
            digest=request.digest,
            parts=part_ids(request),
        )
        if is_suspect:
            began_ms = broken_ms - int(began_s * MS_PER_S)
            self.record_crash(request, endpoint, broken_ms, began_ms)

    async def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's process has ended; probe it once at a time."""
        probe = self.probes.get(endpoint.name)
        if probe is None:
            work = has_ended(*parse_address(endpoint.record.address))
            name = f"probe-{endpoint.name}"
            probe = self.probes[endpoint.name] = self.program.background.start(
                work, name
            )
            probe.add_done_callback(lambda _: self.probes.pop(endpoint.name, None))
        return await asyncio.shield(probe)

    def record_crash(
        self, request: CallerRequest, endpoint: Endpoint, broken_ms: int, began_ms: int
    ) -> None:
        """Tell all gateways that a request may have crashed an endpoint."""
        parts = suspects(request)
        changed = self.ledger.record_crash(
            endpoint.name, parts, stamp_ms=broken_ms, began_ms=began_ms
        )
        self.exchange.publish(changed)
        for record in self.ledger.quarantined(parts):
            self.store.save(record)

    def record_answer(self, request: CallerRequest, *, began_at: float) -> None:
        """Record that a request's answer was written, whole or for long enough."""
        changed = self.ledger.record_answer(suspects(request), began_at=began_at)
        self.exchange.publish(changed)
        self.report.log_cleared(changed)
        for part in changed:
            if self.ledger.is_lifted(part):
                self.store.remove(part)


def suspects(request: CallerRequest) -> list[str]:
    """Return what a request has in common with others that may crash endpoints.

    That is its digest, and all parts of its prompt but the last one, which belongs to
    this prompt or its session alone.
    """
    size = request.generation_size
    parts = [part for part, _ in size.prompt_parts] if size is not None else []
    return [request_suspect(request.digest), *(parts[:-1] or parts)]


def part_ids(request: CallerRequest) -> str:
    """Return the ids of a request's prompt parts for a log line."""
    size = request.generation_size
    return ",".join(part for part, _ in size.prompt_parts) if size is not None else ""
