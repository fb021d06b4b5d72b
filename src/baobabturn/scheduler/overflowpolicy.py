"""The default policy: admits by the chance that an engine's KV memory overflows.

Requests wait in the scheduler, not in the engines.  Urgent requests, those with
short answers or of a higher priority than others, go first and have capacity that
others can't use (``placement/urgentreserve.py``).  Requests that are unlikely
to finish in time go last.  Among equals, the workspace that is furthest behind
its fair share is next.  The endpoint is chosen by the expected use of its KV
memory and by how much prefill its prefix cache saves, both counted for longer at
slower endpoints.  Stragglers get only probes.
"""

from __future__ import annotations

import operator
import random
import time
from collections.abc import Iterable, Iterator

from baobabturn.placement.enginespeed import EngineSpeeds
from baobabturn.placement.urgentreserve import PriorityMix, UrgentReserve
from baobabturn.scheduler.candidates import Candidates, is_constrained, is_small
from baobabturn.scheduler.enginesinuse import EnginesInUse
from baobabturn.scheduler.enginework import (
    awaited_first_tokens,
    memory_tokens_by_name,
    tokens_to_prefill,
    urgent_tokens,
)
from baobabturn.scheduler.fairness import FairShares
from baobabturn.scheduler.flows import Flows, Rank
from baobabturn.scheduler.learned import merge_lengths, pack_lengths
from baobabturn.scheduler.lengths import LengthModel
from baobabturn.scheduler.overflow import growth_terms
from baobabturn.scheduler.refusals import RefusalTracker
from baobabturn.scheduler.state import (
    EndpointState,
    PoolState,
    Reservation,
    WaitingRequest,
)
from baobabturn.scheduler.stragglers import SILENCE_THRESHOLD_S, StragglerDetector
from baobabturn.settings.model import Scheduler
from baobabturn.wire.messages import Admit
from baobabturn.wire.words import FINISHED

# Engines run smaller priorities first; this puts urgent requests before others.
URGENT_ENGINE_PRIORITY = -100_000
# This much declared priority counts as one priority level.
PRIORITY_PER_LEVEL = 10.0
# A request is unlikely to finish in time when its chance has fallen below this
# ratio of its chance at arrival.
UNLIKELY_CHANCE_RATIO = 0.5
CLASSIFY_INTERVAL_S = 0.1
# An endpoint's batch limit is never adapted below this.
MIN_BATCH_SIZE = 4.0
# Requests that aren't urgent may use the prefill limit divided by this.
NORMAL_PREFILL_DIVISOR = 4
# How batch limits change at each classification.
BATCH_SIZE_INCREMENT = 0.5
BATCH_SIZE_DECREASE_RATIO = 0.95
# The hedges that can be advised in one burst.
MAX_HEDGE_BUDGET = 20.0
# Requests are urgent or not.
URGENCY_CLASS_COUNT = 2
# The sort key of candidates: (cost, uncached tokens, endpoint).
CANDIDATE_COST = operator.itemgetter(0)


class OverflowBoundPolicy:
    """Bounds the chance that an engine's KV memory overflows, for one pool.

    ``full_classes`` has the classes (True for urgent, False for others) that
    found no capacity in the current pass over the queue; ``fair_shares`` has the same
    keys.  ``hedge_budget`` is the number of hedges that may be advised now; each
    grant that is not for a hedge adds ``hedge_share`` to it.
    """

    def __init__(self, *, settings: Scheduler, seed: int):
        self.settings = settings
        self.lengths = LengthModel(
            half_life_samples=settings.length_half_life, key_limit=settings.length_keys
        )
        self.stragglers = StragglerDetector(settings=settings)
        self.speeds = EngineSpeeds()
        self.priorities = PriorityMix()
        self.reserve = UrgentReserve(max_ratio=settings.short_share)
        self.refusals = RefusalTracker()
        self.fair_shares = {True: FairShares(), False: FairShares()}
        self.flows = Flows()
        self.full_classes: set[bool] = set()
        self.classified_at = 0.0
        self.hedge_budget = MAX_HEDGE_BUDGET
        self.random = random.Random(seed)
        self.candidates = Candidates(source=self.random)
        self.in_use = EnginesInUse()

    @property
    def saturated(self) -> bool:
        """Return whether the last pass found no capacity for either class."""
        return len(self.full_classes) == URGENCY_CLASS_COUNT

    def on_queued(self, waiting: WaitingRequest, now: float) -> None:
        """Classify a request by the learned answer lengths, and queue it."""
        admit = waiting.admit
        length_distribution = self.lengths.length_distribution(
            admit.workspace, admit.model, admit.kind, admit.estimated_tokens
        )
        waiting.length_distribution = length_distribution
        waiting.short = self.is_short(admit)
        self.priorities.record(admit.priority, now)
        waiting.urgent = self.priorities.is_urgent(admit.priority, waiting.short)
        waiting.growth_terms = growth_terms(
            length_distribution, admit.prompt_tokens, 0, admit.max_tokens
        )
        waiting.initial_finish_chance = self.finish_chance(
            waiting, waiting.deadline - now
        )
        self.flows.add(waiting)
        self.fair_shares[waiting.urgent].add_waiting(admit.workspace)

    def is_short(self, request: Admit | Reservation) -> bool:
        """Return whether an answer probably has at most ``short_tokens`` tokens.

        Probably means with at least the chance ``short_chance``.  Callers' estimates
        don't count, since short requests are urgent, and a caller could gain by a low
        estimate.
        """
        limit = self.settings.short_tokens
        length_distribution = self.lengths.length_distribution(
            request.workspace, request.model, request.kind
        )
        long_chance = (
            length_distribution.survival(0, limit)
            if limit < request.max_tokens
            else 0.0
        )
        return long_chance <= 1 - self.settings.short_chance

    def on_dequeued(self, waiting: WaitingRequest) -> None:
        """Remove a request from its flow."""
        self.flows.remove(waiting)
        self.fair_shares[waiting.urgent].remove_waiting(waiting.admit.workspace)

    def finish_chance(self, waiting: WaitingRequest, left_s: float) -> float:
        """Return the chance that a request that starts now finishes in time.

        ``left_s`` is the time until its deadline in seconds.
        """
        possible_tokens = left_s / self.typical_token_gap_s()
        if possible_tokens < 1:
            return 0.0
        return 1 - waiting.length_distribution.survival(
            0, min(possible_tokens, waiting.admit.max_tokens)
        )

    def typical_token_gap_s(self) -> float:
        """Return the typical token gap in seconds, the goal if none is measured."""
        return self.stragglers.typical_gap_s or self.settings.token_gap_goal_s

    def service_order(self, pool: PoolState, now: float) -> Iterator[WaitingRequest]:
        """Yield waiting requests by rank, skipping classes without capacity."""
        self.full_classes.clear()
        for waiting in self.flows.ranked(lambda candidate: self.rank(candidate, now)):
            if waiting.urgent not in self.full_classes:
                yield waiting

    def rank(self, waiting: WaitingRequest, now: float) -> Rank:
        """Return the sort key of a waiting request; the smallest is served first.

        Requests that are unlikely to finish in time come after all others.  Waiting
        raises the priority level, up to ``top_level``.
        """
        settings = self.settings
        admit = waiting.admit
        waited_s = now - waiting.arrived_at
        level = admit.priority / PRIORITY_PER_LEVEL + waited_s / settings.aging_s
        chance = self.finish_chance(waiting, waiting.deadline - now)
        unlikely = float(chance < UNLIKELY_CHANCE_RATIO * waiting.initial_finish_chance)
        if waiting.urgent or admit.hedges:
            level += settings.short_levels
        level = min(int(level), settings.top_level)
        virtual_time = self.fair_shares[waiting.urgent].virtual_time_of(admit.workspace)
        return unlikely, -level, virtual_time, waiting.arrived_at

    def choose_endpoint(
        self, pool: PoolState, waiting: WaitingRequest, now: float
    ) -> EndpointState | None:
        """Return the cheapest endpoint with capacity for a request, None without one.

        If an urgent request doesn't fit, another one doesn't either.  A request that
        excludes endpoints, or needs a software version or some failure domains,
        doesn't mark its class as full, since others may fit the other endpoints.
        """
        for endpoints in self.candidates.groups(pool, waiting, now):
            ranked = self.ranked(pool, endpoints, waiting, now)
            for index, (_, uncached_tokens, endpoint) in enumerate(ranked):
                if self.has_capacity(endpoint, waiting, uncached_tokens):
                    cheapest = [each for _, _, each in ranked[index:]]
                    self.candidates.record_choice(pool, waiting.admit, cheapest)
                    return endpoint
        if not is_constrained(waiting.admit):
            self.full_classes.add(waiting.urgent)
            if waiting.urgent:
                self.full_classes.add(False)
        return None

    def ranked(
        self,
        pool: PoolState,
        endpoints: Iterable[EndpointState],
        waiting: WaitingRequest,
        now: float,
    ) -> list[tuple[float, int, EndpointState]]:
        """Return those of some endpoints that may get a request, the cheapest first."""
        own_tokens = max((mean for mean, _ in waiting.growth_terms), default=0.0)
        ranked = []
        for endpoint in pool.available_endpoints(waiting.admit, endpoints):
            if self.accepts_requests(endpoint, now):
                uncached_tokens = self.uncached_tokens(endpoint, waiting, now)
                cost = self.placement_cost(endpoint, uncached_tokens, own_tokens)
                cost += self.cost_jitter()
                ranked.append((cost, uncached_tokens, endpoint))
        ranked.sort(key=CANDIDATE_COST)
        return ranked

    def cost_jitter(self) -> float:
        """Return a random addition to a cost.

        It keeps schedulers that decide at the same instant from all choosing the
        same endpoint.
        """
        return self.random.random() * self.settings.choice_spread

    def accepts_requests(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint is healthy, or due for a probe."""
        if not self.refusals.accepts_requests(endpoint.name, now):
            return False
        return self.stragglers.accepts_requests(endpoint.name, endpoint.in_flight, now)

    def uncached_tokens(
        self, endpoint: EndpointState, waiting: WaitingRequest, now: float
    ) -> int:
        """Return the prompt tokens that an endpoint probably has to prefill."""
        admit = waiting.admit
        cached_tokens = endpoint.cached_blocks.cached_prefix_tokens(admit.prefixes, now)
        return max(1, admit.prompt_tokens - cached_tokens)

    def has_capacity(
        self, endpoint: EndpointState, waiting: WaitingRequest, uncached_tokens: int
    ) -> bool:
        """Return whether a request fits an endpoint's batch, prefill and KV memory.

        A request always fits an endpoint without other requests.
        """
        settings = self.settings
        if not endpoint.in_flight:
            return True
        batch_limit = (
            endpoint.concurrency or endpoint.batch_limit or settings.batch_limit
        )
        if endpoint.in_flight >= batch_limit:
            return False
        if not self.fits_prefill_limit(endpoint, waiting, uncached_tokens):
            return False
        remote_tokens = endpoint.remote_tokens
        if not endpoint.growth.fits(
            waiting.growth_terms,
            endpoint.memory_tokens - remote_tokens,
            settings.overflow_deviations,
        ):
            return False
        if waiting.urgent:
            return True
        normal_share = 1 - self.reserve.ratio(endpoint.name)
        if endpoint.normal_count >= batch_limit * normal_share:
            return False
        return endpoint.normal_growth.fits(
            waiting.growth_terms,
            endpoint.memory_tokens * normal_share - remote_tokens,
            settings.overflow_deviations,
        )

    def fits_prefill_limit(
        self, endpoint: EndpointState, waiting: WaitingRequest, uncached_tokens: int
    ) -> bool:
        """Return whether an endpoint may get more prompt tokens to prefill.

        Other requests' prompts don't hold up urgent requests.  A prompt of any
        length fits if no other is in prefill.
        """
        limit = self.settings.prefill_limit_tokens
        prefill_tokens = endpoint.urgent_prefill_tokens
        if not waiting.urgent:
            prefill_tokens += endpoint.normal_prefill_tokens
            limit //= NORMAL_PREFILL_DIVISOR
        return not prefill_tokens or prefill_tokens + uncached_tokens <= limit

    def placement_cost(
        self, endpoint: EndpointState, uncached_tokens: int, own_tokens: float
    ) -> float:
        """Return the cost of a request at an endpoint.

        The unit is the endpoint's whole KV memory.  The cost is the sum of the
        expected use, the prefill (``affinity_tokens`` uncached tokens cost 1) and
        the endpoint's distance.  A slow endpoint holds all of it for longer, also the
        request's ``own_tokens``, which cost the same at all others.
        """
        memory_tokens = max(1, endpoint.memory_tokens)
        expected_tokens = endpoint.growth.peak_mean_tokens() + endpoint.remote_tokens
        memory_cost = expected_tokens / memory_tokens
        prefill_cost = (
            uncached_tokens + endpoint.prefill_tokens
        ) / self.settings.affinity_tokens
        cost = memory_cost + prefill_cost + endpoint.distance_cost
        slowdown = self.speeds.slowdown(endpoint.name)
        if slowdown != 1.0:
            own_cost = own_tokens / memory_tokens
            cost += (slowdown - 1) * (memory_cost + prefill_cost + own_cost)
        return cost

    def engine_priority(self, waiting: WaitingRequest) -> int:
        """Return the engine's priority: urgent requests first, then as declared."""
        return (
            URGENT_ENGINE_PRIORITY if waiting.urgent else 0
        ) - waiting.admit.priority

    def on_granted(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Add a reservation's growth; charge its workspace the expected tokens."""
        if reservation.length_distribution is None:
            reservation.length_distribution = self.lengths.length_distribution(
                reservation.workspace,
                reservation.model,
                reservation.kind,
                reservation.estimated_tokens,
            )
            reservation.short = self.is_short(reservation)
            self.priorities.record(reservation.priority, now)
            reservation.urgent = self.priorities.is_urgent(
                reservation.priority, reservation.short
            )
        if not reservation.growth_terms:
            reservation.growth_terms = growth_terms(
                reservation.length_distribution,
                reservation.memory_tokens,
                reservation.produced,
                reservation.max_tokens,
            )
        self.add_growth(endpoint, reservation, 1.0)
        endpoint.normal_count += not reservation.urgent
        reservation.first_token_seen = reservation.produced > 0
        if not reservation.first_token_seen:
            reservation.prefill_ahead_tokens = endpoint.prefill_tokens
            endpoint.count_prefill(reservation, 1)
        self.in_use.add(endpoint.name)
        self.stragglers.record_grant(endpoint.name, now)
        self.refusals.record_grant(endpoint.name, now)
        expected_output = reservation.length_distribution.expected_length(
            reservation.max_tokens
        )
        reservation.expected_tokens = reservation.prompt_tokens + expected_output
        if reservation.urgent:
            self.reserve.record_request(reservation.expected_tokens)
        fair_shares = self.fair_shares[reservation.urgent]
        fair_shares.charge(
            reservation.workspace, reservation.expected_tokens, reservation.weight
        )
        if not reservation.hedges:
            hedge_share = self.settings.hedge_share
            self.hedge_budget = min(MAX_HEDGE_BUDGET, self.hedge_budget + hedge_share)

    def add_growth(
        self, endpoint: EndpointState, reservation: Reservation, sign: float
    ) -> None:
        """Add a reservation's growth to its endpoint; remove it with ``sign`` -1."""
        endpoint.growth.add(reservation.growth_terms, sign)
        if not reservation.urgent:
            endpoint.normal_growth.add(reservation.growth_terms, sign)

    def on_progress(
        self, endpoint: EndpointState, reservation: Reservation, before: int, now: float
    ) -> None:
        """Update a generation's growth and its endpoint's token gap.

        Before the first progress of a generation that continues from a copied KV
        cache, time has passed that was no decoding.
        """
        if not reservation.first_token_seen and reservation.produced:
            reservation.first_token_seen = True
            endpoint.count_prefill(reservation, -1)
            self.refusals.record_token(endpoint.name)
            self.record_prefill_time(endpoint, reservation, now)
        elif reservation.produced > before and reservation.measured_at:
            elapsed_s = now - reservation.updated_at
            self.stragglers.record_tokens(
                endpoint.name, reservation.produced - before, elapsed_s, now
            )
            self.record_token_time(endpoint, reservation, now)
        reservation.measured_at = now
        reservation.measured_produced = reservation.produced
        self.add_growth(endpoint, reservation, -1.0)
        reservation.growth_terms = growth_terms(
            reservation.length_distribution,
            reservation.memory_tokens,
            reservation.produced,
            reservation.max_tokens,
        )
        self.add_growth(endpoint, reservation, 1.0)

    def record_prefill_time(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Learn an endpoint's speed from the time to a first token.

        A generation that runs again has also the tokens produced before to prefill.
        """
        self.speeds.record_prefill(
            endpoint.name,
            tokens=tokens_to_prefill(reservation) + reservation.produced,
            seconds=now - reservation.granted_at,
            now=now,
        )

    def record_token_time(
        self, endpoint: EndpointState, reservation: Reservation, now: float
    ) -> None:
        """Learn an endpoint's speed from the tokens since the last measurement."""
        self.speeds.record_decode(
            endpoint.name,
            tokens=reservation.produced - reservation.measured_produced,
            seconds=now - reservation.measured_at,
            batch_size=endpoint.in_flight,
            now=now,
        )

    def record_last_tokens(
        self,
        endpoint: EndpointState,
        reservation: Reservation,
        outcome: str,
        now: float,
    ) -> None:
        """Learn an endpoint's speed from a generation that has ended.

        One that was cut or moved may have been silent for long before: then it isn't
        known how long its last tokens took.
        """
        tokens = reservation.produced - reservation.measured_produced
        if not reservation.measured_at or tokens <= 0:
            return
        gap_s = (now - reservation.measured_at) / tokens
        if outcome == FINISHED or gap_s <= self.settings.token_gap_goal_s:
            self.record_token_time(endpoint, reservation, now)

    def on_released(
        self, endpoint: EndpointState | None, reservation: Reservation, outcome: str
    ) -> None:
        """Learn from a generation's length, and remove its growth.

        A generation that reached its token limit counts as cut off: its natural
        length is unknown.
        """
        finished = outcome == FINISHED and reservation.produced < reservation.max_tokens
        if reservation.produced:
            self.lengths.observe(
                reservation.workspace,
                reservation.model,
                reservation.kind,
                reservation.produced,
                finished,
                reservation.estimated_tokens,
            )
        used_tokens = reservation.prompt_tokens + reservation.produced
        fair_shares = self.fair_shares[reservation.urgent]
        fair_shares.correct_charge(
            reservation.workspace,
            used_tokens - reservation.expected_tokens,
            reservation.weight,
        )
        if endpoint is None:
            return
        now = time.monotonic()
        self.record_last_tokens(endpoint, reservation, outcome, now)
        self.refusals.record_outcome(endpoint.name, outcome, reservation.produced, now)
        self.add_growth(endpoint, reservation, -1.0)
        endpoint.normal_count -= not reservation.urgent
        self.candidates.remember(endpoint.name)
        if not reservation.first_token_seen:
            endpoint.count_prefill(reservation, -1)

    def choose_hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Classify the endpoints, if due; return the reservations to hedge."""
        if now - self.classified_at < CLASSIFY_INTERVAL_S:
            return []
        self.classified_at = now
        engines = self.in_use.classified(pool, self.stragglers, self.speeds)
        batch_and_silence = {
            endpoint.name: (endpoint.in_flight, self.total_silence_s(endpoint, now))
            for endpoint in engines
        }
        self.stragglers.classify(batch_and_silence, now)
        awaited = {
            endpoint.name: awaited_first_tokens(endpoint, now) for endpoint in engines
        }
        self.speeds.update(awaited, now)
        is_spread = is_small(pool) or self.reserve.is_old(now)
        memory_tokens = memory_tokens_by_name(pool) if is_spread else None
        self.reserve.update(urgent_tokens(engines, pool), memory_tokens, now)
        to_hedge = []
        for endpoint in engines:
            self.adapt_batch_limit(endpoint)
            for reservation in endpoint.reservations.values():
                if self.hedge_budget >= 1 and self.worth_hedging(reservation, now):
                    reservation.hedged = True
                    self.hedge_budget -= 1
                    to_hedge.append(reservation)
        return to_hedge

    def total_silence_s(self, endpoint: EndpointState, now: float) -> float:
        """Return the summed silence of an endpoint's generations, in seconds.

        Silences up to the threshold are normal gaps and don't count, nor does a first
        token that takes no longer than a straggler's would.  Nothing is known of the
        gaps of reservations that aren't watched.
        """
        total = 0.0
        for reservation in endpoint.reservations.values():
            if not reservation.watched:
                continue
            threshold_s = SILENCE_THRESHOLD_S
            if not reservation.first_token_seen:
                tokens = tokens_to_prefill(reservation)
                usual_s = self.speeds.usual_prefill_s(tokens)
                threshold_s = max(threshold_s, self.settings.straggler_ratio * usual_s)
            silent_s = now - reservation.updated_at
            if silent_s > threshold_s:
                total += silent_s
        return total

    def export_learned(self) -> bytes:
        """Return the packed length distributions, empty without any."""
        return pack_lengths(self.lengths) if self.lengths.counts else b""

    def learned_key_count(self) -> int:
        """Return the number of learned length distributions."""
        return len(self.lengths.counts)

    def merge_learned(self, body: bytes) -> None:
        """Merge the packed length distributions of another scheduler."""
        merge_lengths(self.lengths, body)

    def worth_hedging(self, reservation: Reservation, now: float) -> bool:
        """Return whether a second attempt is likely to finish first.

        At an endpoint that is no straggler, only a late first token is a reason.
        After the first token only a ``hedgeable`` reservation may be hedged.
        """
        if reservation.hedged or reservation.hedges or reservation.holder is None:
            return False
        if reservation.produced and not reservation.hedgeable:
            return False
        gap_stats = self.stragglers.gap_stats(reservation.endpoint)
        if not gap_stats.is_straggler:
            is_late = now - reservation.granted_at > self.settings.hedge_first_token_s
            return is_late and not reservation.produced
        remaining = reservation.length_distribution.expected_remaining(
            reservation.produced, reservation.max_tokens
        )
        return reservation.produced + remaining < remaining * gap_stats.slowdown

    def adapt_batch_limit(self, endpoint: EndpointState) -> None:
        """Adapt an endpoint's batch limit to keep its token gap within the goal.

        The limit grows by a constant and shrinks by a ratio (AIMD).  Stragglers are
        left out: their gap has another cause than the batch size.
        """
        settings = self.settings
        gap_stats = self.stragglers.gap_stats(endpoint.name)
        limit = endpoint.batch_limit or settings.batch_limit
        if gap_stats.is_straggler or gap_stats.tokens < 1:
            return
        if gap_stats.token_gap_s(0.0) > settings.token_gap_goal_s:
            limit = min(limit, endpoint.in_flight) * BATCH_SIZE_DECREASE_RATIO
        else:
            limit += BATCH_SIZE_INCREMENT
        endpoint.batch_limit = min(settings.batch_limit, max(MIN_BATCH_SIZE, limit))
