"""Case 9: prompts with a part that crashes workers come several at a time."""

from __future__ import annotations

import asyncio

from review.cases2.record import Record
from review.cases2.site import DIGEST, MODEL, Site, main
from review.cases2.workers import Worker

CONTACT_S = 3.0
BACK_S = 2.5
BURST_COUNT, BURSTS, BURST_PAUSE_S = 7, 3, 6.0
CRASHES_BEFORE, ALLOWED = 5, 3
SHARED_PART, BAD_PART = "5c1e07a2:40", "91bd3f06:31"


class Crashes:
    """Crashes each worker that begins an answer on a prompt with the bad part."""

    def __init__(self, *, record: Record):
        self.record = record
        self.at: list[float] = []
        self.tasks: set[asyncio.Task] = set()

    def watch(self, worker: Worker) -> None:
        """Crash a worker at such a prompt."""
        worker.before_answer = lambda request: self.begin(worker, request)

    def begin(self, worker: Worker, request) -> bool:
        """Crash the worker if the prompt has the part; return whether it goes on."""
        if BAD_PART not in request.headers["x-prompt-prefix"]:
            return True
        if worker.is_up:
            self.at.append(self.record.now())
            self.tasks.add(asyncio.create_task(worker.crash(BACK_S)))
        return False


async def send_sound(site: Site, until: float) -> None:
    """Send sound prompts that share the other parts, at any gateway."""
    number = 0
    while site.record.now() < until:
        number += 1
        site.send(
            site.random.choice(site.gateways),
            f"{DIGEST}{number}",
            deadline_s=20.0,
            tokens="300,40",
            prefix=f"{SHARED_PART},{number:08x}:229",
        )
        await asyncio.sleep(0.35)


async def play(site: Site, record: Record, trouble: bool) -> bool:
    """Send bursts of prompts, of which each has the part and a last part of its own."""
    await site.start(gateways=4, plain=1, engines=8)
    crashes = Crashes(record=record)
    for worker in site.of(MODEL):
        crashes.watch(worker)
    await asyncio.sleep(4.0)
    until = record.now() + BURSTS * BURST_PAUSE_S
    sound = asyncio.create_task(send_sound(site, until))
    middle = BAD_PART if trouble else "77aa3f06:31"
    bad: dict[str, float] = {}
    for burst in range(BURSTS):
        await asyncio.sleep(BURST_PAUSE_S / 2)
        record.add(f"burst {burst + 1}")
        for number in range(BURST_COUNT):
            task = site.send(
                site.gateways[number % len(site.gateways)],
                f"{DIGEST}b{burst}-{number}",
                deadline_s=20.0,
                tokens="300,40",
                prefix=f"{SHARED_PART},{middle},{burst:04x}{number:04x}:229",
            )
            task.add_done_callback(
                lambda done: bad.update({done.result().attempt: done.result().sent_at})
            )
        await asyncio.sleep(BURST_PAUSE_S / 2)
    await sound
    await site.settle()
    if len(crashes.at) < CRASHES_BEFORE:
        record.add(f"{len(crashes.at)} crashes")
        return False
    counts_from = crashes.at[CRASHES_BEFORE - 1] + CONTACT_S
    reached = [
        (at, attempt)
        for worker in site.of(MODEL)
        for at, attempt in worker.came
        if attempt in bad and at > counts_from
    ]
    record.add(
        f"{len(crashes.at)} crashes, the fifth at {crashes.at[4]:.3f};"
        f" {len(reached)} requests with the part reached workers after"
        f" {counts_from:.3f}: {sorted(reached)}"
    )
    return len(reached) > ALLOWED


if __name__ == "__main__":
    main(play, __file__)
