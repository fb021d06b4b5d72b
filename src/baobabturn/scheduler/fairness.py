"""Weighted fair queueing of workspaces, and their declared limits.

Each workspace has a virtual time, which advances by the tokens it uses divided
by its weight.  The workspace with the smallest virtual time is served next.  The
pool's virtual time is the highest at which it has served a workspace.  A
workspace that was idle restarts there, so that it gains no credit by being idle.
"""

from __future__ import annotations

from collections import deque

import attrs

from baobabturn.config.declared import Workspace
from baobabturn.core.results import Code, Failure

TOKEN_WINDOW_S = 60.0


class FairShares:
    """The virtual times of a pool's workspaces, in tokens divided by weight.

    Weights below 0.001 count as 0.001.
    """

    def __init__(self):
        self.virtual_time = 0.0
        self.virtual_times: dict[str, float] = {}
        self.waiting_counts: dict[str, int] = {}

    def add_waiting(self, workspace: str) -> None:
        """Count a waiting request; the first one ends the workspace's idle time."""
        count = self.waiting_counts.get(workspace, 0)
        if not count:
            self.virtual_times[workspace] = max(
                self.virtual_time, self.virtual_times.get(workspace, 0.0)
            )
        self.waiting_counts[workspace] = count + 1

    def remove_waiting(self, workspace: str) -> None:
        """Count a request that no longer waits."""
        remaining = self.waiting_counts.get(workspace, 0) - 1
        if remaining > 0:
            self.waiting_counts[workspace] = remaining
            return
        self.waiting_counts.pop(workspace, None)

    def virtual_time_of(self, workspace: str) -> float:
        """Return a workspace's virtual time; the smallest is served first."""
        return self.virtual_times.get(workspace, self.virtual_time)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge the tokens that a granted request is expected to use."""
        start = self.virtual_time_of(workspace)
        self.virtual_time = max(self.virtual_time, start)
        self.virtual_times[workspace] = start + tokens / max(weight, 0.001)

    def correct_charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Charge the used minus the expected tokens, which may be negative."""
        if workspace in self.virtual_times:
            self.virtual_times[workspace] += tokens / max(weight, 0.001)


@attrs.define(kw_only=True)
class Usage:
    """A workspace's waiting or granted requests, and its tokens of the last minute.

    ``recent_tokens`` has the monotonic time and count of each recorded use.
    """

    requests: int = 0
    tokens: int = 0
    recent_tokens: deque[tuple[float, int]] = attrs.Factory(deque)

    def expire_tokens(self, now: float) -> None:
        """Remove tokens that were spent more than a minute ago."""
        while self.recent_tokens and self.recent_tokens[0][0] < now - TOKEN_WINDOW_S:
            self.tokens -= self.recent_tokens.popleft()[1]

    def record_tokens(self, tokens: int, now: float) -> None:
        """Record spent tokens."""
        self.recent_tokens.append((now, tokens))
        self.tokens += tokens


class WorkspaceLimits:
    """Enforces workspaces' declared limits on their usage of this pool."""

    def __init__(self):
        self.usages: dict[str, Usage] = {}

    def usage(self, workspace: str) -> Usage:
        """Return a workspace's usage, a new one at its first request."""
        usage = self.usages.get(workspace)
        if usage is None:
            usage = self.usages[workspace] = Usage()
        return usage

    def refusal(self, workspace: Workspace | None, now: float) -> Failure | None:
        """Return the failure for a limit that a workspace has reached, else None."""
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
        usage.expire_tokens(now)
        if usage.tokens < limit:
            return None
        wait_s = usage.recent_tokens[0][0] + TOKEN_WINDOW_S - now
        reason = f"{usage.tokens} of {limit} tokens per minute are used"
        return Failure(Code.TOKEN_LIMIT, reason, retry_after_s=max(0.1, wait_s))

    def request_started(self, workspace: str, hedges: str = "") -> None:
        """Count a request that is queued or granted.

        A second attempt, with ``hedges`` naming the first one's reservation, isn't
        counted: the system starts it, not the workspace.
        """
        if not hedges:
            self.usage(workspace).requests += 1

    def request_ended(
        self, workspace: str, tokens: int, now: float, hedges: str = ""
    ) -> None:
        """Count the end of a request and its tokens."""
        if hedges:
            return
        usage = self.usage(workspace)
        usage.requests = max(0, usage.requests - 1)
        if tokens:
            usage.record_tokens(tokens, now)
