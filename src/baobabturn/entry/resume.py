"""Signed resume tokens: a stream's place travels with its caller.

An event id is ``<token>.<index>``.  The token is signed once per stream and
names the workspace, endpoint, generation and pool; the index counts tokens.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import json

import attrs
import cattrs

from baobabturn.core.results import Code, Failure

MAC_BYTES = 16


@attrs.frozen(kw_only=True)
class Place:
    """Where a stream's generation is."""

    workspace: str
    endpoint: str
    generation: str
    pool: str
    model: str
    chat: bool
    request: str


def mac(key: str, body: bytes) -> bytes:
    """Return the keyed hash of a token's body."""
    return hmac.new(key.encode(), body, hashlib.sha256).digest()[:MAC_BYTES]


def sign(place: Place, keys: list[str]) -> str:
    """Return the token of a place, signed with the first key."""
    body = json.dumps(attrs.asdict(place), separators=(",", ":")).encode()
    return base64.urlsafe_b64encode(mac(keys[0], body) + body).decode().rstrip("=")


def verify(event_id: str, keys: list[str]) -> tuple[Place, int] | Failure:
    """Return the place and token index in an event id signed with any of the keys."""
    wrong = Failure(Code.BAD_RESUME_TOKEN, "Last-Event-ID isn't a valid token")
    token, dot, index = event_id.rpartition(".")
    if not dot or not index.isascii() or not index.isdigit() or len(index) > 9:
        return wrong
    try:
        data = base64.b64decode(token + "=" * (-len(token) % 4), b"-_", validate=True)
    except ValueError:
        return wrong
    signature, body = data[:MAC_BYTES], data[MAC_BYTES:]
    if not any(hmac.compare_digest(mac(key, body), signature) for key in keys):
        return wrong
    return cattrs.structure(json.loads(body), Place), int(index)
