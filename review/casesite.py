"""Runs a case: its site, its exit code and the end of all that it started."""

from __future__ import annotations

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable

from fakes.site import SiteStore
from review.gateway import Gateway
from review.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_DURATION_S = 110.0


class Site:
    """The store, the gateways and the record of a case.

    ``trouble`` says whether the disruption takes place.  ``cleanups`` end what a case
    has started besides.
    """

    def __init__(self, *, folder: pathlib.Path, record: Record, trouble: bool):
        self.folder = folder
        self.record = record
        self.trouble = trouble
        self.store = SiteStore()
        self.gateways: list[Gateway] = []
        self.cleanups: list[Callable[[], Awaitable[None]]] = []

    async def start_gateways(self, count: int) -> None:
        """Start gateways in one zone each, and wait until they are ready."""
        for number in range(count):
            gateway = Gateway(
                name=f"front-{number}",
                zone=f"z{number}",
                store=self.store.address,
                folder=self.folder,
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
            self.record.add(f"{gateway.name} is ready at {gateway.callers}")

    async def close(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.kill()
        for cleanup in self.cleanups:
            await cleanup()


Case = Callable[[Site], Awaitable[bool]]


async def play(case: Case, site: Site) -> int:
    """Play a case; return the exit code."""
    try:
        async with asyncio.timeout(MAX_DURATION_S):
            await site.store.start()
            holds = await case(site)
    finally:
        await site.close()
    site.record.add("the rule held" if holds else "THE RULE WAS BROKEN")
    return HELD if holds else BROKEN


def main(case: Case, script: str) -> None:
    """Run a case with the record beside its script, and exit with its code."""
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    # The script passes on TROUBLE; without it the disruption takes place.
    trouble = sys.argv[1:2] != ["0"]
    site = Site(folder=folder, record=record, trouble=trouble)
    record.add("with the disruption" if site.trouble else "without the disruption")
    try:
        code = asyncio.run(play(case, site))
    except Exception:
        record.add("the case could not run: " + traceback.format_exc())
        code = NOT_RUN
    finally:
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(folder, ignore_errors=True)
    print(f"exit code {code}, see {record.file.name}")
    sys.exit(code)
