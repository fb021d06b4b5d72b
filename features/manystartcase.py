"""Gateways of one failure domain that all start at once at a store of many pages.

The store's client, the mirrors and the exchange of updates are the gateway's own; the
network between them is left out.  The first gateway is the watcher.
"""

import asyncio
import time
import urllib.parse
from types import SimpleNamespace

from baobabturn.core.clock import HybridClock
from baobabturn.core.events import EventLog
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.mirror import Mirror, StoreContact
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.platform.objectstore import OBJECTS_PATH, PlatformObjectStore
from baobabturn.store.answer import StoreAnswer
from baobabturn.wire.gatewaymessages import StoreAsk, StoreNews, StoreVouch
from fakes.rawhttp import Request
from fakes.site import SiteStore
from features.steps.gatewayparts import entry_change

KIND = "servers"
DOMAIN = "d"
PAGE = 50
ANSWER_S = 0.004
DELIVERY_S = 0.001
HANDLERS = {
    StoreNews: "handle_update",
    StoreAsk: "handle_ask",
    StoreVouch: "handle_confirmation",
}


class PagedStore:
    """A store that answers in pages after a while, and so many reads in a second."""

    def __init__(self, *, endpoints, reads_per_s):
        self.site = SiteStore(page=PAGE)
        self.reads_per_s = reads_per_s
        self.accepted = []
        self.refused = 0
        self.revision = 0
        for number in range(endpoints):
            self.write(number)

    def write(self, number):
        """Write a version of an entry."""
        self.revision += 1
        change = entry_change(number, self.revision, "ready")
        value = {**change.value, "note": f"{self.revision * 7919 % 100_003:x}"}
        self.site.write(KIND, f"e{number:04d}", value)

    def accepts_read(self):
        """Return whether one more read is within the limit of the last second."""
        now = time.monotonic()
        while self.accepted and self.accepted[0] < now - 1.0:
            self.accepted.pop(0)
        if len(self.accepted) >= self.reads_per_s:
            self.refused += 1
            return False
        self.accepted.append(now)
        return True


class Client(PlatformObjectStore):
    """The gateway's client of the store, without the network."""

    def __init__(self, *, store, events):
        super().__init__(address="store", transport=None, events=events)
        self.store = store
        self.list_calls = 0

    async def call(self, method, path, *, params=None, **options):
        """Return the store's answer after its time."""
        self.list_calls += "watch" not in (params or {})
        if not self.store.accepts_read():
            await asyncio.sleep(ANSWER_S)
            return Failure(Code.PLATFORM_BUDGET, "status 429")
        await asyncio.sleep(ANSWER_S)
        query = urllib.parse.urlencode(params or {})
        request = Request(
            method=method, target=f"{OBJECTS_PATH}{path}?{query}", headers={}, body=b""
        )
        status, body = await self.store.site.execute(request)
        assert status == 200, (status, body)
        return StoreAnswer(status=status, body=body, era=1)


class StartingGateway:
    """What one gateway knows of the endpoints; ``listed_after_s`` once it lists."""

    def __init__(self, *, number, start):
        self.number = number
        self.start = start
        self.name = f"g{number}"
        self.listed_after_s = None
        self.peer = Peer(name=self.name, address=("10.0.0.1", 7200 + number))
        self.peer.failure_domain = DOMAIN
        events = EventLog(
            node=self.name, role="gateway", failure_domain=DOMAIN, clock=HybridClock()
        )
        events.emit = lambda *names, **fields: None
        self.client = Client(store=start.store, events=events)
        contact = StoreContact(events=events)
        self.mirror = Mirror(
            store=self.client,
            contact=contact,
            kind=KIND,
            wait_s=0.5,
            on_list=self.handle_list,
            on_change=lambda change: None,
        )
        record = SimpleNamespace(name=self.name, failure_domain=DOMAIN)
        table = SimpleNamespace(
            alive=lambda: [each.peer for each in start.gateways if each is not self],
            is_mesh=lambda: True,
            is_large_fleet=lambda: False,
            far_domains=list,
            all_heard_in_domain=lambda: True,
        )
        watchers = SimpleNamespace(
            is_watcher=lambda: number == 0,
            is_root=lambda: number == 0,
            root=lambda: "g0",
            root_domain=lambda: DOMAIN,
            contacts=lambda domain: [start.gateways[0].peer],
        )
        peers = SimpleNamespace(
            record=record, handlers={}, table=table, send_message=self.send
        )
        self.updates = StoreUpdates(
            peers=peers, watchers=watchers, contact=contact, mirrors=[self.mirror]
        )

    def handle_list(self, changes):
        """Note when the first list was applied."""
        if self.listed_after_s is None:
            self.listed_after_s = time.monotonic() - self.start.began_at

    def send(self, message, to):
        """Deliver a message to some gateways."""
        loop = asyncio.get_running_loop()
        for peer in to:
            gateway = self.start.gateways[int(peer.name[1:])]
            loop.call_later(DELIVERY_S, gateway.receive, message, self.peer)

    def receive(self, message, sender):
        """Take a message."""
        getattr(self.updates, HANDLERS[type(message)])(message, sender)

    def is_current(self):
        """Return whether it knows all objects as the store has them."""
        held = self.start.store.site.objects[KIND]
        known = {name: each.value for name, each in self.mirror.objects.items()}
        return known == {name: each["spec"] for name, each in held.items()}


class ManyStart:
    """All gateways of a failure domain start while endpoints change."""

    def __init__(self, *, gateways, endpoints, reads_per_s):
        self.store = PagedStore(endpoints=endpoints, reads_per_s=reads_per_s)
        self.endpoints = endpoints
        self.gateways = []
        self.began_at = 0.0
        self.tasks = []
        self.gateways += [
            StartingGateway(number=number, start=self) for number in range(gateways)
        ]

    async def begin(self):
        """Start all."""
        self.began_at = time.monotonic()
        for gateway in self.gateways:
            self.tasks.append(asyncio.create_task(gateway.mirror.run()))
            self.tasks.append(asyncio.create_task(gateway.updates.run()))

    async def wait(self, condition, limit_s):
        """Wait until a condition holds; fail after a while."""
        end = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < end, self.summary()
            await asyncio.sleep(0.05)

    def change(self, number):
        """Write a version of an entry, or remove it now and then."""
        if number % 5:
            self.store.write(number % self.endpoints)
        else:
            self.store.site.remove(KIND, f"e{number % self.endpoints:04d}")

    async def change_for(self, seconds, changes_per_s):
        """Let entries change for some seconds."""
        for number in range(int(seconds * changes_per_s)):
            await asyncio.sleep(1 / changes_per_s)
            self.change(number * 37)

    def all_listed(self):
        """Return whether all gateways have applied a list."""
        return all(each.listed_after_s is not None for each in self.gateways)

    def all_current(self):
        """Return whether all gateways know the objects as the store has them."""
        return all(each.is_current() for each in self.gateways)

    def pages_per_gateway(self):
        """Return how many pages of lists a gateway has asked for, on average."""
        return sum(each.client.list_calls for each in self.gateways) / len(
            self.gateways
        )

    def summary(self):
        """Return what each gateway has done, for a failure's message."""
        return [
            (each.name, each.listed_after_s, each.client.list_calls, each.is_current())
            for each in self.gateways
        ]
