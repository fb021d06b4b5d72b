"""What operators declare, as typed data: workspaces, models, endpoints, services."""

from __future__ import annotations

import attrs

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
