"""The configuration document that operators hand to the system.

A document is plain data: workspaces, models, endpoints and services by name.
``baobabturn.declare`` prints it, ``baobabturn apply`` checks it and splits it
into parts, and every process reads the parts back into these classes.
"""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import cattrs.errors

from baobabturn.core.results import Code, Failure

FORMAT = 1
DRAIN_ROLE = "drain"


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer: its keys, the models it may use, its weight and limits.

    ``key_hashes`` are SHA-256 of the keys in hexadecimal.  ``weight`` is its
    share under contention, ``tokens_per_minute`` and ``concurrent_requests``
    are limits, 0 for none.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    priority: int = 0
    weight: float = 1.0
    tokens_per_minute: int = 0
    concurrent_requests: int = 0


@attrs.frozen(kw_only=True)
class Model:
    """A model with the version and adapters that its endpoints shall hold."""

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    context_tokens: int = 32768
    weights_gb: float = 0.0
    copies: int = 0


@attrs.frozen(kw_only=True)
class Endpoint:
    """A model engine or plain service and how the system meets it."""

    name: str
    url: str
    kind: str = "engine"
    failure_domain: str = ""
    region: str = ""
    models: tuple[str, ...] = ()
    service: str = ""
    memory_tokens: int = 0
    concurrency: int = 0
    checks_fencing: bool = False
    takes_salt: bool = True
    role: str = "serve"


@attrs.frozen(kw_only=True)
class Operation:
    """One operation of a service and whether a call of it may be repeated.

    ``refusals`` are the HTTP statuses by which the service says that it did not
    run the call; without them no answer of the service proves that.
    """

    method: str
    path: str
    repeatable: bool = False
    timeout_s: float = 30.0
    refusals: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """A plain service behind the system."""

    name: str
    operations: tuple[Operation, ...] = ()


@attrs.frozen(kw_only=True)
class Document:
    """A whole configuration."""

    workspaces: tuple[Workspace, ...] = ()
    models: tuple[Model, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    services: tuple[Service, ...] = ()
    format: int = FORMAT


CONVERTER = cattrs.Converter(forbid_extra_keys=True)
CONVERTER.register_unstructure_hook(
    float, lambda value: int(value) if value == int(value) else value
)


def first_error(error: BaseException, where: str = "") -> str:
    """Return the innermost error of a nested one with the place it is at."""
    notes = [
        note
        for note in getattr(error, "__notes__", [])
        if isinstance(note, (cattrs.errors.AttributeValidationNote, str))
    ]
    for note in notes:
        name = getattr(note, "name", None)
        index = getattr(note, "index", None)
        if name is not None:
            where = f"{where}.{name}" if where else str(name)
        elif index is not None:
            where = f"{where}[{index}]"
    if isinstance(error, BaseExceptionGroup):
        return first_error(error.exceptions[0], where)
    return f"{where}: {error}"


def read_document(values: Any) -> Document | Failure:
    """Return a document made from decoded JSON, or what is wrong with it."""
    if not isinstance(values, dict):
        return Failure(Code.CONFIG_INVALID, "the configuration is not an object")
    try:
        return CONVERTER.structure(values, Document)
    except (cattrs.errors.BaseValidationError, ValueError, TypeError) as error:
        return Failure(Code.CONFIG_INVALID, first_error(error).lstrip("."))


def write_document(document: Document) -> dict:
    """Return a document as values for JSON."""
    return CONVERTER.unstructure(document)
