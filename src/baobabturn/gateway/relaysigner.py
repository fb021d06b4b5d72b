"""Signs the requests that one gateway passes on to another.

Callers reach the listener for such requests too, but don't know the gateways' secret.
"""

from __future__ import annotations

import hashlib
import hmac
import time
from collections.abc import Callable

import attrs

from baobabturn.gateway.httpheaders import first_value
from baobabturn.gateway.request import Headers

RELAY_HEADER = b"x-baobabturn-relay"
KEY_BYTES = 32
KEY_PERSONALIZATION = b"relay"  # keeps this key apart from other uses of the secret
TAG_BYTES = 16
MS_PER_S = 1000
# Signatures are valid for this long; the clocks of two gateways differ by seconds.
SIGNATURE_EXPIRY_S = 60.0
MAX_STAMP_DIGITS = 15


@attrs.frozen(kw_only=True)
class RequestHead:
    """What is signed of a request: its line, host and key."""

    method: str
    target: str
    host: str
    key: str


def request_head(method: str, target: str, headers: Headers) -> RequestHead:
    """Return what is signed of a request."""
    return RequestHead(
        method=method,
        target=target,
        host=first_value(headers, b"host").decode("latin-1"),
        key=first_value(headers, b"authorization").decode("latin-1"),
    )


class RelaySigner:
    """Signs the head of a request that one gateway passes on to another."""

    def __init__(self, *, secret: str, clock: Callable[[], float] = time.time):
        self.clock = clock
        self.key = hashlib.blake2b(
            secret.encode(), digest_size=KEY_BYTES, person=KEY_PERSONALIZATION
        ).digest()

    def tag(self, stamp_ms: int, head: RequestHead) -> str:
        """Return the keyed hash of a request's head at a time."""
        data = "\n".join([str(stamp_ms), *attrs.astuple(head)]).encode()
        return hashlib.blake2b(data, key=self.key, digest_size=TAG_BYTES).hexdigest()

    def sign(self, head: RequestHead) -> bytes:
        """Return the value of the header that marks a relayed request."""
        stamp_ms = int(self.clock() * MS_PER_S)
        return f"{stamp_ms}:{self.tag(stamp_ms, head)}".encode()

    def verify(self, value: bytes, head: RequestHead) -> bool:
        """Return whether a gateway has signed a request's head lately."""
        stamp, _, tag = value.decode("latin-1").partition(":")
        if not (stamp.isascii() and stamp.isdigit()) or len(stamp) > MAX_STAMP_DIGITS:
            return False
        age_s = abs(self.clock() - int(stamp) / MS_PER_S)
        if age_s > SIGNATURE_EXPIRY_S:
            return False
        return hmac.compare_digest(tag, self.tag(int(stamp), head))
