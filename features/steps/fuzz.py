"""Steps of fuzzing the inner protocol and the engine's stream."""

import asyncio
import json
import random
import struct

from behave import given, then, when
from linkcase import Case

from baobabturn.core.results import Code, Failure
from baobabturn.endpoints.openaistream import OpenAIStream
from baobabturn.wire import codec
from baobabturn.wire.bodies import BODIES
from baobabturn.wire.messages import (
    Admit,
    ConfigUpdate,
    Hello,
    Member,
    MemberView,
    Part,
)

SEED = 11
FRAME = struct.Struct(">I")


def samples():
    """Return packed messages of every kind, some with lists inside."""
    bodies = [kind() for kind in BODIES]
    bodies += [
        MemberView(members=[Member(name=f"m{n}") for n in range(5)]),
        ConfigUpdate(revision=3, manifest=b"{}", parts=[Part(body=b"x" * 300)]),
        Admit(request="r", excluded=["a", "b"], prefixes=[1, 2, 3]),
    ]
    return [
        codec.pack(codec.Envelope(body=body, call=n)) for n, body in enumerate(bodies)
    ]


def mutated(source, data):
    """Return some bytes with a few changed, cut or repeated."""
    changed = bytearray(data)
    for _ in range(source.randint(1, 8)):
        place = source.randrange(len(changed))
        changed[place] = source.choice((0, 1, 127, 255, source.randrange(256)))
    if source.random() < 0.2:
        changed = changed[: source.randrange(len(changed))]
    if source.random() < 0.1:
        changed = changed * 2
    return bytes(changed)


@when("{count:d} random and {more:d} mutated messages are unpacked")
def unpack_many(context, count, more):
    source = random.Random(SEED)
    kinds = samples()
    inputs = [source.randbytes(source.randrange(200)) for _ in range(count)]
    inputs += [mutated(source, source.choice(kinds)) for _ in range(more)]
    context.unpacked = [codec.unpack(data) for data in inputs]


@then("each gave a message or code 1001 or 1903")
def unpacked_or_code(context):
    for found in context.unpacked:
        assert isinstance(found, codec.Envelope) or found.code in (1001, 1903), found


@given("a link server")
def link_server(context):
    context.case = Case()


@given("a link server with another secret")
def other_server(context):
    context.case = Case("another")


@then("a client is refused with code {code:d}")
def client_refused(context, code):
    async def work(case):
        return await case.client().open()

    found = asyncio.run(context.case.run(work))
    assert isinstance(found, Failure) and found.code == code, found


def framed(data):
    return FRAME.pack(len(data)) + data


@when("{count:d} peers send garbage, mutated hellos and oversized frames")
def garbage_peers(context, count):
    source = random.Random(SEED)
    hello = codec.pack(codec.Envelope(body=Hello(node="x", nonce="y", proof="z")))

    def one():
        kind = source.randrange(3)
        if kind == 0:
            return source.randbytes(source.randrange(1, 400))
        if kind == 1:
            return framed(mutated(source, hello))
        return FRAME.pack(source.randrange(5000, 2**32)) + source.randbytes(50)

    async def work(case):
        peers = [case.raw(one()) for _ in range(count)]
        return await asyncio.gather(*peers), await case.served()

    context.closed, context.served = asyncio.run(context.case.run(work))


@then("the server closed each of them and serves a true peer")
def closed_each(context):
    assert all(context.closed) and context.served is True, context.served


@when("a peer that was welcomed sends {count:d} mutated messages")
def welcomed_garbage(context, count):
    source = random.Random(SEED)
    kinds = samples()

    async def work(case):
        for _ in range(count):
            link = await case.client().open()
            assert not isinstance(link, Failure), link
            link.writer.write(framed(mutated(source, source.choice(kinds))))
            link.close()
        return await case.served()

    context.served = asyncio.run(context.case.run(work))


@then("the server serves a true peer")
def serves_true(context):
    assert context.served is True, context.served


async def recorded_hello(case):
    """Return the bytes that a true client sent to a server that records them."""
    got = asyncio.get_running_loop().create_future()
    challenge = codec.pack(codec.Envelope(body=codec.MEMBERS["welcome"](nonce="old")))

    async def record(reader, writer):
        writer.write(framed(challenge))
        got.set_result(await reader.read(65536))
        writer.close()

    recorder = await asyncio.start_server(record, "127.0.0.1", 0)
    port = recorder.sockets[0].getsockname()[1]
    client = case.client()
    client.port = port
    await client.open()
    recorder.close()
    return await got


async def wrong_secret(case):
    found = await case.client("wrong").open()
    return isinstance(found, Failure) and found.code is Code.LINK_REFUSED


async def replay(case):
    return await case.raw(await recorded_hello(case))


PEERS = {
    "has a wrong secret": wrong_secret,
    "replays a recorded hello": replay,
    "sends a frame of 5000 bytes first": lambda case: case.raw(framed(b"x" * 5000)),
    "claims a frame of 4 gigabytes": lambda case: case.raw(b"\xff\xff\xff\xff"),
    "sends nothing": lambda case: case.raw(),
    "sends one byte a second": lambda case: case.raw(*[b"\0"] * 5, pause=0.9),
}


@when("a peer {does}")
def odd_peer(context, does):
    async def work(case):
        closed = await PEERS[does](case)
        return closed, await case.served(), len(case.server.links)

    context.odd_peer = asyncio.run(context.case.run(work))


@then("the server closed it within 5 s and serves a true peer")
def closed_in_time(context):
    closed, served, _ = context.odd_peer
    assert closed and served is True, context.odd_peer


class Content:
    """The body of an answer that comes in parts."""

    def __init__(self, parts):
        self.parts = list(parts)

    async def readany(self):
        """Return the next part, none at the end."""
        return self.parts.pop(0) if self.parts else b""


class FakeAnswer:
    """An HTTP answer with a body and nothing else."""

    def __init__(self, parts):
        self.content = Content(parts)

    def close(self):
        """Close nothing."""


def stream_bytes(source):
    events = []
    for index in range(source.randrange(1, 6)):
        choice = {"index": 0, "text": f"t{index}", "finish_reason": None}
        events.append({"choices": [choice], "sequence_number": index})
    events.append({"choices": [{"index": 0, "finish_reason": "stop"}]})
    lines = [b"data: " + json.dumps(event).encode() + b"\n\n" for event in events]
    return b"".join([*lines, b"data: [DONE]\n\n"])


ODD_EVENTS = (
    b"data: []\n\n",
    b"data: 7\n\n",
    b"data: null\n\n",
    b'data: {"choices": 5}\n\n',
    b'data: {"choices": [null]}\n\n',
    b'data: {"choices": [{"finish_reason": []}], "sequence_number": 1e999}\n\n',
    b'data: {"choices": [{}], "sequence_number": -5}\n\n',
    b'data: {"choices": [{}], "sequence_number": "x"}\n\n',
    b"data: " + b"[" * 10000 + b"\n\n",
    b"data: \xff\xfe\n\n",
    b"data: " + b"9" * 6000 + b"\n\n",
)


def odd_stream(source):
    kind = source.randrange(4)
    if kind == 0:
        return source.randbytes(source.randrange(1, 300))
    data = stream_bytes(source)
    if kind == 1:
        return mutated(source, data)
    if kind == 2:
        return data[: source.randrange(len(data))]
    return source.choice(ODD_EVENTS) + data


async def read_all(data, source):
    parts = []
    while data:
        size = source.randrange(1, 60)
        parts.append(data[:size])
        data = data[size:]
    stream = OpenAIStream(response=FakeAnswer(parts), first_index=0)
    for _ in range(100):
        found = await stream.read()
        if isinstance(found, Failure):
            return int(found.code)
        if found[-1].finish is not None:
            return 0
    return -1


@when("{count:d} random, mutated and truncated streams are read")
def read_streams(context, count):
    source = random.Random(SEED)

    async def work():
        return [await read_all(odd_stream(source), source) for _ in range(count)]

    context.ends = asyncio.run(work())


@then("each ended with its finish marker or with code 1404")
def ends_known(context):
    assert set(context.ends) == {0, 1404}, set(context.ends)
