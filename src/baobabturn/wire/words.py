"""Words that travel in messages and must read the same at both ends."""

from __future__ import annotations

# How an attempt ended, in ``Release.outcome``.
FINISHED = "finished"
FAILED = "failed"
ABANDONED = "abandoned"
REFUSED = "refused"

# What a ``StatsRequest`` asks of a process that need only answer.
PING = "ping"

# The path of a gateway's state for operators, at its address for metrics.
STATE_PATH = "/state"
