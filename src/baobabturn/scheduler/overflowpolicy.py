"""The default policy: admits by the chance that an engine's KV memory overflows.

Requests wait in the scheduler, not in the engines.  Requests with short answers
go first and have capacity that long ones can't use.  Requests that are unlikely
to finish in time go last.  Among equals, the workspace that is furthest behind
its fair share is next.  The endpoint is chosen by the expected use of its KV
memory and by how much prefill its prefix cache saves.  Stragglers get only
probes.
"""

from __future__ import annotations

import operator
import random
import time
from collections.abc import Iterator

from baobabturn.scheduler.fairness import FairShares
from baobabturn.scheduler.flows import Flows, Rank
from baobabturn.scheduler.learned import merge_lengths, pack_lengths
from baobabturn.scheduler.lengths import LengthDistribution, LengthModel
from baobabturn.scheduler.overflow import growth_terms
from baobabturn.scheduler.refusals import RefusalTracker
from baobabturn.scheduler.state import EndpointState, PoolState, Reservation, Waiting
from baobabturn.scheduler.stragglers import SILENCE_THRESHOLD_S, StragglerDetector
from baobabturn.settings.model import Scheduler
from baobabturn.wire.words import FINISHED

SHORT_FIRST = -100_000
PRIORITY_STEP = 10.0
FADED = 0.5
JUDGE_S = 0.1
LEAST_BATCH = 4.0
LONG_READING = 4
BATCH_STEP = 0.5
BATCH_CUT = 0.95
HEDGE_BURST = 20.0
CLASSES = 2
COST = operator.itemgetter(0)


class ChanceBound:
    """Bounds the chance that an engine's KV memory overflows, for one pool.

    ``full`` names the length classes (True for short, False for long) that found
    no capacity in the current pass over the queue.
    """

    def __init__(self, *, settings: Scheduler, seed: int):
        self.settings = settings
        self.lengths = LengthModel(
            half_life_samples=settings.length_half_life, key_limit=settings.length_keys
        )
        self.stragglers = StragglerDetector(settings=settings)
        self.refusals = RefusalTracker()
        self.shares = {True: FairShares(), False: FairShares()}
        self.flows = Flows()
        self.full: set[bool] = set()
        self.judged = 0.0
        self.hedge_budget = HEDGE_BURST
        self.random = random.Random(seed)

    @property
    def saturated(self) -> bool:
        """Return whether the last pass found no capacity for either length class."""
        return len(self.full) == CLASSES

    def queued(self, waiting: Waiting, now: float) -> None:
        """Classify a request by the learned answer lengths, and queue it."""
        admit = waiting.admit
        length_distribution = self.lengths.length_distribution(
            admit.workspace, admit.model, admit.kind
        )
        waiting.length_distribution = length_distribution
        waiting.short = self.is_short(length_distribution, admit.max_tokens)
        waiting.growth_terms = growth_terms(
            length_distribution, admit.prompt_tokens, 0, admit.max_tokens
        )
        waiting.chance = self.chance_in_time(waiting, waiting.deadline - now)
        self.flows.add(waiting)
        self.shares[waiting.short].add_waiting(admit.workspace)

    def is_short(
        self, length_distribution: LengthDistribution, max_tokens: int
    ) -> bool:
        """Return whether an answer is short with the configured chance."""
        limit = self.settings.short_tokens
        over = length_distribution.survival(0, limit) if limit < max_tokens else 0.0
        return over <= 1 - self.settings.short_chance

    def unqueued(self, waiting: Waiting) -> None:
        """Remove a request from its flow."""
        self.flows.remove(waiting)
        self.shares[waiting.short].remove_waiting(waiting.admit.workspace)

    def chance_in_time(self, waiting: Waiting, left_s: float) -> float:
        """Return the chance that a request that starts now finishes in time.

        ``left_s`` is the time until its deadline in seconds.
        """
        tokens = left_s / self.token_gap_s()
        if tokens < 1:
            return 0.0
        return 1 - waiting.length_distribution.survival(
            0, min(tokens, waiting.admit.max_tokens)
        )

    def token_gap_s(self) -> float:
        """Return the typical token gap in seconds, the goal if none is measured."""
        return self.stragglers.typical_gap_s or self.settings.token_gap_goal_s

    def order(self, pool: PoolState, now: float) -> Iterator[Waiting]:
        """Yield waiting requests by rank, skipping length classes without capacity."""
        self.full.clear()
        for waiting in self.flows.ranked(lambda each: self.rank(each, now)):
            if waiting.short not in self.full:
                yield waiting

    def rank(self, waiting: Waiting, now: float) -> Rank:
        """Return the sort key of a waiting request; the smallest is served first.

        Waiting raises the priority level, up to ``top_level``.
        """
        settings = self.settings
        admit = waiting.admit
        waited = now - waiting.arrived
        level = admit.priority / PRIORITY_STEP + waited / settings.aging_s
        chance = self.chance_in_time(waiting, waiting.deadline - now)
        faded = float(chance < FADED * waiting.chance)
        if waiting.short or admit.hedges:
            level += settings.short_levels
        level = min(int(level), settings.top_level)
        virtual_start = self.shares[waiting.short].virtual_start(admit.workspace)
        return faded, -level, virtual_start, waiting.arrived

    def choose(
        self, pool: PoolState, waiting: Waiting, now: float
    ) -> EndpointState | None:
        """Return the cheapest endpoint with capacity for a request, None without one.

        Where a short request doesn't fit, a long one doesn't either.  A request that
        excludes endpoints doesn't mark its length class as full.
        """
        admit = waiting.admit
        offers = []
        for endpoint in pool.usable(admit):
            if self.may_take(endpoint, now):
                uncached = self.uncached(endpoint, waiting, now)
                cost = self.cost(endpoint, uncached) + self.spread()
                offers.append((cost, uncached, endpoint))
        offers.sort(key=COST)
        for _, uncached, endpoint in offers:
            if self.has_room(endpoint, waiting, uncached):
                return endpoint
        if not admit.excluded:
            self.full.add(waiting.short)
            if waiting.short:
                self.full.add(False)
        return None

    def spread(self) -> float:
        """Return a random addition to a cost.

        It keeps schedulers that decide at the same instant from all choosing the
        same endpoint.
        """
        return self.random.random() * self.settings.choice_spread

    def may_take(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint is healthy, or due for a probe."""
        if not self.refusals.may_take(endpoint.name, now):
            return False
        return self.stragglers.may_take(endpoint.name, endpoint.in_flight, now)

    def uncached(self, endpoint: EndpointState, waiting: Waiting, now: float) -> int:
        """Return the prompt tokens that an endpoint probably has to prefill."""
        admit = waiting.admit
        held = endpoint.cached.cached_prefix_tokens(admit.prefixes, now)
        return max(1, admit.prompt_tokens - held)

    def has_room(
        self, endpoint: EndpointState, waiting: Waiting, uncached: int
    ) -> bool:
        """Return whether a request fits an endpoint's batch, prefill and KV memory.

        A request always fits an endpoint without reservations.
        """
        settings = self.settings
        if not endpoint.reservations:
            return True
        batch = endpoint.concurrency or endpoint.batch_limit or settings.batch_limit
        if endpoint.in_flight >= batch:
            return False
        if not self.may_read(endpoint, waiting, uncached):
            return False
        memory = endpoint.memory_tokens
        if not endpoint.growth.fits(
            waiting.growth_terms, memory, settings.overflow_deviations
        ):
            return False
        if waiting.short:
            return True
        left = 1 - settings.short_share
        if endpoint.long_count >= batch * left:
            return False
        return endpoint.long_growth.fits(
            waiting.growth_terms, memory * left, settings.overflow_deviations
        )

    def may_read(
        self, endpoint: EndpointState, waiting: Waiting, uncached: int
    ) -> bool:
        """Return whether an endpoint may get more prompt tokens to prefill.

        The prompts of long requests don't hold up short requests.
        """
        limit = self.settings.prefill_limit_tokens
        reading = endpoint.reading_short
        if not waiting.short:
            reading += endpoint.reading_long
            limit //= LONG_READING
        return not reading or reading + uncached <= limit

    def cost(self, endpoint: EndpointState, uncached: int) -> float:
        """Return the cost of a request at an endpoint.

        The unit is the endpoint's KV memory: the expected use, the prefill (where
        ``affinity_tokens`` uncached tokens cost as much as the whole memory), and
        the endpoint's distance.
        """
        memory = max(1, endpoint.memory_tokens)
        full = endpoint.growth.peak_mean_tokens() / memory
        reading = (uncached + endpoint.reading) / self.settings.affinity_tokens
        return full + reading + endpoint.distance_cost

    def engine_priority(self, waiting: Waiting) -> int:
        """Return the engine's priority: short requests first, then as declared."""
        return (SHORT_FIRST if waiting.short else 0) - waiting.admit.priority

    def granted(self, endpoint: EndpointState, held: Reservation, now: float) -> None:
        """Add a reservation's expected growth, and charge its workspace for it."""
        if held.length_distribution is None:
            held.length_distribution = self.lengths.length_distribution(
                held.workspace, held.model, held.kind
            )
            held.short = self.is_short(held.length_distribution, held.max_tokens)
        if not held.growth_terms:
            held.growth_terms = growth_terms(
                held.length_distribution,
                held.memory_tokens,
                held.produced,
                held.max_tokens,
            )
        self.count(endpoint, held, 1.0)
        endpoint.long_count += not held.short
        held.first_token_seen = held.produced > 0
        if not held.first_token_seen:
            endpoint.read_ahead(held, 1)
        self.stragglers.record_grant(endpoint.name, now)
        self.refusals.record_grant(endpoint.name, now)
        expected = held.length_distribution.expected_length(held.max_tokens)
        held.expected_tokens = held.prompt_tokens + expected
        shares = self.shares[held.short]
        shares.charge(held.workspace, held.expected_tokens, held.weight)
        if not held.hedges:
            share = self.settings.hedge_share
            self.hedge_budget = min(HEDGE_BURST, self.hedge_budget + share)

    def count(self, endpoint: EndpointState, held: Reservation, sign: float) -> None:
        """Add a reservation's growth to its endpoint; remove it with ``sign`` -1."""
        endpoint.growth.add(held.growth_terms, sign)
        if not held.short:
            endpoint.long_growth.add(held.growth_terms, sign)

    def progressed(
        self, endpoint: EndpointState, held: Reservation, before: int, now: float
    ) -> None:
        """Update a generation's growth and its endpoint's token gap."""
        if not held.first_token_seen and held.produced:
            held.first_token_seen = True
            endpoint.read_ahead(held, -1)
            self.refusals.record_token(endpoint.name)
        elif held.produced > before:
            seconds = now - held.updated
            self.stragglers.record_tokens(
                endpoint.name, held.produced - before, seconds, now
            )
        self.count(endpoint, held, -1.0)
        held.growth_terms = growth_terms(
            held.length_distribution, held.memory_tokens, held.produced, held.max_tokens
        )
        self.count(endpoint, held, 1.0)

    def released(
        self, endpoint: EndpointState | None, held: Reservation, outcome: str
    ) -> None:
        """Learn from a generation's length, and remove its growth.

        A generation that reached its token limit counts as cut off: its natural
        length is unknown.
        """
        finished = outcome == FINISHED and held.produced < held.max_tokens
        if held.produced:
            self.lengths.observe(
                held.workspace, held.model, held.kind, held.produced, finished
            )
        used = held.prompt_tokens + held.produced
        shares = self.shares[held.short]
        shares.correct_charge(held.workspace, used - held.expected_tokens, held.weight)
        if endpoint is None:
            return
        now = time.monotonic()
        self.refusals.record_outcome(endpoint.name, outcome, held.produced, now)
        self.count(endpoint, held, -1.0)
        endpoint.long_count -= not held.short
        if not held.first_token_seen:
            endpoint.read_ahead(held, -1)

    def hedges(self, pool: PoolState, now: float) -> list[Reservation]:
        """Classify the endpoints; return the reservations to hedge."""
        if now - self.judged < JUDGE_S:
            return []
        self.judged = now
        batches = {
            endpoint.name: (endpoint.in_flight, silence(endpoint, now))
            for endpoint in pool.endpoints.values()
        }
        self.stragglers.classify(batches, now)
        found = []
        for endpoint in pool.endpoints.values():
            self.tune_batch(endpoint)
            for held in endpoint.reservations.values():
                if self.hedge_budget >= 1 and self.worth_hedging(held, now):
                    held.hedged = True
                    self.hedge_budget -= 1
                    found.append(held)
        return found

    def learned(self) -> bytes:
        """Return the packed length distributions, empty without any."""
        return pack_lengths(self.lengths) if self.lengths.counts else b""

    def known_keys(self) -> int:
        """Return the number of learned length distributions."""
        return len(self.lengths.counts)

    def take_learned(self, body: bytes) -> None:
        """Merge the packed length distributions of another scheduler."""
        merge_lengths(self.lengths, body)

    def worth_hedging(self, held: Reservation, now: float) -> bool:
        """Return whether a second attempt is likely to finish first.

        At an endpoint that is no straggler, only a late first token is a reason.
        """
        if held.hedged or held.hedges or held.holder is None:
            return False
        if held.produced and not held.hedgeable:
            return False
        gap_stats = self.stragglers.gap_stats(held.endpoint)
        if not gap_stats.is_straggler:
            late = now - held.granted > self.settings.hedge_first_token_s
            return late and not held.produced
        left = held.length_distribution.expected_remaining(
            held.produced, held.max_tokens
        )
        return held.produced + left < left * gap_stats.slowdown

    def tune_batch(self, endpoint: EndpointState) -> None:
        """Adapt an endpoint's batch limit to keep its token gap within the goal.

        The limit grows by a constant and shrinks by a ratio (AIMD).  Stragglers are
        left out: their gap has another cause than the batch size.
        """
        settings = self.settings
        gap_stats = self.stragglers.gap_stats(endpoint.name)
        limit = endpoint.batch_limit or settings.batch_limit
        if gap_stats.is_straggler or gap_stats.tokens < 1:
            return
        if gap_stats.gap(0.0) > settings.token_gap_goal_s:
            limit = min(limit, endpoint.in_flight) * BATCH_CUT
        else:
            limit += BATCH_STEP
        endpoint.batch_limit = min(settings.batch_limit, max(LEAST_BATCH, limit))


def silence(endpoint: EndpointState, now: float) -> float:
    """Return the summed silence of an endpoint's generations, in seconds.

    Silences up to the threshold are normal gaps and don't count.
    """
    total = 0.0
    for held in endpoint.reservations.values():
        quiet = now - held.updated
        if quiet > SILENCE_THRESHOLD_S:
            total += quiet
    return total
