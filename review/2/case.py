"""All gateways are killed while one entry of the store can't be read."""

from __future__ import annotations

import asyncio
import itertools

from fakes.callers import request_headers, send_request
from fakes.site import SiteEndpoint
from fakes.siteconfig import PLAIN_SERVICE, configuration
from review.casesite import Site, main

WORKER_COUNT = 6
GATEWAY_COUNT = 3
REQUEST_GAP_S = 0.1
BEFORE_S, AFTER_S = 3.0, 6.0
DOWN_S = 0.6
# The bound of the small deployments; the rule judges requests sent later than this.
RECOVERY_S = 12.0
MIN_SERVED_RATIO = 0.25
PATHS = ("/post/x", "/read/x")
ODD_NAME, ODD_TEXT = "odd", "text of another writer"
# A JSON text whose bytes are in another encoding than UTF-8.
ODD_BYTES = '"Tarrazú"'.encode("latin-1")


async def play(site: Site) -> bool:
    """Play the case; return whether the gateways serve again in time."""
    workers = [
        SiteEndpoint(name=f"w{number}", service=PLAIN_SERVICE)
        for number in range(WORKER_COUNT)
    ]
    site.store.write("config", "main", configuration())
    for worker in workers:
        await worker.start()
        site.store.write("servers", worker.name, worker.entry())
    await site.start_gateways(GATEWAY_COUNT)
    numbers = itertools.count(1)
    if site.trouble:
        site.store.raw_values[ODD_TEXT] = ODD_BYTES
        entry = {**workers[0].entry(), "service": ODD_TEXT}
        site.store.write("servers", ODD_NAME, entry)
        site.record.add(f"another writer's entry has {ODD_BYTES!r} as its service")
    before = await served_ratio(site, numbers, BEFORE_S)
    if before < MIN_SERVED_RATIO:
        raise RuntimeError("too few requests were served before the final fault")
    for gateway in site.gateways:
        gateway.kill()
    site.record.add("all gateways are killed")
    await asyncio.sleep(DOWN_S)
    for gateway in site.gateways:
        gateway.start()
    site.record.add("all gateways start again")
    await asyncio.sleep(RECOVERY_S)
    for gateway in site.gateways:
        site.record.add(f"{gateway.name} says ready: {await gateway.is_ready()}")
    after = await served_ratio(site, numbers, AFTER_S)
    return after >= MIN_SERVED_RATIO


async def served_ratio(site: Site, numbers: itertools.count, for_s: float) -> float:
    """Send requests for some seconds; return the share that was served."""
    tasks = []
    for _ in range(int(for_s / REQUEST_GAP_S)):
        tasks.append(asyncio.create_task(send(site, next(numbers))))
        await asyncio.sleep(REQUEST_GAP_S)
    statuses = await asyncio.gather(*tasks)
    ratio = statuses.count(200) / len(statuses)
    site.record.add(f"{ratio:.2f} of {len(statuses)} requests were served")
    return ratio


async def send(site: Site, number: int) -> int:
    """Send one request; return the status of the answer, 0 for none."""
    attempt, path = f"{number:016x}", PATHS[number % len(PATHS)]
    method = "POST" if path.startswith("/post/") else "GET"
    address = site.gateways[number % GATEWAY_COUNT].callers
    more = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "1500"}
    try:
        reply = await send_request(
            address, method, path, request_headers(path, more), b""
        )
    except (OSError, asyncio.IncompleteReadError) as error:
        site.record.add(f"{attempt} {method} {path}: {type(error).__name__}")
        return 0
    site.record.add(f"{attempt} {method} {path}: {reply.status} {reply.body[:90]!r}")
    return reply.status


if __name__ == "__main__":
    main(play, __file__)
