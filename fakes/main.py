"""Runs one fake as a process: ``python -m fakes.main engine --name e1``."""

from __future__ import annotations

import asyncio
import signal
import sys

import cyclopts

from fakes.batching import EngineModel
from fakes.engine import FakeEngine
from fakes.platform import FakePlatform
from fakes.service import FakeService

app = cyclopts.App(name="fakes")


async def serve(fake, address: str, port: int) -> None:
    """Run a fake until a signal; print its URL when it listens."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    print(await fake.start(address, port), flush=True)
    await stop.wait()
    await fake.stop()


@app.command
def platform(*, address: str = "127.0.0.1", port: int = 0, seed: int = 1) -> None:
    """Run the fake platform."""
    asyncio.run(serve(FakePlatform(seed=seed), address, port))


@app.command
def engine(
    name: str,
    *,
    models: str,
    address: str = "127.0.0.1",
    port: int = 0,
    memory_tokens: int = 40_000,
    slots: int = 64,
    step_s: float = 0.012,
    step_per_sequence_s: float = 0.0004,
    prefill_per_token_s: float = 0.00004,
    checks_fencing: bool = False,
    seed: int = 1,
) -> None:
    """Run a fake engine that serves models, a comma-separated list of names."""
    fake = FakeEngine(
        name=name,
        models=[each for each in models.split(",") if each],
        model=EngineModel(
            memory_tokens=memory_tokens,
            slots=slots,
            step_s=step_s,
            step_per_sequence_s=step_per_sequence_s,
            prefill_per_token_s=prefill_per_token_s,
        ),
        checks_fencing=checks_fencing,
        seed=seed,
    )
    asyncio.run(serve(fake, address, port))


@app.command
def service(name: str, *, address: str = "127.0.0.1", port: int = 0) -> None:
    """Run a fake endpoint of a plain service."""
    asyncio.run(serve(FakeService(name=name), address, port))


if __name__ == "__main__":
    sys.exit(app())
