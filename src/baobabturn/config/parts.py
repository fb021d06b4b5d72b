"""Splits a document into immutable parts and joins them again.

Each part is JSON with sorted keys, named by kind and bucket and addressed by
the hash of its bytes, so that a change rewrites only the parts it touches and
a value stays far below the platform's size limit.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
import cattrs.errors
import xxhash

from baobabturn.config.declared import Document, Endpoint, Model, Service, Workspace
from baobabturn.config.document import CONVERTER, first_error
from baobabturn.core.results import Code, Failure

KINDS: dict[str, type] = {
    "workspaces": Workspace,
    "models": Model,
    "endpoints": Endpoint,
    "services": Service,
}
BUCKETS = {"workspaces": 64, "models": 1, "endpoints": 8, "services": 1}


@attrs.frozen(kw_only=True)
class Manifest:
    """A revision: the digest of every part, and who applied it."""

    revision: int
    parts: dict[str, str]
    author: str = ""
    nonce: str = ""


def digest(body: bytes) -> str:
    """Return the address of a part's bytes."""
    return hashlib.sha256(body).hexdigest()[:32]


def encode(values: Any) -> bytes:
    """Return values as canonical JSON bytes."""
    return json.dumps(values, sort_keys=True, separators=(",", ":")).encode()


def split(document: Document) -> dict[str, bytes]:
    """Return the document's parts by name; empty buckets are left out."""
    buckets: dict[str, list] = {}
    for kind in KINDS:
        for item in getattr(document, kind):
            number = xxhash.xxh32_intdigest(item.name.encode()) % BUCKETS[kind]
            buckets.setdefault(f"{kind}-{number:02d}", []).append(item)
    return {
        name: encode(
            [CONVERTER.unstructure(item) for item in sorted(items, key=by_name)]
        )
        for name, items in buckets.items()
    }


def by_name(item: Any) -> str:
    """Return an item's name, as a sort key."""
    return item.name


def read_part(name: str, body: bytes) -> list[Any] | Failure:
    """Return the items in a part, or what is wrong with its bytes."""
    kind = KINDS.get(name.rpartition("-")[0])
    if kind is None:
        return []
    try:
        return CONVERTER.structure(json.loads(body), list[kind])  # type: ignore[valid-type]
    except (ValueError, cattrs.errors.BaseValidationError) as error:
        return Failure(Code.CONFIG_INVALID, f"part {name}: {first_error(error)}")


def read_manifest(body: bytes) -> Manifest | Failure:
    """Return the manifest in some bytes, or what is wrong with them."""
    try:
        return CONVERTER.structure(json.loads(body), Manifest)
    except (ValueError, cattrs.errors.BaseValidationError) as error:
        return Failure(Code.CONFIG_INVALID, f"manifest: {first_error(error)}")


def write_manifest(manifest: Manifest) -> bytes:
    """Return a manifest's bytes."""
    return encode(CONVERTER.unstructure(manifest))


def join(parts: dict[str, bytes]) -> Document | Failure:
    """Return the document that some parts hold together."""
    items: dict[str, list] = {kind: [] for kind in KINDS}
    for name, body in sorted(parts.items()):
        found = read_part(name, body)
        if isinstance(found, Failure):
            return found
        if found:
            items[name.rpartition("-")[0]].extend(found)
    for held in items.values():
        held.sort(key=by_name)
    return Document(
        workspaces=tuple(items["workspaces"]),
        models=tuple(items["models"]),
        endpoints=tuple(items["endpoints"]),
        services=tuple(items["services"]),
    )
