"""Steps on a gateway's settings file that changes."""

import asyncio
import json
import pathlib
import signal
import tempfile

from behave import given, then, when

from baobabturn.core.events import Event
from features.sitecase import eventually
from features.steps.gateway import run, start
from soak.process import GatewayProcess
from soak.site import SoakSite


def write(context, seconds, **more):
    """Write the settings file."""
    gateway = {"revoke_ms": 1000 * (seconds + 1), "config_watch_s": 0.3}
    context.path.write_text(json.dumps({"gateway": gateway, **more}))


@given(
    "a site with {count:d} plain endpoints whose settings file lets keys be trusted"
    " for {seconds:g} seconds"
)
def file_site(context, count, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "settings.jsonc"
    write(context, seconds)
    start(context, plain=count, options={"settings_path": str(context.path)})


@when("the file lets keys be trusted for {seconds:g} seconds")
def shorter(context, seconds):
    write(context, seconds)


@when("the file names another level of the log")
def other_level(context):
    write(context, 9, log={"level": "warning"})


@when("the file holds a mistake")
def mistake(context):
    context.path.write_text('{"gateway": {"revoke_ms": "soon"}}')


def soon_logged(context, text):
    """Wait until a line on the settings holds a text."""
    gateway = context.case.gateways[0]

    def logged():
        return any(text in line for line in gateway.logged(Event.SETTINGS_READ))

    run(context, eventually(logged, f"a line with {text}", 5.0))


@then('the gateway logs that "{name}" is applied')
def applied(context, name):
    soon_logged(context, f"applied={name}")


@then('the gateway logs that "{name}" waits for a new start')
def waits(context, name):
    soon_logged(context, f"at_restart={name}")


@then("the gateway logs the mistake")
def logged_mistake(context):
    soon_logged(context, "revoke_ms")


@given("a gateway process that is just started")
def started(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    place = pathlib.Path(folder.name)
    context.soak_site = SoakSite(seed=0, folder=place, host_count=1, domain_count=1)

    async def play():
        await context.soak_site.store.start()
        await context.soak_site.add_gateway(0)

    run(context, play())
    context.add_cleanup(lambda: run(context, context.soak_site.stop()))


@when(
    "its settings are signalled to have changed, again and again for {seconds:g}"
    " seconds"
)
def signalled(context, seconds):
    gateway: GatewayProcess = context.soak_site.gateways[0]

    async def play():
        # The interpreter itself needs some time before any code of ours runs.
        await asyncio.sleep(0.1)
        for _ in range(int(seconds / 0.05)):
            gateway.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)

    run(context, play())


@then("the process still runs")
def still_runs(context):
    gateway = context.soak_site.gateways[0]
    assert not gateway.exits, gateway.exits
