"""The event log: one key=value line per event, stamped by the hybrid clock.

A line looks like this::

    hlc=117.3 node=heredia-1 role=entry domain=heredia event=request-received ...

The newest lines are also held in memory, so that a time line can be read from
running processes on hosts without disks.
"""

from __future__ import annotations

import collections
import enum
import logging
import sys

from baobabturn.core.clock import HybridClock, stamp_counter, stamp_ms

RING_LINES = 4000

log = logging.getLogger("baobabturn.events")


class Event(str, enum.Enum):
    """The fixed list of event names; the reference explains each of them."""

    PROCESS_STARTED = "process-started"
    PROCESS_READY = "process-ready"
    PROCESS_DRAINING = "process-draining"
    PROCESS_STOPPED = "process-stopped"
    CONFIG_IN_FORCE = "config-in-force"
    CONFIG_ACCEPTED = "config-accepted"
    MEMBER_ALIVE = "member-alive"
    MEMBER_SUSPECT = "member-suspect"
    MEMBER_DEAD = "member-dead"
    MEMBER_LEAVING = "member-leaving"
    REQUEST_RECEIVED = "request-received"
    REQUEST_QUEUED = "request-queued"
    REQUEST_GRANTED = "request-granted"
    REQUEST_REFUSED = "request-refused"
    ATTEMPT_SENT = "attempt-sent"
    ATTEMPT_ENDED = "attempt-ended"
    FIRST_TOKEN = "first-token"
    STREAM_RESUMED = "stream-resumed"
    STREAM_RESTARTED = "stream-restarted"
    REQUEST_FINISHED = "request-finished"
    REQUEST_FAILED = "request-failed"
    GENERATION_CANCELLED = "generation-cancelled"
    ORPHAN_FOUND = "orphan-found"
    CLAIM_CREATED = "claim-created"
    CLAIM_RECORDED = "claim-recorded"
    CLAIM_REPLAYED = "claim-replayed"
    CLAIM_VOIDED = "claim-voided"
    LEASE_TAKEN = "lease-taken"
    LEASE_LOST = "lease-lost"
    ORDER_SENT = "order-sent"
    ORDER_REFUSED = "order-refused"
    ROLLED_BACK = "rolled-back"
    POOL_OWNED = "pool-owned"
    POOL_RELEASED = "pool-released"
    ENDPOINT_LEAVING = "endpoint-leaving"
    ENDPOINT_SUSPECT = "endpoint-suspect"
    ENDPOINT_RESTORED = "endpoint-restored"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_UP = "platform-up"
    LINK_OPENED = "link-opened"
    LINK_CLOSED = "link-closed"


def quoted(value: object) -> str:
    """Return a value as it stands in a log line, quoted where it has spaces.

    Example::

        >>> quoted('a "b"')
        "'a \\\\'b\\\\''"
    """
    text = str(value)
    if not text:
        return "''"
    if any(ch in text for ch in " '\"=\n\r\t"):
        body = text.replace("\\", "\\\\").replace('"', "'").replace("'", "\\'")
        return "'" + body.replace("\n", "\\n").replace("\r", "\\r") + "'"
    return text


class EventLog:
    """Writes events of one process and keeps the newest in memory."""

    def __init__(
        self, *, node: str, role: str, failure_domain: str, clock: HybridClock
    ):
        self.clock = clock
        self.prefix = f"node={node} role={role} domain={failure_domain}"
        self.ring: collections.deque[str] = collections.deque(maxlen=RING_LINES)

    def emit(self, event: Event, **fields: object) -> None:
        """Write one event with its fields; empty fields are left out."""
        stamp = self.clock.now()
        pairs = [
            f"{key}={quoted(value)}"
            for key, value in fields.items()
            if value is not None and value != ""
        ]
        head = f"hlc={stamp_ms(stamp)}.{stamp_counter(stamp)} {self.prefix}"
        line = " ".join([head, f"event={event.value}", *pairs])
        self.ring.append(line)
        log.info(line)


def setup_logging(level: str) -> None:
    """Send all log lines to standard error, each as it is."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ("uvicorn", "uvicorn.error", "uvicorn.access", "aiohttp", "asyncio"):
        logging.getLogger(noisy).setLevel("WARNING")
