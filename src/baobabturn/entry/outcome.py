"""What is known of an attempt, and what follows from it.

Retry, error code and the ``run`` field all follow from the table below.
"""

from __future__ import annotations

import enum

import attrs

from baobabturn.core.results import Code, Failure, Run


class Attempt(str, enum.Enum):
    """The states of one attempt at an endpoint."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen
class Consequence:
    """What an attempt's state means for the call.

    ``retry_any`` permits another attempt of any call, ``retry_repeatable`` only
    of a call that may run more than once.
    """

    run: Run
    retry_any: bool
    retry_repeatable: bool


CONSEQUENCES: dict[Attempt, Consequence] = {
    Attempt.UNSENT: Consequence(Run.NOT_RUN, True, True),
    Attempt.REFUSED: Consequence(Run.NOT_RUN, True, True),
    Attempt.SENT: Consequence(Run.UNKNOWN, False, True),
    Attempt.UNKNOWN: Consequence(Run.UNKNOWN, False, True),
    Attempt.RAN: Consequence(Run.RAN, False, False),
}

STATES: dict[Code, Attempt] = {
    Code.CONNECT_FAILED: Attempt.UNSENT,
    Code.NO_ENDPOINT: Attempt.UNSENT,
    Code.ENDPOINT_REFUSED: Attempt.REFUSED,
    Code.GENERATION_GONE: Attempt.REFUSED,
    Code.OUTCOME_UNKNOWN: Attempt.UNKNOWN,
    Code.GENERATION_CUT: Attempt.UNKNOWN,
    Code.GENERATION_STALLED: Attempt.UNKNOWN,
}


def attempt_state(failure: Failure) -> Attempt:
    """Return the state of an attempt that ended with a failure."""
    return STATES.get(failure.code, Attempt.UNKNOWN)


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether another attempt is permitted after a failure."""
    row = CONSEQUENCES[attempt_state(failure)]
    return row.retry_repeatable if repeatable else row.retry_any
