"""Steps of fuzzing the documents of the platform's store."""

import copy
import json
import math

import attrs
import hypothesis
from behave import then, when
from capnp import KjException
from hypothesis import strategies

from baobabturn.core.boundedjson import load_bounded
from baobabturn.core.results import Code, Failure
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.quarantine.evidence import PartEvidence
from baobabturn.wire.codec import Envelope, pack_small
from baobabturn.wire.gatewaymessages import (
    CatchUpReply,
    DepartedEndpoint,
    GatewayState,
    PartNews,
)
from fakes.siteconfig import configuration

CODEC = PlatformObjectCodec()
DOCUMENTS = {
    "endpoint entries": {
        "service": "ledger",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "born": 1_700_000_000_000,
    },
    "gateway records": {
        "peers": "10.0.0.1:7200",
        "callers": "10.0.0.1:8740",
        "failure_domain": "z1",
        "relay": "10.0.0.1:7215",
    },
    "quarantine records": {"part": "ab", "term": 2, "ends_at": 1.8e9},
    "version records": {
        "written_at": 1.7e9,
        "versions": {"ledger": ["v:v1", "v:v2"]},
        "streams": [["ledger", "v:v1", ["aa", "bb"]]],
    },
    "configurations": configuration(),
}
DECODERS = {
    "endpoint entries": lambda value: CODEC.decode_endpoint("e1", value),
    "gateway records": lambda value: CODEC.decode_gateway("g1", value),
    "quarantine records": lambda value: CODEC.decode_quarantine("q1", value),
    "version records": CODEC.decode_versions,
    "configurations": CODEC.decode_table,
}
ODD_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(10**30), 10**30),
    strategies.floats(allow_nan=True, allow_infinity=True),
    strategies.text(max_size=8),
    strategies.sampled_from(
        ["\ud800", "10.0.0.1:70000", "10.0.0.1:0", ":", "10.0.0.1:²", "::1", "x" * 9000]
    ),
)
ODD_VALUES = strategies.recursive(
    ODD_SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def places(value, path=()):
    """Yield the paths to all values inside a document."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from places(inner, (*path, key))


def replaced(document, path, odd):
    """Return a document with one value replaced."""
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = odd
    return changed


def as_read(value):
    """Return a value as the store's client reads it, None if it reads none."""
    try:
        return load_bounded(json.dumps(value).encode())
    except ValueError:
        return None


def can_pack(message):
    """Return whether a message can be sent."""
    try:
        pack_small(Envelope(body=message))
    except (OverflowError, ValueError, KjException):
        return False
    return True


@when("{count:d} {documents} with odd values are decoded")
def decode_odd(context, count, documents):
    context.decoded = []
    document = DOCUMENTS[documents]

    @hypothesis.settings(
        derandomize=True, max_examples=count, database=None, deadline=None
    )
    @hypothesis.given(strategies.sampled_from(list(places(document))), ODD_VALUES)
    def decode(path, odd):
        value = as_read(replaced(document, path, odd))
        context.decoded.append((path, odd, DECODERS[documents](value)))

    decode()


@then("each gave a record that messages can hold, or code {code:d}")
def record_or_code(context, code):
    assert context.decoded
    for path, odd, found in context.decoded:
        if isinstance(found, Failure):
            assert found.code == Code(code), (path, odd, found)
            continue
        message = MESSAGES.get(type(found).__name__)
        if message is not None:
            assert can_pack(message(found)), (path, odd, found)
        for name in attrs.fields_dict(type(found)):
            number = getattr(found, name)
            assert not isinstance(number, float) or math.isfinite(number), (path, odd)


MESSAGES = {
    "EndpointRecord": lambda record: CatchUpReply(
        departed=[
            DepartedEndpoint(
                name=record.name,
                address=record.address,
                incarnation=record.incarnation,
            )
        ]
    ),
    "GatewayRecord": lambda record: GatewayState(
        node=record.name, failure_domain=record.failure_domain, relay=record.relay
    ),
    "QuarantineRecord": lambda record: PartNews(
        items=[PartEvidence(part=record.part, term=record.term)]
    ),
}
