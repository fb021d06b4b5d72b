"""One caller's request as the gateway holds it."""

from __future__ import annotations

import time

import attrs

from baobabturn.gateway.routes import Route, Service

Headers = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class Prompt:
    """What a generation request says of its size.

    ``parts`` are the prompt's parts in order, each with an id and its tokens;
    ``expected_tokens`` is the caller's estimate of the output, 0 for none.
    """

    model: str
    tokens: int
    max_tokens: int
    parts: tuple[tuple[str, int], ...] = ()
    expected_tokens: int = 0


@attrs.define(kw_only=True, eq=False)
class Call:
    """A request with its route and times; times are monotonic seconds.

    ``ident`` is the caller's id of this attempt, ``deadline`` the end of the
    caller's patience and of the route's timeout, whichever is sooner.
    """

    ident: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: Service
    workspace: str
    priority: int
    arrived: float
    deadline: float
    prompt: Prompt | None = None

    def left_s(self) -> float:
        """Return the seconds that are left for an answer."""
        return self.deadline - time.monotonic()
