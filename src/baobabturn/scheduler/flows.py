"""The queue of one pool, split by workspace, class and priority.

Within a flow requests keep their order of arrival, so that only the first one
of each flow needs to be weighed when a place is free.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator

from baobabturn.scheduler.state import Waiting

FlowKey = tuple[str, str, str, int, bool]
Rank = tuple[float, ...]


class Flows:
    """The waiting requests of one pool in their flows."""

    def __init__(self):
        self.flows: dict[FlowKey, deque[Waiting]] = {}

    def key(self, waiting: Waiting) -> FlowKey:
        """Return the flow of a request."""
        admit = waiting.admit
        second = bool(admit.hedges)
        return admit.workspace, admit.model, admit.kind, admit.priority, second

    def add(self, waiting: Waiting) -> None:
        """Add a request to its flow."""
        self.flows.setdefault(self.key(waiting), deque()).append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Take a request out of its flow."""
        key = self.key(waiting)
        flow = self.flows.get(key)
        if flow is None:
            return
        if flow[0] is waiting:
            flow.popleft()
        elif waiting in flow:
            flow.remove(waiting)
        if not flow:
            del self.flows[key]

    def ordered(self, rank: Callable[[Waiting], Rank]) -> Iterator[Waiting]:
        """Yield first requests by rank; a granted one brings the next to the front.

        A request that is still queued when the next is asked for keeps its flow
        back until the next call.
        """
        heap = [
            (rank(flow[0]), number, key)
            for number, (key, flow) in enumerate(self.flows.items())
        ]
        heapq.heapify(heap)
        while heap:
            _, number, key = heapq.heappop(heap)
            first = self.flows[key][0]
            yield first
            flow = self.flows.get(key)
            if flow and flow[0] is not first:
                heapq.heappush(heap, (rank(flow[0]), number, key))
