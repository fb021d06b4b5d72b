"""Puts a configuration on the platform: parts first, then the manifest."""

from __future__ import annotations

import asyncio

import attrs

from baobabturn.config.declared import Document
from baobabturn.config.parts import Manifest, digest, join, read_manifest, split
from baobabturn.core.idents import nonce
from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import ObjectStore
from baobabturn.store.objects import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    PART_KIND,
    decode_body,
    encode_body,
    manifest_value,
)
from baobabturn.store.version import ABSENT, ANY_VERSION, StoreVersion

TRIES = 8
RETRY_S = 0.3


@attrs.frozen(kw_only=True)
class Published:
    """A manifest on the platform, with its object's version and its document."""

    manifest: Manifest
    version: StoreVersion
    document: Document


NOTHING = Published(
    manifest=Manifest(revision=0, parts={}), version=ABSENT, document=Document()
)


async def current(store: ObjectStore) -> Published | Failure:
    """Return what is published now; revision 0 where there is nothing yet."""
    found = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    if isinstance(found, Failure):
        return NOTHING if found.code is Code.OBJECT_MISSING else found
    manifest = read_manifest(decode_body(found.value))
    if isinstance(manifest, Failure):
        return manifest
    bodies = {}
    for name, sum_ in manifest.parts.items():
        part = await store.get(PART_KIND, sum_)
        if isinstance(part, Failure):
            return part
        bodies[name] = decode_body(part.value)
    document = join(bodies)
    if isinstance(document, Failure):
        return document
    return Published(manifest=manifest, version=found.version, document=document)


async def publish(
    store: ObjectStore,
    document: Document,
    base: Published,
    author: str,
    value_limit: int,
) -> Manifest | Failure:
    """Publish a document as the successor of ``base``.

    Gives ``CONFIG_CONFLICT`` where another operator was first.  A lost answer
    is resolved by reading the manifest's nonce back.
    """
    bodies = split(document)
    for name, body in bodies.items():
        if len(encode_body(body)["body"]) > value_limit:
            return Failure(Code.CONFIG_TOO_LARGE, f"part {name}: {len(body)} bytes")
    sums = {name: digest(body) for name, body in bodies.items()}
    held = set(base.manifest.parts.values())
    for name, sum_ in sums.items():
        if sum_ not in held:
            failed = await write_part(store, sum_, bodies[name])
            if failed is not None:
                return failed
    manifest = Manifest(
        revision=base.manifest.revision + 1, parts=sums, author=author, nonce=nonce()
    )
    return await write_manifest_object(store, manifest, base.version)


async def write_part(store: ObjectStore, sum_: str, body: bytes) -> Failure | None:
    """Write an immutable part, also where it is there already.

    Its name says what is in it, so writing it again does no harm; its new
    version keeps a sweep from deleting it as one that nobody names.  A lost
    answer is resolved by reading the nonce back.
    """
    mark = nonce()
    value = {**encode_body(body), "nonce": mark}
    failure = Failure(Code.PLATFORM_UNREACHABLE, "no try was made")
    for _ in range(TRIES):
        found = await store.put(PART_KIND, sum_, value, ANY_VERSION)
        if not isinstance(found, Failure):
            return None
        failure = found
        if found.code is Code.WRITE_UNRESOLVED:
            held = await store.get(PART_KIND, sum_)
            if not isinstance(held, Failure) and held.value.get("nonce") == mark:
                return None
        await asyncio.sleep(max(RETRY_S, failure.retry_after_s))
    return failure


async def write_manifest_object(
    store: ObjectStore, manifest: Manifest, version: StoreVersion
) -> Manifest | Failure:
    """Write the manifest if its object still has the version."""
    value = manifest_value(manifest)
    failure = Failure(Code.PLATFORM_UNREACHABLE, "no try was made")
    for _ in range(TRIES):
        found = await store.put(MANIFEST_KIND, MANIFEST_NAME, value, version)
        if not isinstance(found, Failure):
            return manifest
        failure = found
        if found.code in (Code.VERSION_CONFLICT, Code.WRITE_UNRESOLVED):
            settled = await read_back(store, manifest)
            if settled is not None:
                return settled
        await asyncio.sleep(max(RETRY_S, found.retry_after_s))
    return failure


async def read_back(
    store: ObjectStore, manifest: Manifest
) -> Manifest | Failure | None:
    """Return whether our write or another's is in place, None if neither is known."""
    found = await store.get(MANIFEST_KIND, MANIFEST_NAME)
    if isinstance(found, Failure):
        return None
    held = read_manifest(decode_body(found.value))
    if isinstance(held, Failure):
        return held
    if held.nonce == manifest.nonce:
        return manifest
    if held.revision >= manifest.revision:
        reason = f"revision {held.revision} by {held.author} came first"
        return Failure(Code.CONFIG_CONFLICT, reason)
    return None
