"""The configuration in force in one process, with the lookups that serve it."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs

from baobabturn.config.declared import Endpoint, Model, Operation, Service, Workspace
from baobabturn.config.parts import (
    Manifest,
    digest,
    read_manifest,
    read_part,
    write_manifest,
)
from baobabturn.core.results import Code, Failure
from baobabturn.wire.messages import ConfigUpdate, Part


def hash_key(key: str) -> str:
    """Return the hash under which a workspace key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.define(kw_only=True)
class Pool:
    """Endpoints of one region that serve the same models under one scheduler."""

    name: str
    region: str
    models: tuple[str, ...]
    endpoints: tuple[str, ...]


def make_pools(endpoints: list[Endpoint], size: int) -> dict[str, Pool]:
    """Return the pools of some engines, at most ``size`` endpoints in each.

    Every process derives the same pools from the same configuration.
    """
    groups: dict[tuple[str, tuple[str, ...]], list[str]] = {}
    for endpoint in endpoints:
        if endpoint.kind == "engine":
            key = (endpoint.region, tuple(sorted(endpoint.models)))
            groups.setdefault(key, []).append(endpoint.name)
    pools = {}
    for (region, models), names in sorted(groups.items()):
        names.sort()
        for start in range(0, len(names), size):
            label = models[0] if models else "none"
            name = f"{region}/{label}/{len(models)}/{start // size}"
            pools[name] = Pool(
                name=name,
                region=region,
                models=models,
                endpoints=tuple(names[start : start + size]),
            )
    return pools


class ConfigState:
    """Holds the newest revision; it only rises."""

    def __init__(self, *, pool_size: int):
        self.pool_size = pool_size
        self.manifest = Manifest(revision=0, parts={})
        self.bodies: dict[str, bytes] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.models: dict[str, Model] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.services: dict[str, Service] = {}
        self.by_key: dict[str, Workspace] = {}
        self.pools: dict[str, Pool] = {}
        self.by_part: dict[str, list[Any]] = {}

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 before the first."""
        return self.manifest.revision

    def missing(self, manifest: Manifest) -> list[str]:
        """Return the digests of a manifest's parts that are not held."""
        return [sum_ for sum_ in manifest.parts.values() if sum_ not in self.bodies]

    def update_since(self, revision: int, held: set[str]) -> ConfigUpdate:
        """Return the message that brings a holder of some parts up to date."""
        if revision >= self.revision:
            return ConfigUpdate(revision=self.revision)
        parts = [
            Part(name=name, digest=sum_, body=self.bodies[sum_])
            for name, sum_ in self.manifest.parts.items()
            if sum_ not in held
        ]
        return ConfigUpdate(
            revision=self.revision, manifest=write_manifest(self.manifest), parts=parts
        )

    def accept(self, update: ConfigUpdate) -> bool | Failure:
        """Put a newer revision in force; return whether anything changed."""
        if update.revision <= self.revision:
            return False
        manifest = read_manifest(update.manifest)
        if isinstance(manifest, Failure):
            return manifest
        fresh = {part.digest: part.body for part in update.parts}
        for sum_, body in fresh.items():
            if digest(body) != sum_:
                return Failure(Code.CONFIG_INVALID, f"part {sum_}: wrong digest")
        lacking = [s for s in self.missing(manifest) if s not in fresh]
        if lacking:
            return Failure(Code.OBJECT_MISSING, f"{len(lacking)} parts are missing")
        return self.put_in_force(manifest, {**self.bodies, **fresh})

    def put_in_force(
        self, manifest: Manifest, bodies: dict[str, bytes]
    ) -> bool | Failure:
        """Read the parts that changed and switch to the manifest's revision."""
        by_part = {}
        gone = set(self.by_part) - set(manifest.parts)
        changed = {name.rpartition("-")[0] for name in gone}
        for name, sum_ in manifest.parts.items():
            if self.manifest.parts.get(name) == sum_ and name in self.by_part:
                by_part[name] = self.by_part[name]
                continue
            items = read_part(name, bodies[sum_])
            if isinstance(items, Failure):
                return items
            by_part[name] = items
            changed.add(name.rpartition("-")[0])
        self.by_part = by_part
        self.manifest = manifest
        wanted = set(manifest.parts.values())
        self.bodies = {sum_: body for sum_, body in bodies.items() if sum_ in wanted}
        self.index(changed)
        return True

    def index(self, changed: set[str]) -> None:
        """Rebuild the lookups of the kinds whose parts changed."""
        tables: dict[str, dict[str, Any]] = {kind: {} for kind in changed}
        for name, items in self.by_part.items():
            place = tables.get(name.rpartition("-")[0])
            if place is not None:
                place.update((item.name, item) for item in items)
        self.models = tables.get("models", self.models)
        self.services = tables.get("services", self.services)
        if "workspaces" in tables:
            self.workspaces = tables["workspaces"]
            self.by_key = {
                sum_: space
                for space in self.workspaces.values()
                for sum_ in space.key_hashes
            }
        if "endpoints" in tables:
            self.endpoints = tables["endpoints"]
            self.pools = make_pools(list(self.endpoints.values()), self.pool_size)

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to.

        The lookup is by the key's hash, so its time says nothing of the key.
        """
        return self.by_key.get(hash_key(key))

    def pools_for(self, model: str) -> list[Pool]:
        """Return the pools whose endpoints serve a model."""
        base = model.partition(":")[0]
        return [pool for pool in self.pools.values() if base in pool.models]

    def pool_of(self, endpoint: str) -> Pool | None:
        """Return the pool that an endpoint is in, None where it is in none."""
        for pool in self.pools.values():
            if endpoint in pool.endpoints:
                return pool
        return None

    def operation(self, service: str, method: str, path: str) -> Operation | None:
        """Return the declared operation of a service that a call matches.

        A path that ends with ``*`` matches every path with that beginning.
        """
        found = self.services.get(service)
        if found is None:
            return None
        for operation in found.operations:
            if operation.method != method:
                continue
            exact = operation.path == path
            stem = operation.path[:-1]
            if exact or (operation.path.endswith("*") and path.startswith(stem)):
                return operation
        return None
