"""Weighted fair queueing of workspaces, and their declared limits.

Each workspace has a virtual time, which advances by the tokens it uses divided
by its weight.  The workspace with the smallest virtual time is served next.  A
workspace that was idle restarts at the pool's virtual time, so that it gains
no credit by being idle.
"""

from __future__ import annotations

from collections import deque

import attrs

from baobabturn.config.declared import Workspace
from baobabturn.core.results import Code, Failure

MINUTE_S = 60.0


class FairShares:
    """The virtual times of a pool's workspaces, in tokens divided by weight."""

    def __init__(self):
        self.virtual = 0.0
        self.times: dict[str, float] = {}
        self.backlog: dict[str, int] = {}

    def queued(self, workspace: str) -> None:
        """Count a waiting request; the first one sets the workspace's start."""
        count = self.backlog.get(workspace, 0)
        if not count:
            self.times[workspace] = max(self.virtual, self.times.get(workspace, 0.0))
        self.backlog[workspace] = count + 1

    def unqueued(self, workspace: str) -> None:
        """Count a request that no longer waits."""
        left = self.backlog.get(workspace, 0) - 1
        if left > 0:
            self.backlog[workspace] = left
            return
        self.backlog.pop(workspace, None)

    def start(self, workspace: str) -> float:
        """Return a workspace's virtual time; the smallest is served first."""
        return self.times.get(workspace, self.virtual)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge the tokens that a granted request is expected to use."""
        begun = self.start(workspace)
        self.virtual = max(self.virtual, begun)
        self.times[workspace] = begun + tokens / max(weight, 0.001)

    def correct(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge the difference between used and expected tokens."""
        if workspace in self.times:
            self.times[workspace] += tokens / max(weight, 0.001)


@attrs.define(kw_only=True)
class Usage:
    """A workspace's requests in progress and its tokens of the last minute."""

    requests: int = 0
    tokens: int = 0
    spent: deque[tuple[float, int]] = attrs.Factory(deque)

    def forget(self, now: float) -> None:
        """Remove tokens that were spent more than a minute ago."""
        while self.spent and self.spent[0][0] < now - MINUTE_S:
            self.tokens -= self.spent.popleft()[1]

    def spend(self, tokens: int, now: float) -> None:
        """Record spent tokens."""
        self.spent.append((now, tokens))
        self.tokens += tokens


class Limits:
    """Enforces workspaces' declared limits on their usage of this pool."""

    def __init__(self):
        self.usages: dict[str, Usage] = {}

    def usage(self, workspace: str) -> Usage:
        """Return a workspace's usage, a new one at its first request."""
        found = self.usages.get(workspace)
        if found is None:
            found = self.usages[workspace] = Usage()
        return found

    def refusal(self, workspace: Workspace | None, now: float) -> Failure | None:
        """Return the limit that a workspace has reached, None if it has none."""
        if workspace is None:
            return None
        usage = self.usage(workspace.name)
        limit = workspace.concurrent_requests
        if limit and usage.requests >= limit:
            return Failure(
                Code.REQUEST_LIMIT,
                f"the limit of {limit} concurrent requests is reached",
            )
        limit = workspace.tokens_per_minute
        if not limit:
            return None
        usage.forget(now)
        if usage.tokens < limit:
            return None
        wait_s = usage.spent[0][0] + MINUTE_S - now
        reason = f"{usage.tokens} of {limit} tokens per minute are used"
        return Failure(Code.TOKEN_LIMIT, reason, retry_after_s=max(0.1, wait_s))

    def begun(self, workspace: str, hedges: str = "") -> None:
        """Count a request that is queued or granted.

        A second attempt, with ``hedges`` naming the first one's reservation, isn't
        counted: the system starts it, not the workspace.
        """
        if not hedges:
            self.usage(workspace).requests += 1

    def ended(self, workspace: str, tokens: int, now: float, hedges: str = "") -> None:
        """Count the end of a request and its tokens."""
        if hedges:
            return
        usage = self.usage(workspace)
        usage.requests = max(0, usage.requests - 1)
        if tokens:
            usage.spend(tokens, now)
