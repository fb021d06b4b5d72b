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
OTHER_FIELDS_RESERVE_BYTES = 4096


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


def max_result_body_bytes(platform: Platform) -> int:
    """Return the size in bytes of the largest body that fits a claim in base64."""
    return max(0, (platform.value_limit_bytes - OTHER_FIELDS_RESERVE_BYTES) * 3 // 4)


def encode_claim(value: ClaimValue) -> dict[str, Any]:
    """Return a claim as JSON fields; empty fields are left out."""
    return {
        name: field_value
        for name, field_value in attrs.asdict(value).items()
        if field_value
    }


def decode_claim(fields: dict[str, Any]) -> ClaimValue:
    """Return a claim from JSON fields; unknown ones, of newer releases, are ignored."""
    known_fields = {field.name for field in attrs.fields(ClaimValue)}
    return ClaimValue(
        **{
            name: field_value
            for name, field_value in fields.items()
            if name in known_fields
        }
    )


def encode_result(result: Result, limit_bytes: int) -> dict[str, Any]:
    """Return a result as JSON fields; a body over the limit only as size and digest."""
    fields: dict[str, Any] = {
        "status": result.status,
        "content_type": result.content_type,
        "run": result.run.value,
    }
    if len(result.body) > limit_bytes:
        fields["size"] = len(result.body)
        fields["sha256"] = hashlib.sha256(result.body).hexdigest()
    else:
        fields["body"] = base64.b64encode(result.body).decode()
    return fields


def decode_result(fields: dict[str, Any]) -> Result | Failure:
    """Return a recorded result, or ``RESULT_NOT_KEPT`` if its body was too large."""
    if "body" not in fields:
        size, digest = fields.get("size"), fields.get("sha256")
        reason = f"status {fields.get('status')}, {size} bytes, sha256 {digest}"
        return Failure(Code.RESULT_NOT_KEPT, reason)
    return Result(
        status=fields["status"],
        content_type=fields["content_type"],
        body=base64.b64decode(fields["body"]),
        run=Run(fields.get("run", Run.RAN.value)),
        replayed=True,
    )
