"""The interface of the platform object store, as a ``Protocol``.

An object has a kind, a name, a JSON value and a version.  Versions increase over the
whole store, not per object.  To support another platform, write one module that
implements this ``Protocol``.
"""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from baobabturn.core.results import Failure
from baobabturn.store.version import StoreVersion


@attrs.frozen(kw_only=True)
class StoredObject:
    """An object as the platform stores it."""

    kind: str
    name: str
    version: StoreVersion
    value: Any


@attrs.frozen(kw_only=True)
class Change:
    """One changed object; ``value`` is None for a deletion."""

    name: str
    version: StoreVersion
    value: Any


@attrs.frozen(kw_only=True)
class Changes:
    """The changes that a watch or snapshot returned, and the version to watch from."""

    changes: tuple[Change, ...]
    version: StoreVersion


@attrs.frozen(kw_only=True)
class PlatformHost:
    """An entry of the platform's host list, which lags behind the real state."""

    name: str
    address: str
    failure_domain: str
    region: str
    role: str
    state: str


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches, and the host list.

    ``era`` is the store's highest era that an answer stated, 0 for a platform without
    eras.
    """

    era: int

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object, or ``OBJECT_MISSING`` if there is none."""

    async def put(
        self, kind: str, name: str, value: Any, expect: StoreVersion
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one.

        ``expect`` is a version, ``ABSENT`` to create, or ``ANY_VERSION``.  Returns
        ``VERSION_CONFLICT`` if the version differs, and ``WRITE_UNRESOLVED`` if
        the response was lost, so that the write may or may not have happened.
        """

    async def delete(
        self, kind: str, name: str, expect: StoreVersion
    ) -> None | Failure:
        """Delete an object if its version is the expected one."""

    async def find(self, kind: str, prefix: str) -> list[StoredObject] | Failure:
        """Return the objects of a kind whose names start with a prefix."""

    async def watch(
        self, kind: str, since: StoreVersion, wait_s: float
    ) -> Changes | Failure:
        """Wait up to ``wait_s`` for changes of a kind after the version ``since``.

        Returns ``VERSION_TOO_OLD`` if the platform no longer has these changes, or is
        in another era by now.
        """

    async def snapshot(self, kind: str) -> Changes | Failure:
        """Return all objects of a kind and the version to watch from."""

    async def hosts(self) -> list[PlatformHost] | Failure:
        """Return the platform's list of live and leaving hosts."""
