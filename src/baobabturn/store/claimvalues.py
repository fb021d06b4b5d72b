"""The stored value of an idempotency claim: state, holder and recorded result."""

from __future__ import annotations

import base64
import hashlib
from typing import Any

import attrs

from baobabturn.core.results import Code, Failure, Run
from baobabturn.settings.model import Platform

CLAIMED = "claimed"
SENDING = "sending"
DONE = "done"
UNKNOWN = "unknown"
FIELDS_BYTES = 4096


@attrs.frozen(kw_only=True)
class Result:
    """A response to a request; ``run`` says whether it proves that the request ran."""

    status: int
    content_type: str
    body: bytes
    run: Run = Run.RAN
    replayed: bool = False


@attrs.frozen(kw_only=True)
class ClaimValue:
    """A claim as stored.

    ``nonce`` identifies the one request that holds the claim; ``request`` is the
    hash of the request's content.  ``at`` and ``until`` are wall times in seconds:
    ``at`` is when the claim was created, and after ``until`` its holder no longer
    waits for a response.  ``hold_s`` is how long no other request may take the
    claim over before its request is sent.
    """

    nonce: str
    state: str
    request: str
    node: str = ""
    incarnation: int = 0
    at: float = 0.0
    until: float = 0.0
    hold_s: float = 0.0
    result: dict[str, Any] | None = None


def result_limit(platform: Platform) -> int:
    """Return the size in bytes of the largest body that fits a claim in base64."""
    return max(0, (platform.value_limit_bytes - FIELDS_BYTES) * 3 // 4)


def write_value(value: ClaimValue) -> dict[str, Any]:
    """Return a claim as JSON fields; empty fields are left out."""
    return {name: each for name, each in attrs.asdict(value).items() if each}


def read_value(values: dict[str, Any]) -> ClaimValue:
    """Return a claim from JSON fields; unknown ones, of newer releases, are ignored."""
    known = {field.name for field in attrs.fields(ClaimValue)}
    return ClaimValue(**{name: each for name, each in values.items() if name in known})


def write_result(result: Result, limit_bytes: int) -> dict[str, Any]:
    """Return a result as JSON fields; a body over the limit only as size and digest."""
    values: dict[str, Any] = {
        "status": result.status,
        "content_type": result.content_type,
        "run": result.run.value,
    }
    if len(result.body) > limit_bytes:
        values["size"] = len(result.body)
        values["sha256"] = hashlib.sha256(result.body).hexdigest()
    else:
        values["body"] = base64.b64encode(result.body).decode()
    return values


def read_result(values: dict[str, Any]) -> Result | Failure:
    """Return a recorded result, or ``RESULT_NOT_KEPT`` if its body was too large."""
    if "body" not in values:
        size, digest = values.get("size"), values.get("sha256")
        reason = f"status {values.get('status')}, {size} bytes, sha256 {digest}"
        return Failure(Code.RESULT_NOT_KEPT, reason)
    return Result(
        status=values["status"],
        content_type=values["content_type"],
        body=base64.b64decode(values["body"]),
        run=Run(values.get("run", Run.RAN.value)),
        replayed=True,
    )
