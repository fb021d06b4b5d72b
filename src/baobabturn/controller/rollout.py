"""Decides the next order for each engine from its declared and its actual state.

The decision depends on nothing else, so a new holder of the lease continues where
the last one stopped.  An engine whose models must be replaced is first put in the
role ``drain``; it gets its load order when it has no open generations, and its
declared role back when it has the declared models and adapters.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabturn.config.declared import DRAIN_ROLE, Endpoint, Model
from baobabturn.endpoints.engine import EngineState, Order

SERVE_ROLE = "serve"
MAX_DISRUPTED_RATIO = 0.25  # of the copies of a model


@attrs.frozen(kw_only=True)
class WantedState:
    """The declared state of an engine: versions by model, adapters, and its role."""

    models: dict[str, str]
    adapters: frozenset[str]
    role: str


def wanted_state(
    endpoint: Endpoint, models: dict[str, Model], versions: dict[str, str]
) -> WantedState:
    """Return the state that an engine should reach.

    ``versions`` overrides the declared versions of models that were rolled back.
    """
    declared = [models[name] for name in endpoint.models if name in models]
    return WantedState(
        models={m.name: versions.get(m.name, m.version) for m in declared},
        adapters=frozenset(f"{m.name}:{a}" for m in declared for a in m.adapters),
        role=endpoint.role,
    )


def is_disrupted(state: EngineState | None) -> bool:
    """Return whether an engine doesn't serve now, or its state is unknown."""
    return state is None or state.role != SERVE_ROLE or bool(state.loading)


def next_order(
    wanted: WantedState, state: EngineState, may_disrupt: bool, term: int
) -> Order | None:
    """Return the next order for one engine, None if there is none now."""
    if state.loading:
        return None
    replaced = sorted(
        name
        for name, version in state.models.items()
        if wanted.models.get(name) != version
    )
    if replaced:
        if state.role != DRAIN_ROLE:
            return (
                Order(order="role", role=DRAIN_ROLE, term=term) if may_disrupt else None
            )
        if state.open_count:
            return None
        return replace_order(wanted, replaced[0], term)
    missing = sorted(set(wanted.models) - set(state.models))
    if missing:
        name = missing[0]
        return Order(order="load", model=name, version=wanted.models[name], term=term)
    adapters = adapter_order(wanted, state, term)
    if adapters is not None:
        return adapters
    if state.role != wanted.role:
        return Order(order="role", role=wanted.role, term=term)
    return None


def replace_order(wanted: WantedState, name: str, term: int) -> Order:
    """Return the order that replaces or removes a model."""
    version = wanted.models.get(name)
    if version is None:
        return Order(order="unload", model=name, term=term)
    return Order(order="load", model=name, version=version, term=term)


def adapter_order(wanted: WantedState, state: EngineState, term: int) -> Order | None:
    """Return the order for the next adapter to add or remove."""
    for name in sorted(wanted.adapters - state.adapters):
        model, _, adapter = name.partition(":")
        return Order(order="load_adapter", model=model, adapter=adapter, term=term)
    for name in sorted(state.adapters - wanted.adapters):
        model, _, adapter = name.partition(":")
        return Order(order="unload_adapter", model=model, adapter=adapter, term=term)
    return None


def may_disrupt(
    endpoint: Endpoint,
    endpoints: Iterable[Endpoint],
    states: dict[str, EngineState | None],
) -> bool:
    """Return whether an engine may stop serving now.

    Each model that it has must keep another serving copy, and at most
    ``MAX_DISRUPTED_RATIO`` of a model's copies, but at least one, may be disrupted
    at once.  A model with a single declared engine has no other copy to wait for.
    """
    state = states.get(endpoint.name)
    if state is None:
        return False
    for model in state.models:
        copies = [
            engine
            for engine in endpoints
            if engine.name != endpoint.name and model in engine.models
        ]
        if not copies:
            continue
        serving = [e for e in copies if serves(states.get(e.name), model)]
        disrupted = len(copies) - len(serving)
        limit = max(1, int((len(copies) + 1) * MAX_DISRUPTED_RATIO))
        if not serving or disrupted + 1 > limit:
            return False
    return True


def serves(state: EngineState | None, model: str) -> bool:
    """Return whether an engine serves a model now."""
    return not is_disrupted(state) and state is not None and model in state.models


def engine_groups(endpoints: Iterable[Endpoint]) -> dict[str, str]:
    """Return the name of the group of each engine, by the name of the engine.

    Engines that share a model, directly or through other engines, are in one group,
    so that one lease holder decides about all copies of a model.
    """
    parent: dict[str, str] = {}

    def root(name: str) -> str:
        while parent.setdefault(name, name) != name:
            name = parent[name]
        return name

    engines = [e for e in endpoints if e.kind == "engine" and e.models]
    for engine in engines:
        first, *rest = sorted(engine.models)
        for model in rest:
            low, high = sorted((root(first), root(model)))
            parent[high] = low
    return {engine.name: root(min(engine.models)) for engine in engines}
