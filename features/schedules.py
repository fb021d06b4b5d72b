"""Drives real coroutines over chosen interleavings, and searches small models.

A process under test awaits calls of ``ScheduledStore``.  The driver decides
when a call takes effect, when its answer arrives, and whether either is lost;
a call whose answer was lost may still take effect later.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Coroutine, Hashable, Iterable
from typing import Any

import attrs

from baobabturn.core.results import Code, Failure
from baobabturn.store.interface import StoredObject
from baobabturn.store.version import (
    ABSENT,
    ANY_VERSION,
    StoreVersion,
    crossed_eras,
    outdated_condition,
)

LOST = Failure(Code.WRITE_UNRESOLVED, "answer lost")


@attrs.define(kw_only=True, eq=False)
class Call:
    """A call on its way: what it does, and its answer once it took effect."""

    effect: Callable[[], Any]
    answer: Any = None
    done: bool = False

    def __await__(self):
        """Hand the call to the driver and return the answer it gives."""
        return (yield self)


@attrs.frozen(kw_only=True)
class StoreCopy:
    """The objects of a store at a revision."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class ScheduledStore:
    """An object store in memory whose calls the driver carries out."""

    def __init__(self):
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.era = 0
        self.revision = 0

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object."""
        return await Call(effect=lambda: self.read(kind, name))

    async def put(self, kind: str, name: str, value: Any, expect: StoreVersion) -> Any:
        """Write an object if its version is the expected one."""
        return await Call(effect=lambda: self.write(kind, name, value, expect))

    async def delete(self, kind: str, name: str, expect: StoreVersion) -> Any:
        """Delete an object if its version is the expected one."""
        return await Call(effect=lambda: self.remove(kind, name, expect))

    def read(self, kind: str, name: str) -> StoredObject | Failure:
        """Return what is stored."""
        missing = Failure(Code.OBJECT_MISSING, name)
        return self.objects.get((kind, name), missing)

    def conflict(self, kind: str, name: str, expect: StoreVersion) -> Failure | None:
        """Return the failure of a condition that isn't met.

        The store compares revisions alone, as it isn't told of eras.
        """
        held = self.objects.get((kind, name))
        version = held.version if held is not None else ABSENT
        if expect == ANY_VERSION or expect.revision == version.revision:
            return None
        return Failure(Code.VERSION_CONFLICT, name)

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can return later."""
        return StoreCopy(revision=self.revision, objects=dict(self.objects))

    def restore(self, copied: StoreCopy) -> None:
        """Return from a copy; revisions are given out again."""
        self.era += 1
        self.revision = copied.revision
        self.objects = {
            key: attrs.evolve(
                held, version=StoreVersion(self.era, held.version.revision)
            )
            for key, held in copied.objects.items()
        }

    def write(self, kind: str, name: str, value: Any, expect: StoreVersion) -> Any:
        """Carry out a write."""
        failed = self.conflict(kind, name, expect)
        if failed is not None:
            return failed
        self.revision += 1
        version = StoreVersion(self.era, self.revision)
        made = StoredObject(kind=kind, name=name, version=version, value=value)
        self.objects[(kind, name)] = made
        return crossed_eras(expect, self.era) or made

    def remove(self, kind: str, name: str, expect: StoreVersion) -> Any:
        """Carry out a deletion."""
        failed = self.conflict(kind, name, expect)
        if failed is None:
            self.objects.pop((kind, name), None)
        return failed


class StoreClient:
    """One process's client of a store; it learns of an era by an answer."""

    def __init__(self, *, store: ScheduledStore):
        self.store = store
        self.era = 0

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Return an object."""
        return await self.call(lambda: self.store.read(kind, name))

    async def put(self, kind: str, name: str, value: Any, expect: StoreVersion) -> Any:
        """Write an object if its version is the expected one."""
        outdated = outdated_condition(expect, self.era)
        if outdated is not None:
            return outdated
        return await self.call(lambda: self.store.write(kind, name, value, expect))

    async def call(self, effect: Callable[[], Any]) -> Any:
        """Make a call, and record the era of its answer."""
        answer = await Call(effect=lambda: (effect(), self.store.era))
        if isinstance(answer, Failure):
            return answer
        result, era = answer
        self.era = max(self.era, era)
        return result


class Process:
    """A process under test: it runs one coroutine after another."""

    def __init__(self, *, name: str, work: Callable[[], Coroutine[Any, Any, Any]]):
        self.name = name
        self.work = work
        self.running: Coroutine[Any, Any, Any] | None = None
        self.pending: Call | None = None
        self.paused = False
        self.result: Any = None

    def resume(self, answer: Any) -> None:
        """Go on until the next call, or the end of the coroutine."""
        if self.running is None:
            self.running = self.work()
        try:
            self.pending = self.running.send(answer)
        except StopIteration as ended:
            self.running = self.pending = None
            self.result = ended.value


class Driver:
    """Chooses the next step of a schedule at random, from a seed."""

    def __init__(self, *, processes: list[Process], seed: int):
        self.processes = processes
        self.random = random.Random(seed)
        self.late: list[Call] = []

    def step(self) -> None:
        """Do one random step."""
        process = self.random.choice(self.processes)
        if self.late and self.random.random() < 0.2:
            carry_out(self.late.pop(self.random.randrange(len(self.late))))
            return
        if self.random.random() < 0.08:
            process.paused = not process.paused
        if process.paused:
            return
        call = process.pending
        if call is None:
            process.resume(None)
            return
        chance = self.random.random()
        if not call.done and chance < 0.6:
            carry_out(call)
        elif call.done and chance < 0.75:
            process.resume(call.answer)
        elif chance > 0.9:
            if not call.done:
                self.late.append(call)
            process.resume(LOST)


def carry_out(call: Call) -> None:
    """Let a call take effect, once."""
    if not call.done:
        call.done = True
        call.answer = call.effect()


State = Hashable


def search(
    first: State,
    successors: Callable[[Any], Iterable[State]],
    holds: Callable[[Any], bool],
    limit: int,
) -> tuple[int, State | None]:
    """Return how many states were reached, and one in which a statement fails.

    Raises ``AssertionError`` where there are more states than the limit, so
    that a check never passes by having been cut short.
    """
    seen = {first}
    queue = collections.deque([first])
    while queue:
        state = queue.popleft()
        if not holds(state):
            return len(seen), state
        for each in successors(state):
            if each not in seen:
                seen.add(each)
                queue.append(each)
        assert len(seen) <= limit, f"more than {limit} states"
    return len(seen), None
