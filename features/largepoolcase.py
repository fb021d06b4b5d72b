"""Pools of many engines of one gateway, without a network."""

import asyncio
import random
import sys
import types

from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.mirror import StoreContact
from baobabturn.gateway.paths import Paths
from baobabturn.gateway.pools import EnginePools
from baobabturn.gateway.request import GenerationSize
from baobabturn.gateway.routes import RouteTable, Service
from baobabturn.gateway.versionrecords import VersionRecorder
from baobabturn.placement.homes import DomainRegions
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.wire.messages import Admit, Holding, Release
from baobabturn.wire.words import FINISHED
from features.fleetcase import SETTINGS
from features.steps.gatewayparts import entry_change, traits

SERVICE = "models"
ZONES = ("z", "y")


class Silent:
    """Emits nothing, so that logging isn't counted."""

    def emit(self, *names, **fields):
        """Do nothing."""


def lines_of(work):
    """Return how many lines of Python some work runs, those of loops each time."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


class LargePool:
    """One gateway's pool of engines, as listed by the store."""

    def __init__(self, count):
        self.count = count
        self.random = random.Random(count)
        self.revision = count
        program = Program(role="gateway", settings=SETTINGS)
        program.events = Silent()
        codec = PlatformObjectCodec()
        self.endpoints = Endpoints(
            object_codec=codec,
            events=program.events,
            contact=StoreContact(events=program.events),
            lapse_grace_s=1.0,
        )
        self.pools = EnginePools(
            program=program,
            endpoints=self.endpoints,
            regions=DomainRegions(by_domain={}),
        )
        self.service = Service(name=SERVICE, engine=traits(0.0001))
        Paths(endpoints=self.endpoints, events=program.events)
        self.recorder = VersionRecorder(
            store=None,
            object_codec=codec,
            endpoints=self.endpoints,
            pools=self.pools,
            watchers=types.SimpleNamespace(),
        )
        entries = [entry_change(each, each + 1, "ready") for each in range(count)]
        self.endpoints.apply_list(tuple(entries))
        self.pools.apply_table(
            RouteTable(
                version=1,
                routes={},
                services={SERVICE: self.service},
                key_holders={},
                keys_required=False,
            )
        )
        self.endpoints.leaving_listeners.append(self.pools.mark_leaving)

    @property
    def pool(self):
        """Return the scheduler of the pool."""
        return self.pools.pools[SERVICE]

    def admission(self, tokens=500, prefixes=(), deadline_ms=1000):
        """Return what the scheduler is asked for a new request."""
        self.revision += 1
        return Admit(
            request=f"r{self.revision}",
            reservation=f"r{self.revision}",
            pool=SERVICE,
            workspace="w",
            model="m",
            kind="k",
            prompt_tokens=tokens,
            max_tokens=500,
            prefixes=list(prefixes),
            deadline_ms=deadline_ms,
        )

    def request(self):
        """Return a caller's new request."""
        self.revision += 1
        return types.SimpleNamespace(
            request_id=f"r{self.revision}",
            service=self.service,
            generation_size=GenerationSize(
                model="m", prompt_tokens=500, max_tokens=500
            ),
            priority=0,
            workspace="w",
            homes=None,
            route=types.SimpleNamespace(name="k"),
        )

    async def admit(self):
        """Admit a caller's request; return its reservation."""
        return await self.pools.admit(
            self.request(), queue_timeout_s=1.0, excluded=[], attempt=1
        )

    def hold(self, number, count):
        """Let another gateway hold some reservations at an engine."""
        for index in range(count):
            holding = Holding(
                reservation=f"p/{number}/{index}",
                endpoint=f"e{number}",
                workspace="w",
                model="m",
                kind="k",
                prompt_tokens=500,
                max_tokens=500,
            )
            self.pools.record_peer_reservation("p", SERVICE, holding)

    def release(self, number, index=0):
        """Let another gateway release one of its reservations at an engine."""
        release = Release(reservation=f"p/{number}/{index}", outcome=FINISHED)
        self.pools.release_peer_reservation("p", release)

    def change(self, number, state="ready", **fields):
        """Apply a new version of an engine's entry."""
        self.revision += 1
        change = entry_change(number, self.revision, state)
        change.value.update(fields)
        self.endpoints.apply_change(change)

    def change_at_random(self):
        """Apply one random change, and let the pools follow now and then."""
        number = self.random.randrange(self.count + 10)
        known = self.endpoints.by_name.get(f"e{number}")
        action = self.random.randrange(6)
        if action == 0:
            self.change(number, "draining")
        elif action == 1 and known is not None:
            self.endpoints.remove(known)
        elif action == 2:
            zones = self.random.sample(ZONES, self.random.randrange(3))
            self.endpoints.set_closed_domains(frozenset(zones))
        else:
            self.change(
                number,
                address=f"10.1.0.{self.random.randrange(3)}:80",
                zone=self.random.choice(ZONES),
                service=self.random.choice((SERVICE, SERVICE, "others")),
                version=self.random.choice("ab"),
            )
        if not self.random.randrange(4):
            self.pools.refresh_endpoints()


async def make_pools(counts):
    """Return a pool of each size."""
    await asyncio.sleep(0)
    return [LargePool(count) for count in counts]
