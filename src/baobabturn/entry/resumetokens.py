"""Resume tokens: an event id tells any entry where a stream's generation runs.

An event id is ``<mac>.<generation>.<endpoint>.<index>``.  It is kept short, as
it is sent with every token.  The entry derives the rest: the workspace from the
caller's key, the request from the generation id, the pool from the endpoint.
The MAC also covers the workspace.
"""

from __future__ import annotations

import base64
import hashlib
import hmac

import attrs

from baobabturn.core.idents import request_of
from baobabturn.core.results import Code, Failure

MAC_BYTES = 12
MAC_CHARS = 16
MAX_INDEX_DIGITS = 9


@attrs.frozen(kw_only=True)
class GenerationLocation:
    """Which engine runs a stream's generation, and for which workspace."""

    workspace: str
    endpoint: str
    generation: str

    @property
    def request_id(self) -> str:
        """Return the id of the request that the generation belongs to."""
        return request_of(self.generation)


def compute_mac(key: str, location: GenerationLocation) -> str:
    """Return the MAC of a location in URL-safe base64."""
    text = f"{location.workspace}\n{location.generation}\n{location.endpoint}"
    digest = hmac.new(key.encode(), text.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def sign(location: GenerationLocation, keys: list[str]) -> str:
    """Return the resume token of a location, signed with the first key."""
    return f"{compute_mac(keys[0], location)}.{location.generation}.{location.endpoint}"


def verify(
    event_id: str, workspace: str, keys: list[str]
) -> tuple[GenerationLocation, int] | Failure:
    """Return the location and token index in an event id, if signed by any key."""
    failure = Failure(Code.BAD_RESUME_TOKEN, "not a resume token of this workspace")
    token, _, index = event_id.rpartition(".")
    mac, _, signed_text = token.partition(".")
    generation, _, endpoint = signed_text.partition(".")
    if not (index.isascii() and index.isdigit()) or len(index) > MAX_INDEX_DIGITS:
        return failure
    if len(mac) != MAC_CHARS or not event_id.isascii():
        return failure
    location = GenerationLocation(
        workspace=workspace, endpoint=endpoint, generation=generation
    )
    if not any(hmac.compare_digest(compute_mac(key, location), mac) for key in keys):
        return failure
    return location, int(index)
