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
import re

from baobabturn.core.clock import HybridClock, stamp_counter, stamp_ms

RING_LINES = 4000
PLAIN = re.compile(r"[^\s'\"=\\]+")

log = logging.getLogger("baobabturn.events")


class Event(str, enum.Enum):
    """The fixed list of event names; the reference explains each of them."""

    PROCESS_STARTED = "process-started"
    PROCESS_READY = "process-ready"
    PROCESS_DRAINING = "process-draining"
    PROCESS_STOPPED = "process-stopped"
    CONFIG_IN_FORCE = "config-in-force"
    CONFIG_ACCEPTED = "config-accepted"
    CONFIG_ASKED = "config-asked"
    MEMBER_ALIVE = "member-alive"
    MEMBER_SUSPECT = "member-suspect"
    MEMBER_DEAD = "member-dead"
    MEMBER_LEAVING = "member-leaving"
    MEMBER_REFUTED = "member-refuted"
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
    ENDPOINT_SEEN = "endpoint-seen"
    ENTRY_UNREADABLE = "entry-unreadable"
    GATEWAY_SEEN = "gateway-seen"
    GATEWAY_SILENT = "gateway-silent"
    PROCESS_LATE = "process-late"
    GATEWAY_GONE = "gateway-gone"
    KEYS_UNCONFIRMED = "keys-unconfirmed"
    KEYS_CONFIRMED = "keys-confirmed"
    SETTINGS_READ = "settings-read"
    ATTEMPT_REFUSED = "attempt-refused"
    MOVE_STARTED = "move-started"
    MOVE_FAILED = "move-failed"
    MOVE_COPIED = "move-copied"
    MOVE_PASSED = "move-passed"
    RUN_MOVED = "run-moved"
    STREAM_FINISHED = "stream-finished"
    STREAM_CUT = "stream-cut"


EVENT_MEANINGS: dict[Event, str] = {
    Event.PROCESS_STARTED: "A program has read its settings; `release` is its version.",
    Event.PROCESS_READY: "A program listens on its address.",
    Event.PROCESS_DRAINING: "A program was asked to stop and finishes what is open.",
    Event.PROCESS_STOPPED: "A program ends.",
    Event.CONFIG_IN_FORCE: "A process serves from this revision.",
    Event.CONFIG_ACCEPTED: "A controller took a revision from the platform or a peer.",
    Event.MEMBER_ALIVE: "A host answers heartbeats.",
    Event.MEMBER_SUSPECT: "A host has been silent for `membership.suspect_s`.",
    Event.MEMBER_DEAD: "A host has been silent for `membership.dead_s`.",
    Event.CONFIG_ASKED: "A controller has asked platform and peers, and may serve.",
    Event.MEMBER_LEAVING: "A host drains or stops.",
    Event.MEMBER_REFUTED: "This host was said to be suspect or dead, and objected.",
    Event.REQUEST_RECEIVED: "An entry has a caller's request.",
    Event.REQUEST_QUEUED: "A request waits in a pool's queue.",
    Event.REQUEST_GRANTED: "A request has a place at an endpoint.",
    Event.REQUEST_REFUSED: (
        "An entry refused a request before any attempt; `code` says why."
    ),
    Event.ATTEMPT_SENT: "An entry sends a request to an endpoint.",
    Event.ATTEMPT_ENDED: "An attempt ended; `outcome` says how.",
    Event.FIRST_TOKEN: "The first token has come.",
    Event.STREAM_RESUMED: "A caller resumed a stream, at any entry.",
    Event.STREAM_RESTARTED: "A generation was begun anew for a caller that allows it.",
    Event.REQUEST_FINISHED: "A caller got its whole answer.",
    Event.REQUEST_FAILED: "A caller got an error after an attempt, or went away.",
    Event.GENERATION_CANCELLED: "An engine confirmed that a generation is cancelled.",
    Event.ORPHAN_FOUND: "An engine runs a generation that no entry holds.",
    Event.CLAIM_CREATED: "An idempotency key was claimed on the platform.",
    Event.CLAIM_RECORDED: "The result of a claimed call is recorded.",
    Event.CLAIM_REPLAYED: "A recorded result was returned again.",
    Event.CLAIM_VOIDED: "A claimed call provably did not run; the key is free.",
    Event.LEASE_TAKEN: "A host holds a lease with this term.",
    Event.LEASE_LOST: "A host no longer holds a lease.",
    Event.ORDER_SENT: "An order went to an engine.",
    Event.ORDER_REFUSED: "An engine refused an order.",
    Event.ROLLED_BACK: "A new version of a model was taken back.",
    Event.POOL_OWNED: "A scheduler decides for a pool from now on.",
    Event.POOL_RELEASED: "A scheduler gave a pool up.",
    Event.ENDPOINT_LEAVING: "An endpoint gets no new work since it leaves.",
    Event.ENDPOINT_SUSPECT: (
        "An endpoint gets less new work since it is slow or silent."
    ),
    Event.ENDPOINT_RESTORED: "An endpoint gets new work as before.",
    Event.PLATFORM_DOWN: "Calls to the platform fail.",
    Event.PLATFORM_UP: "Calls to the platform succeed again.",
    Event.LINK_OPENED: "A link to another process is open.",
    Event.LINK_CLOSED: "A link to another process closed.",
    Event.ENDPOINT_SEEN: "The platform names an endpoint that wasn't known.",
    Event.ENTRY_UNREADABLE: (
        "An entry on the platform can't be read; it names nothing to use."
    ),
    Event.GATEWAY_SEEN: "Another gateway is heard of, `address` says where.",
    Event.GATEWAY_SILENT: "Another gateway has been silent for `gateway.silent_s`.",
    Event.PROCESS_LATE: (
        "The process ran what was due `late_ms` late; it used `used_ms` of its"
        " processor meanwhile, and stood still for the rest."
    ),
    Event.GATEWAY_GONE: (
        "A gateway was not heard of for ten minutes; its record is deleted."
    ),
    Event.KEYS_UNCONFIRMED: (
        "Keys are refused, as the configuration may be out of date."
    ),
    Event.KEYS_CONFIRMED: "Keys are accepted again.",
    Event.SETTINGS_READ: (
        "The settings file was read again; `applied` names the fields in force"
        " from now on, `at_restart` those that need a new start."
    ),
    Event.ATTEMPT_REFUSED: (
        "An endpoint did not run an attempt; `reason` says how that is known."
    ),
    Event.MOVE_STARTED: "A run's memory is being copied to another engine.",
    Event.MOVE_FAILED: "A run could not be moved; it stays where it is.",
    Event.MOVE_COPIED: "A run's memory is copied; what is new follows with a stop.",
    Event.MOVE_PASSED: (
        "A run stays at an engine that leaves: it ends soon, or no time is left."
    ),
    Event.RUN_MOVED: "A run goes on at another engine.",
    Event.STREAM_FINISHED: (
        "A stream is whole; `gap_at` is the engine and event of its longest pause."
    ),
    Event.STREAM_CUT: "A stream ended at its endpoint before its last event.",
}


def escaped(character: str) -> str:
    """Return a character as it stands between quotes in a log line."""
    if character in "'\\":
        return "\\" + character
    if character == "\n":
        return "\\n"
    return character if character.isprintable() else f"\\u{ord(character):06x}"


def quoted(value: object) -> str:
    """Return a value as it stands in a log line, quoted where it must be.

    Example::

        >>> quoted("it's")
        "'it\\\\'s'"
    """
    text = str(value)
    if PLAIN.fullmatch(text) and text.isprintable():
        return text
    return "'" + "".join(escaped(character) for character in text) + "'"


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
