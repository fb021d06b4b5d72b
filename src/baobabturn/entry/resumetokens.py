"""Resume tokens, which let any entry resume a stream without shared state.

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
MAC_LENGTH = 16
INDEX_DIGITS = 9


@attrs.frozen(kw_only=True)
class GenerationLocation:
    """Which engine runs a stream's generation, and for which workspace."""

    workspace: str
    endpoint: str
    generation: str

    @property
    def request(self) -> str:
        """Return the id of the request that the generation belongs to."""
        return request_of(self.generation)


def mac(key: str, place: GenerationLocation) -> str:
    """Return the MAC of a location in URL-safe base64."""
    text = f"{place.workspace}\n{place.generation}\n{place.endpoint}"
    found = hmac.new(key.encode(), text.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(found[:MAC_BYTES]).decode()


def sign(place: GenerationLocation, keys: list[str]) -> str:
    """Return the resume token of a location, signed with the first key."""
    return f"{mac(keys[0], place)}.{place.generation}.{place.endpoint}"


def verify(
    event_id: str, workspace: str, keys: list[str]
) -> tuple[GenerationLocation, int] | Failure:
    """Return the location and token index in an event id, if signed by any key."""
    wrong = Failure(Code.BAD_RESUME_TOKEN, "not a resume token of this workspace")
    token, _, index = event_id.rpartition(".")
    signature, _, rest = token.partition(".")
    generation, _, endpoint = rest.partition(".")
    if not (index.isascii() and index.isdigit()) or len(index) > INDEX_DIGITS:
        return wrong
    if len(signature) != MAC_LENGTH or not event_id.isascii():
        return wrong
    place = GenerationLocation(
        workspace=workspace, endpoint=endpoint, generation=generation
    )
    if not any(hmac.compare_digest(mac(key, place), signature) for key in keys):
        return wrong
    return place, int(index)
