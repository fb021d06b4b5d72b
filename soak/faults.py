"""Faults of the soak test; each is injected into the site for some seconds."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from fakes.proxy import Direction, Proxy
from fakes.rawhttp import Request, response_bytes
from fakes.site import RESPONSE_STAMP
from fakes.siteconfig import ENGINE_SERVICE, PLAIN_SERVICE
from soak.process import GatewayProcess
from soak.site import (
    COLD_S,
    EVACUATE_S,
    FIRST_SEED_OF_COLD_RETURNS,
    FIRST_SEED_OF_EVACUATIONS,
    SoakSite,
)

Fault = Callable[[SoakSite, float], Coroutine[Any, Any, None]]
PROXY_DELAY_S = 0.15
TERMINATION_NOTICE_S = 2.0
# Probability that SIGHUP announces a change of the settings file.
SIGHUP_PROBABILITY = 0.5
MIN_SERVING_ENDPOINTS = 2
MAX_STORE_ABSENCE_S = 2.0
# After a return of the store the operator and the endpoints write within this time.
WRITTEN_AGAIN_S = 1.5
# A failure domain stays closed for this much longer than gateways take to obey.
EVACUATION_MARGIN_S = 2.0
# Probability that the endpoints of a failure domain announce that they leave.
NOTICE_PROBABILITY = 0.5
SILENCED_DIRECTIONS = (
    (Direction.TO_TARGET, Direction.TO_CALLER),
    (Direction.TO_TARGET,),
    (Direction.TO_CALLER,),
)


def random_gateway(site: SoakSite) -> GatewayProcess:
    """Return a gateway chosen at random."""
    return site.rng.choice(site.gateways)


async def kill(site: SoakSite, duration_s: float) -> None:
    """Kill a gateway and start it again."""
    gateway = random_gateway(site)
    if gateway.stop_requested_at:
        return
    await gateway.kill()
    gateway.caller_proxy.reset_connections()
    await asyncio.sleep(min(duration_s, 1.0))
    await gateway.start()


async def kill_all(site: SoakSite, duration_s: float) -> None:
    """Kill all gateways at once and start them again."""
    running = [gateway for gateway in site.gateways if not gateway.stop_requested_at]
    await asyncio.gather(*(gateway.kill() for gateway in running))
    await asyncio.sleep(min(duration_s, 1.0))
    await asyncio.gather(*(gateway.start() for gateway in running))


async def terminate(site: SoakSite, duration_s: float) -> None:
    """Stop a gateway with SIGTERM and start it again after its exit."""
    gateway = random_gateway(site)
    if gateway.stop_requested_at:
        return
    await gateway.terminate()
    await gateway.start()


async def pause(site: SoakSite, duration_s: float) -> None:
    """Suspend a gateway with SIGSTOP and resume it with SIGCONT."""
    gateway = random_gateway(site)
    if not gateway.stop_requested_at:
        await gateway.pause(duration_s)


async def change_settings(site: SoakSite, duration_s: float) -> None:
    """Change a gateway's settings file, with or without sending SIGHUP."""
    gateway = random_gateway(site)
    gateway.options["retry_slack"] = site.rng.randint(40, 56)
    gateway.write_settings()
    if site.rng.random() < SIGHUP_PROBABILITY and gateway.program_has_started():
        gateway.send_signal(signal.SIGHUP)
    await asyncio.sleep(0)


async def store_fails(site: SoakSite, duration_s: float) -> None:
    """Make the store answer every call with 503."""
    site.store.failing_status = 503
    await asyncio.sleep(duration_s)
    site.store.failing_status = 0
    site.record_store_disturbance()


async def store_silent(site: SoakSite, duration_s: float) -> None:
    """Make the store leave every call unanswered."""
    site.store.silent = True
    await asyncio.sleep(duration_s)
    site.store.silent = False
    site.store.reset_connections()
    site.record_store_disturbance()


async def store_forgets(site: SoakSite, duration_s: float) -> None:
    """Discard the store's change history and reset its connections."""
    site.store.discard_history()
    site.store.reset_connections()
    site.record_store_disturbance()
    await asyncio.sleep(0)


async def store_returns(site: SoakSite, duration_s: float) -> None:
    """Make the store return from a copy; what is others' is written again later."""
    copied = site.store.take_copy()
    await asyncio.sleep(duration_s)
    site.store.failing_status = 503
    site.store.reset_connections()
    await asyncio.sleep(site.rng.uniform(0.1, MAX_STORE_ABSENCE_S))
    site.store.restore(copied)
    site.store.failing_status = 0
    await asyncio.sleep(site.rng.uniform(0.0, WRITTEN_AGAIN_S))
    site.write_again()
    site.record_store_disturbance()


async def disturb_connections(
    proxies: list[Proxy], rng: random.Random, duration_s: float
) -> None:
    """Delay, silence, reset or refuse connections through proxies for a time."""
    disturbance = rng.choice(("delay", "silence", "drop", "refuse"))
    for proxy in proxies:
        if disturbance == "delay":
            proxy.delay_s = PROXY_DELAY_S
        elif disturbance == "silence":
            proxy.silence(*rng.choice(SILENCED_DIRECTIONS))
        elif disturbance == "refuse":
            proxy.refusing = True
        else:
            proxy.reset_connections()
    await asyncio.sleep(duration_s)
    for proxy in proxies:
        proxy.restore()


async def store_link(site: SoakSite, duration_s: float) -> None:
    """Disturb one gateway's connections to the store."""
    gateway = random_gateway(site)
    gateway.record_disturbance()
    await disturb_connections([gateway.store_proxy], site.rng, duration_s)
    gateway.record_disturbance()


async def caller_link(site: SoakSite, duration_s: float) -> None:
    """Disturb callers' connections to one gateway."""
    gateway = random_gateway(site)
    gateway.record_disturbance()
    await disturb_connections([gateway.caller_proxy], site.rng, duration_s)
    gateway.record_disturbance()


async def endpoint_link(site: SoakSite, duration_s: float) -> None:
    """Disturb all connections to one endpoint."""
    name = site.rng.choice(
        [*site.serving(PLAIN_SERVICE), *site.serving(ENGINE_SERVICE)]
    )
    await disturb_connections([site.endpoint_proxies[name]], site.rng, duration_s)
    for gateway in site.gateways:
        gateway.record_disturbance()


async def endpoint_leaves(site: SoakSite, duration_s: float) -> None:
    """Announce that an endpoint leaves, add another one, then stop the first."""
    service = site.rng.choice((PLAIN_SERVICE, ENGINE_SERVICE, ENGINE_SERVICE))
    serving_names = site.serving(service)
    if len(serving_names) < MIN_SERVING_ENDPOINTS:
        return
    name = site.rng.choice(serving_names)
    site.announce_leaving(name)
    await site.add_endpoint(service)
    await asyncio.sleep(TERMINATION_NOTICE_S)
    await site.crash(name)


async def endpoint_crashes(site: SoakSite, duration_s: float) -> None:
    """Stop an endpoint without a termination notice and add another one later."""
    service = site.rng.choice((PLAIN_SERVICE, ENGINE_SERVICE))
    serving_names = site.serving(service)
    if len(serving_names) < MIN_SERVING_ENDPOINTS:
        return
    await site.crash(site.rng.choice(serving_names))
    await asyncio.sleep(duration_s)
    await site.add_endpoint(service)


async def new_version(site: SoakSite, duration_s: float) -> None:
    """Add an engine of the next software version; an older one leaves later."""
    serving_names = site.serving(ENGINE_SERVICE)
    site.software_version += 1
    await site.add_endpoint(ENGINE_SERVICE)
    await asyncio.sleep(duration_s)
    if len(serving_names) < MIN_SERVING_ENDPOINTS or serving_names[0] in site.left_at:
        return
    site.announce_leaving(serving_names[0])
    await asyncio.sleep(TERMINATION_NOTICE_S)
    await site.crash(serving_names[0])


async def says_leaving(site: SoakSite, duration_s: float) -> None:
    """Let an endpoint's answers say that it leaves before its entry does."""
    service = site.rng.choice((PLAIN_SERVICE, ENGINE_SERVICE))
    serving_names = site.serving(service)
    if len(serving_names) < MIN_SERVING_ENDPOINTS:
        return
    name = site.rng.choice(serving_names)
    await site.add_endpoint(service)
    site.endpoints[name].more_headers["Server-Leaving"] = "1"
    await asyncio.sleep(duration_s)
    if name not in site.left_at:
        site.announce_leaving(name)
        await asyncio.sleep(TERMINATION_NOTICE_S)
        await site.crash(name)


async def paused_answers(site: SoakSite, duration_s: float) -> None:
    """Let a plain endpoint refuse everything with a time to come back."""
    endpoint = site.endpoints[site.rng.choice(site.serving(PLAIN_SERVICE))]
    headers = {"X-Not-Executed": "1", "Retry-After": f"{duration_s:.1f}"}
    headers["Server-Brittle"] = "5"
    endpoint.response_script = lambda request: response_bytes(503, b"", headers)
    await asyncio.sleep(duration_s)
    endpoint.response_script = None


async def paths_lost(site: SoakSite, duration_s: float) -> None:
    """Cut all gateways' connections to most endpoints, which refuse new ones."""
    names = [*site.serving(PLAIN_SERVICE), *site.serving(ENGINE_SERVICE)]
    proxies = [site.endpoint_proxies[name] for name in names[1:]]
    for gateway in site.gateways:
        gateway.record_disturbance()
    await disturb_connections(proxies, site.rng, duration_s)
    for gateway in site.gateways:
        gateway.record_disturbance()


def truncated_response(request: Request) -> bytes:
    """Return a response whose body lacks its last two bytes."""
    return valid_response(request)[:-2]


def valid_response(request: Request) -> bytes:
    """Return a complete response with the attempt id and the response stamp."""
    headers = {"X-Attempt-Id": request.attempt_id, "X-Response-Stamp": RESPONSE_STAMP}
    return response_bytes(200, b"done", headers)


INVALID_RESPONSES: tuple[Callable[[Request], bytes], ...] = (
    truncated_response,
    lambda request: (
        valid_response(request) + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    ),
    lambda request: valid_response(request).replace(
        request.attempt_id.encode(), b"0" * 16
    ),
    lambda request: response_bytes(503, b"", {"X-Not-Executed": "1"}),
    lambda request: response_bytes(200, b"done", {"X-Attempt-Id": request.attempt_id}),
    lambda request: b"\x00\x01\r\n\r\n",
    lambda request: b"",
)


async def spoilt_answers(site: SoakSite, duration_s: float) -> None:
    """Make a plain endpoint send invalid responses."""
    endpoint = site.endpoints[site.rng.choice(site.serving(PLAIN_SERVICE))]
    invalid_response = site.rng.choice(INVALID_RESPONSES)

    def script(request: Request) -> bytes:
        refused = b"Not-Executed" in invalid_response(request)
        if not refused:
            endpoint.ran.append(request)
        return invalid_response(request)

    endpoint.response_script = script
    await asyncio.sleep(duration_s)
    endpoint.response_script = None


async def spoilt_entry(site: SoakSite, duration_s: float) -> None:
    """Write an endpoint entry or a gateway record that cannot be parsed."""
    kind = site.rng.choice(("servers", "baobabturn-gateways"))
    site.store.write(kind, "spoilt", {"address": 7, "peers": [1]})
    await asyncio.sleep(duration_s)
    site.store.remove(kind, "spoilt")


async def new_configuration(site: SoakSite, duration_s: float) -> None:
    """Write one new version of the configuration, or six in quick succession."""
    for _ in range(site.rng.choice((1, 6))):
        site.write_configuration()
        await asyncio.sleep(0.1)


async def key_goes(site: SoakSite, duration_s: float) -> None:
    """Revoke an API key."""
    site.revoke_second_key()
    await asyncio.sleep(0)


async def route_comes(site: SoakSite, duration_s: float) -> None:
    """Add a route to the configuration."""
    site.add_route()
    await asyncio.sleep(0)


async def domain_evacuated(site: SoakSite, duration_s: float) -> None:
    """Close a failure domain for longer than gateways take to obey, then open it."""
    domain = f"z{site.rng.randrange(site.domain_count)}"
    if site.is_closed(domain):
        return
    evacuation = site.close_domain(domain)
    await asyncio.sleep(EVACUATE_S + EVACUATION_MARGIN_S + duration_s)
    site.open_domain(evacuation)


async def domain_returns_cold(site: SoakSite, duration_s: float) -> None:
    """Let all endpoints of a failure domain go, and as many return together, cold.

    Nothing happens if a service would be left without an endpoint.
    """
    domain = f"z{site.rng.randrange(site.domain_count)}"
    going = site.serving_in(domain)
    services = (PLAIN_SERVICE, ENGINE_SERVICE)
    if not going or any(set(site.serving(each)) <= going.keys() for each in services):
        return
    if site.rng.random() < NOTICE_PROBABILITY:
        for name in going:
            site.announce_leaving(name)
        await asyncio.sleep(TERMINATION_NOTICE_S)
    await asyncio.gather(*map(site.crash, going))
    await asyncio.sleep(duration_s)
    for service in going.values():
        await site.add_endpoint(service, failure_domain=domain, cold_s=COLD_S)


# The order of the entries is part of a seed: a fault is drawn by its position.
FIRST_FAULTS = (
    kill,
    kill_all,
    terminate,
    pause,
    change_settings,
    store_fails,
    store_silent,
    store_forgets,
    store_link,
    caller_link,
    endpoint_link,
    endpoint_leaves,
    endpoint_crashes,
    spoilt_answers,
    spoilt_entry,
    new_configuration,
    key_goes,
    route_comes,
)
# Seeds from this one on draw from these too, each several times as often; earlier
# seeds keep the faults that they have.
LATER_FAULTS = (store_returns,)
FIRST_SEED_OF_LATER_FAULTS = 1000
LATER_FAULT_SHARE = 4
# Seeds from this one on draw from these too, each twice as often as the first ones.
CONDITION_FAULTS = (new_version, says_leaving, paused_answers, paths_lost)
FIRST_SEED_OF_CONDITION_FAULTS = 5000
CONDITION_FAULT_SHARE = 2
EVACUATION_FAULTS = (domain_evacuated,)
EVACUATION_FAULT_SHARE = 3
# So often that 14 of 15 seeds have one at least.
COLD_RETURN_FAULTS = (domain_returns_cold,)
COLD_RETURN_FAULT_SHARE = 6
# After these a gateway may hear of an evacuation later, or a request may be on its way
# to an endpoint for long.
DELAYING_FAULTS = frozenset(
    each.__name__
    for each in (
        store_fails,
        store_silent,
        store_forgets,
        store_returns,
        store_link,
        endpoint_link,
        paths_lost,
    )
)

FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        *FIRST_FAULTS,
        *LATER_FAULTS,
        *CONDITION_FAULTS,
        *EVACUATION_FAULTS,
        *COLD_RETURN_FAULTS,
    )
}


def drawn_faults(seed: int) -> tuple[str, ...]:
    """Return the names of the faults that a seed draws from."""
    names = tuple(fault.__name__ for fault in FIRST_FAULTS)
    if seed < FIRST_SEED_OF_LATER_FAULTS:
        return names
    names += LATER_FAULT_SHARE * tuple(each.__name__ for each in LATER_FAULTS)
    if seed < FIRST_SEED_OF_CONDITION_FAULTS:
        return names
    added = tuple(each.__name__ for each in CONDITION_FAULTS)
    names += CONDITION_FAULT_SHARE * added
    if seed < FIRST_SEED_OF_EVACUATIONS:
        return names
    names += EVACUATION_FAULT_SHARE * tuple(each.__name__ for each in EVACUATION_FAULTS)
    if seed < FIRST_SEED_OF_COLD_RETURNS:
        return names
    return names + COLD_RETURN_FAULT_SHARE * tuple(
        each.__name__ for each in COLD_RETURN_FAULTS
    )
