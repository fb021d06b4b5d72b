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
from baobabturn.gateway.routes import RouteTable, Service
from baobabturn.gateway.versionrecords import VersionRecorder
from baobabturn.placement.homes import DomainRegions
from baobabturn.platform.documents import PlatformObjectCodec
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
