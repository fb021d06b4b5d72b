"""Steps on parts of prompts that crash engines."""

import asyncio
import itertools
import time

import attrs
from behave import given, then, when

from fakes.crashing import CrashingFleet, has_part
from features.sitecase import eventually
from features.steps.gateway import run, start

BAD_PART = "bad0"
# Limits that don't end in the time that a scenario takes.
OPTIONS = {"revoke_ms": 60_000}
PATHS = {"streams": "/draft/x", "resumable streams": "/check/x"}
BAD_INTERVAL_S = 0.1
SOUND_INTERVAL_S = 0.08
SOUND_SUBJECTS = 5
CRASHES_TO_BLAME = 5


@attrs.frozen
class Outcome:
    """When a sound request was sent, and whether its answer was whole."""

    sent_at: float
    served: bool


class Traffic:
    """Callers who send prompts at all gateways in turn; no two are alike."""

    def __init__(self, *, case, path):
        self.case = case
        self.path = path
        self.numbers = itertools.count(1)
        self.rotation = itertools.cycle(range(len(case.gateways)))
        self.bad_rotation = itertools.cycle(range(len(case.gateways)))
        self.outcomes: list[Outcome] = []
        self.calls: set[asyncio.Task] = set()

    async def call(self, middle):
        """Send a prompt whose middle part is given; return whether it is served."""
        number = next(self.numbers)
        rotation = self.bad_rotation if middle == BAD_PART else self.rotation
        headers = {
            "X-Attempt-Id": f"{number:016x}",
            "X-Prompt-Prefix": f"ab:600,{middle}:200,f{number:x}:200",
        }
        try:
            reply = await self.case.call(
                self.path,
                "POST",
                gateway=next(rotation),
                **headers,
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200 and reply.whole

    async def sound_call(self):
        """Send a sound prompt and keep its outcome."""
        sent_at = time.monotonic()
        middle = f"c{next(self.numbers) % SOUND_SUBJECTS}"
        self.outcomes.append(Outcome(sent_at, await self.call(middle)))

    async def repeat(self, call, interval_s, for_s):
        """Start a call at intervals, whatever becomes of the ones before."""
        end_at = time.monotonic() + for_s
        while time.monotonic() < end_at:
            self.calls.add(asyncio.create_task(call()))
            await asyncio.sleep(interval_s)

    async def play(self, for_s, bad=True):
        """Send sound prompts, and bad ones too if asked for."""
        kinds = [self.repeat(self.sound_call, SOUND_INTERVAL_S, for_s)]
        if bad:
            bad_call = lambda: self.call(BAD_PART)
            kinds.append(self.repeat(bad_call, BAD_INTERVAL_S, for_s))
        await asyncio.gather(*kinds)
        await asyncio.gather(*self.calls)


@given("a site with {count:d} engines that a part crashes and {gateways:d} gateways")
def crashing_site(context, count, gateways):
    start(context, plain=0, engines=0, gateways=gateways, options=OPTIONS)
    context.fleet = CrashingFleet(
        store=context.case.store, is_crashing=has_part(BAD_PART)
    )

    async def play():
        for _ in range(count):
            await context.fleet.add()
        traffic = Traffic(case=context.case, path="/draft/x")
        for _ in context.case.gateways:
            await eventually(lambda: traffic.call("c0"), "an engine is known")

    run(context, play())
    context.add_cleanup(lambda: run(context, context.fleet.stop()))


@given("the store is down")
def store_down(context):
    context.case.store.failing_status = 503


@when(
    "{requests} with the part come at all gateways for {seconds:d} seconds"
    " beside sound ones"
)
def bad_and_sound(context, requests, seconds):
    context.traffic = Traffic(case=context.case, path=PATHS[requests])
    run(context, context.traffic.play(seconds))


@when("{which} starts again")
def start_again(context, which):
    gateways = context.case.gateways
    restarted = gateways[:1] if which == "one gateway" else gateways

    async def play():
        await asyncio.gather(*(gateway.stop() for gateway in restarted))
        for gateway in restarted:
            gateway.restart()
        for gateway in restarted:
            await eventually(gateway.is_ready, "a gateway is ready")

    run(context, play())


@when("all engines crash {times:d} times while sound streams come at all gateways")
def crash_by_themselves(context, times):
    context.traffic = Traffic(case=context.case, path=PATHS["streams"])
    fleet = context.fleet

    async def crash_all():
        for _ in range(times):
            await asyncio.sleep(0.5)
            for engine in list(fleet.engines.values()):
                await engine.crash()
            running = len(fleet.engines) - len(fleet.crashed_at)
            assert running == 0, running
            await asyncio.sleep(2)

    async def play():
        await asyncio.gather(crash_all(), context.traffic.play(times * 2.5, bad=False))

    run(context, play())


@then(
    "at most {count:d} of them reach engines later than {seconds:d} seconds"
    " after the fifth crash"
)
def few_later(context, count, seconds):
    fleet = context.fleet
    assert fleet.crashed_at, "no engine has crashed"
    if len(fleet.crashed_at) < CRASHES_TO_BLAME:
        return
    fifth = fleet.crashed_at[CRASHES_TO_BLAME - 1]
    later = [at - fifth for at in fleet.reached_at() if at - fifth > seconds]
    assert len(later) <= count, (len(later), len(fleet.crashed_at), later)


def recent_outcomes(outcomes, seconds):
    """Return the outcomes of the requests that were sent last."""
    last = max(outcome.sent_at for outcome in outcomes)
    return [each for each in outcomes if each.sent_at > last - seconds]


@then("the sound ones of the last {seconds:d} seconds are served")
def sound_served(context, seconds):
    recent = recent_outcomes(context.traffic.outcomes, seconds)
    failed = [each for each in recent if not each.served]
    assert recent and not failed, (len(recent), len(failed))


@then("none of {count:d} more streams with the part reaches an engine")
def none_reaches(context, count):
    before = len(context.fleet.reached_at())

    async def play():
        for _ in range(count):
            await context.traffic.call(BAD_PART)

    run(context, play())
    reached = len(context.fleet.reached_at()) - before
    assert reached == 0, reached


@then("sound streams are served at all gateways")
def all_served(context):
    count = 2 * len(context.case.gateways) * SOUND_SUBJECTS

    async def play():
        calls = [context.traffic.call(f"c{n % SOUND_SUBJECTS}") for n in range(count)]
        return await asyncio.gather(*calls)

    served = run(context, play())
    assert all(served), served
