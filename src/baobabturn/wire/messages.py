"""The typed messages of the inner protocol, one class for each schema struct.

Field names are those of ``schema.capnp`` in snake case; the schema's comments
and the reference page give their meaning and units.
"""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True, slots=True)
class Hello:
    """Opens a link and proves knowledge of the shared secret."""

    node: str = ""
    role: str = ""
    failure_domain: str = ""
    incarnation: int = 0
    release: str = ""
    nonce: str = ""
    proof: str = ""


@attrs.define(kw_only=True, slots=True)
class Welcome:
    """Accepts a link and proves the other side's knowledge of the secret.

    The accepting side also opens with one that carries only its ``nonce``, the
    challenge that the other's proof must cover.
    """

    node: str = ""
    role: str = ""
    incarnation: int = 0
    proof: str = ""
    nonce: str = ""


@attrs.define(kw_only=True, slots=True)
class Refusal:
    """A failure as it travels."""

    code: int = 0
    reason: str = ""
    run: str = ""
    retry_after_s: float = 0.0


@attrs.define(kw_only=True, slots=True)
class Ack:
    """A call was carried out."""

    revision: int = 0


@attrs.define(kw_only=True, slots=True)
class Subscribe:
    """Asks a controller for its views from now on; carries the held revision."""

    revision: int = 0


@attrs.define(kw_only=True, slots=True)
class Member:
    """One host of the system as its peers see it."""

    name: str = ""
    failure_domain: str = ""
    region: str = ""
    address: str = ""
    entry_port: int = 0
    scheduler_port: int = 0
    controller_port: int = 0
    incarnation: int = 0
    state: str = ""
    revision: int = 0
    load: int = 0
    entry_down: bool = False
    scheduler_down: bool = False


@attrs.define(kw_only=True, slots=True)
class DomainDigest:
    """A failure domain in aggregate, as one of its watchers counts it.

    ``revision`` is the lowest that a live host of the domain has in force,
    ``behind`` counts the live hosts that lack the newest one.
    """

    failure_domain: str = ""
    node: str = ""
    stamp: int = 0
    hosts: int = 0
    behind: int = 0
    revision: int = 0
    newest: int = 0


@attrs.define(kw_only=True, slots=True)
class MemberView:
    """The members and leaving endpoints as a controller knows them."""

    members: list[Member] = attrs.Factory(list)
    leaving_endpoints: list[str] = attrs.Factory(list)
    partial: bool = False
    removed: list[str] = attrs.Factory(list)
    domains: list[DomainDigest] = attrs.Factory(list)
    leaving_stamp: int = 0
    wanted: list[str] = attrs.Factory(list)
    platform_contact_ms: int = 0
    peer_contact_ms: int = 0
    cut_off: bool = False


@attrs.define(kw_only=True, slots=True)
class MemberDigest:
    """Which word about a member a host holds."""

    name: str = ""
    incarnation: int = 0
    state: str = ""


@attrs.define(kw_only=True, slots=True)
class MemberSync:
    """Compares two hosts' members: digests first, then the records asked for."""

    node: str = ""
    digests: list[MemberDigest] = attrs.Factory(list)
    members: list[Member] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class Part:
    """One immutable part of the configuration."""

    name: str = ""
    digest: str = ""
    body: bytes = b""


@attrs.define(kw_only=True, slots=True)
class ConfigUpdate:
    """A manifest and those of its parts that the receiver does not hold."""

    revision: int = 0
    manifest: bytes = b""
    parts: list[Part] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ConfigFetch:
    """Asks a peer for its newest manifest, and for parts by digest."""

    revision: int = 0
    parts: list[str] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ConfigAnnounce:
    """Tells a peer that a revision exists and who holds it."""

    revision: int = 0
    node: str = ""


@attrs.define(kw_only=True, slots=True)
class Admit:
    """Asks a pool's scheduler for a place at an endpoint.

    ``software_version`` is the only version of endpoints that may serve the request,
    ``failure_domains`` are the only ones whose endpoints may, each empty for any.
    ``estimated_tokens`` is the caller's estimate of the output, 0 for none.
    """

    request: str = ""
    workspace: str = ""
    model: str = ""
    kind: str = ""
    priority: int = 0
    prompt_tokens: int = 0
    max_tokens: int = 0
    deadline_ms: int = 0
    prefixes: list[int] = attrs.Factory(list)
    excluded: list[str] = attrs.Factory(list)
    attempt: int = 0
    pool: str = ""
    reservation: str = ""
    hedgeable: bool = False
    hedges: str = ""
    software_version: str = ""
    failure_domains: list[str] = attrs.Factory(list)
    estimated_tokens: int = 0


@attrs.define(kw_only=True, slots=True)
class Grant:
    """A place at an endpoint, held until released."""

    reservation: str = ""
    endpoint: str = ""
    queued_us: int = 0
    engine_priority: int = 0


@attrs.define(kw_only=True, slots=True)
class ProgressItem:
    """What one generation has produced and the longest gap seen lately."""

    reservation: str = ""
    produced: int = 0
    gap_us: int = 0
    first_token_us: int = 0


@attrs.define(kw_only=True, slots=True)
class Progress:
    """An entry's batched progress of its generations in one pool."""

    items: list[ProgressItem] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class Release:
    """Gives a place back and tells how the generation ended."""

    reservation: str = ""
    produced: int = 0
    outcome: str = ""
    first_token_us: int = 0
    gap_us: int = 0


@attrs.define(kw_only=True, slots=True)
class Holding:
    """A place that an entry holds, sent to a new owner of the pool.

    ``taken`` is the hybrid time at which the entry took it; the newest holds.
    ``software_version`` is that of the endpoint, empty if the entry doesn't know it.
    ``estimated_tokens`` is the caller's estimate of the output, 0 for none.
    """

    reservation: str = ""
    endpoint: str = ""
    workspace: str = ""
    model: str = ""
    kind: str = ""
    priority: int = 0
    prompt_tokens: int = 0
    produced: int = 0
    max_tokens: int = 0
    generation: str = ""
    taken: int = 0
    hedges: str = ""
    hedgeable: bool = False
    software_version: str = ""
    estimated_tokens: int = 0


@attrs.define(kw_only=True, slots=True)
class Holdings:
    """All places that an entry holds in one pool, or some that it took since."""

    pool: str = ""
    items: list[Holding] = attrs.Factory(list)
    added: bool = False


@attrs.define(kw_only=True, slots=True)
class EndpointReport:
    """An endpoint's load report as a controller read it."""

    endpoint: str = ""
    running: int = 0
    waiting: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    age_ms: int = 0
    leaving: bool = False
    reachable: bool = False
    models: list[str] = attrs.Factory(list)
    preemptions: int = 0


@attrs.define(kw_only=True, slots=True)
class CacheEvents:
    """Prefix blocks that an endpoint stored or removed."""

    endpoint: str = ""
    first_seq: int = 0
    last_seq: int = 0
    stored: list[int] = attrs.Factory(list)
    removed: list[int] = attrs.Factory(list)
    cleared: bool = False


@attrs.define(kw_only=True, slots=True)
class Heartbeat:
    """A controller's sign of life with what it knows of members."""

    node: str = ""
    incarnation: int = 0
    revision: int = 0
    members: list[Member] = attrs.Factory(list)
    proof: str = ""
    reply: bool = False
    kind: str = ""
    sequence: int = 0
    target: str = ""
    digest: int = 0
    domains: list[DomainDigest] = attrs.Factory(list)
    leaving_stamp: int = 0
    records: list[bytes] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class StatsRequest:
    """Asks a process for its metrics, events or state as text."""

    kind: str = ""
    since: int = 0


@attrs.define(kw_only=True, slots=True)
class Stats:
    """The text that was asked for."""

    text: str = ""


@attrs.define(kw_only=True, slots=True)
class Drain:
    """Starts or ends the draining of a host."""

    node: str = ""
    on: bool = False


@attrs.define(kw_only=True, slots=True)
class CancelGeneration:
    """Asks a controller to cancel a generation at its endpoint."""

    endpoint: str = ""
    generation: str = ""


@attrs.define(kw_only=True, slots=True)
class Learned:
    """Learned length distributions in compact form."""

    node: str = ""
    body: bytes = b""
    pool: str = ""


@attrs.define(kw_only=True, slots=True)
class Hedge:
    """Asks an entry to try a generation at a second endpoint as well."""

    reservation: str = ""


@attrs.define(kw_only=True, slots=True)
class WhoHolds:
    """Asks a scheduler which of these generations someone holds."""

    endpoint: str = ""
    generations: list[str] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class Held:
    """The generations that are held; not settled while a pool is rebuilt."""

    generations: list[str] = attrs.Factory(list)
    settled: bool = False
