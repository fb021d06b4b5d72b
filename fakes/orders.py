"""Execution of a controller's orders by a fake engine; loads take time and may fail."""

from __future__ import annotations

import asyncio
import time

import attrs


@attrs.define(kw_only=True)
class OrderBook:
    """The models, adapters and role of an engine, and every order that it received.

    ``load_s`` is the duration of a load; loads of ``fail_versions`` fail.  A model is
    not served while it is being replaced.
    """

    models: dict[str, str]
    checks_fencing: bool
    load_s: float = 0.2
    fail_versions: list[str] = attrs.Factory(list)
    adapters: set[str] = attrs.Factory(set)
    role: str = "serve"
    term: int = 0
    loading: str = ""
    failed: dict[str, str] = attrs.Factory(dict)
    given: list[dict] = attrs.Factory(list)
    tasks: set[asyncio.Task] = attrs.Factory(set)

    def take(self, body: dict) -> bool:
        """Execute an order; return False if its stale fencing term is refused."""
        term = body.get("term") or 0
        stale = term < self.term
        refused = stale and self.checks_fencing
        self.given.append(
            {**body, "stale": stale, "refused": refused, "at": time.time()}
        )
        if refused:
            return False
        self.term = max(self.term, term)
        handler = HANDLERS.get(str(body.get("order")))
        if handler is not None:
            handler(self, body)
        return True

    def load(self, body: dict) -> None:
        """Start to load a model; the version that it replaces is unloaded at once."""
        if self.models.get(body["model"]) == body.get("version") or self.loading:
            return
        self.loading = body["model"]
        self.failed.pop(body["model"], None)
        old = self.models.pop(body["model"], None)
        task = asyncio.create_task(self.finish_load(body, old))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish_load(self, body: dict, old: str | None) -> None:
        """Complete a load: add the model, or restore the old one if the load fails."""
        await asyncio.sleep(self.load_s)
        name, version = body["model"], str(body.get("version", "1"))
        self.loading = ""
        if version in self.fail_versions:
            self.failed[name] = version
            if old is not None:
                self.models[name] = old
            return
        self.models[name] = version

    def unload(self, body: dict) -> None:
        """Remove a model."""
        self.models.pop(body["model"], None)

    def load_adapter(self, body: dict) -> None:
        """Add an adapter."""
        self.adapters.add(f"{body['model']}:{body['adapter']}")

    def unload_adapter(self, body: dict) -> None:
        """Remove an adapter."""
        self.adapters.discard(f"{body['model']}:{body['adapter']}")

    def set_role(self, body: dict) -> None:
        """Change the role."""
        self.role = body["role"]

    def state(self, open_count: int) -> dict:
        """Return the actual state, which may differ from the ordered one."""
        return {
            "models": self.models,
            "adapters": sorted(self.adapters),
            "role": self.role,
            "term": self.term,
            "loading": self.loading,
            "failed": self.failed,
            "open": open_count,
        }


HANDLERS = {
    "load": OrderBook.load,
    "unload": OrderBook.unload,
    "load_adapter": OrderBook.load_adapter,
    "unload_adapter": OrderBook.unload_adapter,
    "role": OrderBook.set_role,
}
