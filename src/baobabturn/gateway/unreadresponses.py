"""Decides how long a caller may leave a response unread, and who is disconnected first.

No network and no clock of its own: the time, in seconds of any steady clock, is passed
in with what each caller has yet to take.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from baobabturn.core.results import Code, Failure

# A caller of a stream whose buffer is full may take nothing for this long.  An engine
# aborts a response that stays unread for some seconds, so it has to be shorter.
STREAM_UNREAD_TIMEOUT_S = 1.5
# Where body memory is short, a caller may take nothing for this long.
SHORT_MEMORY_TIMEOUT_S = 1.0
# Observations that are further apart show that the gateway itself was paused.
MAX_OBSERVATION_INTERVAL_S = 1.0


@attrs.frozen(kw_only=True)
class UnreadRule:
    """For how long a response may stay unread.

    With ``yields_memory`` it is ended sooner where others wait for its memory.
    """

    code: Code
    timeout_s: float
    yields_memory: bool


STREAM_RULE = UnreadRule(
    code=Code.STREAM_UNREAD, timeout_s=STREAM_UNREAD_TIMEOUT_S, yields_memory=False
)


def response_rule(timeout_s: float) -> UnreadRule:
    """Return the rule for a plain response and for the rest of a complete stream."""
    return UnreadRule(
        code=Code.RESPONSE_UNREAD, timeout_s=timeout_s, yields_memory=True
    )


@attrs.define(kw_only=True, eq=False)
class UnreadResponse:
    """A response that waits for its caller.

    ``untaken_bytes`` is what the caller had yet to take at ``observed_at``;
    ``waits_since`` is when it last took something.  ``holds_memory`` says whether body
    memory is released with it.
    """

    rule: UnreadRule
    workspace: str
    holds_memory: bool
    untaken_bytes: int
    observed_at: float
    waits_since: float = attrs.field()

    @waits_since.default
    def begins_when_observed(self) -> float:
        """Return the time of the first observation."""
        return self.observed_at

    @property
    def ends_at(self) -> float:
        """Return when the response ends unless its caller takes something."""
        return self.waits_since + self.rule.timeout_s

    def observe(self, untaken_bytes: int, now: float) -> None:
        """Record what the caller has yet to take.

        After a pause of the gateway the caller gets a new timeout.
        """
        was_paused = now - self.observed_at > MAX_OBSERVATION_INTERVAL_S
        if untaken_bytes < self.untaken_bytes or was_paused:
            self.waits_since = now
        self.untaken_bytes = untaken_bytes
        self.observed_at = now


class UnreadResponses:
    """All responses of a gateway that wait for their callers.

    ``is_short`` tells whether another body waits for memory that a workspace holds.
    """

    def __init__(self, *, is_short: Callable[[str], bool]):
        self.is_short = is_short
        self.awaited: set[UnreadResponse] = set()

    def failure(self, unread: UnreadResponse, now: float) -> Failure | None:
        """Return why a response has to be ended now, None while it may wait."""
        waited_s = now - unread.waits_since
        if waited_s >= unread.rule.timeout_s:
            return unread_failure(unread, waited_s, "")
        if waited_s >= SHORT_MEMORY_TIMEOUT_S and self.goes_first(unread):
            return unread_failure(unread, waited_s, ", and body memory is short")
        return None

    def goes_first(self, unread: UnreadResponse) -> bool:
        """Return whether a response is the first to be ended for its memory."""
        if not self.can_yield(unread):
            return False
        return not any(
            other.waits_since < unread.waits_since and self.can_yield(other)
            for other in self.awaited
        )

    def can_yield(self, unread: UnreadResponse) -> bool:
        """Return whether others wait for the memory that a response holds."""
        return (
            unread.rule.yields_memory
            and unread.holds_memory
            and self.is_short(unread.workspace)
        )


def unread_failure(unread: UnreadResponse, waited_s: float, why: str) -> Failure:
    """Return the failure of a response that its caller hasn't taken."""
    reason = f"{unread.untaken_bytes} bytes unread for {waited_s:.1f} s{why}"
    return Failure(unread.rule.code, reason)
