"""One caller's request as the gateway holds it."""

from __future__ import annotations

import time

import attrs

from baobabturn.gateway.routes import Route, Service

Headers = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class GenerationSize:
    """What a generation request says of its size.

    ``parts`` are the prompt's parts in order, each with an id and its tokens;
    ``expected_tokens`` is the caller's estimate of the output, 0 for none.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    prompt_parts: tuple[tuple[str, int], ...] = ()
    expected_tokens: int = 0


@attrs.define(kw_only=True, eq=False)
class CallerRequest:
    """A request with its route and times; times are monotonic seconds.

    ``ident`` is the caller's id of this attempt, ``deadline`` the end of the
    caller's patience and of the route's timeout, whichever is sooner.
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
    generation_size: GenerationSize | None = None

    def remaining_s(self) -> float:
        """Return the seconds that are left for an answer."""
        return self.deadline - time.monotonic()
