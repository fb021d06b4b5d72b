"""Steps on callers that offer to switch protocols."""

import asyncio

from behave import then, when

from fakes.callers import read_reply, request_headers
from features.steps.gateway import run

PATH = "/post/x"
ATTEMPT, INNER_ATTEMPT = "a1b2c3d4e5f60718", "f" * 16
PAUSE_S = 0.03
# A body that is the text of a request.
BODY = (
    "GET /open/inner HTTP/1.1\r\nHost: desk.example\r\n"
    f"X-Attempt-Id: {INNER_ATTEMPT}\r\n\r\n"
).encode()
OFFERS = {
    "h2c": [("Connection", "Upgrade, HTTP2-Settings"), ("Upgrade", "h2c")],
    "websocket": [("Connection", "Upgrade"), ("Upgrade", "websocket")],
    "TLS/1.2": [("Connection", "upgrade"), ("Upgrade", "TLS/1.2")],
    "h2c in lines of their own": [
        ("Connection", "HTTP2-Settings"),
        ("Connection", "Upgrade"),
        ("Upgrade", "h2c"),
    ],
    "h2c beside keep-alive": [
        ("Connection", "keep-alive, UPGRADE"),
        ("UPGRADE", "h2c"),
    ],
    "two protocols": [("Connection", "Upgrade"), ("Upgrade", "h2c, websocket")],
}


def head(offer, framing, path=PATH, attempt=ATTEMPT, method="POST"):
    """Return the bytes of a request's head."""
    headers = request_headers(path, {"X-Attempt-Id": attempt})
    pairs = [*headers.items(), *offer, framing]
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {v}" for name, v in pairs)]
    return "\r\n".join([*lines, "", ""]).encode()


def parts(offer, how):
    """Return the bytes of a request in the pieces that are sent apart."""
    data = head(offer, ("Content-Length", str(len(BODY))))
    if how == "comes in chunks":
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
        return [head(offer, ("Transfer-Encoding", "chunked")), chunk]
    middle = len(data) // 2
    return {
        "comes with the head": [data + BODY],
        "comes later": [data, BODY],
        "comes byte by byte": [data, *(BODY[i : i + 1] for i in range(len(BODY)))],
        "comes after half the head": [data[:middle], data[middle:] + BODY],
    }[how]


async def send_parts(context, pieces, answers=1):
    """Send pieces with pauses between; return the answers."""
    address = context.case.gateways[0].addresses["callers"]
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_S if len(piece) > 1 else 0)
        async with asyncio.timeout(5):
            replies = [await read_reply(reader) for _ in range(answers)]
        await asyncio.sleep(2 * PAUSE_S)
        return replies
    finally:
        writer.close()


@when("a caller posts with an offer of {offer}, and the body {how}")
def post_with_offer(context, offer, how):
    pieces = parts(OFFERS[offer], how)
    context.reply = run(context, send_parts(context, pieces))[0]


def runs(context):
    """Return the attempt, target and body of what the endpoints ran."""
    return [
        (each.attempt_id, each.target, each.body)
        for endpoint in context.case.endpoints.values()
        for each in endpoint.ran
    ]


@then("the endpoints ran that request alone, with its own body")
def ran_alone(context):
    assert context.reply.status == 200, context.reply
    assert runs(context) == [(ATTEMPT, PATH, BODY)], runs(context)
    for endpoint in context.case.endpoints.values():
        for each in endpoint.ran:
            assert not {"upgrade", "http2-settings"} & set(each.headers), each


@when("a caller sends a post with an offer of h2c and two requests behind it at once")
def pipelined(context):
    length = ("Content-Length", str(len(BODY)))
    data = head(OFFERS["h2c"], length) + BODY
    data += head([], length, "/post/y", "b" * 16) + BODY
    data += head([], ("Accept", "*/*"), "/read/z", "c" * 16, "GET")
    context.replies = run(context, send_parts(context, [data], 3))


@then("the endpoints ran all three with their own bodies, each with its answer")
def ran_three(context):
    assert [each.status for each in context.replies] == [200] * 3, context.replies
    expected = [
        (ATTEMPT, PATH, BODY),
        ("b" * 16, "/post/y", BODY),
        ("c" * 16, "/read/z", b""),
    ]
    assert sorted(runs(context)) == sorted(expected), runs(context)


@when("a caller {asks} and sends a request behind that")
def tunnel(context, asks):
    first = {
        "asks for a tunnel": b"CONNECT desk.example:80 HTTP/1.1\r\nHost: a\r\n\r\n",
        "begins with HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    }[asks]
    pieces = [first, head([], ("Accept", "*/*"), "/read/x", ATTEMPT, "GET")]
    context.reply = run(context, send_parts(context, pieces))[0]


@when("a caller posts half a body and closes its side")
def half_body(context):
    length = ("Content-Length", str(len(BODY)))

    async def play():
        address = context.case.gateways[0].addresses["callers"]
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head([], length) + BODY[:10])
        writer.write_eof()
        await asyncio.sleep(10 * PAUSE_S)
        writer.close()

    run(context, play())


@then("no endpoint has run anything")
def none_ran(context):
    assert not runs(context), runs(context)


@when("a caller posts with an offer of {offer} and {count:d} more headers")
def many_headers(context, offer, count):
    more = [(f"X-More-{number}", "1") for number in range(count)]
    length = ("Content-Length", str(len(BODY)))
    pieces = [head([*more, *OFFERS[offer]], length) + BODY]
    context.reply = run(context, send_parts(context, pieces))[0]
