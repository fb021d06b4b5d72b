"""Writes an object whether or not it exists."""

from __future__ import annotations

from typing import Any

from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import ObjectStore, StoredObject
from baobabturn.store.version import ABSENT, ANY_VERSION


async def upsert(
    store: ObjectStore, kind: str, name: str, value: Any
) -> StoredObject | Failure:
    """Create an object, or replace its value; the write is idempotent."""
    written = await store.put(kind, name, value, ABSENT)
    if isinstance(written, Failure) and written.code is Code.VERSION_CONFLICT:
        written = await store.put(kind, name, value, ANY_VERSION)
    return written
