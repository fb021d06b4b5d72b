"""Steps that play seeds of the fault soak."""

import asyncio
import pathlib
import tempfile

from behave import then, when

from soak.main import Soak


@when("seed {seed:d} of the soak is played")
def play_seed(context, seed):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    context.result = asyncio.run(Soak(seed=seed, folder=context.folder).run())


@then("no promise was broken")
def nothing_broken(context):
    result = context.result
    assert not result.violations, (
        result.violations,
        result.faults,
        str(context.folder),
    )
