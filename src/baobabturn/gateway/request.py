"""One caller's request and what the gateway has read from it."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Iterable

import attrs

from baobabturn.gateway.heldbody import HeldBody
from baobabturn.gateway.routes import Route, Service
from baobabturn.placement.homes import ANY_REGION, Homes

Headers = list[tuple[bytes, bytes]]

DIGEST_BYTES = 16


@attrs.frozen(kw_only=True)
class GenerationSize:
    """The model and the token counts that a generation request states.

    ``prompt_parts`` are the prompt's parts in order, each with an id and its token
    count; ``estimated_tokens`` is the caller's estimate of the output, 0 for none.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    prompt_parts: tuple[tuple[str, int], ...] = ()
    estimated_tokens: int = 0


@attrs.frozen(kw_only=True)
class Resumption:
    """Where a caller resumes a stream that has broken off.

    ``attempt`` is the request id of the caller's attempt that brought the stream's
    first event, empty if the caller doesn't name it.
    """

    attempt: str
    last_event_id: str


@attrs.define(kw_only=True, eq=False)
class CallerRequest:
    """A request with its route and times; times are monotonic seconds.

    ``request_id`` is the caller's id of this request; if the caller sends the request
    again, that one has another id.
    ``digest`` is the same for all requests that a caller sends alike.
    ``deadline`` is the earlier of the caller's deadline and the route's timeout;
    ``sent`` says that an endpoint may have got the request, ``relayed`` that it came
    through another gateway, which can't reach its service.  Only ``homes`` may run it.
    ``held_bodies`` are the bodies of its responses.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: Service
    workspace: str
    priority: int
    arrived_at: float
    deadline: float
    digest: str = ""
    generation_size: GenerationSize | None = None
    resumption: Resumption | None = None
    relayed: bool = False
    homes: Homes = ANY_REGION
    sent: bool = False
    held_bodies: list[HeldBody] = attrs.Factory(list)

    def held_bytes(self) -> int:
        """Return the memory that the request's body and its responses hold."""
        return len(self.body) + sum(body.acquired_bytes for body in self.held_bodies)

    def release_bodies(self) -> None:
        """Release the memory that responses to the request hold."""
        for body in self.held_bodies:
            body.release()

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self.deadline - time.monotonic()


def request_digest(texts: Iterable[str], body: bytes) -> str:
    """Return what requests have in common whose texts and bodies are the same.

    A caller can't find a request whose digest is that of another caller's.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
