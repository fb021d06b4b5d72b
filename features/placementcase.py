"""Engines and their requests on a clock of their own, for placement by one gateway.

The gateway hears of each request's grant, first token and end, as of its peers'.
"""

import collections
import heapq
import random
import time
from unittest import mock

from baobabturn.config.declared import Endpoint
from baobabturn.placement.enginespeed import EngineSpeeds
from baobabturn.scheduler.state import WaitingRequest
from baobabturn.wire.messages import Admit, ProgressItem, Release
from baobabturn.wire.words import FINISHED
from features.steps.policy import Future, make_pool

TICK_S = 0.005
CLASSIFY_S = 0.2
PREFILL_TOKENS_PER_S = 14_000
STEP_S, STEP_PER_REQUEST_S = 0.007, 0.00012
MEMORY_TOKENS, SLOTS, EVENT_TOKENS = 26_864, 24, 4
# Kind of request: priority, tokens in, tokens out, longest wait for an engine.
Kind = collections.namedtuple("Kind", "priority prompt answer wait_s")
KINDS = {"report": Kind(2, 3079, 748, 1.6), "check": Kind(0, 2550, 12, 1.3)}
FLAGS = ["scheduler.short_share=0.1", "scheduler.choice_spread=0.15"]


class AllAlike(EngineSpeeds):
    """Takes all engines for equally fast, as a policy without speeds does."""

    def update(self, awaited, now):
        """Learn nothing."""


class SimulatedEngine:
    """An engine that prefills one prompt after another beside decoding."""

    def __init__(self, slowdown):
        self.slowdown = slowdown
        self.prompts = collections.deque()
        self.running = {}

    def advance(self, now):
        """Run for one tick; return the requests with a first event, and the ended."""
        slowdown = self.slowdown(now)
        tokens = TICK_S * PREFILL_TOKENS_PER_S / slowdown
        while self.prompts and tokens > 0:
            prompt = self.prompts[0]
            done = min(tokens, prompt[1])
            prompt[1] -= done
            tokens -= done
            if prompt[1] <= 0:
                self.running[self.prompts.popleft()[0]] = 0.0
        step_s = STEP_S + STEP_PER_REQUEST_S * len(self.running)
        first, ended = [], []
        for name, before in list(self.running.items()):
            self.running[name] = produced = before + TICK_S / step_s / slowdown
            if before < EVENT_TOKENS <= produced:
                first.append(name)
            if produced >= KINDS[name.split("-")[0]].answer:
                ended.append(name)
                del self.running[name]
        return first, ended


class Placement:
    """One gateway's pool over simulated engines, under a load of Poisson arrivals."""

    def __init__(self, *, slowdowns, seed=1, speeds=None):
        self.now = 1000.0
        self.seed = seed
        self.random = random.Random(seed)
        self.engines = {f"e{n}": SimulatedEngine(s) for n, s in enumerate(slowdowns)}
        self.pool = make_pool(seed, FLAGS)
        self.pool.schedule_dispatch = lambda: None
        policy = self.pool.policy
        policy.speeds = speeds or policy.speeds
        declared = [
            Endpoint(
                name=name,
                url=f"http://{name}",
                memory_tokens=MEMORY_TOKENS,
                concurrency=SLOTS,
            )
            for name in self.engines
        ]
        with mock.patch.object(time, "monotonic", lambda: self.now):
            self.pool.set_endpoints(declared, set())
            for name, kind in KINDS.items():
                for _ in range(200):
                    policy.lengths.observe("w", "m", name, kind.answer, True)
        self.waiting = {}
        self.arrived_at = {}
        self.placed = []
        self.times = collections.defaultdict(list)
        self.first_times = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.number = 0

    def ask(self, kind_name, workspace="w"):
        """Let one request come; return it."""
        self.number += 1
        kind = KINDS[kind_name]
        name = f"{kind_name}-{self.number}"
        admit = Admit(
            request=name,
            reservation=name,
            workspace=workspace,
            model="m",
            kind=kind_name,
            priority=-kind.priority,
            prompt_tokens=kind.prompt,
            max_tokens=1000,
        )
        waiting = WaitingRequest(
            admit=admit,
            holder=None,
            arrived_at=self.now,
            deadline=self.now + kind.wait_s,
            future=Future(),
        )
        self.waiting[name] = waiting
        self.pool.enqueue(waiting, self.now)
        return waiting

    def run(self, seconds, per_s):
        """Let requests of some kinds come at some rates for some seconds."""
        arrivals = [
            (self.now + self.random.expovariate(rate), name)
            for name, rate in per_s.items()
        ]
        heapq.heapify(arrivals)
        until = self.now + seconds
        with mock.patch.object(time, "monotonic", lambda: self.now):
            while self.now < until:
                self.now += TICK_S
                while arrivals and arrivals[0][0] <= self.now:
                    at, name = heapq.heappop(arrivals)
                    next_at = at + self.random.expovariate(per_s[name])
                    heapq.heappush(arrivals, (next_at, name))
                    self.ask(name)
                self.tick()

    def tick(self):
        """Advance all engines, and grant what fits."""
        for engine in self.engines.values():
            first, ended = engine.advance(self.now)
            for name in first:
                self.first_times[name.split("-")[0]].append(self.age(name))
                item = ProgressItem(reservation=name, produced=EVENT_TOKENS)
                self.pool.progress(item)
            for name in ended:
                kind_name = name.split("-")[0]
                self.times[kind_name].append(self.age(name))
                produced = KINDS[kind_name].answer
                self.pool.release(
                    Release(reservation=name, produced=produced, outcome=FINISHED)
                )
        if round(self.now / TICK_S) % round(CLASSIFY_S / TICK_S) == 0:
            self.pool.advise_hedges()
        self.pool.dispatch()
        for name, waiting in list(self.waiting.items()):
            if waiting.future.done():
                self.place(name, waiting.future.grant.endpoint)
            elif waiting.deadline < self.now:
                self.pool.dequeue(waiting)
                self.refused[name.split("-")[0]] += 1
                del self.waiting[name]

    def place(self, name, endpoint):
        """Send a granted request to its engine."""
        self.arrived_at[name] = self.waiting.pop(name).arrived_at
        self.pool.reservations[name].watched = False
        prompt = KINDS[name.split("-")[0]].prompt
        self.engines[endpoint].prompts.append([name, prompt])
        self.placed.append((self.now, name, endpoint))

    def age(self, name):
        """Return the time since a request came."""
        return self.now - self.arrived_at[name]

    def share(self, endpoint):
        """Return the share of the requests that an engine got."""
        chosen = [engine for _, _, engine in self.placed]
        return chosen.count(endpoint) / len(chosen)

    def mean_s(self):
        """Return the mean time from the arrival of a request to its end."""
        ended = [each for times in self.times.values() for each in times]
        return sum(ended) / len(ended)
