"""Steps that play seeds of the fault soak."""

import asyncio
import pathlib
import tempfile

from behave import then, when

from soak.main import Soak


@when("seed {seed:d} of the soak is played")
def play_seed(context, seed):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    context.played = asyncio.run(Soak(seed=seed, folder=context.folder).run())


@then("no promise was broken")
def nothing_broken(context):
    played = context.played
    assert not played.broken, (played.broken, played.faults, str(context.folder))
