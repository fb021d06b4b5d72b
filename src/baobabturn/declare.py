"""The library with which operators declare a configuration.

A program builds a :class:`Configuration` and prints it; the same program
prints the same bytes.  A wrong declaration raises :class:`DeclarationError`,
whose text names the declaration and the field.

Example::

    from baobabturn import declare

    config = declare.Configuration()
    rumia = config.model("rumia", context_tokens=32768)
    config.endpoint("rumia-1", url="http://10.0.0.1:8000", models=[rumia],
                    memory_tokens=200_000, failure_domain="heredia", region="cr")
    config.workspace("buyers", keys=["secret-key"], models=[rumia], priority=5)
    config.print()
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from typing import Any, TypeVar

import attrs

from baobabturn.config import check
from baobabturn.config.declared import (
    Document,
    Endpoint,
    Model,
    Operation,
    Service,
    Workspace,
)
from baobabturn.config.document import write_document
from baobabturn.config.state import hash_key

Item = TypeVar("Item")
EXIT_MISTAKE = 2


class DeclarationError(ValueError):
    """A declaration that breaks a rule; the text names it and the field."""


def name_of(item: Any) -> str:
    """Return the name of a declared item, or the text as it is."""
    return item if isinstance(item, str) else item.name


def texts(where: str, field: str, values: Any) -> tuple[str, ...]:
    """Return a list of names or texts, declared items by their names."""
    if isinstance(values, str) or not isinstance(values, Sequence):
        raise DeclarationError(f"{where}: {field} is {values!r}; allowed: a list")
    found = []
    for value in values:
        name = getattr(value, "name", value)
        if not isinstance(name, str):
            raise DeclarationError(f"{where}: {field} has {value!r}; allowed: texts")
        found.append(name)
    return tuple(found)


def build(kind: type[Item], where: str, fields: dict[str, Any]) -> Item:
    """Return an item, checked field by field for its type."""
    attrs.resolve_types(kind)  # type: ignore[type-var]
    simple: dict[Any, tuple[type, ...]] = {
        str: (str,),
        int: (int,),
        float: (int, float),
        bool: (bool,),
    }
    for field in attrs.fields(kind):  # type: ignore[arg-type]
        allowed = simple.get(field.type)
        if allowed is None or field.name not in fields:
            continue
        value = fields[field.name]
        mixed = isinstance(value, bool) and field.type is not bool
        if mixed or not isinstance(value, allowed):
            kind_name = getattr(field.type, "__name__", field.type)
            raise DeclarationError(
                f"{where}: {field.name} is {value!r}; allowed: {kind_name}"
            )
    return kind(**fields)


def operation(
    method: str,
    path: str,
    *,
    repeatable: bool = False,
    timeout_s: float = 30.0,
    refusals: Sequence[int] = (),
) -> Operation:
    """Return an operation of a service; a path may end with ``*``.

    ``refusals`` are the statuses by which the service says that a call did not
    run; a call that may not be repeated is tried elsewhere only after these.
    """
    fields = {
        "method": method,
        "path": path,
        "repeatable": repeatable,
        "timeout_s": timeout_s,
        "refusals": tuple(refusals),
    }
    return build(Operation, f"operation {path!r}", fields)


class Configuration:
    """Everything that is declared, in any order."""

    def __init__(self):
        self.workspaces: list[Workspace] = []
        self.models: list[Model] = []
        self.endpoints: list[Endpoint] = []
        self.services: list[Service] = []

    def model(self, name: str, *, adapters: Sequence[str] = (), **fields: Any) -> Model:
        """Declare a model; fields are those of ``Model``."""
        names = texts(f"model {name!r}", "adapters", adapters)
        made = {"name": name, "adapters": names, **fields}
        return self.add(self.models, Model, "model", made)

    def service(self, name: str, *, operations: Sequence[Operation] = ()) -> Service:
        """Declare a plain service and its operations."""
        made = {"name": name, "operations": tuple(operations)}
        return self.add(self.services, Service, "service", made)

    def endpoint(
        self,
        name: str,
        *,
        url: str,
        models: Sequence[Model | str] = (),
        service: Service | str = "",
        **fields: Any,
    ) -> Endpoint:
        """Declare an engine, or a plain service's worker if ``service`` is given."""
        made = {
            "name": name,
            "url": url,
            "kind": "service" if service else "engine",
            "models": texts(f"endpoint {name!r}", "models", models),
            "service": name_of(service),
            **fields,
        }
        return self.add(self.endpoints, Endpoint, "endpoint", made)

    def workspace(
        self,
        name: str,
        *,
        keys: Sequence[str] = (),
        key_hashes: Sequence[str] = (),
        models: Sequence[Model | str] = (),
        services: Sequence[Service | str] = (),
        **fields: Any,
    ) -> Workspace:
        """Declare a workspace; keys are printed as hashes only."""
        where = f"workspace {name!r}"
        hashes = list(texts(where, "key_hashes", key_hashes))
        hashes += [hash_key(key) for key in texts(where, "keys", keys)]
        made = {
            "name": name,
            "key_hashes": tuple(hashes),
            "models": texts(where, "models", models),
            "services": texts(where, "services", services),
            **fields,
        }
        return self.add(self.workspaces, Workspace, "workspace", made)

    def add(
        self, place: list[Any], kind: type[Item], word: str, fields: dict[str, Any]
    ) -> Item:
        """Build an item, note it, and return it."""
        where = f"{word} {fields['name']!r}"
        try:
            item = build(kind, where, fields)
        except TypeError as error:
            reason = str(error).partition(") ")[2] or str(error)
            raise DeclarationError(f"{where}: {reason}") from None
        place.append(item)
        return item

    def document(self) -> Document:
        """Return the checked document, its items sorted by name."""

        def by_name(items: list[Any]) -> tuple[Any, ...]:
            return tuple(sorted(items, key=lambda item: item.name))

        document = Document(
            workspaces=by_name(self.workspaces),
            models=by_name(self.models),
            endpoints=by_name(self.endpoints),
            services=by_name(self.services),
        )
        found = check.problems(document)
        if found:
            raise DeclarationError(found[0])
        return document

    def text(self) -> str:
        """Return the configuration as JSON text."""
        values = write_document(self.document())
        return json.dumps(values, indent=1, sort_keys=True) + "\n"

    def print(self) -> None:
        """Print the configuration; a wrong one ends the program with one line."""
        try:
            text = self.text()
        except DeclarationError as error:
            complain(error)
            sys.exit(EXIT_MISTAKE)
        sys.stdout.write(text)


def complain(error: BaseException) -> None:
    """Print a mistake as one line."""
    print(f"declaration: {' '.join(str(error).split())}", file=sys.stderr)


def excepthook(kind: type[BaseException], error: BaseException, trace: Any) -> None:
    """End a program with one line for a mistake, as usual for other errors."""
    if not isinstance(error, DeclarationError):
        sys.__excepthook__(kind, error, trace)
        return
    complain(error)
    sys.stdout.flush()
    os._exit(EXIT_MISTAKE)


sys.excepthook = excepthook
