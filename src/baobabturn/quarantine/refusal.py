"""The failures with which requests are refused that crash endpoints."""

from __future__ import annotations

from baobabturn.core.results import Code, Failure

TRIAL_RETRY_AFTER_S = 0.3


def quarantine_failure(remaining_s: float) -> Failure:
    """Return the failure for a request that is refused for some seconds more."""
    return Failure(
        Code.REQUEST_QUARANTINED,
        "the request, or a part of its prompt, crashed the endpoints that ran it;"
        f" refused for {remaining_s:.0f} s",
        retry_after_s=remaining_s,
    )


def trial_failure() -> Failure:
    """Return the failure for a request while another one of its kind is on trial."""
    return Failure(
        Code.REQUEST_QUARANTINED,
        "the request crashed two endpoints, and is being tried at another one",
        retry_after_s=TRIAL_RETRY_AFTER_S,
    )


def is_quarantined(failure: Failure | None) -> bool:
    """Return whether a request was refused because it crashes endpoints."""
    return failure is not None and failure.code is Code.REQUEST_QUARANTINED
