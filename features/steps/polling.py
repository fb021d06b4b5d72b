"""Steps on the polling of engines."""

import asyncio
import time

from behave import given, then, when
from helper import start_fleet

from baobabturn.config.declared import Endpoint
from baobabturn.controller.polling import Poller
from baobabturn.core.program import Program
from baobabturn.endpoints.engine import CacheChange, LoadReport
from baobabturn.settings.load import load
from baobabturn.wire.messages import EndpointReport
from features.sitecase import eventually
from features.steps.gateway import run

ENDPOINT = Endpoint(name="e0", url="http://127.0.0.1:9")
WANTED_REPORTS = 2
# By then the controller has noticed that the link has closed.
LINK_CLOSED_S = 1.0
IDLE = LoadReport(
    running=0,
    waiting=0,
    used_tokens=0,
    total_tokens=0,
    preemptions=0,
    leaving=False,
    age_s=0.0,
    models={},
)


class OddEngine:
    """An engine whose first answer to one call can't be read."""

    def __init__(self, *, odd_call):
        self.odd_call = odd_call
        self.calls = []

    def answer(self, call, value):
        """Return a value, or raise an error for the first odd call."""
        self.calls.append(call)
        if call == self.odd_call and self.calls.count(call) == 1:
            raise KeyError("events")
        return value

    async def load(self, url):
        """Return a load report."""
        return self.answer("load report", IDLE)

    async def cache_changes(self, url, after):
        """Return no cache events."""
        change = CacheChange(last=after, gap=False, stored=(), removed=())
        return self.answer("cache events", change)


@given("a poller of an engine whose first {call} can't be read")
def odd_poller(context, call):
    program = Program(role="controller", settings=load(None, []).settings)
    context.reports = []
    context.poller = Poller(
        program=program,
        engine=OddEngine(odd_call=call),
        forward=context.reports.append,
    )

    async def begin():
        context.poller.watch([ENDPOINT])

    run(context, begin())
    context.add_cleanup(lambda: run(context, program.background.stop()))


@then("reports of the engine soon come")
def reports_come(context):
    def found():
        reports = [each for each in context.reports if isinstance(each, EndpointReport)]
        return len(reports) >= WANTED_REPORTS

    run(context, eventually(found, "reports", 5.0))


@then("no report comes after the engine is left to others")
def none_after(context):
    async def play():
        context.poller.watch([])
        context.reports.clear()
        await asyncio.sleep(0.5)

    run(context, play())
    assert not context.reports, context.reports


@given("a fleet of one host, one engine and one worker")
def smallest_fleet(context):
    start_fleet(context, "herd", False, hosts=1, engines=1, workers=1)


@when("the only scheduler is killed and started anew")
def scheduler_again(context):
    fleet = context.fleet
    name = f"scheduler@{fleet.hosts[0].name}"
    fleet.kill(name)
    time.sleep(LINK_CLOSED_S)
    fleet.restart(name)
