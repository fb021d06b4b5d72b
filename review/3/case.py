"""A stream without a length or chunks is moved off an engine that leaves."""

from __future__ import annotations

import asyncio

from fakes.siteconfig import configuration
from review.casesite import Site, main
from review.engines import Engine
from review.streams import read_stream

ENGINE_COUNT = 6
GATEWAY_COUNT = 3
STREAM_COUNT = 30
EVENT_COUNT = 120
EVENT_INTERVAL_S = 0.05
# Half of the engines answer one stream in 20 without a length or chunks.
UNFRAMED_ENGINES = 3
UNFRAMED_EVERY = 20
PATH = "/draft/x"
START_GAP_S = 0.02
NOTICE_AFTER_S = 2.0
NOTICE_S = 2.0


async def play(site: Site) -> bool:
    """Play the case; return whether every complete stream is whole."""
    engines = [
        Engine(
            name=f"e{number}",
            events=EVENT_COUNT,
            interval_s=EVENT_INTERVAL_S,
            record=site.record,
            unframed_every=UNFRAMED_EVERY if number < UNFRAMED_ENGINES else 0,
        )
        for number in range(ENGINE_COUNT)
    ]
    for engine in engines:
        await engine.start()
        engine.peers = {each.address: each for each in engines}
    site.store.write("config", "main", configuration())
    for engine in engines:
        engine.peers = {each.address: each for each in engines}
        site.store.write("servers", engine.name, engine.entry())
    await site.start_gateways(GATEWAY_COUNT)
    tasks = []
    for number in range(STREAM_COUNT):
        address = site.gateways[number % GATEWAY_COUNT].callers
        work = read_stream(address, PATH, f"{number + 1:016x}", site.record)
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(START_GAP_S)
    await asyncio.sleep(NOTICE_AFTER_S)
    if site.trouble:
        await leave(site, engines)
    streams = await asyncio.gather(*tasks)
    holds = True
    for stream in streams:
        if stream.complete and stream.numbers != list(range(1, EVENT_COUNT + 1)):
            holds = False
            site.record.add(
                f"{stream.attempt} ended as complete with {len(stream.events)} of"
                f" {EVENT_COUNT} events"
            )
    complete = sum(stream.complete for stream in streams)
    site.record.add(f"{complete} of {STREAM_COUNT} streams ended as complete")
    if complete < STREAM_COUNT / 2:
        raise RuntimeError("too few streams were served")
    return holds


async def leave(site: Site, engines: list[Engine]) -> None:
    """Give notice to an engine that runs an unframed stream, and end it after that."""
    engine = next(each for each in engines if each.unframed)
    engine.leaving = True
    site.record.add(f"{engine.name} says that it is draining: {engine.unframed}")
    site.store.write("servers", engine.name, engine.entry(state="draining"))
    await asyncio.sleep(NOTICE_S)
    site.store.remove("servers", engine.name)
    await asyncio.sleep(0.2)
    await engine.crash()
    site.record.add(f"{engine.name} has exited")


if __name__ == "__main__":
    main(play, __file__)
