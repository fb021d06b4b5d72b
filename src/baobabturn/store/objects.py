"""The kinds of objects in the platform object store, and their encoding."""

from __future__ import annotations

import base64

from baobabturn.config.parts import Manifest, write_manifest

MANIFEST_KIND = "baobabturn-manifest"
MANIFEST_NAME = "current"
PART_KIND = "baobabturn-part"
CLAIM_KIND = "baobabturn-claim"
LEASE_KIND = "baobabturn-lease"
STATUS_KIND = "baobabturn-status"


def encode_body(body: bytes) -> dict:
    """Return bytes as a JSON value, in base64."""
    return {"body": base64.b64encode(body).decode()}


def decode_body(value: dict) -> bytes:
    """Return the bytes that ``encode_body`` encoded."""
    return base64.b64decode(value["body"])


def manifest_value(manifest: Manifest) -> dict:
    """Return a manifest as the value of its stored object."""
    return {**encode_body(write_manifest(manifest)), "revision": manifest.revision}
