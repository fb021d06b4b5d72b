"""The difference between two configurations, item by item and field by field."""

from __future__ import annotations

from typing import Any

import attrs

from baobabturn.config.declared import Document
from baobabturn.config.document import CONVERTER

KINDS = ("workspaces", "models", "endpoints", "services")


@attrs.frozen(kw_only=True)
class Difference:
    """One item that was added, removed or changed, with the fields that differ."""

    kind: str
    name: str
    change: str
    fields: dict[str, tuple[Any, Any]]

    def line(self) -> str:
        """Return the difference as one line for people."""
        mark = {"added": "+", "removed": "-", "changed": "~"}[self.change]
        fields = ", ".join(
            f"{name}: {old!r} -> {new!r}" for name, (old, new) in self.fields.items()
        )
        return f"{mark} {self.kind} {self.name}" + (f"  {fields}" if fields else "")


def differences(old: Document, new: Document) -> list[Difference]:
    """Return what changes from one document to another, sorted by kind and name."""
    found = []
    for kind in KINDS:
        before = {item.name: item for item in getattr(old, kind)}
        after = {item.name: item for item in getattr(new, kind)}
        for name in sorted({*before, *after}):
            if before.get(name) != after.get(name):
                found.append(difference(kind, name, before.get(name), after.get(name)))
    return found


def difference(kind: str, name: str, old: Any, new: Any) -> Difference:
    """Return how one item differs."""
    if old is None or new is None:
        change = "added" if old is None else "removed"
        return Difference(kind=kind, name=name, change=change, fields={})
    before, after = CONVERTER.unstructure(old), CONVERTER.unstructure(new)
    fields = {
        field: (before[field], after[field])
        for field in before
        if before[field] != after[field]
    }
    return Difference(kind=kind, name=name, change="changed", fields=fields)
