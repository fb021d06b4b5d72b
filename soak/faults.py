"""Faults of the soak test; each is injected into the site for some seconds."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from fakes.proxy import Proxy, Way
from fakes.site import SIGNATURE, Request, answer
from fakes.siteconfig import ENGINE, PLAIN
from soak.process import GatewayProcess
from soak.world import World

Fault = Callable[[World, float], Coroutine[Any, Any, None]]
DELAY_S = 0.15
NOTICE_S = 2.0
# Probability that SIGHUP announces a change of the settings file.
SIGNAL_SHARE = 0.5
LEAST_ENDPOINTS = 2
WAYS = ((Way.THERE, Way.BACK), (Way.THERE,), (Way.BACK,))


def some_gateway(world: World) -> GatewayProcess:
    """Return a gateway chosen at random."""
    return world.random.choice(world.gateways)


async def kill(world: World, seconds: float) -> None:
    """Kill a gateway and start it again."""
    gateway = some_gateway(world)
    if gateway.asked_at:
        return
    await gateway.kill()
    gateway.door.drop()
    await asyncio.sleep(min(seconds, 1.0))
    await gateway.start()


async def kill_all(world: World, seconds: float) -> None:
    """Kill all gateways at once and start them again."""
    running = [each for each in world.gateways if not each.asked_at]
    await asyncio.gather(*(each.kill() for each in running))
    await asyncio.sleep(min(seconds, 1.0))
    await asyncio.gather(*(each.start() for each in running))


async def terminate(world: World, seconds: float) -> None:
    """Stop a gateway with SIGTERM and start it again after its exit."""
    gateway = some_gateway(world)
    if gateway.asked_at:
        return
    await gateway.terminate()
    await gateway.start()


async def pause(world: World, seconds: float) -> None:
    """Suspend a gateway with SIGSTOP and resume it with SIGCONT."""
    gateway = some_gateway(world)
    if not gateway.asked_at:
        await gateway.pause(seconds)


async def change_settings(world: World, seconds: float) -> None:
    """Change a gateway's settings file, with or without sending SIGHUP."""
    gateway = some_gateway(world)
    gateway.options["retry_slack"] = world.random.randint(40, 56)
    gateway.write_settings()
    if world.random.random() < SIGNAL_SHARE and gateway.runs_own_code():
        gateway.send_signal(signal.SIGHUP)
    await asyncio.sleep(0)


async def store_fails(world: World, seconds: float) -> None:
    """Make the store answer every call with 503."""
    world.store.failing = 503
    await asyncio.sleep(seconds)
    world.store.failing = 0
    world.touch_store()


async def store_silent(world: World, seconds: float) -> None:
    """Make the store leave every call unanswered."""
    world.store.silent = True
    await asyncio.sleep(seconds)
    world.store.silent = False
    world.store.drop()
    world.touch_store()


async def store_forgets(world: World, seconds: float) -> None:
    """Discard the store's change history and reset its connections."""
    world.store.compact()
    world.store.drop()
    world.touch_store()
    await asyncio.sleep(0)


async def disturb(proxies: list[Proxy], chance: random.Random, seconds: float) -> None:
    """Delay, silence, reset or refuse connections through proxies for a time."""
    how = chance.choice(("delay", "silence", "drop", "refuse"))
    for proxy in proxies:
        if how == "delay":
            proxy.delay_s = DELAY_S
        elif how == "silence":
            proxy.silence(*chance.choice(WAYS))
        elif how == "refuse":
            proxy.refusing = True
        else:
            proxy.drop()
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.restore()


async def store_link(world: World, seconds: float) -> None:
    """Disturb one gateway's connections to the store."""
    gateway = some_gateway(world)
    gateway.touch()
    await disturb([gateway.store], world.random, seconds)
    gateway.touch()


async def caller_link(world: World, seconds: float) -> None:
    """Disturb callers' connections to one gateway."""
    gateway = some_gateway(world)
    gateway.touch()
    await disturb([gateway.door], world.random, seconds)
    gateway.touch()


async def endpoint_link(world: World, seconds: float) -> None:
    """Disturb all connections to one endpoint."""
    name = world.random.choice([*world.serving(PLAIN), *world.serving(ENGINE)])
    await disturb([world.links[name]], world.random, seconds)
    for gateway in world.gateways:
        gateway.touch()


async def endpoint_leaves(world: World, seconds: float) -> None:
    """Announce that an endpoint leaves, add another one, then stop the first."""
    service = world.random.choice((PLAIN, ENGINE, ENGINE))
    found = world.serving(service)
    if len(found) < LEAST_ENDPOINTS:
        return
    name = world.random.choice(found)
    world.leave(name)
    await world.add(service)
    await asyncio.sleep(NOTICE_S)
    await world.crash(name)


async def endpoint_crashes(world: World, seconds: float) -> None:
    """Stop an endpoint without a termination notice and add another one later."""
    service = world.random.choice((PLAIN, ENGINE))
    found = world.serving(service)
    if len(found) < LEAST_ENDPOINTS:
        return
    await world.crash(world.random.choice(found))
    await asyncio.sleep(seconds)
    await world.add(service)


def half(request: Request) -> bytes:
    """Return a response whose body lacks its last two bytes."""
    return good(request)[:-2]


def good(request: Request) -> bytes:
    """Return a complete response with the attempt id and the response stamp."""
    headers = {"X-Attempt-Id": request.ident, "X-Response-Stamp": SIGNATURE}
    return answer(200, b"done", headers)


SPOILERS: tuple[Callable[[Request], bytes], ...] = (
    half,
    lambda request: good(request) + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    lambda request: good(request).replace(request.ident.encode(), b"0" * 16),
    lambda request: answer(503, b"", {"X-Not-Executed": "1"}),
    lambda request: answer(200, b"done", {"X-Attempt-Id": request.ident}),
    lambda request: b"\x00\x01\r\n\r\n",
    lambda request: b"",
)


async def spoilt_answers(world: World, seconds: float) -> None:
    """Make a plain endpoint send invalid responses."""
    endpoint = world.endpoints[world.random.choice(world.serving(PLAIN))]
    spoil = world.random.choice(SPOILERS)

    def script(request: Request) -> bytes:
        refused = b"Not-Executed" in spoil(request)
        if not refused:
            endpoint.ran.append(request)
        return spoil(request)

    endpoint.script = script
    await asyncio.sleep(seconds)
    endpoint.script = None


async def spoilt_entry(world: World, seconds: float) -> None:
    """Write an endpoint entry or a gateway record that cannot be parsed."""
    kind = world.random.choice(("servers", "baobabturn-gateways"))
    world.store.write(kind, "spoilt", {"address": 7, "peers": [1]})
    await asyncio.sleep(seconds)
    world.store.remove(kind, "spoilt")


async def new_configuration(world: World, seconds: float) -> None:
    """Write one new version of the configuration, or six in quick succession."""
    for _ in range(world.random.choice((1, 6))):
        world.configure()
        await asyncio.sleep(0.1)


async def key_goes(world: World, seconds: float) -> None:
    """Revoke an API key."""
    world.revoke()
    await asyncio.sleep(0)


async def route_comes(world: World, seconds: float) -> None:
    """Add a route to the configuration."""
    world.add_route()
    await asyncio.sleep(0)


# The order of the entries is part of a seed: a fault is drawn by its position.
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
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
}
