"""Continuous batching of a fake engine with a bounded KV cache.

Each step produces one token for every running sequence.  A step takes longer with a
larger batch and with prefill.  The KV cache is counted in tokens; if a step does not
fit, the sequence that comes last in the scheduling order is preempted and later has
to prefill its prompt and tokens again.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
import time
from collections import OrderedDict

import attrs
import xxhash

BLOCK_TOKENS = 64
BLOCK_BYTES = 256
MARK = re.compile(r"\[tag=([^\s\]]+)(?: length=(\d+))?\]")
DEFAULT_LENGTH = 24
BYTES_PER_TOKEN = 4


@attrs.define(kw_only=True)
class EngineModel:
    """Step times, capacity and report lags of a fake engine."""

    memory_tokens: int = 40_000
    slots: int = 64
    step_s: float = 0.012
    step_per_sequence_s: float = 0.0004
    prefill_per_token_s: float = 0.00004
    prefill_chunk_tokens: int = 4096
    cache_share: float = 0.2
    report_lag_s: float = 1.0
    cache_event_lag_s: float = 0.5
    cache_event_loss: float = 0.1


@attrs.define(kw_only=True, eq=False)
class Generation:
    """One generation at the engine, open until finished or cancelled.

    Times are monotonic seconds.
    """

    name: str
    run: int
    tag: str
    prompt_tokens: int
    length: int
    limit: int
    priority: int
    blocks: list[int]
    chat: bool
    model: str
    include_usage: bool = False
    arrived: float = attrs.Factory(time.monotonic)
    produced: int = 0
    state: str = "waiting"
    finish: str = ""
    prefill_left: int = 0
    preempted: int = 0
    stalled_s: float = 0.0
    preempted_at: float = 0.0
    ended_at: float = 0.0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def memory(self) -> int:
        """Return the tokens of KV cache that the sequence uses."""
        return self.prompt_tokens + self.produced

    @property
    def goal(self) -> int:
        """Return how many tokens the generation will produce."""
        return min(self.length, self.limit)

    def wake(self) -> None:
        """Wake the handlers that stream this generation."""
        self.changed.set()
        self.changed = asyncio.Event()

    def text(self, index: int) -> str:
        """Return the text of one token, which identifies request and generation."""
        return f"{self.tag}.{self.run}:{index} "


def parse_mark(prompt: str) -> tuple[str, int]:
    """Return the request tag and the number of tokens that a prompt's mark requests.

    A mark looks like ``[tag=a1 length=300]``; without one the length is derived from
    the prompt's hash.
    """
    found = MARK.search(prompt)
    if found is None:
        digest = hashlib.sha256(prompt.encode()).digest()
        return "t", DEFAULT_LENGTH + digest[0] % 16
    tag, length = found.groups()
    return tag, int(length or DEFAULT_LENGTH)


def block_hashes(salt: str, prompt: str) -> list[int]:
    """Return the chained XXH64 of a prompt's complete blocks, seeded by the salt."""
    data = prompt.encode()
    chain = xxhash.xxh64_intdigest(salt.encode())
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        chain = xxhash.xxh64_intdigest(block, seed=chain)
        hashes.append(chain)
    return hashes


class Batcher:
    """Runs the batching steps of one fake engine."""

    def __init__(self, *, model: EngineModel):
        self.model = model
        self.waiting: list[Generation] = []
        self.running: list[Generation] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.cache_log: list[tuple[float, str, int]] = []
        self.wakeup = asyncio.Event()
        self.slow_factor = 1.0
        self.frozen = False
        self.no_room = False
        self.preemptions = 0
        self.stalled_s = 0.0
        self.cache_hits = 0
        self.prefilled_tokens = 0

    def submit(self, generation: Generation) -> None:
        """Add a generation to the waiting queue."""
        self.waiting.append(generation)
        self.wakeup.set()

    def used(self) -> int:
        """Return the tokens of KV cache that running sequences use."""
        return sum(generation.memory for generation in self.running)

    def admit(self) -> None:
        """Move waiting generations that fit to the batch, in scheduling order."""
        if self.no_room:
            self.preempt_all()
            return
        self.waiting.sort(key=rank)
        used = self.used()
        while self.waiting and len(self.running) < self.model.slots:
            head = self.waiting[0]
            if used + head.memory + 1 > self.model.memory_tokens and self.running:
                return
            self.waiting.pop(0)
            head.state = "running"
            head.prefill_left = self.prefill_cost(head)
            self.end_stall(head)
            self.running.append(head)
            used += head.memory

    def end_stall(self, generation: Generation) -> None:
        """Add up the time that a preempted generation has waited, if it was one."""
        if generation.preempted_at:
            waited = time.monotonic() - generation.preempted_at
            generation.stalled_s += waited
            self.stalled_s += waited
            generation.preempted_at = 0.0

    def prefill_cost(self, generation: Generation) -> int:
        """Return how many tokens need prefill, at least 1; cached blocks need none."""
        hit = 0
        for block in generation.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            hit += 1
        self.cache_hits += hit
        cached = min(hit * BLOCK_TOKENS, generation.prompt_tokens)
        return max(generation.memory - cached, 1)

    def store_prefix(self, generation: Generation) -> None:
        """Cache a prompt's blocks and evict the least recently used ones."""
        now = time.monotonic()
        for block in generation.blocks:
            if block not in self.cache:
                self.cache_log.append((now, "stored", block))
            self.cache[block] = None
            self.cache.move_to_end(block)
        room = int(self.model.memory_tokens * self.model.cache_share / BLOCK_TOKENS)
        while len(self.cache) > room:
            old, _ = self.cache.popitem(last=False)
            self.cache_log.append((now, "removed", old))

    def preempt_for_room(self) -> None:
        """Preempt until the next step's tokens fit or one sequence is left."""
        while len(self.running) > 1:
            growing = sum(1 for g in self.running if g.prefill_left <= 0)
            if self.used() + growing <= self.model.memory_tokens:
                return
            victim = max(self.running, key=rank)
            self.running.remove(victim)
            self.preempt(victim)

    def preempt_all(self) -> None:
        """Preempt every running sequence, as if other work used the KV cache."""
        for generation in self.running:
            self.preempt(generation)
        self.running.clear()

    def preempt(self, generation: Generation) -> None:
        """Put a sequence back into the waiting queue."""
        generation.state = "waiting"
        generation.preempted += 1
        generation.preempted_at = time.monotonic()
        self.preemptions += 1
        self.waiting.append(generation)

    def finish(self, generation: Generation, reason: str) -> None:
        """End a generation and free its KV cache."""
        if generation.finish:
            return
        for place in (self.running, self.waiting):
            if generation in place:
                place.remove(generation)
        self.end_stall(generation)
        generation.finish = reason
        generation.state = "cancelled" if reason == "cancelled" else "completed"
        generation.ended_at = time.monotonic()
        generation.wake()
        self.wakeup.set()

    def step(self) -> float:
        """Apply one step and return how long it takes in seconds."""
        self.preempt_for_room()
        budget = self.model.prefill_chunk_tokens
        read = 0
        decoding = 0
        for generation in list(self.running):
            if generation.prefill_left > 0:
                chunk = min(generation.prefill_left, budget - read)
                generation.prefill_left -= chunk
                read += chunk
                if generation.prefill_left <= 0:
                    self.store_prefix(generation)
                continue
            decoding += 1
            generation.produced += 1
            generation.wake()
            if generation.produced >= generation.goal:
                done = "stop" if generation.length <= generation.limit else "length"
                self.finish(generation, done)
        self.prefilled_tokens += read
        model = self.model
        decode_s = model.step_per_sequence_s * decoding
        prefill_s = model.prefill_per_token_s * read
        return (model.step_s + decode_s + prefill_s) * self.slow_factor

    async def run(self) -> None:
        """Run steps while there are generations; wait when there are none."""
        while True:
            if self.frozen or not (self.running or self.waiting):
                self.wakeup.clear()
                await self.wakeup.wait()
                continue
            self.admit()
            if not self.running:
                await asyncio.sleep(self.model.step_s)
                continue
            started = time.monotonic()
            took = self.step()
            await asyncio.sleep(max(0.0, took - (time.monotonic() - started)))


def rank(generation: Generation) -> tuple[int, float]:
    """Return the sort key of the scheduling order: priority number, then age."""
    return (generation.priority, generation.arrived)
