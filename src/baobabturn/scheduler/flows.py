"""The waiting requests of one pool, split into flows of similar requests.

The requests of a flow have the same workspace, model, kind and priority, and all
or none of them are hedges.  They keep their order of arrival, so only the first
one of each flow needs to be ranked when capacity becomes free.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator

from baobabturn.scheduler.state import WaitingRequest

FlowKey = tuple[str, str, str, int, bool]
Rank = tuple[float, ...]


class Flows:
    """The flows of one pool; a flow without requests is deleted."""

    def __init__(self):
        self.flows: dict[FlowKey, deque[WaitingRequest]] = {}

    def flow_key(self, waiting: WaitingRequest) -> FlowKey:
        """Return the key of a request's flow."""
        admit = waiting.admit
        is_hedge = bool(admit.hedges)
        return admit.workspace, admit.model, admit.kind, admit.priority, is_hedge

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to its flow."""
        self.flows.setdefault(self.flow_key(waiting), deque()).append(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request from its flow, if it is there."""
        flow_key = self.flow_key(waiting)
        flow = self.flows.get(flow_key)
        if flow is None:
            return
        if flow[0] is waiting:
            flow.popleft()
        elif waiting in flow:
            flow.remove(waiting)
        if not flow:
            del self.flows[flow_key]

    def ranked(
        self, rank: Callable[[WaitingRequest], Rank]
    ) -> Iterator[WaitingRequest]:
        """Yield the first requests of the flows, the smallest rank first.

        When the consumer removes the yielded request from its flow, the flow's next
        request is ranked too.  Otherwise the flow yields nothing more in this pass.
        Flows of equal rank keep the order in which they were created.
        """
        heap = [
            (rank(flow[0]), index, flow_key)
            for index, (flow_key, flow) in enumerate(self.flows.items())
        ]
        heapq.heapify(heap)
        while heap:
            _, index, flow_key = heapq.heappop(heap)
            first = self.flows[flow_key][0]
            yield first
            flow = self.flows.get(flow_key)
            if flow and flow[0] is not first:
                heapq.heappush(heap, (rank(flow[0]), index, flow_key))
