"""Steps of malformed, oversized and slow input."""

import concurrent.futures
import contextlib
import json
import pathlib
import socket
import threading
import time
import urllib.parse

from behave import given, then, when
from helper import Answer, open_stream, scrape, send, start_fleet, wait_for

LOW = {
    "entry": {
        "body_limit_bytes": 2_000_000,
        "body_memory_bytes": 8_000_000,
        "body_values_limit": 50_000,
        "body_timeout_s": 2.0,
        "body_wait_s": 0.5,
        "header_timeout_s": 2.0,
    }
}
READ_LIMIT_S = 15


@given('a shared "{name}" fleet with low limits')
def low_fleet(context, name):
    fleet = getattr(context.feature, "fleet", None)
    if fleet is None:
        fleet = start_fleet(
            context, name, True, hosts=2, engines=2, workers=1, overrides=LOW
        )
        context.feature.pid = entry_process(fleet).pid
    context.fleet = fleet


def entry_process(fleet):
    return fleet.processes[f"entry@{fleet.hosts[0].name}"]


def raw(context, data, more=None):
    """Send bytes over a connection of their own; return the answer or None."""
    parts = urllib.parse.urlsplit(context.fleet.entry(0))
    with socket.create_connection((parts.hostname, parts.port), READ_LIMIT_S) as sock:
        sock.settimeout(READ_LIMIT_S)
        with contextlib.suppress(OSError):
            sock.sendall(data)
            for part in more or ():
                sock.sendall(part)
        received = b""
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                received += part
                head, found, body = received.partition(b"\r\n\r\n")
                if found and complete(head, body):
                    break
    head, _, body = received.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    assert first.startswith("HTTP/1.1 "), received[:200]
    headers = dict(line.lower().split(": ", 1) for line in lines)
    status = int(first.split()[1])
    return Answer(status=status, headers=headers, text=body.decode())


def complete(head, body):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length: "):
            return len(body) >= int(line[16:])
    return False


def head(length=None, path="/v1/completions", extra=()):
    lines = [f"POST {path} HTTP/1.1", "Host: entry", "Authorization: Bearer key-buyers"]
    lines.append("Transfer-Encoding: chunked")
    if length is not None:
        lines[-1] = f"Content-Length: {length}"
    return "\r\n".join([*lines, *extra, "", ""]).encode()


def whole(body):
    return lambda context: raw(context, head(len(body)) + body)


def in_chunks(body, size=65536):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return [b"%x\r\n%s\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]


def endless(context):
    def trickle():
        for _ in range(100):
            time.sleep(0.1)
            yield b"1\r\n \r\n"

    return raw(context, head(), trickle())


PROMPT = b'{"model": "rumia", "prompt": "[tag=b length=1]", "x": %s}'
BODIES = {
    "that is empty": whole(b""),
    "that is half an object": whole(b'{"model": "rumia", "pro'),
    "that is a list": whole(b"[1, 2]"),
    "with invalid UTF-8": whole(b'{"model": "\xff\xfe\xc3"}'),
    "in UTF-16": whole('{"model": "rumia"}'.encode("utf-16")),
    "with NaN": whole(PROMPT % b"NaN"),
    "with a number of 5000 digits": whole(PROMPT % (b"9" * 5000)),
    "nested 10000 deep": whole(PROMPT % (b"[" * 10000 + b"]" * 10000)),
    "nested 10000 deep in objects": whole(
        PROMPT % (b'{"a":' * 10000 + b"1" + b"}" * 10000)
    ),
    "nested 70 deep": whole(PROMPT % (b"[" * 70 + b"]" * 70)),
    "over the limit, declared": lambda context: raw(context, head(2_000_001)),
    "over the limit, in chunks": lambda context: raw(
        context, head(), in_chunks(b" " * 2_100_000)
    ),
    "with too many values": whole(PROMPT % (b"[" + b"1," * 60_000 + b"1]")),
    "that never ends": endless,
    "with negative Content-Length": lambda context: raw(context, head(-5)),
}


@when("the body {name} is sent")
def send_bad_body(context, name):
    context.answer = BODIES[name](context)


@then('the answer has code {code:d} and run "{run}"')
def answer_code(context, code, run):
    if not code:
        assert context.answer.status == 400, context.answer
        return
    error = context.answer.error
    assert (error["code"], error["run"]) == (code, run), error


@when(
    "a chat whose text has {count:d} brackets and {quotes:d} nested quotes is streamed"
)
def brackets_chat(context, count, quotes):
    text = "[tag=brackets length=3]" + "[" * count + '{"\\"' * quotes
    body = {"model": "rumia", "messages": [{"role": "user", "content": text}]}
    url = context.fleet.entry(0) + "/v1/chat/completions"
    context.answer = send(url, key="key-buyers", body=body)


@then("it is served")
def is_served(context):
    assert context.answer.status == 200, context.answer


ODD = [
    None,
    True,
    -1,
    0,
    1.5,
    1e308,
    2**70,
    "",
    "\ud800",
    "x" * 5000,
    [],
    [[]],
    {},
    {"a": [None]},
]
FIELDS = {
    "/v1/completions": [
        *("model", "prompt", "max_tokens", "priority", "stream", "n", "temperature"),
        *("stream_options", "request_id", "cache_salt", "stop", "logprobs", "user"),
    ],
    "/v1/chat/completions": [
        *("model", "messages", "max_tokens", "max_completion_tokens", "priority"),
        *("stream", "n", "tools", "messages.0", "messages.0.content"),
        *("messages.0.role", "messages.0.content.0", "messages.0.content.0.text"),
    ],
}


def with_odd(path, field, value):
    mark = "[tag=odd length=2]"
    body = {"model": "rumia", "max_tokens": 2, "prompt": mark}
    if path.endswith("chat/completions"):
        content = [{"type": "text", "text": mark}]
        messages = [{"role": "user", "content": content}]
        body = {"model": "rumia", "messages": messages, "max_tokens": 2}
    place = body
    *way, last = [int(s) if s.isdigit() else s for s in field.split(".")]
    for step in way:
        place = place[step]
    place[last] = value
    return body


@when("every field of both generation calls gets {count:d} odd values")
def odd_fields(context, count):
    assert len(ODD) == count

    def one(case):
        path, field, value = case
        body = json.dumps(with_odd(path, field, value)).encode()
        answer = send(context.fleet.entry(0) + path, key="key-buyers", body=body)
        return field, str(value)[:20], answer

    cases = [(p, f, v) for p, fields in FIELDS.items() for f in fields for v in ODD]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        context.odd = list(pool.map(one, cases))


@then("every answer is a numbered error or a served generation")
def odd_answers(context):
    bad = []
    for field, value, answer in context.odd:
        code = answer.headers.get("x-baobabturn-code", "")
        if answer.status != 200 and code not in (
            "1001",
            "1004",
            "1005",
            "1203",
            "1406",
        ):
            bad.append((field, value, answer.status, answer.text[:100]))
    assert not bad, bad


def trickled_headers(lines=1000):
    for number in range(lines):
        time.sleep(0.1)
        yield b"X-Slow-%d: 1\r\n" % number


def many_headers(count, size):
    return [f"X-Fill-{number}: {'v' * size}" for number in range(count)]


HEADERS = {
    "of 100000 bytes": lambda c: raw(c, head(0, extra=many_headers(10, 10_000))),
    "of 300 lines": lambda c: raw(c, head(0, extra=many_headers(300, 1))),
    "that never end": lambda c: raw(c, head()[:-2], trickled_headers(60)),
    "that never begin": lambda c: raw(c, b""),
    "with a path of 100000 bytes": lambda c: raw(c, head(0, "/v1/" + "p" * 100_000)),
}


@when("the headers {name} are sent")
def send_bad_headers(context, name):
    context.answer = HEADERS[name](context)


@when("{heads:d} connections trickle headers and {bodies:d} trickle bodies")
def trickle(context, heads, bodies):
    parts = urllib.parse.urlsplit(context.fleet.entry(0))
    context.slow = []
    for number in range(heads + bodies):
        sock = socket.create_connection((parts.hostname, parts.port), READ_LIMIT_S)
        sock.sendall(head()[:-2] if number < heads else head())
        context.slow.append(sock)
    context.trickling = True

    def feed():
        while context.trickling:
            for number, sock in enumerate(context.slow):
                with contextlib.suppress(OSError):
                    sock.sendall(b"X: 1\r\n" if number < heads else b"1\r\n \r\n")
            time.sleep(0.2)

    context.feeder = threading.Thread(target=feed)
    context.feeder.start()


@then("a caller is served meanwhile within {seconds:g} s")
def served_meanwhile(context, seconds):
    began = time.monotonic()
    body = {"model": "rumia", "prompt": "[tag=while length=3]"}
    answer = send(
        context.fleet.entry(0) + "/v1/completions", key="key-buyers", body=body
    )
    assert answer.status == 200 and time.monotonic() - began < seconds, answer


@then("all of the slow connections are closed within {seconds:g} s")
def slow_closed(context, seconds):
    end = time.monotonic() + seconds
    left = 0
    for sock in context.slow:
        sock.settimeout(max(0.1, end - time.monotonic()))
        try:
            while sock.recv(65536):
                pass
        except TimeoutError:
            left += 1
        except OSError:
            pass
    context.trickling = False
    context.feeder.join()
    for sock in context.slow:
        sock.close()
    assert not left, f"{left} are open"


def rss_bytes(pid):
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * 4096


def at_once(context, count, make):
    """Send many bodies at once while sampling the entry's memory."""
    pid = entry_process(context.fleet).pid
    context.top_bytes = 0
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [pool.submit(make, number) for number in range(count)]
        while not all(future.done() for future in futures):
            context.top_bytes = max(context.top_bytes, rss_bytes(pid))
            time.sleep(0.01)
    context.many = [future.result() for future in futures]


def filled(tag, size):
    return json.dumps(
        {
            "model": "rumia",
            "max_tokens": 3,
            "messages": [
                {
                    "role": "user",
                    "content": [
                        {"type": "text", "text": f"[tag={tag} length=3]"},
                        {"type": "image_url", "image_url": {"url": "A" * size}},
                    ],
                }
            ],
        }
    ).encode()


@when("{count:d} bodies of {size:d} bytes come at once, half of them in chunks")
def many_bodies(context, count, size):
    body = filled("many", size)
    path = "/v1/chat/completions"

    def one(number):
        if number % 2:
            return raw(context, head(path=path), in_chunks(body))
        return raw(context, head(len(body), path) + body)

    def other():
        time.sleep(0.1)
        small = filled("other", 100)
        url = context.fleet.entry(0) + path
        context.other = send(url, key="key-auditors", body=small)

    thread = threading.Thread(target=other)
    thread.start()
    at_once(context, count, one)
    thread.join()


@then("some got code 1204 with advice when to come back and the others are served")
def some_refused(context):
    refused = [each for each in context.many if each.status != 200]
    assert refused and len(refused) < len(context.many), len(refused)
    for answer in refused:
        assert answer.error["code"] == 1204, answer
        assert answer.error["retry_after_s"] > 0 and answer.error["run"] == "not-run"


@then("another workspace's body was served meanwhile")
def other_served(context):
    assert context.other.status == 200, context.other


@then("the entry's memory stayed under {limit:d} bytes")
def memory_bounded(context, limit):
    print(f"top resident bytes: {context.top_bytes}")
    assert 0 < context.top_bytes < limit, context.top_bytes


@when("{count:d} bodies of {size:d} bytes of empty objects come at once")
def empty_objects(context, count, size):
    body = PROMPT % (b"[" + b"{}," * (size // 3) + b"1]")
    at_once(context, count, lambda number: raw(context, head(len(body)) + body))


@then("each got code 1002 or 1204")
def each_refused(context):
    codes = {answer.error["code"] for answer in context.many}
    assert codes <= {1002, 1204}, codes


@when("{count:d} generations each name another kind")
def many_kinds(context, count):
    def one(number):
        url = context.fleet.entry(0) + "/v1/completions"
        body = {"model": "rumia", "prompt": "[tag=kinds length=1]"}
        kind = {"X-Baobabturn-Kind": f"kind-{number}"}
        return send(url, key="key-buyers", body=body, headers=kind).status

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        assert set(pool.map(one, range(count))) == {200}


@then("the metrics tell at most {limit:d} kinds apart")
def few_kinds(context, limit):
    kinds = set()
    for url in context.fleet.entries():
        text = scrape(url).text
        kinds |= {
            line.split('kind="')[1].split('"')[0]
            for line in text.splitlines()
            if 'kind="' in line
        }
    assert 1 < len(kinds) <= limit, kinds


@then("the entry still runs under its first process id")
def same_process(context):
    process = entry_process(context.fleet)
    assert process.poll() is None and process.pid == context.feature.pid
    stream = open_stream(
        context.fleet.entry(0) + "/v1/completions",
        key="key-buyers",
        body={"model": "rumia", "prompt": "[tag=end length=2]", "stream": True},
    )
    assert stream.status == 200 and len(list(stream.events())) == 4
    wait_for(lambda: not context.fleet.counts("rumia-1")["open"], "open generations")
