"""Steps on requests that crash endpoints."""

import asyncio
import itertools
import time

import attrs
from behave import given, then, when

from fakes.crashing import CrashingFleet
from fakes.siteconfig import API_KEY, ENGINE_SERVICE, PLAIN_SERVICE, configuration
from features.sitecase import eventually
from features.steps.gateway import run, start
from features.steps.gatewaycrashes import recent_outcomes

OPTIONS = {"retry_slack": 10_000}
BAD_INTERVAL_S, SOUND_INTERVAL_S = 0.15, 0.05
OTHER_KEY = "key-of-rivals"
ENDPOINT_TIME_S = 0.1
REFUSED_CODE = "1610"


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request: how one that crashes endpoints differs from sound ones."""

    method: str
    bad_path: str
    sound_path: str
    bad_body: bytes
    sound_body: bytes
    events: int = 0


KINDS = {
    "safe": Kind(
        method="GET",
        bad_path="/read/bad",
        sound_path="/read/sound",
        bad_body=b"",
        sound_body=b"",
    ),
    "unsafe": Kind(
        method="POST",
        bad_path="/post/x",
        sound_path="/post/x",
        bad_body=b'{"calf": -1}',
        sound_body=b'{"calf": 1}',
    ),
    "query": Kind(
        method="GET",
        bad_path="/read/x?page=-1",
        sound_path="/read/x?page=1",
        bad_body=b"",
        sound_body=b"",
    ),
    "streamed": Kind(
        method="POST",
        bad_path="/draft/x",
        sound_path="/draft/x",
        bad_body=b"bad",
        sound_body=b"sound",
        events=5,
    ),
    "resumable": Kind(
        method="POST",
        bad_path="/check/x",
        sound_path="/check/x",
        bad_body=b"bad",
        sound_body=b"sound",
        events=5,
    ),
}


@attrs.frozen(kw_only=True)
class Outcome:
    """When a request was sent, how it ended, and how long that took."""

    request_id: str
    sent_at: float
    status: int
    took_s: float
    headers: dict[str, str]


class Callers:
    """Callers who send bad and sound requests of one kind at all gateways in turn."""

    def __init__(self, *, case, kind):
        self.case = case
        self.kind = kind
        self.numbers = itertools.count(1)
        self.rotation = itertools.cycle(range(len(case.gateways)))
        self.sound: list[Outcome] = []
        self.bad: list[Outcome] = []
        self.calls: set[asyncio.Task] = set()

    async def call(self, path, body, key=API_KEY, gateway=None):
        """Send a request; return how it ended, with status 0 for no answer."""
        request_id = f"{next(self.numbers):016x}"
        sent_at = time.monotonic()
        chosen = next(self.rotation) if gateway is None else gateway
        headers = {"X-Attempt-Id": request_id, "Authorization": f"Bearer {key}"}
        if self.kind.events:
            headers["X-Prompt-Prefix"] = f"ab:600,f{request_id}:200"
        try:
            reply = await self.case.call(
                path, self.kind.method, body, gateway=chosen, **headers
            )
            status = reply.status if reply.whole else 0
            found = reply.headers
        except (OSError, asyncio.IncompleteReadError):
            status, found = 0, {}
        return Outcome(
            request_id=request_id,
            sent_at=sent_at,
            status=status,
            took_s=time.monotonic() - sent_at,
            headers=found,
        )

    async def send_bad(self):
        """Send the request that crashes endpoints."""
        kind = self.kind
        self.bad.append(await self.call(kind.bad_path, kind.bad_body))

    async def send_sound(self):
        """Send a sound request."""
        kind = self.kind
        self.sound.append(await self.call(kind.sound_path, kind.sound_body))

    async def repeat(self, send, interval_s, for_s):
        """Send at intervals, whatever becomes of the requests before."""
        end_at = time.monotonic() + for_s
        while time.monotonic() < end_at:
            self.calls.add(asyncio.create_task(send()))
            await asyncio.sleep(interval_s)

    async def play(self, for_s):
        """Send both kinds of requests."""
        await asyncio.gather(
            self.repeat(self.send_sound, SOUND_INTERVAL_S, for_s),
            self.repeat(self.send_bad, BAD_INTERVAL_S, for_s),
        )
        await asyncio.gather(*self.calls)


def is_bad(kind):
    """Return a test for the requests that crash endpoints."""
    return lambda request: (
        request.target == kind.bad_path and request.body == kind.bad_body
    )


@given(
    "a site with {count:d} endpoints that a {kind} request crashes and"
    " {gateways:d} gateways"
)
def crashing_site(context, count, kind, gateways):
    start(context, plain=0, engines=0, gateways=gateways, options=OPTIONS)
    context.kind = KINDS[kind]
    value = configuration(2)
    value["tenants"].append({"name": "rivals", "apiKeys": [OTHER_KEY], "priority": 1})
    context.case.store.write("config", "main", value)
    context.fleet = CrashingFleet(
        store=context.case.store,
        is_crashing=is_bad(context.kind),
        service=ENGINE_SERVICE if context.kind.events else PLAIN_SERVICE,
        events=context.kind.events,
    )
    context.callers = Callers(case=context.case, kind=context.kind)

    async def play():
        for _ in range(count):
            await context.fleet.add()
        for number in range(gateways):

            async def served(number=number):
                kind, callers = context.kind, context.callers
                path, body = kind.sound_path, kind.sound_body
                sent = await callers.call(path, body, OTHER_KEY, gateway=number)
                return sent.status == 200

            await eventually(served, "a sound request is served")

    run(context, play())
    context.add_cleanup(lambda: run(context, context.fleet.stop()))


@when("that request comes at all gateways for {seconds:d} seconds beside sound ones")
def bad_and_sound(context, seconds):
    run(context, context.callers.play(seconds))


@then(
    "at most {count:d} of them reach endpoints later than {seconds:d} seconds"
    " after the third crash"
)
def few_later(context, count, seconds):
    fleet = context.fleet
    assert fleet.crashed_at, "no endpoint has crashed"
    if len(fleet.crashed_at) < 3:
        return
    third = fleet.crashed_at[2]
    later = [at - third for at in fleet.reached_at() if at - third > seconds]
    assert len(later) <= count, (len(later), len(fleet.crashed_at), later)


@then("the sound requests of the last {seconds:d} seconds are served")
def sound_served(context, seconds):
    recent = recent_outcomes(context.callers.sound, seconds)
    failed = [each for each in recent if each.status != 200]
    assert recent and not failed, (len(recent), len(failed), failed[:2])


@then(
    "the next {count:d} of them are refused within {seconds:g} seconds with a time to"
    " come back"
)
def refused_at_once(context, count, seconds):
    kind, callers = context.kind, context.callers

    async def play():
        return [await callers.call(kind.bad_path, kind.bad_body) for _ in range(count)]

    for outcome in run(context, play()):
        assert outcome.status == 503, outcome
        assert outcome.headers["x-baobabturn-code"] == REFUSED_CODE, outcome
        assert float(outcome.headers["retry-after"]) > 0, outcome
        assert outcome.took_s < seconds, outcome


@then("none of those refused as not run has reached an endpoint")
def truly_not_run(context):
    reached = {
        request.attempt_id
        for endpoint in context.fleet.engines.values()
        for request in endpoint.ran
    }
    refused = {each.request_id for each in context.callers.bad if each.status == 503}
    assert refused, "none was refused"
    assert not refused & reached, refused & reached


@then("the same path and body of another caller isn't refused")
def other_caller(context):
    kind, callers = context.kind, context.callers
    context.fleet.is_crashing = lambda request: False
    for endpoint in context.fleet.engines.values():
        endpoint.is_crashing = lambda request: False

    async def play():
        return await callers.call(kind.bad_path, kind.bad_body, key=OTHER_KEY)

    run(context, asyncio.sleep(1.5))
    outcome = run(context, play())
    assert outcome.status == 200, outcome


@then("none of {count:d} more of them reaches an endpoint")
def none_reaches(context, count):
    before = len(context.fleet.reached_at())

    async def play():
        for _ in range(count):
            await context.callers.send_bad()

    run(context, play())
    reached = len(context.fleet.reached_at()) - before
    assert reached == 0, reached


def take_time(endpoint):
    """Let an endpoint take some time for each answer."""
    handle = endpoint.handle

    async def later(request, reader, writer):
        await asyncio.sleep(ENDPOINT_TIME_S)
        return await handle(request, reader, writer)

    endpoint.handle = later


@when(
    "a caller asks for one status at all gateways and endpoints end {times:d} times"
    " under it"
)
def end_by_chance(context, times):
    kind, callers, fleet = context.kind, context.callers, context.fleet
    for endpoint in fleet.engines.values():
        take_time(endpoint)

    async def ask():
        callers.sound.append(await callers.call(kind.sound_path, kind.sound_body))

    async def end_endpoints():
        for _ in range(times):
            await asyncio.sleep(0.6)
            alive = [each for each in fleet.engines.values() if each.server is not None]
            await alive[0].crash()

    async def play():
        await asyncio.gather(
            callers.repeat(ask, SOUND_INTERVAL_S, times * 0.6 + 1.0), end_endpoints()
        )
        await asyncio.gather(*callers.calls)

    run(context, play())


@then("the status is served at all gateways")
def status_served(context):
    kind, callers = context.kind, context.callers

    async def play():
        return [
            await callers.call(kind.sound_path, kind.sound_body, gateway=number)
            for number in range(len(context.case.gateways))
        ]

    found = run(context, play())
    assert all(each.status == 200 for each in found), found
