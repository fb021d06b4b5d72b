"""Resume tokens: a stream's place travels with its caller.

An event id is ``<mac>.<generation>.<endpoint>.<index>`` and is short, since it
goes with every token.  The MAC also binds what the id leaves out and the entry
knows: the workspace follows from the caller's key, the request from the
generation's id, the pool from the endpoint.
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
class Place:
    """Where a stream's generation is."""

    workspace: str
    endpoint: str
    generation: str

    @property
    def request(self) -> str:
        """Return the id of the request that the generation answers."""
        return request_of(self.generation)


def mac(key: str, place: Place) -> str:
    """Return the keyed hash of a place as text."""
    text = f"{place.workspace}\n{place.generation}\n{place.endpoint}"
    found = hmac.new(key.encode(), text.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(found[:MAC_BYTES]).decode()


def sign(place: Place, keys: list[str]) -> str:
    """Return the token of a place, signed with the first key."""
    return f"{mac(keys[0], place)}.{place.generation}.{place.endpoint}"


def verify(
    event_id: str, workspace: str, keys: list[str]
) -> tuple[Place, int] | Failure:
    """Return the place and token index in an event id of a workspace's stream."""
    wrong = Failure(Code.BAD_RESUME_TOKEN, "not a token of this workspace")
    token, _, index = event_id.rpartition(".")
    signature, _, rest = token.partition(".")
    generation, _, endpoint = rest.partition(".")
    if not (index.isascii() and index.isdigit()) or len(index) > INDEX_DIGITS:
        return wrong
    if len(signature) != MAC_LENGTH or not event_id.isascii():
        return wrong
    place = Place(workspace=workspace, endpoint=endpoint, generation=generation)
    if not any(hmac.compare_digest(mac(key, place), signature) for key in keys):
        return wrong
    return place, int(index)
