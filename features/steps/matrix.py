"""Steps of the failure matrix: kinds of work, faults and the verdict."""

import http.client
import json
import random
import signal
import subprocess
import threading
import time
import urllib.parse

import attrs
from behave import given, then, when
from helper import Stream, connect, send, start_fleet, token_indexes, wait_for

SEED = 7
EACH = 3
DEADLINE_S = 9
SLACK_S = 2.5
OPEN_LIMIT_S = 15
RECOVERY_S = 15
BEFORE_S = 0.5
DURING_S = 2.5
TOKENS = 120
OVERRIDES = {
    "entry": {
        "resume_grace_s": 2,
        "stall_timeout_s": 2,
        "first_token_timeout_s": 4,
        "retry_share": 1,
    }
}
STREAMS = ("summary", "quote")
WHOLE = ("question",)
CLAIMED = {"tally": ("POST", "tally"), "booking": ("PUT", "animals/booth")}
REPEATABLE = {
    "check": ("POST", "checks"),
    "read": ("GET", "ledger/read"),
    "status": ("GET", "ledger/status"),
}
KINDS = (*STREAMS, *WHOLE, *REPEATABLE, *CLAIMED)
SERVICES = (*REPEATABLE, *CLAIMED)
REPEATED = (*STREAMS, *WHOLE, *REPEATABLE)
SERVED = {
    "all": (KINDS, KINDS),
    "what can resume or repeat": ((*STREAMS, *REPEATABLE), (*STREAMS, *REPEATABLE)),
    "services and later all": (SERVICES, KINDS),
    "repeatable and later all": (REPEATED, KINDS),
    "services": (SERVICES, SERVICES),
    "all but claimed": (REPEATED, REPEATED),
}


@attrs.define
class Work:
    """One caller's request and how it ended."""

    kind: str
    tag: str
    entry: int
    wave: int = 1
    ending: str = ""
    code: int = 0
    run: str = ""
    detail: str = ""
    took_s: float = 0.0
    lost: bool = False
    texts: list = attrs.Factory(list)


@given('a shared "{name}" fleet for the matrix')
def matrix_fleet(context, name):
    context.fleet = getattr(context.feature, "fleet", None)
    if context.fleet is None:
        start_fleet(
            context, name, True, hosts=3, engines=3, workers=2, overrides=OVERRIDES
        )
        context.feature.cells = 0
    context.feature.cells += 1
    context.fleet.wait_ready()
    for entry in range(len(context.fleet.hosts)):
        work = Work("tally", f"warm-{context.feature.cells}-{entry}", entry)
        wait_for(lambda w=work: is_served(context.fleet, w), "claims", RECOVERY_S)


def is_served(fleet, work):
    """Return whether an entry serves a call that may not be repeated."""
    attempt(fleet, work, time.monotonic() + DEADLINE_S, "")
    return work.ending == "served"


def work_url(fleet, work):
    path = {**CLAIMED, **REPEATABLE}.get(work.kind, ("", ""))[1]
    if work.kind == "quote":
        return fleet.entry(work.entry) + "/v1/chat/completions"
    if work.kind in (*STREAMS, *WHOLE):
        return fleet.entry(work.entry) + "/v1/completions"
    return f"{fleet.entry(work.entry)}/v1/services/corral/{path}?tag={work.tag}"


def work_body(work):
    length = TOKENS if work.kind in STREAMS else 8
    mark = f"[tag={work.tag} length={length}]"
    body = {"model": "rumia", "stream": work.kind in STREAMS}
    if work.kind != "quote":
        return {**body, "prompt": mark, "tag": work.tag}
    image = {"type": "image_url", "image_url": {"url": "data:" + "A" * 20_000}}
    content = [{"type": "text", "text": mark}, image]
    return {**body, "messages": [{"role": "user", "content": content}]}


def caller_headers(work, end):
    left = max(0.2, end - time.monotonic())
    headers = {"X-Baobabturn-Deadline": f"{left:.2f}"}
    headers["Authorization"] = f"Bearer key-{WORKSPACES[work.kind]}"
    headers["Content-Type"] = "application/json"
    if work.kind in CLAIMED:
        headers["Idempotency-Key"] = f"key-of-{work.tag}"
    return headers


WORKSPACES = {
    "summary": "herders-north",
    "quote": "herders-south",
    "question": "buyers",
    "check": "auditors",
    "read": "buyers",
    "status": "buyers",
    "tally": "clerks",
    "booking": "clerks",
}


def attempt(fleet, work, end, last_id):
    """Make one connection for a request; return the last event id if it broke."""
    method = {**CLAIMED, **REPEATABLE}.get(work.kind, ("POST", ""))[0]
    limit = max(0.5, end + SLACK_S - time.monotonic())
    connection, path = connect(work_url(fleet, work), limit)
    headers = caller_headers(work, end)
    if last_id:
        headers["Last-Event-ID"] = last_id
    data = None if method == "GET" else json.dumps(work_body(work)).encode()
    connection.request(method, path, data, headers)
    answer = connection.getresponse()
    if answer.status == 200 and work.kind in STREAMS:
        return follow(work, Stream(connection=connection, answer=answer))
    text = answer.read().decode()
    connection.close()
    work.ending = "served" if answer.status == 200 else "refused"
    work.run = answer.headers.get("x-baobabturn-run", "")
    work.code = int(answer.headers.get("x-baobabturn-code") or 0)
    work.detail = f"{answer.status} {text[:160]}"
    return ""


def follow(work, stream):
    """Read a stream; return the place to resume from where it broke."""
    try:
        for event in stream.events():
            if event.data == "[DONE]":
                work.ending = "served"
            elif event.name == "error":
                error = event.values["error"]
                work.ending, work.code = "refused", error["code"]
                work.run, work.detail = error["run"], error["message"]
            elif event.text:
                work.texts.append(event.text)
    except (OSError, http.client.HTTPException):
        pass
    if not work.ending and not stream.last_id:
        raise ConnectionResetError("the stream broke before its first event")
    return stream.last_id


def carry(fleet, work):
    """Act as a caller: at a broken connection go on at the next entry."""
    began = time.monotonic()
    end = began + DEADLINE_S
    last_id = ""
    while not work.ending and time.monotonic() < end:
        try:
            last_id = attempt(fleet, work, end, last_id) or last_id
        except TimeoutError:
            work.detail = "no answer"
            break
        except (OSError, http.client.HTTPException) as error:
            work.detail = type(error).__name__
            refused = isinstance(error, ConnectionRefusedError)
            if work.kind in WHOLE and not refused:
                work.ending = "connection lost"
        work.lost = work.lost or not work.ending
        if not work.ending:
            work.entry = (work.entry + 1) % len(fleet.hosts)
            time.sleep(0.05)
    work.took_s = time.monotonic() - began


def role_at(context, role):
    return f"{role}@{context.fleet.hosts[context.victim].name}"


def kill_role(role):
    def fault(context):
        name = role_at(context, role)
        context.fleet.kill(name)
        return lambda: context.fleet.restart(name)

    return fault


def pause_role(role):
    def fault(context):
        name = role_at(context, role)
        context.fleet.signal(name, signal.SIGSTOP)
        return lambda: context.fleet.signal(name, signal.SIGCONT)

    return fault


def respawn(fleet, name):
    """Start a killed fake again at its address and port."""
    port = urllib.parse.urlsplit(fleet.endpoint_url(name)).port
    command = fleet.commands[name]
    if "--port" not in command:
        command = [*command, "--port", str(port)]
    process = fleet.spawn(name, command, stdout=subprocess.PIPE, text=True)
    assert process.stdout.readline().strip()


def endpoint_at(context, kind):
    names = [e["name"] for e in context.fleet.endpoints if e["kind"] == kind]
    return names[context.victim % len(names)]


def kill_engine(context):
    name = endpoint_at(context, "engine")
    context.fleet.kill(name)
    return lambda: respawn(context.fleet, name)


def reclaim_engine(context):
    name = endpoint_at(context, "engine")
    context.fleet.control(name, leaving=True)
    context.fleet.set_host_list(leaving=(name,))
    timer = threading.Timer(2.0, context.fleet.kill, [name])
    timer.start()

    def heal():
        timer.join()
        respawn(context.fleet, name)
        context.fleet.set_host_list()

    return heal


def kill_service(context):
    name = endpoint_at(context, "service")
    url = context.fleet.endpoint_url(name) + "/control"
    last = send(url, body={"die": True}).body["ran"]
    for tag, count in last.items():
        context.ran_before[tag] = context.ran_before.get(tag, 0) + count
    context.fleet.processes[name].wait(10)
    return lambda: respawn(context.fleet, name)


def engine_control(faults, clean):
    def fault(context):
        name = endpoint_at(context, "engine")
        context.fleet.control(name, **faults)
        return lambda: context.fleet.control(name, **clean)

    return fault


def cut_links(context):
    """Cut all streams of an engine once, for a moment."""
    name = endpoint_at(context, "engine")
    context.fleet.control(name, cut_after=1)
    time.sleep(0.2)
    context.fleet.control(name, cut_after=-1)
    return lambda: None


def platform(faults, clean):
    def fault(context):
        context.fleet.control("platform", **faults)
        return lambda: context.fleet.control("platform", **clean)

    return fault


FAULTS = {
    "no fault": lambda context: lambda: None,
    "a killed entry": kill_role("entry"),
    "a killed scheduler": kill_role("scheduler"),
    "a killed controller": kill_role("controller"),
    "a killed engine": kill_engine,
    "a killed service": kill_service,
    "a reclaimed engine": reclaim_engine,
    "a stalled engine": engine_control({"frozen": True}, {"frozen": False}),
    "a failing engine": engine_control({"cut_after": 0}, {"cut_after": -1}),
    "a refusing engine": engine_control({"refuse": True}, {"refuse": False}),
    "a cut link to an engine": cut_links,
    "a paused entry": pause_role("entry"),
    "a paused scheduler": pause_role("scheduler"),
    "a paused controller": pause_role("controller"),
    "a platform that is down": platform({"down": True}, {"down": False}),
    "a slow platform": platform({"slow_s": 3.0}, {"slow_s": 0}),
    "a platform losing answers": platform({"lose_answers": 0.5}, {"lose_answers": 0}),
}


def start_work(context, wave):
    entries = len(context.fleet.hosts)
    for kind in KINDS:
        for number in range(EACH):
            tag = f"{kind}-{context.feature.cells}-{wave}-{number}"
            work = Work(kind, tag, context.random.randrange(entries), wave)
            thread = threading.Thread(target=carry, args=(context.fleet, work))
            thread.start()
            context.work.append((work, thread))


@when("all kinds of work are in progress and there is {first} and {second}")
def run_cell(context, first, second):
    context.random = random.Random(f"{SEED}/{first}/{second}")
    context.victim = context.random.randrange(len(context.fleet.hosts))
    context.ran_before = {}
    context.work = []
    for name in services(context.fleet):
        context.fleet.control(name, slow_s=0.7)
    start_work(context, 1)
    time.sleep(BEFORE_S)
    heals = [FAULTS[first](context)]
    context.victim = (context.victim + 1) % len(context.fleet.hosts)
    heals.append(FAULTS[second](context))
    start_work(context, 2)
    time.sleep(DURING_S)
    for heal in heals:
        heal()
    for _, thread in context.work:
        thread.join(DEADLINE_S + 2 * SLACK_S)
        assert not thread.is_alive(), "a caller got no ending"


def services(fleet):
    return [e["name"] for e in fleet.endpoints if e["kind"] == "service"]


def engines(fleet):
    return [e["name"] for e in fleet.endpoints if e["kind"] == "engine"]


def total_ran(context):
    ran = dict(context.ran_before)
    for name in services(context.fleet):
        for tag, count in context.fleet.counts(name)["ran"].items():
            ran[tag] = ran.get(tag, 0) + count
    return ran


def broken_promises(context, served):
    """Return every promise that a request of the cell saw broken.

    ``served`` holds the kinds that must be served of those sent before the
    faults and of those sent after them.
    """
    ran = total_ran(context)
    found = []
    for work, _ in context.work:
        count = ran.get(work.tag, 0)
        checks = {
            "no ending by the deadline": not work.ending
            or work.took_s > DEADLINE_S + SLACK_S,
            "ran twice": work.kind in CLAIMED and count > 1,
            "false not-run": work.run == "not-run"
            and work.kind in CLAIMED
            and not work.lost
            and count > 0,
            "served but not run": work.kind in CLAIMED
            and work.ending == "served"
            and count != 1,
            "not served": work.kind in served[work.wave - 1]
            and work.ending != "served",
            "no number": work.ending == "refused" and not work.code,
            "tokens": not tokens_right(work),
        }
        bad = [name for name, failed in checks.items() if failed]
        if bad:
            texts = len(work.texts)
            detail = (work.ending, work.code, work.run, work.detail, work.took_s)
            found.append((work.tag, bad, detail, f"ran {count}", f"tokens {texts}"))
    return found


def tokens_right(work):
    """Return whether a stream's tokens came once, in order, from one generation."""
    if work.kind not in STREAMS:
        return True
    try:
        indexes = token_indexes(work.texts, work.tag)
    except AssertionError:
        return False
    in_order = indexes == list(range(len(indexes)))
    return in_order and (work.ending != "served" or len(indexes) == TOKENS)


@then("every promise holds and {served} are served")
def verdict(context, served):
    def none_open():
        return not any(context.fleet.counts(n)["open"] for n in engines(context.fleet))

    found = broken_promises(context, SERVED[served])
    wait_for(none_open, f"no open generation; promises broken: {found}", OPEN_LIMIT_S)
    assert not found, "\n".join(str(line) for line in found)
