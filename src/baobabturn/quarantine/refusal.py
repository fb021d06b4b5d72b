"""The failure with which a request is refused whose prompt crashes engines."""

from __future__ import annotations

from baobabturn.core.results import Code, Failure


def quarantine_failure(remaining_s: float) -> Failure:
    """Return the failure for a prompt that is refused for some seconds more."""
    return Failure(
        Code.PROMPT_QUARANTINED,
        f"a part of the prompt crashed engines; refused for {remaining_s:.0f} s",
        retry_after_s=remaining_s,
    )


def is_quarantined(failure: Failure | None) -> bool:
    """Return whether a prompt was refused because it crashes engines."""
    return failure is not None and failure.code is Code.PROMPT_QUARANTINED
