"""Steps on odd entries among those of a site's endpoints."""

import asyncio
import json
import random

import attrs
from behave import given, then, when

from baobabturn.platform.objectstore import (
    decode_event,
    decode_object,
    load_events,
    load_items,
)
from baobabturn.store.version import StoreVersion
from fakes.siteconfig import PLAIN_SERVICE
from features.sitecase import eventually
from features.steps.gateway import run

DEPTH = 5000
MARK = "to be replaced"
ODD = {
    "5000 nested arrays": ({"extra": MARK}, b"[" * DEPTH + b"]" * DEPTH),
    "5000 nested objects": ({"extra": MARK}, b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "a number of 5000 digits": ({"slots": MARK}, b"9" * DEPTH),
    "1e999 slots": ({"slots": MARK}, b"1e999"),
    "port 70000": ({"address": "127.0.0.1:70000"}, b""),
    "port 0": ({"address": "127.0.0.1:0"}, b""),
    "a port of 5000 digits": ({"address": "127.0.0.1:" + "9" * DEPTH}, b""),
    "a port in superscript": ({"address": "127.0.0.1:\u00b2"}, b""),
    "a path in its address": ({"address": "127.0.0.1/x:80"}, b""),
    "negative slots": ({"slots": -1}, b""),
    "slots of 30 digits": ({"slots": MARK}, b"9" * 30),
    "a start of 30 digits": ({"born": MARK}, b"9" * 30),
    "a lone surrogate": ({"zone": MARK}, b'"\\ud800"'),
    "text that isn't UTF-8": ({"zone": MARK}, '"Tarraz\u00fa"'.encode("latin-1")),
    "a control character in a text": ({"zone": MARK}, b'"a\x01b"'),
    "an open quote": ({"zone": MARK}, b'"open'),
    "a quote too many": ({"zone": MARK}, b'"a"b"'),
    "an open brace": ({"zone": MARK}, b'{"a": 1'),
    "a brace too many": ({"zone": MARK}, b'"a"}'),
    "an open bracket": ({"zone": MARK}, b'["a"'),
    "a bracket and brace too many": ({"zone": MARK}, b'"a"}]}'),
    "nothing after a colon": ({"zone": MARK}, b""),
    "zero bytes": ({"zone": MARK}, bytes(8)),
    "half of an entry within it": (
        {"zone": MARK},
        b'"a"}, {"metadata": {"name": "w0", "revision": 1}, "spec": {"serv',
    ),
    "900 nested arrays": ({"extra": MARK}, b"[" * 900 + b"]" * 900),
}
# Oddities of what the store itself says of an entry.
ODD_NAMES = {
    "a name that isn't UTF-8": b'"\xff\xfe"',
    "a name with an open quote": b'"odd',
    "a name with one half of a character": b'"\\udc80"',
    "a name of 100000 characters": b'"' + b"n" * 100_000 + b'"',
    "a name that is a path": b'"../config/main"',
    "a name with a line break": b'"a\\r\\nX-Tenant: rivals"',
    "a number as its name": b"7",
}
ODD_ITEMS = {
    "a text as its revision": b'{"metadata": {"name": "odd", "revision": "x"}}',
    "a revision of 19 digits": b'{"metadata": {"name": "odd", "revision": 1%018d}}' % 0,
    "a list for its metadata": b'{"metadata": []}',
    "a text in place of it": b'"odd"',
}
REQUESTS = 12
# Among equal ones, the first endpoint gets all requests that come one by one.
SPOILT_ENDPOINT = "w0"


@given("an entry among them has {what}")
@when("an entry among them comes to have {what}")
def odd_entry(context, what):
    sound = next(iter(context.case.endpoints.values()))
    # Another service, as an entry whose extra field alone is odd may be read.
    odd = {**sound.entry(), "service": "other", "address": "127.0.0.1:9"}
    write_odd(context, what, "odd", odd)


@when("the entry of an endpoint comes to have {what}")
def spoil(context, what):
    sound = context.case.endpoints[SPOILT_ENDPOINT]
    assert run(context, statuses(context)) == {200} and sound.ran
    write_odd(context, what, SPOILT_ENDPOINT, sound.entry())


def write_odd(context, what, name, entry):
    """Write an entry with an oddity."""
    store = context.case.store
    if what in ODD_ITEMS:
        store.raw_entries[name] = ODD_ITEMS[what]
        store.write("servers", name, entry)
        return
    if what in ODD_NAMES:
        if what == "a name with a line break":
            # No header can hold it, so it can't be asked for.
            entry = {**entry, "service": PLAIN_SERVICE}
        store.raw_values[MARK] = ODD_NAMES[what]
        store.write("servers", MARK, entry)
        return
    fields, raw = ODD[what]
    if raw or MARK in fields.values():
        store.raw_values[MARK] = raw
    entry = {**entry, **fields}
    if "extra" not in fields:
        entry["service"] = PLAIN_SERVICE
    store.write("servers", name, entry)


@when("the gateways start again")
def start_again(context):
    async def play():
        for gateway in context.case.gateways:
            await gateway.stop()
            gateway.restart()
        for gateway in context.case.gateways:
            await eventually(gateway.is_ready, "a gateway is ready")

    run(context, play())


async def statuses(context):
    """Return the statuses of some requests at each gateway."""
    replies = [
        await context.case.call("/read/x", gateway=number % 2)
        for number in range(REQUESTS)
    ]
    return {reply.status for reply in replies}


@then("both serve all requests, and use no other endpoint")
def both_serve(context):
    assert run(context, statuses(context)) == {200}
    sound = {f"endpoint={name}" for name in context.case.endpoints}
    for gateway in context.case.gateways:
        for line in gateway.program.events.ring:
            is_attempt = "event=attempt-" in line
            assert not is_attempt or sound & set(line.split()), line


@then("both follow the list still")
def follow(context):
    async def play():
        await context.case.add("w9", PLAIN_SERVICE, 0)
        for name in ("w0", "w1", "w2"):
            context.case.leave(name)
        await asyncio.sleep(0.5)
        return await statuses(context)

    assert run(context, play()) == {200}
    assert context.case.endpoints["w9"].ran


@then("only the other endpoints get requests")
def only_others(context):
    case = context.case

    async def check():
        for endpoint in case.endpoints.values():
            endpoint.ran.clear()
        seen = await statuses(context)
        return seen == {200} and not case.endpoints[SPOILT_ENDPOINT].ran

    run(context, eventually(check, "the other endpoints only"))


@attrs.frozen
class RandomList:
    """The bytes of a list, the names of its sound entries, and how to read it."""

    data: bytes
    sound: set[str]
    is_watch: bool

    def read(self):
        """Return the names of the entries that can be read."""
        newest = StoreVersion(1, 500)
        if self.is_watch:
            items = load_events(self.data)["events"]
            found = [decode_event("servers", each, newest) for each in items]
        else:
            items = load_items(self.data)["items"]
            found = [decode_object("servers", each, 1, 500) for each in items]
        return {each.name for each in found if each is not None and each.value}


def random_item(rng, name):
    """Return an object of the store, its fields in any order."""
    metadata = {"name": name, "revision": rng.randint(1, 400), "finalizers": []}
    spec = {"service": "s", "address": "127.0.0.1:9", "more": [{"a": 1}, {"b": 'x"'}]}
    fields = [("metadata", metadata), ("spec", spec), ("status", None)]
    rng.shuffle(fields)
    return dict(fields)


def random_list(rng):
    """Return a list of a few entries, some with random bytes in them."""
    is_watch = rng.random() < 0.5
    names = [f"w{number}" for number in range(5)]
    odd = set(rng.sample(names, rng.randint(1, 2)))
    parts = []
    for name in names:
        item = random_item(rng, name)
        item = {"removed": False, "object": item} if is_watch else item
        data = json.dumps(item).encode()
        parts.append(spoilt_bytes(rng, data) if name in odd else data)
    key = b"events" if is_watch else b"items"
    data = b'{"%s": [%s], "truncated": false, "currentRev": 500}'
    return RandomList(data % (key, b", ".join(parts)), set(names) - odd, is_watch)


def spoilt_bytes(rng, data):
    """Return some bytes with others in place of a part of them."""
    start = rng.randrange(len(data))
    end = start + rng.choice((0, 1, 5, 30, len(data)))
    alphabets = (bytes(range(256)), b'"\\{}[],:0x\n\xff')
    new = bytes(rng.choice(rng.choice(alphabets)) for _ in range(rng.randint(0, 12)))
    return data[:start] + new + data[end:]


@when("{count:d} lists and watches have random bytes in up to two of their entries")
def random_lists(context, count):
    rng = random.Random(36)
    context.lists = [random_list(rng) for _ in range(count)]


@then("all their other entries are read")
def others_read(context):
    for each in context.lists:
        missing = each.sound - each.read()
        assert not missing, (missing, each.data)
