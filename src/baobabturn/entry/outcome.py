"""Classifies failed attempts and decides about retries.

Retries, error codes and the ``run`` field of generations and service requests
follow from the tables below alone.
"""

from __future__ import annotations

import enum

import aiohttp
import attrs

from baobabturn.core.results import Code, Failure, Run


class AttemptState(str, enum.Enum):
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


CONSEQUENCES: dict[AttemptState, Consequence] = {
    AttemptState.UNSENT: Consequence(
        Code.CONNECT_FAILED, Run.NOT_RUN, True, True, True
    ),
    AttemptState.REFUSED: Consequence(
        Code.ENDPOINT_REFUSED, Run.NOT_RUN, True, True, True
    ),
    AttemptState.REJECTED: Consequence(
        Code.REQUEST_REJECTED, Run.NOT_RUN, False, False, False
    ),
    AttemptState.SENT: Consequence(
        Code.DEADLINE_UNKNOWN, Run.UNKNOWN, False, False, False
    ),
    AttemptState.UNKNOWN: Consequence(
        Code.OUTCOME_UNKNOWN, Run.UNKNOWN, False, True, True
    ),
    AttemptState.RAN: Consequence(Code.GENERATION_CUT, Run.RAN, False, False, True),
}

STATE_BY_CODE: dict[Code, AttemptState] = {
    Code.CONNECT_FAILED: AttemptState.UNSENT,
    Code.NO_ENDPOINT: AttemptState.UNSENT,
    Code.DEADLINE_NOT_RUN: AttemptState.UNSENT,
    Code.ENDPOINT_REFUSED: AttemptState.REFUSED,
    Code.REQUEST_REJECTED: AttemptState.REJECTED,
    Code.REQUEST_QUARANTINED: AttemptState.REJECTED,
    Code.OUTCOME_UNKNOWN: AttemptState.UNKNOWN,
    Code.GENERATION_CUT: AttemptState.UNKNOWN,
    Code.GENERATION_STALLED: AttemptState.UNKNOWN,
    Code.GENERATION_GONE: AttemptState.UNKNOWN,
    Code.DEADLINE_UNKNOWN: AttemptState.SENT,
    Code.DEADLINE_PARTIAL: AttemptState.SENT,
}

# The first row that matches an exception's type applies.  A failed name lookup
# or connect has sent nothing; after that the endpoint may have run the request.
STATE_BY_EXCEPTION: tuple[tuple[tuple[type[BaseException], ...], AttemptState], ...] = (
    (
        (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError),
        AttemptState.UNSENT,
    ),
    ((aiohttp.InvalidURL,), AttemptState.UNSENT),
    ((Exception,), AttemptState.UNKNOWN),
)

# HTTP statuses that mean that the engine did not run the request.
REFUSED_STATUSES = frozenset((401, 403, 404, 409, 429, 503))
# HTTP statuses that mean that the request itself is wrong.
REJECTED_STATUSES = frozenset((400, 413, 422))


def state_from_exception(error: BaseException) -> AttemptState:
    """Return the state of an attempt that an HTTP client exception ended."""
    return next(
        state
        for exception_types, state in STATE_BY_EXCEPTION
        if isinstance(error, exception_types)
    )


def failure_from_exception(error: BaseException) -> Failure:
    """Return the failure for an exception of the HTTP client."""
    consequence = CONSEQUENCES[state_from_exception(error)]
    return Failure(consequence.code, type(error).__name__, run=consequence.run)


def failure_from_status(status: int, text: str) -> Failure:
    """Return the failure for an engine's error status."""
    state = AttemptState.UNKNOWN
    if status in REFUSED_STATUSES:
        state = AttemptState.REFUSED
    elif status in REJECTED_STATUSES:
        state = AttemptState.REJECTED
    consequence = CONSEQUENCES[state]
    return Failure(consequence.code, f"status {status}: {text}", run=consequence.run)


def is_unavailable(failure: Failure) -> bool:
    """Return whether a failure means that the endpoint takes no requests now."""
    return attempt_state(failure) in (AttemptState.UNSENT, AttemptState.REFUSED)


def attempt_state(failure: Failure) -> AttemptState:
    """Return the state of an attempt that ended with a failure.

    An attempt that delivered tokens has run, whatever its code.
    """
    if failure.tokens:
        return AttemptState.RAN
    return STATE_BY_CODE.get(failure.code, AttemptState.UNKNOWN)


def with_run_state(failure: Failure, tokens: int) -> Failure:
    """Return a failure with the delivered tokens and the run state they imply.

    A failure of admission, before any attempt, keeps the run state of its code.
    """
    failure_with_tokens = attrs.evolve(failure, tokens=tokens)
    if not tokens and failure.code not in STATE_BY_CODE:
        return failure_with_tokens
    return attrs.evolve(
        failure_with_tokens, run=CONSEQUENCES[attempt_state(failure_with_tokens)].run
    )


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether another attempt of a request may follow a failed one."""
    consequence = CONSEQUENCES[attempt_state(failure)]
    return consequence.retry_repeatable if repeatable else consequence.retry_any


def may_restart(failure: Failure) -> bool:
    """Return whether a generation may start over if its caller accepts that."""
    return CONSEQUENCES[attempt_state(failure)].restart
