"""Classifies failed attempts and decides about retries.

Retries, error codes and the ``run`` field of generations and service requests
follow from the tables below alone.
"""

from __future__ import annotations

import enum

import aiohttp
import attrs

from baobabturn.core.results import Code, Failure, Run


class Attempt(str, enum.Enum):
    """The states of one attempt at an endpoint.

    ``UNSENT``: no byte was sent.  ``SENT``: the deadline passed before a
    response.  ``REFUSED``: the endpoint replied that it didn't run the request.
    ``UNKNOWN``: the response was lost.  ``RAN``: part of the response arrived.
    ``REJECTED``: the endpoint replied that the request itself is wrong.
    """

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    RAN = "ran"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


@attrs.frozen
class Consequence:
    """What an attempt's state means for its request.

    ``code`` is reported if the attempt has no code of its own.  ``retry_any``
    permits another attempt of any request, ``retry_repeatable`` only of a
    request that may run more than once, ``restart`` only of a generation whose
    caller accepts that it starts over.
    """

    code: Code
    run: Run
    retry_any: bool
    retry_repeatable: bool
    restart: bool


CONSEQUENCES: dict[Attempt, Consequence] = {
    Attempt.UNSENT: Consequence(Code.CONNECT_FAILED, Run.NOT_RUN, True, True, True),
    Attempt.REFUSED: Consequence(Code.ENDPOINT_REFUSED, Run.NOT_RUN, True, True, True),
    Attempt.REJECTED: Consequence(
        Code.REQUEST_REJECTED, Run.NOT_RUN, False, False, False
    ),
    Attempt.SENT: Consequence(Code.DEADLINE_UNKNOWN, Run.UNKNOWN, False, False, False),
    Attempt.UNKNOWN: Consequence(Code.OUTCOME_UNKNOWN, Run.UNKNOWN, False, True, True),
    Attempt.RAN: Consequence(Code.GENERATION_CUT, Run.RAN, False, False, True),
}

STATES: dict[Code, Attempt] = {
    Code.CONNECT_FAILED: Attempt.UNSENT,
    Code.NO_ENDPOINT: Attempt.UNSENT,
    Code.DEADLINE_NOT_RUN: Attempt.UNSENT,
    Code.ENDPOINT_REFUSED: Attempt.REFUSED,
    Code.REQUEST_REJECTED: Attempt.REJECTED,
    Code.OUTCOME_UNKNOWN: Attempt.UNKNOWN,
    Code.GENERATION_CUT: Attempt.UNKNOWN,
    Code.GENERATION_STALLED: Attempt.UNKNOWN,
    Code.GENERATION_GONE: Attempt.UNKNOWN,
    Code.DEADLINE_UNKNOWN: Attempt.SENT,
    Code.DEADLINE_PARTIAL: Attempt.SENT,
}

# The first row that matches an exception's type applies.  A failed name lookup
# or connect has sent nothing; after that the endpoint may have run the request.
ERRORS: tuple[tuple[tuple[type[BaseException], ...], Attempt], ...] = (
    (
        (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError),
        Attempt.UNSENT,
    ),
    ((aiohttp.InvalidURL,), Attempt.UNSENT),
    ((Exception,), Attempt.UNKNOWN),
)

# HTTP statuses that mean that the engine did not run the request.
REFUSED_STATUSES = frozenset((401, 403, 404, 409, 429, 503))
# HTTP statuses that mean that the request itself is wrong.
REJECTED_STATUSES = frozenset((400, 413, 422))


def error_state(error: BaseException) -> Attempt:
    """Return the state of an attempt that an HTTP client exception ended."""
    return next(state for kinds, state in ERRORS if isinstance(error, kinds))


def from_error(error: BaseException) -> Failure:
    """Return the failure for an exception of the HTTP client."""
    row = CONSEQUENCES[error_state(error)]
    return Failure(row.code, type(error).__name__, run=row.run)


def from_status(status: int, text: str) -> Failure:
    """Return the failure for an engine's error status."""
    state = Attempt.UNKNOWN
    if status in REFUSED_STATUSES:
        state = Attempt.REFUSED
    elif status in REJECTED_STATUSES:
        state = Attempt.REJECTED
    row = CONSEQUENCES[state]
    return Failure(row.code, f"status {status}: {text}", run=row.run)


def is_unavailable(failure: Failure) -> bool:
    """Return whether a failure means that the endpoint takes no requests now."""
    return attempt_state(failure) in (Attempt.UNSENT, Attempt.REFUSED)


def attempt_state(failure: Failure) -> Attempt:
    """Return the state of an attempt that ended with a failure.

    An attempt that delivered tokens has run, whatever its code.
    """
    if failure.tokens:
        return Attempt.RAN
    return STATES.get(failure.code, Attempt.UNKNOWN)


def concluded(failure: Failure, tokens: int) -> Failure:
    """Return a failure with the delivered tokens and the run state they imply.

    A failure of admission, before any attempt, keeps the run state of its code.
    """
    counted = attrs.evolve(failure, tokens=tokens)
    if not tokens and failure.code not in STATES:
        return counted
    return attrs.evolve(counted, run=CONSEQUENCES[attempt_state(counted)].run)


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether another attempt is permitted after a failed one."""
    row = CONSEQUENCES[attempt_state(failure)]
    return row.retry_repeatable if repeatable else row.retry_any


def may_restart(failure: Failure) -> bool:
    """Return whether a generation may start over if its caller accepts that."""
    return CONSEQUENCES[attempt_state(failure)].restart
