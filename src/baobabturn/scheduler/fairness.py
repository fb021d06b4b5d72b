"""Weighted fair order of workspaces, and their declared limits.

Each workspace has a virtual time, which its tokens push on by their count over
its weight; the one that lags most is next.  A workspace that was idle starts
from the pool's present virtual time, so that it can't save up turns.
"""

from __future__ import annotations

from collections import deque

import attrs

from baobabturn.config.declared import Workspace
from baobabturn.core.results import Code, Failure

MINUTE_S = 60.0


class FairShares:
    """The virtual times of a pool's workspaces, in tokens by weight."""

    def __init__(self):
        self.virtual = 0.0
        self.times: dict[str, float] = {}
        self.backlog: dict[str, int] = {}

    def queued(self, workspace: str) -> None:
        """Note a request that waits; the first one of several sets the start."""
        count = self.backlog.get(workspace, 0)
        if not count:
            self.times[workspace] = max(self.virtual, self.times.get(workspace, 0.0))
        self.backlog[workspace] = count + 1

    def unqueued(self, workspace: str) -> None:
        """Note that a request no longer waits."""
        left = self.backlog.get(workspace, 0) - 1
        if left > 0:
            self.backlog[workspace] = left
            return
        self.backlog.pop(workspace, None)

    def start(self, workspace: str) -> float:
        """Return a workspace's place; smaller goes first."""
        return self.times.get(workspace, self.virtual)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Count the tokens that a granted request is expected to take."""
        begun = self.start(workspace)
        self.virtual = max(self.virtual, begun)
        self.times[workspace] = begun + tokens / max(weight, 0.001)

    def correct(self, workspace: str, tokens: float, weight: float) -> None:
        """Count the difference between what was expected and what was used."""
        if workspace in self.times:
            self.times[workspace] += tokens / max(weight, 0.001)


@attrs.define(kw_only=True)
class Usage:
    """A workspace's requests in progress and its tokens of the last minute."""

    requests: int = 0
    tokens: int = 0
    spent: deque[tuple[float, int]] = attrs.Factory(deque)

    def forget(self, now: float) -> None:
        """Drop tokens older than a minute."""
        while self.spent and self.spent[0][0] < now - MINUTE_S:
            self.tokens -= self.spent.popleft()[1]

    def spend(self, tokens: int, now: float) -> None:
        """Count tokens."""
        self.spent.append((now, tokens))
        self.tokens += tokens


class Limits:
    """Holds workspaces to their declared limits, by what this pool has seen."""

    def __init__(self):
        self.usages: dict[str, Usage] = {}

    def usage(self, workspace: str) -> Usage:
        """Return a workspace's usage."""
        found = self.usages.get(workspace)
        if found is None:
            found = self.usages[workspace] = Usage()
        return found

    def refusal(self, workspace: Workspace | None, now: float) -> Failure | None:
        """Return why a workspace may not send now, None if it may."""
        if workspace is None:
            return None
        usage = self.usage(workspace.name)
        limit = workspace.concurrent_requests
        if limit and usage.requests >= limit:
            return Failure(Code.REQUEST_LIMIT, f"{limit} requests are in progress")
        limit = workspace.tokens_per_minute
        if not limit:
            return None
        usage.forget(now)
        if usage.tokens < limit:
            return None
        wait_s = usage.spent[0][0] + MINUTE_S - now
        reason = f"{usage.tokens} of {limit} tokens a minute are used"
        return Failure(Code.TOKEN_LIMIT, reason, retry_after_s=max(0.1, wait_s))

    def begun(self, workspace: str, hedges: str = "") -> None:
        """Count a request that is queued or granted.

        A second attempt, which ``hedges`` another, is the system's own doing and
        isn't held against the workspace.
        """
        if not hedges:
            self.usage(workspace).requests += 1

    def ended(self, workspace: str, tokens: int, now: float, hedges: str = "") -> None:
        """Count a request's end and its tokens."""
        if hedges:
            return
        usage = self.usage(workspace)
        usage.requests = max(0, usage.requests - 1)
        if tokens:
            usage.spend(tokens, now)
