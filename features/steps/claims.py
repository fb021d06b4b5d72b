"""Steps of calls that run at most once."""

import asyncio
import hashlib
import signal
import threading
import time

import attrs
from behave import given, then, when
from helper import connect, send, start_fleet, wait_for

from baobabturn.core.results import Code, Failure
from baobabturn.settings.load import load
from baobabturn.store.acquisition import Claim
from baobabturn.store.claims import CLAIM_KIND, Claims, claim_name
from baobabturn.store.claimvalues import ClaimValue, Result, encode_claim
from baobabturn.store.httpstore import HttpStore
from baobabturn.store.sweep import ClaimSweep
from baobabturn.store.version import ABSENT
from fakes.platform import FakePlatform

NAME = claim_name("clerks", "corral", "k")
ANSWER = Result(status=200, content_type="text/plain", body=b"done")
OVERRIDES = {"entry": {"claim_wait_s": 1.0, "address_lifetime_s": 0.5}}


@given('a platform with the write faults "{faults}"')
def platform_with_faults(context, faults):
    context.faults = faults.split()


@given('a platform with the write faults ""')
def platform_without_faults(context):
    context.faults = []


def with_platform(context, case):
    """Run a case against a fake platform and two claim holders."""

    async def run():
        platform = FakePlatform()
        url = await platform.start()
        platform.faults["write_faults"] = list(context.faults)
        settings = attrs.evolve(
            load(None, None).settings.platform, url=url, backoff_first_s=0.02
        )
        stores = [HttpStore(settings=settings, seed=n) for n in range(2)]
        holders = [
            Claims(store=store, node=f"host-{n}", wait_s=0.5, result_limit_bytes=1000)
            for n, store in enumerate(stores)
        ]
        try:
            return await case(platform, *holders)
        finally:
            for store, holder in zip(stores, holders, strict=True):
                await holder.background.stop()
                await store.close()
            await platform.stop()

    return asyncio.run(run())


def soon(seconds=5.0):
    return time.monotonic() + seconds


def state_of(platform, name=NAME):
    found = platform.objects.get((CLAIM_KIND, name))
    return found["value"]["state"] if found else "absent"


@when("one claim is taken, started and {end}")
def life_of_claim(context, end):
    async def case(platform, claims, _):
        claim = await claims.acquire(NAME, "hash", soon())
        assert isinstance(claim, Claim), claim
        assert await claims.start(claim, soon(), 5.0) is None
        ends = {
            "recorded": lambda: claims.record(claim, ANSWER),
            "unknown": lambda: claims.record_unknown(claim),
            "voided": lambda: claims.void(claim),
        }
        assert await ends[end]() is None
        counts = platform.counts
        writes = counts.get("put", 0) + counts.get("delete", 0)
        context.life = (state_of(platform), writes, counts.get("get", 0))

    with_platform(context, case)


@then('the claim ended as "{state}" after {writes:d} writes and {reads:d} reads')
def claim_ended(context, state, writes, reads):
    assert context.life == (state, writes, reads), context.life


@when("{count:d} calls with one key run at once, each {seconds:g} s long")
def calls_at_once(context, count, seconds):
    async def call(claims):
        while True:
            taken = await claims.acquire(NAME, "hash", soon(10))
            if not isinstance(taken, Claim):
                return 0, taken
            if await claims.start(taken, soon(10), 10) is None:
                break
        await asyncio.sleep(seconds)
        await claims.record(taken, ANSWER)
        return 1, ANSWER

    async def case(platform, *holders):
        work = [call(holders[n % 2]) for n in range(count)]
        return await asyncio.gather(*work)

    context.outcomes = with_platform(context, case)


@then("{count:d} of them sent and all have the same result")
def one_sent(context, count):
    assert sum(sent for sent, _ in context.outcomes) == count, context.outcomes
    assert all(result.body == b"done" for _, result in context.outcomes)


@when("a holder sleeps after its claim and another call comes")
def sleeping_holder(context):
    async def case(platform, sleeper, other):
        claim = await sleeper.acquire(NAME, "hash", soon())
        taken = await other.acquire(NAME, "hash", soon())
        return (
            taken,
            await other.start(taken, soon(), 5),
            await sleeper.start(claim, soon(), 5),
        )

    context.taken, context.other, context.sleeper = with_platform(context, case)


@then("the other call may send and the holder may not")
def holder_lost(context):
    assert isinstance(context.taken, Claim) and context.other is None
    assert isinstance(context.sleeper, Failure) and context.sleeper.code == 1501


@when("a claim is given up and its create takes effect later")
def late_create(context):
    async def case(platform, first, second):
        given_up = await first.acquire(NAME, "hash", soon(0.3))
        await first.background.stop()
        await asyncio.sleep(1.2)
        before = state_of(platform)
        taken = await second.acquire(NAME, "hash", soon())
        return given_up, before, taken, await second.start(taken, soon(), 5)

    context.late = with_platform(context, case)


@then("a later call with the key may send")
def later_may_send(context):
    given_up, before, taken, started = context.late
    assert given_up.code == 1502 and given_up.run == "not-run", given_up
    assert before == "claimed" and isinstance(taken, Claim) and started is None


@when("claims of all states, ages and ends are swept")
def sweep_claims(context):
    now = time.time()
    ages = {"past": (-90, -70), "recent": (-90, -50), "running": (-90, 30)}

    async def case(platform, claims, _):
        names = {}
        for state in ("claimed", "sending", "done", "unknown"):
            for age, (at, until) in ages.items():
                name = "abc" + hashlib.sha256(f"{state}{age}".encode()).hexdigest()
                names[name] = age
                value = ClaimValue(
                    nonce=name, state=state, request="h", at=now + at, until=now + until
                )
                await claims.store.put(CLAIM_KIND, name, encode_claim(value), ABSENT)
        sweep = ClaimSweep(
            store=claims.store,
            lifetime_s=60,
            interval_s=1,
            owns_prefix=lambda prefix: True,
        )
        count = await sweep.sweep("abc")
        return count, [names[name] for _, name in platform.objects]

    context.swept, context.left = with_platform(context, case)


@then("only those whose end is a lifetime ago are gone")
def past_gone(context):
    assert context.swept == 4, context.swept
    assert sorted(context.left) == ["recent"] * 4 + ["running"] * 4


@when("a result larger than the limit is recorded")
def large_result(context):
    async def case(platform, first, second):
        claim = await first.acquire(NAME, "hash", soon())
        await first.start(claim, soon(), 5)
        body = b"x" * 2000
        await first.record(claim, attrs.evolve(ANSWER, body=body))
        return body, await second.acquire(NAME, "hash", soon())

    context.body, context.repeat = with_platform(context, case)


@then('a repeat is told code {code:d} with run "{run}" and the digest')
def told_digest(context, code, run):
    assert (context.repeat.code, context.repeat.run) == (code, run), context.repeat
    assert hashlib.sha256(context.body).hexdigest() in context.repeat.reason


@given('a shared "{name}" fleet for claims')
def claims_fleet(context, name):
    context.fleet = getattr(context.feature, "fleet", None) or start_fleet(
        context, name, True, hosts=3, engines=1, workers=2, overrides=OVERRIDES
    )
    context.answers = []
    context.threads = []
    context.deadline_s = 12
    fleet = context.fleet
    for host in fleet.hosts:
        if fleet.processes[f"entry@{host.name}"].poll() is not None:
            fleet.restart(f"entry@{host.name}")
    fleet.control("platform", down=False, slow_s=0, write_faults=[])
    set_services(context)
    fleet.wait_ready()
    for entry in range(len(fleet.hosts)):
        key = f"warm-{time.monotonic()}"
        wait_for(lambda e=entry, k=key: warm(context, e, k), "claims", 20)
    context.answers = []


def warm(context, entry, key):
    """Return whether an entry takes claims again, as after an outage."""
    return post(context, "clerks", "warm", key, entry).status == 200


def services(fleet):
    return [line["name"] for line in fleet.endpoints if line["kind"] == "service"]


def set_services(context, **faults):
    clean = {
        "slow_s": 0,
        "status": 200,
        "redirect": False,
        "truncate": False,
        "reset_after_run": False,
        "reset_before_run": False,
    }
    for name in services(context.fleet):
        context.fleet.control(name, **{**clean, **faults})


@given("the services are slow by {seconds:g} s")
def slow_services(context, seconds):
    set_services(context, slow_s=seconds)


@given('the services have the fault "{fault}"')
def services_fault(context, fault):
    set_services(context, **{fault: 503 if fault == "status" else True})


@when("the services have no fault")
def services_clean(context):
    set_services(context)


@given("the platform is down")
def platform_down(context):
    context.fleet.control("platform", down=True)


@when("the platform is up again")
def platform_up(context):
    context.fleet.control("platform", down=False)


@given('the platform treats the next claim writes with "{faults}"')
def next_writes(context, faults):
    context.fleet.control("platform", write_faults=faults.split())


PATHS = {"tally": ("POST", "tally"), "animal": ("PUT", "animals/calf")}


@given("calls have a deadline of {seconds:d} s")
@when("calls have a deadline of {seconds:d} s")
def call_deadline(context, seconds):
    context.deadline_s = seconds


def post(context, workspace, tag, key, entry, kind="tally"):
    method, path = PATHS[kind]
    url = f"{context.fleet.entry(entry)}/v1/services/corral/{path}"
    headers = {"Idempotency-Key": key, "X-Baobabturn-Deadline": str(context.deadline_s)}
    began = time.monotonic()
    try:
        answer = send(
            url,
            key=f"key-{workspace}",
            body={"tag": tag},
            method=method,
            headers=headers,
        )
    except OSError:
        return None
    context.took = time.monotonic() - began
    context.answers.append(answer)
    return answer


def post_later(context, *details):
    thread = threading.Thread(target=post, args=(context, *details))
    thread.start()
    context.threads.append(thread)
    return thread


def wait_threads(context):
    for thread in context.threads:
        thread.join(30)
        assert not thread.is_alive()


def ran(context, tag):
    counts = [context.fleet.counts(name)["ran"] for name in services(context.fleet)]
    return sum(count.get(tag, 0) for count in counts)


@when('"{space}" posts tally "{tag}" with key "{key}" at entries 0 and 1 at once')
def post_twice(context, space, tag, key):
    for entry in (0, 1):
        post_later(context, space, tag, key, entry)
    wait_threads(context)


@when('"{space}" sends {kind:w} "{tag}" with key "{key}" to entry {entry:d}')
@then('"{space}" sends {kind:w} "{tag}" with key "{key}" to entry {entry:d}')
def post_one(context, space, kind, tag, key, entry):
    post(context, space, tag, key, entry, kind)


@when(
    '"{space}" sends tally "{tag}" with key "{key}" to entry {entry:d}'
    " until it is served"
)
def post_until(context, space, tag, key, entry):
    wait_for(lambda: post(context, space, tag, key, entry).status == 200, "service")


@when(
    '"{space}" sends tally "{tag}" with key "{key}" to entry {entry:d}'
    " and the platform fails meanwhile"
)
def post_platform_fails(context, space, tag, key, entry):
    post_later(context, space, tag, key, entry)
    wait_for(lambda: ran(context, tag), "the send")
    context.fleet.control("platform", down=True)
    wait_threads(context)


@when('"{space}" sends tally "{tag}" with key "{key}" to entry {entry:d} and goes away')
def post_goes_away(context, space, tag, key, entry):
    post_and_leave(context, space, "tally", tag, entry, {"Idempotency-Key": key})
    wait_for(lambda: ran(context, tag), "the send")
    context.left.close()


def post_and_leave(context, space, path, tag, entry, headers):
    url = f"{context.fleet.entry(entry)}/v1/services/corral/{path}"
    context.left, place = connect(url, 10)
    sent = {**headers, "Authorization": f"Bearer key-{space}"}
    context.left.request("POST", place, b'{"tag": "%s"}' % tag.encode(), sent)


@when('"{space}" asks for a check at entry {entry:d} and goes away')
def check_goes_away(context, space, entry):
    post_and_leave(context, space, "checks", "left", entry, {})
    wait_for(lambda: ran(context, "left"), "the send")
    context.left.close()


@then("no worker has an open call within {seconds:g} s")
def none_open(context, seconds):
    def closed():
        names = services(context.fleet)
        return not any(context.fleet.counts(name)["open"] for name in names)

    wait_for(closed, "the calls to end", seconds)


def entry_name(context, entry):
    return f"entry@{context.fleet.hosts[entry].name}"


def claim_writes(context):
    return context.fleet.counts("platform")["by_kind"].get("put:baobabturn-claim", 0)


@when(
    '"{space}" sends tally "{tag}" with key "{key}" to entry {entry:d},'
    " which is {fate} meanwhile"
)
def post_fate(context, space, tag, key, entry, fate):
    before = claim_writes(context)
    # Read first: a quick entry may meet the faults before they could be read.
    has_faults = bool(context.fleet.counts("platform")["write_faults"])
    post_later(context, space, tag, key, entry)
    if has_faults:
        wait_for(lambda: claim_writes(context) >= before + 2, "two claim writes")
    else:
        wait_for(lambda: ran(context, tag), "the send")
    name = entry_name(context, entry)
    if fate == "killed":
        context.fleet.kill(name)
        wait_threads(context)
    else:
        context.fleet.signal(name, signal.SIGSTOP)
        context.paused = name


@when("the paused entry wakes")
def wake(context):
    context.fleet.signal(context.paused, signal.SIGCONT)
    wait_threads(context)


@when(
    '"{space}" sends tally "{tag}" with key "{key}" to entry {entry:d},'
    " which is told to stop"
)
def post_and_stop(context, space, tag, key, entry):
    post_later(context, space, tag, key, entry)
    wait_for(lambda: ran(context, tag), "the send")
    context.fleet.signal(entry_name(context, entry), signal.SIGTERM)
    wait_threads(context)
    context.fleet.processes[entry_name(context, entry)].wait(20)


@then('every answer has status {status:d} and the workers ran "{tag}" 1 time in all')
def all_served(context, status, tag):
    found = [answer.status for answer in context.answers]
    assert len(found) == 2 and set(found) == {status}, context.answers
    assert ran(context, tag) == 1, ran(context, tag)


@then('nobody was told "not-run" and the workers ran "{tag}" 1 time in all')
def none_told_not_run(context, tag):
    runs = [answer.headers["x-baobabturn-run"] for answer in context.answers]
    assert len(runs) == 2 and "not-run" not in runs, context.answers
    assert ran(context, tag) == 1, ran(context, tag)


@then("one of the answers is marked as replayed")
def one_replayed(context):
    marks = [each.headers["x-baobabturn-replayed"] for each in context.answers]
    assert sorted(marks) == ["false", "true"], marks


@then('the last answer has code {code:d} and run "{run}"')
def last_code(context, code, run):
    error = context.answers[-1].error
    assert (error["code"], error["run"]) == (code, run), error


@then("the last answer has status {status:d}")
def last_status(context, status):
    answer = context.answers[-1]
    assert answer.status == status, (answer.status, answer.text[:300])


@then('the last answer has status {status:d} and run "{run}"')
def last_status_run(context, status, run):
    answer = context.answers[-1]
    found = (answer.status, answer.headers["x-baobabturn-run"])
    assert found == (status, run), (found, answer.text[:300])


@then("it came within {seconds:g} s and says when to come back")
def came_soon(context, seconds):
    assert context.took < seconds, context.took
    assert context.answers[-1].error["retry_after_s"] > 0


@then('"{space}" is served a check at entry {entry:d}')
def served_check(context, space, entry):
    url = f"{context.fleet.entry(entry)}/v1/services/corral/checks"
    answer = send(url, key=f"key-{space}", body={"tag": "check"})
    assert answer.status == 200, answer


@then('the workers ran "{tag}" {times:d} time in all')
@then('the workers ran "{tag}" {times:d} times in all')
def ran_in_all(context, tag, times):
    assert ran(context, tag) == times, ran(context, tag)


@then('the workers ran "{tag}" at most 1 time in all')
def ran_at_most(context, tag):
    assert ran(context, tag) <= 1, ran(context, tag)


RETURN_WAIT_S = 6.0


async def lose_claim(platform, claims, state):
    """Hold a claim in a state, and let the store return from a copy before it."""
    before = platform.version
    claim = await claims.acquire(NAME, "hash", soon())
    if state == "outdated":
        before = platform.version
    assert await claims.start(claim, soon(60), 60.0) is None
    if state == "recorded":
        assert await claims.record(claim, ANSWER) is None
    platform.restore(before)


@when("the store returns from a copy without a claim that is {state}")
def claim_lost(context, state):
    async def case(platform, holder, other):
        platform.era = 1
        await other.acquire(claim_name("clerks", "corral", "other"), "hash", soon())
        await lose_claim(platform, holder, state)
        outcomes = []
        end = soon(RETURN_WAIT_S)
        while time.monotonic() < end:
            taken = await other.acquire(NAME, "hash", soon(0.3))
            outcomes.append(taken)
            if isinstance(taken, Claim):
                break
            await asyncio.sleep(0.2)
        return outcomes

    context.outcomes = with_platform(context, case)


@then("no other call with the key is allowed to send")
def none_sends(context):
    taken = [each for each in context.outcomes if isinstance(each, Claim)]
    assert not taken, taken


@then("later calls with the key end as {outcome}")
def ends_as(context, outcome):
    last = context.outcomes[-1]
    if outcome == "recorded":
        assert isinstance(last, Result), last
        assert last.body == ANSWER.body
    else:
        assert isinstance(last, Failure), last
        assert last.code is Code.CLAIM_IN_PROGRESS, last
