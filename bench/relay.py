"""Measures one entry's relay of streams: tokens a second and added latency.

A source process plays an engine that sends one chunk per token, an entry with
no scheduler relays it, and reader processes count.  Each part is a process of
its own, so the entry's processor time is its own::

    python -m bench.relay --streams 200 --seconds 8
    python -m bench.relay --streams 200 --seconds 8 --rate 3500

Without ``--rate`` the source sends as fast as the entry takes it; with it, at
so many tokens a second in all, and the time from the source's stamp to the
reader is compared with that of readers connected to the source.  Streams begin
at random phases, as those of many engines do at one entry.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import json
import multiprocessing
import pathlib
import random
import sys
import time

import cyclopts
from aiohttp import ClientSession, ClientTimeout, TCPConnector, web

from dev.deployments import DEPLOYMENTS
from dev.fleet import Fleet

READERS = 2
PERCENTS = (50, 99)
SETTLE_S = 2.0
SEED = 1
MS = 1000

app = cyclopts.App(name="relay")


class Source:
    """Sends tokens to every open stream, one write for each."""

    def __init__(self, *, rate: float, streams: int):
        self.interval_s = streams / rate if rate else 0.0
        self.random = random.Random(SEED)

    async def stream(self, request: web.Request) -> web.StreamResponse:
        """Send tokens until the reader goes; each carries its time."""
        body = await request.json()
        name = body.get("request_id", "direct")
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        due = time.monotonic() + self.random.uniform(0.0, self.interval_s)
        index = 0
        while True:
            if self.interval_s:
                due += self.interval_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            await response.write(chunk(name, index))
            index += 1
            if not self.interval_s:
                await asyncio.sleep(0)

    async def load(self, request: web.Request) -> web.Response:
        """Return an idle engine's report."""
        return web.json_response({"running": 0, "models": {"rumia": "1"}})

    async def empty(self, request: web.Request) -> web.Response:
        """Return lists with nothing in them."""
        return web.json_response({"data": [], "events": [], "last": 0})


def chunk(name: str, index: int) -> bytes:
    """Return one token's event as an OpenAI-compatible engine sends it."""
    values = {
        "id": name,
        "object": "text_completion",
        "created": 0,
        "model": "rumia",
        "choices": [{"index": 0, "finish_reason": None, "text": " token"}],
        "sequence_number": index,
        "at": time.monotonic(),
    }
    return b"data: " + json.dumps(values).encode() + b"\n\n"


def run_source(address: str, rate: float, streams: int, port: multiprocessing.Queue):
    """Serve as an engine until killed; put the port on a queue."""

    async def serve() -> None:
        source = Source(rate=rate, streams=streams)
        server = web.Application()
        server.add_routes(
            [
                web.post("/v1/completions", source.stream),
                web.get("/load", source.load),
                web.route("*", "/{path:.*}", source.empty),
            ]
        )
        runner = web.AppRunner(server, access_log=None, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, address, 0)
        await site.start()
        port.put(site._server.sockets[0].getsockname()[1])  # type: ignore[union-attr]
        await asyncio.Event().wait()

    asyncio.run(serve())


def read_streams(url: str, streams: int, seconds: float) -> tuple[int, list[float]]:
    """Read streams for a time; return the tokens and a sample of their delays."""

    async def one(session: ClientSession, end: float, delays: list[float]) -> int:
        body = {"model": "rumia", "prompt": "x", "stream": True, "max_tokens": 30000}
        headers = {"Authorization": "Bearer key-buyers"}
        count = 0
        async with session.post(
            url + "/v1/completions", json=body, headers=headers
        ) as answer:
            async for line in answer.content:
                now = time.monotonic()
                if now > end:
                    return count
                if line.startswith(b"data:") and now > end - seconds:
                    count += 1
                    delays.append(now - json.loads(line[5:])["at"])
        return count

    async def run() -> tuple[int, list[float]]:
        delays: list[float] = []
        end = time.monotonic() + SETTLE_S + seconds
        async with ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(total=None)
        ) as session:
            work = [one(session, end, delays) for _ in range(streams)]
            return sum(await asyncio.gather(*work)), delays

    return asyncio.run(run())


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def measure(url: str, pid: int, streams: int, seconds: float) -> dict[str, float]:
    """Return what readers of a URL see, and the core share of a process."""
    with concurrent.futures.ProcessPoolExecutor(READERS) as pool:
        began, before = time.monotonic(), cpu_s(pid)
        work = [
            pool.submit(read_streams, url, streams // READERS, seconds)
            for _ in range(READERS)
        ]
        found = [each.result() for each in work]
        core = (cpu_s(pid) - before) / (time.monotonic() - began)
    tokens = sum(count for count, _ in found)
    delays = sorted(delay for _, each in found for delay in each)
    result = {"tokens_per_s": round(tokens / seconds), "core": round(core, 2)}
    for percent in PERCENTS:
        place = min(len(delays) - 1, len(delays) * percent // 100)
        result[f"delay_p{percent}_ms"] = round(delays[place] * MS, 2)
    return result


@app.default
def run(*, streams: int = 200, seconds: float = 8.0, rate: float = 0.0) -> int:
    """Print what one entry relays, as JSON; and the source alone with a rate."""
    queue: multiprocessing.Queue = multiprocessing.Queue()
    source = multiprocessing.Process(
        target=run_source, args=("127.0.0.1", rate, streams, queue), daemon=True
    )
    source.start()
    url = f"http://127.0.0.1:{queue.get()}"
    fleet = Fleet(deployment=DEPLOYMENTS["herd"], hosts=1, engines=1, workers=1)
    try:
        with fleet:
            point_at(fleet, url)
            pid = fleet.processes[f"entry@{fleet.hosts[0].name}"].pid
            result: dict[str, object] = {"streams": streams, "rate": rate}
            if rate:
                assert source.pid is not None
                result["direct"] = measure(url, source.pid, streams, seconds)
            result["entry"] = measure(fleet.entry(0), pid, streams, seconds)
            print(json.dumps(result))
    finally:
        source.kill()
    return 0


def point_at(fleet: Fleet, url: str) -> None:
    """Declare the source in the place of the fleet's engine, with room for all."""
    engine = fleet.endpoints[0]
    engine["url"] = url
    engine["memory_tokens"] = 1_000_000_000
    fleet.apply()
    time.sleep(SETTLE_S)


if __name__ == "__main__":
    sys.exit(app())
