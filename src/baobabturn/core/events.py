"""The event log: one key=value line per event, stamped by the hybrid clock.

A line looks like this::

    hlc=117.3 node=heredia-1 role=entry domain=heredia event=request-received ...

The newest lines are also kept in memory, so that a time line can be read from
running processes, also on hosts without disks.
"""

from __future__ import annotations

import collections
import enum
import logging
import re

from baobabturn.core.clock import HybridClock, stamp_counter, stamp_ms

RING_LINE_LIMIT = 4000
UNQUOTED_VALUE = re.compile(r"[^\s'\"=\\]+")

log = logging.getLogger("baobabturn.events")


class Event(str, enum.Enum):
    """All event names; the reference page on events explains each of them."""

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
    ENDPOINT_CRASHED = "endpoint-crashed"
    ENDPOINT_RESTORED = "endpoint-restored"
    ENDPOINT_LIMITED = "endpoint-limited"
    ENDPOINT_UNLIMITED = "endpoint-unlimited"
    ENDPOINT_COLD = "endpoint-cold"
    ENDPOINT_WARM = "endpoint-warm"
    ENDPOINT_PAUSED = "endpoint-paused"
    ENTRY_OUTDATED = "entry-outdated"
    ENDPOINT_BRITTLE = "endpoint-brittle"
    ENDPOINT_NOT_BRITTLE = "endpoint-not-brittle"
    PART_QUARANTINED = "part-quarantined"
    PART_CLEARED = "part-cleared"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_UP = "platform-up"
    STORE_ERA = "store-era"
    STORE_LISTED = "store-listed"
    STORE_UPDATE_OLD = "store-update-old"
    LINK_OPENED = "link-opened"
    LINK_CLOSED = "link-closed"
    ENDPOINT_SEEN = "endpoint-seen"
    ENDPOINT_STAYS_OUT = "endpoint-stays-out"
    ENTRY_UNREADABLE = "entry-unreadable"
    ENTRY_IGNORED = "entry-ignored"
    CONFIG_BEHIND = "config-behind"
    CAUGHT_UP = "caught-up"
    GATEWAY_SEEN = "gateway-seen"
    GATEWAY_SILENT = "gateway-silent"
    FORWARDER_AVOIDED = "forwarder-avoided"
    RESERVATIONS_DIFFER = "reservations-differ"
    HOMES_UNUSABLE = "homes-unusable"
    CALLERS_PLACED = "callers-placed"
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
    DOMAIN_CLOSED = "domain-closed"
    DOMAIN_OPENED = "domain-opened"
    DOMAIN_HELD = "domain-held"
    DOMAIN_UNKNOWN = "domain-unknown"
    EVACUATIONS_UNCONFIRMED = "evacuations-unconfirmed"
    SERVICE_UNREACHABLE = "service-unreachable"
    SERVICE_REACHED = "service-reached"
    REQUEST_RELAYED = "request-relayed"
    CRASH_REFUTED = "crash-refuted"
    READING_STOPPED = "reading-stopped"


EVENT_MEANINGS: dict[Event, str] = {
    Event.PROCESS_STARTED: "A program has read its settings; `release` is its version.",
    Event.PROCESS_READY: "A program listens on its address.",
    Event.PROCESS_DRAINING: "A program was asked to stop; it completes open requests.",
    Event.PROCESS_STOPPED: "A program is about to exit.",
    Event.CONFIG_IN_FORCE: "A process serves with this revision of the configuration.",
    Event.CONFIG_ACCEPTED: "A controller got a revision from the platform or a peer.",
    Event.MEMBER_ALIVE: "A host responds to heartbeats.",
    Event.MEMBER_SUSPECT: "A host has been silent for `membership.suspect_s`.",
    Event.MEMBER_DEAD: "A host has been silent for `membership.dead_s`.",
    Event.CONFIG_ASKED: "A controller has asked platform and peers, and may serve.",
    Event.MEMBER_LEAVING: "A host is draining or stopping.",
    Event.MEMBER_REFUTED: "This host refuted a report that it is suspect or dead.",
    Event.REQUEST_RECEIVED: (
        "An entry received a caller's request; `parts` are those of its prompt,"
        " `digest` is the same for requests that a caller sends alike.  A stream that"
        " the caller resumes has the attempt that it `resumes` and the event `after`"
        " which it goes on."
    ),
    Event.REQUEST_QUEUED: "A request waits in a pool's queue.",
    Event.REQUEST_GRANTED: "A request got a reservation at an endpoint.",
    Event.REQUEST_REFUSED: (
        "An entry refused a request before any attempt; `code` says why."
    ),
    Event.ATTEMPT_SENT: (
        "An entry sends a request to an endpoint; `version` is that of its software."
    ),
    Event.ATTEMPT_ENDED: "An attempt ended; `outcome` says how.",
    Event.FIRST_TOKEN: "The first token of a generation arrived.",
    Event.STREAM_RESUMED: "A caller resumed a stream, at this or another entry.",
    Event.STREAM_RESTARTED: "A generation was restarted for a caller that allows it.",
    Event.REQUEST_FINISHED: "A caller received its complete response.",
    Event.REQUEST_FAILED: "A caller got an error after an attempt, or disconnected.",
    Event.GENERATION_CANCELLED: "An engine confirmed the cancellation of a generation.",
    Event.ORPHAN_FOUND: "An engine runs a generation that belongs to no entry.",
    Event.CLAIM_CREATED: "An idempotency claim was created on the platform.",
    Event.CLAIM_RECORDED: "The result of a request was recorded in its claim.",
    Event.CLAIM_REPLAYED: "The recorded result was returned to a repeated request.",
    Event.CLAIM_VOIDED: "A claimed request provably did not run; its key is free.",
    Event.LEASE_TAKEN: "A host acquired a lease with this term.",
    Event.LEASE_LOST: "A host no longer holds a lease.",
    Event.ORDER_SENT: "An order was sent to an engine.",
    Event.ORDER_REFUSED: "An engine refused an order.",
    Event.ROLLED_BACK: "A new version of a model was rolled back.",
    Event.POOL_OWNED: "A scheduler became the owner of a pool and admits its requests.",
    Event.POOL_RELEASED: "A scheduler released a pool, which it no longer owns.",
    Event.ENDPOINT_LEAVING: "An endpoint gets no new requests because it is leaving.",
    Event.ENDPOINT_SUSPECT: (
        "An endpoint gets fewer new requests because it is slow or silent."
    ),
    Event.ENDPOINT_CRASHED: (
        "A response broke off `began_ms` after its head, or the request was sent"
        " `began_ms` before, and its endpoint refuses connections; `digest` and `parts`"
        " are the request's."
    ),
    Event.ENDPOINT_LIMITED: (
        "An endpoint names in its answers how many requests a second it takes,"
        " `per_s`, from all gateways together."
    ),
    Event.ENDPOINT_PAUSED: (
        "An endpoint refused a request and wants none of this gateway `for_s`."
    ),
    Event.ENTRY_OUTDATED: (
        "An engine's own report names another incarnation than its entry, so no stream"
        " that has begun goes on there."
    ),
    Event.ENDPOINT_UNLIMITED: "An endpoint doesn't name a limit any more.",
    Event.ENDPOINT_COLD: (
        "An endpoint is taken for cold for `for_ms` and gets at most `per_s` requests a"
        " second from all gateways together; `known` is 0 where nothing says so and it"
        " may have become cold."
    ),
    Event.ENDPOINT_WARM: (
        "The warm-up of an endpoint that took `per_s` requests a second has ended,"
        " `cold_ms` after this gateway learned of it."
    ),
    Event.ENDPOINT_BRITTLE: (
        "An endpoint says in its answers that it falls over beyond `refusals_per_s`"
        " refusals a second, by all gateways together."
    ),
    Event.ENDPOINT_NOT_BRITTLE: "An endpoint doesn't say that it is brittle any more.",
    Event.PART_QUARANTINED: (
        "A part of prompts, or requests that are alike, `request:` and their digest,"
        " crashed endpoints; requests with it are refused for `for_s`."
        " `term` counts its quarantines, `answers` its requests answered before."
    ),
    Event.PART_CLEARED: (
        "An answer to a request with a quarantined `part` shows that it is sound."
    ),
    Event.ENDPOINT_RESTORED: "An endpoint gets its full share of new requests again.",
    Event.PLATFORM_DOWN: "Calls to the platform fail.",
    Event.PLATFORM_UP: "Calls to the platform succeed again.",
    Event.STORE_ERA: (
        "The platform's store answers from a copy: its era has risen from `before`."
    ),
    Event.STORE_LISTED: (
        "All objects of a kind were read at a version; `applied` is no if `known` was"
        " newer."
    ),
    Event.STORE_UPDATE_OLD: (
        "An update from another gateway was ignored, because `known` was newer."
    ),
    Event.LINK_OPENED: "A link to another process is open.",
    Event.LINK_CLOSED: "A link to another process closed.",
    Event.ENDPOINT_SEEN: (
        "The platform lists an endpoint that was not known before; `version` is that of"
        " its software."
    ),
    Event.ENDPOINT_STAYS_OUT: (
        "The copy from which the store returned still has an endpoint that has left."
    ),
    Event.CONFIG_BEHIND: (
        "The store, returned from a copy, holds `revision`, older than the one"
        " `in_force`, which stays."
    ),
    Event.CAUGHT_UP: (
        "A gateway has asked `replies` others what they know beyond the store's copy."
    ),
    Event.ENTRY_IGNORED: (
        "An endpoint's entry is ignored, as it has announced that it is leaving."
    ),
    Event.ENTRY_UNREADABLE: "A record on the platform can't be read and is ignored.",
    Event.HOMES_UNUSABLE: (
        "No known failure domain is in the home regions of a route or workspace, so its"
        " requests are refused."
    ),
    Event.CALLERS_PLACED: (
        "Why callers of a failure domain are sent to gateways of others: its own are"
        " `few`, `crowded` or there are `none`; `own` says that they no longer are."
    ),
    Event.GATEWAY_SEEN: (
        "Another gateway sends heartbeats; `address` is its address for callers."
    ),
    Event.FORWARDER_AVOIDED: (
        "A gateway that forwards changes of reservations in its failure domain hasn't"
        " confirmed some in time; another one got all reservations and is used instead."
    ),
    Event.RESERVATIONS_DIFFER: (
        "What is known here of another gateway's reservations differs from its summary"
        " number `sequence`; it was asked for all of them."
    ),
    Event.GATEWAY_SILENT: (
        "Another gateway has been silent for `gateway.silent_s`; `reported_by` names"
        " the one that noticed, if it wasn't this one."
    ),
    Event.PROCESS_LATE: (
        "The event loop ran a due callback `late_ms` late; the process used"
        " `used_ms` of processor time meanwhile and was stopped for the rest."
    ),
    Event.GATEWAY_GONE: (
        "A gateway sent no heartbeat for ten minutes; its record is deleted."
    ),
    Event.KEYS_UNCONFIRMED: (
        "Workspace keys are refused because the configuration may be out of date."
    ),
    Event.KEYS_CONFIRMED: "Workspace keys are accepted again.",
    Event.SETTINGS_READ: (
        "The settings file was read again; `applied` names the changed fields that"
        " are in force, `at_restart` those that take effect at the next start."
    ),
    Event.ATTEMPT_REFUSED: (
        "An endpoint did not run an attempt; `reason` says how this is known."
    ),
    Event.MOVE_STARTED: "A generation's KV cache is being copied to another engine.",
    Event.MOVE_FAILED: "A generation could not be migrated; it stays at its engine.",
    Event.MOVE_COPIED: (
        "The pre-copy of a generation's KV cache is done; the final copy follows"
        " with the generation stopped."
    ),
    Event.MOVE_PASSED: (
        "A generation stays at a leaving engine: it ends soon, or no time is left."
    ),
    Event.RUN_MOVED: "A generation continues at another engine.",
    Event.STREAM_FINISHED: (
        "A stream is complete; `gap_at` is the engine and event of its longest pause."
    ),
    Event.DOMAIN_CLOSED: (
        "A failure domain is evacuated: its endpoints get nothing more, and the"
        " generations that run there run to their end."
    ),
    Event.DOMAIN_OPENED: "The endpoints of a failure domain get requests again.",
    Event.DOMAIN_HELD: (
        "The store has returned without the evacuation of a failure domain, which stays"
        " closed for a while."
    ),
    Event.DOMAIN_UNKNOWN: (
        "An evacuation names no failure domain that has endpoints, and closes nothing."
    ),
    Event.EVACUATIONS_UNCONFIRMED: (
        "After a long pause nobody confirmed the evacuations in time, and the gateway"
        " goes by those that it knew."
    ),
    Event.SERVICE_UNREACHABLE: (
        "This gateway can connect to no endpoint of a service; others may."
    ),
    Event.SERVICE_REACHED: "An endpoint of such a service takes connections again.",
    Event.REQUEST_RELAYED: (
        "A request is sent through another gateway, which reaches its service."
    ),
    Event.CRASH_REFUTED: (
        "An endpoint refuses this gateway's connections but takes those of another."
    ),
    Event.READING_STOPPED: (
        "The buffer for a stream's caller is full, `unsent_bytes`, so the engine isn't"
        " read until the caller takes more; logged once for each stream."
    ),
    Event.STREAM_CUT: (
        "A stream from an endpoint ended before its last event, `began_ms` after its"
        " head."
    ),
}


def escaped(character: str) -> str:
    """Return a character as written between quotes in a log line."""
    if character in "'\\":
        return "\\" + character
    if character == "\n":
        return "\\n"
    return character if character.isprintable() else f"\\u{ord(character):06x}"


def quoted(value: object) -> str:
    """Return a value as written in a log line, quoted if necessary.

    Example::

        >>> quoted("it's")
        "'it\\\\'s'"
    """
    text = str(value)
    if UNQUOTED_VALUE.fullmatch(text) and text.isprintable():
        return text
    return "'" + "".join(escaped(character) for character in text) + "'"


class EventLog:
    """Writes the events of one process and keeps the newest in memory."""

    def __init__(
        self, *, node: str, role: str, failure_domain: str, clock: HybridClock
    ):
        self.clock = clock
        self.prefix = f"node={node} role={role} domain={failure_domain}"
        self.ring: collections.deque[str] = collections.deque(maxlen=RING_LINE_LIMIT)

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
