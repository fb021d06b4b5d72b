"""The settings' fields with their types, units and ranges.

Defaults stand in the packaged ``defaults.jsonc``, not here, so that there is
one place to read them.
"""

from __future__ import annotations

from typing import Any

import attrs


def number(low: float, high: float) -> Any:
    """Return a field for a number between ``low`` and ``high``."""
    return attrs.field(metadata={"low": low, "high": high})


def port() -> Any:
    """Return a field for a TCP or UDP port, 0 for any free one."""
    return number(0, 65535)


def choice(*allowed: str) -> Any:
    """Return a field for one of a few words."""
    return attrs.field(metadata={"choices": allowed})


def texts(least: int) -> Any:
    """Return a field for a list of at least so many non-empty texts."""
    return attrs.field(metadata={"least": least})


def table() -> Any:
    """Return a field for a table of non-empty texts by non-empty texts."""
    return attrs.field(metadata={"table": True})


def addresses() -> Any:
    """Return a field for a list of ``address:port``."""
    return attrs.field(metadata={"least": 0, "addresses": True})


@attrs.frozen(kw_only=True)
class Host:
    """This host's name, place and address."""

    name: str
    failure_domain: str
    region: str
    address: str
    regions: dict[str, str] = table()
    cpu_share: float = number(0, 1024)
    core_speed: float = number(0, 1024)


@attrs.frozen(kw_only=True)
class Ports:
    """The listen ports of the three programs."""

    entry: int = port()
    scheduler: int = port()
    controller: int = port()


@attrs.frozen(kw_only=True)
class Platform:
    """The platform's object API and the budget of calls to it."""

    url: str
    token: str
    call_timeout_s: float = number(0.1, 60)
    calls_per_s: float = number(0.1, 1000)
    burst_calls: int = number(1, 10000)
    backoff_first_s: float = number(0.01, 60)
    backoff_limit_s: float = number(0.1, 600)
    watch_wait_s: float = number(1, 600)
    value_limit_bytes: int = number(1024, 16_777_216)


@attrs.frozen(kw_only=True)
class Inner:
    """Links between the system's own processes."""

    secret: str
    call_timeout_s: float = number(0.05, 60)
    frame_limit_bytes: int = number(65_536, 67_108_864)
    tls_cert: str
    tls_key: str
    tls_ca: str


@attrs.frozen(kw_only=True)
class Entry:
    """The entry program: callers' side."""

    address_lifetime_s: float = number(0.1, 600)
    body_limit_bytes: int = number(1024, 268_435_456)
    body_memory_bytes: int = number(65_536, 4_294_967_296)
    body_depth_limit: int = number(4, 500)
    body_values_limit: int = number(1000, 10_000_000)
    body_timeout_s: float = number(0.1, 600)
    body_wait_s: float = number(0, 600)
    header_limit_bytes: int = number(1024, 1_048_576)
    header_count_limit: int = number(10, 10_000)
    header_timeout_s: float = number(0.1, 600)
    default_deadline_s: float = number(0.1, 86_400)
    first_token_timeout_s: float = number(0.1, 3600)
    stall_timeout_s: float = number(0.1, 3600)
    probe_s: float = number(0.05, 600)
    connect_timeout_s: float = number(0.05, 60)
    scheduler_wait_s: float = number(0, 60)
    retry_share: float = number(0, 1)
    attempt_limit: int = number(1, 20)
    progress_interval_s: float = number(0.02, 10)
    resume_grace_s: float = number(0, 600)
    resume_keys: list[str] = texts(1)
    claim_lifetime_s: float = number(1, 604_800)
    claim_wait_s: float = number(0.1, 600)
    claim_sweep_s: float = number(0.01, 3600)
    keepalive_s: float = number(0.5, 600)
    tls_cert: str
    tls_key: str
    admin_key: str


@attrs.frozen(kw_only=True)
class Scheduler:
    """The scheduler program: admission and endpoint state."""

    policy: str = choice("baobabturn", "least-load", "two-choices", "round-robin")
    pool_size: int = number(1, 512)
    queue_limit: int = number(1, 1_000_000)
    settle_s: float = number(0, 60)
    report_max_age_s: float = number(0.1, 600)
    batch_limit: int = number(1, 4096)
    token_gap_goal_s: float = number(0.001, 10)
    prefill_limit_tokens: int = number(1, 1_000_000)
    overflow_deviations: float = number(0, 10)
    short_tokens: int = number(1, 100_000)
    short_chance: float = number(0.5, 1)
    short_share: float = number(0, 0.9)
    short_levels: float = number(0, 100)
    aging_s: float = number(0.1, 3600)
    top_level: int = number(0, 1000)
    affinity_tokens: int = number(1, 10_000_000)
    choice_spread: float = number(0, 10)
    length_half_life: int = number(10, 1_000_000)
    length_keys: int = number(10, 1_000_000)
    straggler_ratio: float = number(1.1, 100)
    straggler_window_s: float = number(0.05, 60)
    probe_interval_s: float = number(0.05, 600)
    hedge_share: float = number(0, 1)
    hedge_first_token_s: float = number(0.05, 600)
    learned_interval_s: float = number(0.1, 3600)
    learned_keepers: int = number(0, 100)


@attrs.frozen(kw_only=True)
class Controller:
    """The controller program: platform, membership, configuration, orders."""

    watchers_per_domain: int = number(1, 100)
    ask_wait_s: float = number(0, 600)
    part_keep_s: float = number(1, 86_400)
    part_sweep_s: float = number(0.1, 3600)
    endpoint_poll_s: float = number(0.05, 60)
    host_poll_s: float = number(0.2, 600)
    status_interval_s: float = number(1, 3600)
    lease_duration_s: float = number(0.5, 600)
    clock_rate_margin: float = number(0, 0.5)
    ping_interval_s: float = number(0.02, 60)
    ping_timeout_s: float = number(0.05, 60)
    order_shards: int = number(1, 64)
    order_send_s: float = number(0.1, 60)
    order_interval_s: float = number(0.05, 600)
    reread_s: float = number(0.1, 3600)
    loads_per_min: float = number(0.01, 100_000)
    orphan_grace_s: float = number(0.1, 600)
    orphan_sweep_s: float = number(0.1, 600)


@attrs.frozen(kw_only=True)
class Membership:
    """Heartbeats between the controllers."""

    interval_s: float = number(0.02, 60)
    suspect_s: float = number(0.1, 600)
    dead_s: float = number(0.1, 3600)
    fanout: int = number(1, 1000)
    seeds: list[str] = addresses()


@attrs.frozen(kw_only=True)
class Gateway:
    """The gateway program: callers' requests passed on by declared routes."""

    callers: str
    ready: str
    directory: str
    metrics: str
    peers: str
    relay: str
    platform: str
    revoke_ms: float = number(100, 3_600_000)
    grace_s: float = number(0, 3600)
    retry_ratio: float = number(0, 10)
    retry_window_s: float = number(0.1, 3600)
    retry_slack: float = number(0, 1_000_000)
    body_memory_bytes: int = number(65_536, 4_294_967_296)
    address_lifetime_s: float = number(0.1, 3600)
    heartbeat_s: float = number(0.02, 60)
    silent_s: float = number(0.1, 600)
    config_watch_s: float = number(0.1, 30)
    endpoint_watch_s: float = number(0.1, 30)
    lapse_grace_s: float = number(0, 60)
    evacuate_ms: float = number(0, 3_600_000)
    unread_timeout_s: float = number(1, 3600)
    caller_buffer_bytes: int = number(16_384, 16_777_216)
    connect_timeout_s: float = number(0.01, 60)


@attrs.frozen(kw_only=True)
class Log:
    """What is logged."""

    level: str = choice("debug", "info", "warning", "error")


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a host; every program reads the same file."""

    host: Host
    ports: Ports
    platform: Platform
    inner: Inner
    entry: Entry
    scheduler: Scheduler
    controller: Controller
    membership: Membership
    gateway: Gateway
    log: Log
