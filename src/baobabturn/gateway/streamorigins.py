"""Remembers which software version of which service began each stream.

A caller whose stream has broken off may resume it at any gateway.  Gateways publish
their reservations, with the first event too, so each near gateway knows the origins of
the others' streams.
"""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable

import attrs

DIGEST_BYTES = 8
MAX_ORIGINS = 20_000
# The end of a complete stream may still be lost on its way to the caller.
FINISHED_EXPIRY_S = 5.0
# For streams of routes whose timeout isn't known here.
DEFAULT_LIFETIME_S = 120.0


def stream_digest(workspace: str, attempt: str) -> str:
    """Return the key of the stream whose first event came with a caller's attempt.

    Another workspace's caller can't name it.
    """
    data = f"{workspace}\n{attempt}".encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """The service and the software version whose engine wrote the first event."""

    service: str
    software_version: str


@attrs.define(kw_only=True)
class KnownOrigin:
    """An origin, None if two were named, and the monotonic time until it counts."""

    origin: StreamOrigin | None
    expires_at: float


class StreamOrigins:
    """The origins of the streams that may still be resumed, by digest.

    ``lifetime_s`` is how long after its beginning a stream may be resumed.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.lifetime_s = DEFAULT_LIFETIME_S
        self.known: OrderedDict[str, KnownOrigin] = OrderedDict()

    def record(self, digest: str, origin: StreamOrigin) -> None:
        """Record a stream's origin; one with two origins can't be resumed."""
        known = self.known.get(digest)
        if known is not None:
            if known.origin != origin:
                known.origin = None
            return
        self.known[digest] = KnownOrigin(
            origin=origin, expires_at=self.clock() + self.lifetime_s
        )
        if len(self.known) > MAX_ORIGINS:
            self.known.popitem(last=False)

    def finish(self, digest: str) -> None:
        """Record that a stream is complete."""
        known = self.known.get(digest)
        if known is not None:
            expires_at = self.clock() + FINISHED_EXPIRY_S
            known.expires_at = min(known.expires_at, expires_at)

    def find(self, digest: str) -> KnownOrigin | None:
        """Return what is known of a stream's origin."""
        known = self.known.get(digest)
        if known is None or known.expires_at <= self.clock():
            return None
        return known

    def active(self) -> dict[str, StreamOrigin]:
        """Return the origins that count, and forget the others."""
        now = self.clock()
        expired = [key for key, known in self.known.items() if known.expires_at <= now]
        for digest in expired:
            del self.known[digest]
        return {
            digest: known.origin
            for digest, known in self.known.items()
            if known.origin is not None
        }
