"""Checks a document's rules before the system accepts it."""

from __future__ import annotations

import collections
import re

from baobabturn.config.declared import Document
from baobabturn.core.results import Code, Failure

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")
HASH = re.compile(r"^[0-9a-f]{64}$")
ENDPOINT_KINDS = ("engine", "service")
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def problems(document: Document) -> list[str]:
    """Return every broken rule, each naming the declaration and the field."""
    found: list[str] = []
    for kind in ("workspaces", "models", "endpoints", "services"):
        found.extend(
            name_problems(kind, [item.name for item in getattr(document, kind)])
        )
    found.extend(workspace_problems(document))
    found.extend(endpoint_problems(document))
    found.extend(service_problems(document))
    return found


def name_problems(kind: str, names: list[str]) -> list[str]:
    """Return the names that are malformed or declared twice."""
    found = [
        f"{kind} {name!r}: name: allowed are letters, digits, '.', '_' and '-'"
        for name in names
        if not NAME.match(name)
    ]
    for name, count in collections.Counter(names).items():
        if count > 1:
            found.append(f"{kind} {name!r}: name: declared {count} times")
    return found


def workspace_problems(document: Document) -> list[str]:
    """Return what is wrong with workspaces."""
    found = []
    models = {model.name for model in document.models}
    models |= {f"{m.name}:{adapter}" for m in document.models for adapter in m.adapters}
    services = {service.name for service in document.services}
    owners: dict[str, str] = {}
    for space in document.workspaces:
        at = f"workspace {space.name!r}"
        for model in space.models:
            if model not in models:
                found.append(f"{at}: models: {model!r} is not declared")
        for service in space.services:
            if service not in services:
                found.append(f"{at}: services: {service!r} is not declared")
        for digest in space.key_hashes:
            if not HASH.match(digest):
                found.append(f"{at}: key_hashes: not a SHA-256 in hexadecimal")
            elif owners.setdefault(digest, space.name) != space.name:
                found.append(f"{at}: key_hashes: also a key of {owners[digest]!r}")
        if not space.weight > 0:
            found.append(f"{at}: weight: allowed is a number over 0")
        if space.tokens_per_minute < 0 or space.concurrent_requests < 0:
            found.append(f"{at}: limits: allowed are 0 and more")
    return found


def endpoint_problems(document: Document) -> list[str]:
    """Return what is wrong with endpoints."""
    found = []
    models = {model.name for model in document.models}
    services = {service.name for service in document.services}
    for endpoint in document.endpoints:
        at = f"endpoint {endpoint.name!r}"
        if endpoint.kind not in ENDPOINT_KINDS:
            found.append(f"{at}: kind: allowed are {', '.join(ENDPOINT_KINDS)}")
        if not endpoint.url.startswith(("http://", "https://")):
            found.append(f"{at}: url: allowed is an http or https address")
        for model in endpoint.models:
            if model not in models:
                found.append(f"{at}: models: {model!r} is not declared")
        if endpoint.kind == "engine" and endpoint.memory_tokens <= 0:
            found.append(f"{at}: memory_tokens: allowed is a number over 0")
        if endpoint.kind == "service" and endpoint.service not in services:
            found.append(f"{at}: service: {endpoint.service!r} is not declared")
    return found


def service_problems(document: Document) -> list[str]:
    """Return what is wrong with services."""
    found = []
    for service in document.services:
        for operation in service.operations:
            at = f"service {service.name!r} operation {operation.path!r}"
            if operation.method not in METHODS:
                found.append(f"{at}: method: allowed are {', '.join(METHODS)}")
            if not operation.path.startswith("/"):
                found.append(f"{at}: path: allowed is a path that starts with '/'")
            if not operation.timeout_s > 0:
                found.append(f"{at}: timeout_s: allowed is a number over 0")
            if not all(400 <= status <= 599 for status in operation.refusals):
                found.append(f"{at}: refusals: allowed are statuses 400 to 599")
    return found


def check(document: Document) -> Failure | None:
    """Return a failure that lists every broken rule, None where there is none."""
    found = problems(document)
    if not found:
        return None
    return Failure(Code.CONFIG_INVALID, "; ".join(found))
