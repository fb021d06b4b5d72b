"""Gives the turns that are booked at limited endpoints to the most urgent requests.

A request that waits for its turn books the next one.  When a turn comes, the most
urgent request that waits for the endpoint is sent, so that the others wait for a later
turn.
"""

from __future__ import annotations

import asyncio
import collections
import itertools

import attrs


@attrs.define(kw_only=True, eq=False)
class WaitingTurn:
    """A request that waits; ``turn_at`` is the loop's time of the turn it has booked.

    Those with a smaller ``priority`` are more urgent.
    """

    priority: int
    number: int
    turn_at: float
    comes: asyncio.Future[bool]


class Turns:
    """The requests of this gateway that wait for a turn, by endpoint."""

    def __init__(self) -> None:
        self.waiting: dict[str, list[WaitingTurn]] = collections.defaultdict(list)
        self.counter = itertools.count()

    def delay_s(self, endpoint: str, priority: int, delay_s: float) -> float:
        """Return in how many seconds a request's turn comes that would book one.

        The one that it would book comes in ``delay_s``; it gets the first turn of
        those that are less urgent.
        """
        now = asyncio.get_running_loop().time()
        others = self.candidates(endpoint)
        turns = [each.turn_at - now for each in others if each.priority > priority]
        return max(0.0, min([delay_s, *turns]))

    async def wait(
        self, endpoint: str, priority: int, *, delay_s: float, limit_s: float
    ) -> bool:
        """Wait for a turn, given that one comes in ``delay_s``; return whether it came.

        It hasn't if more urgent requests have got the turns until ``limit_s``, or until
        ``delay_s`` if that is longer, or if the endpoint takes no requests any more.
        """
        loop = asyncio.get_running_loop()
        waiting = WaitingTurn(
            priority=priority,
            number=next(self.counter),
            turn_at=loop.time() + delay_s,
            comes=loop.create_future(),
        )
        self.waiting[endpoint].append(waiting)
        loop.call_at(waiting.turn_at, self.give_turn, endpoint, waiting.turn_at)
        try:
            async with asyncio.timeout(max(limit_s, delay_s)):
                return await waiting.comes
        except TimeoutError:
            # The turn may have come in the same iteration of the loop.
            comes = waiting.comes
            return not comes.cancelled() and comes.result()
        finally:
            if waiting in self.waiting[endpoint]:
                self.waiting[endpoint].remove(waiting)
            if not self.waiting[endpoint]:
                del self.waiting[endpoint]

    def candidates(self, endpoint: str) -> list[WaitingTurn]:
        """Return the requests that wait for an endpoint and have got no turn yet."""
        waiting = self.waiting.get(endpoint, ())
        return [each for each in waiting if not each.comes.done()]

    def give_turn(self, endpoint: str, turn_at: float) -> None:
        """Give a turn that has come to the most urgent request that still waits.

        The request that has booked this turn gets the other one's later turn for it.
        """
        candidates = self.candidates(endpoint)
        if not candidates:
            return
        chosen = min(candidates, key=lambda each: (each.priority, each.number))
        chosen.comes.set_result(True)
        for each in candidates:
            if each.turn_at == turn_at:
                each.turn_at, chosen.turn_at = chosen.turn_at, turn_at
                return

    def end_waits(self, endpoint: str) -> None:
        """End the waits for an endpoint that takes no requests any more."""
        for each in self.candidates(endpoint):
            each.comes.set_result(False)
