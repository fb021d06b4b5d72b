"""Case 6: an engine's body without end stops a gateway for seconds."""

from __future__ import annotations

import asyncio

from review.cases2.record import Record
from review.cases2.site import DIGEST, MODEL, READ, Site, main

TIMEOUT_S = 1.5
LATE_S = 0.5
READS_PER_S = 8
PLAY_S = 14.0
BLOCK = b"\n" * 65_536
# Such a block each 5 ms is 105 Mbit/s, a tenth of a link.
BLOCK_PAUSE_S = 0.005


async def send_endless(request, writer) -> bool:
    """Begin a stream's answer, and send empty lines until the caller closes."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Attempt-Id: {request.attempt_id}\r\nX-Response-Stamp: s.1\r\n\r\n"
    )
    writer.write(head.encode())
    while not writer.is_closing():
        writer.write(BLOCK)
        await writer.drain()
        await asyncio.sleep(BLOCK_PAUSE_S)
    return True


async def play(site: Site, record: Record, trouble: bool) -> bool:
    """Read steadily at one gateway, which also gets one stream."""
    await site.start(gateways=3, plain=3, engines=1)
    await asyncio.sleep(4.0)
    gateway = site.gateways[0]
    if trouble:
        for engine in site.of(MODEL):
            engine.answers = send_endless
    digest = site.send(
        gateway, f"{DIGEST}1", deadline_s=39.0, tokens="300,40", prefix="a1:200,b2:100"
    )
    reads = []
    for number in range(int(PLAY_S * READS_PER_S)):
        reads.append(site.send(gateway, f"{READ}{number}", deadline_s=6.0))
        await asyncio.sleep(1 / READS_PER_S)
    replies = await asyncio.gather(*reads)
    digest.cancel()
    took = [each.ended_at - each.sent_at for each in replies]
    due = [each for each in took if each >= TIMEOUT_S]
    late = [each for each in due if each > TIMEOUT_S + LATE_S]
    record.add(
        f"of {len(took)} reads {len(due)} were unanswered at timeoutMs,"
        f" {len(late)} of them half a second later; the longest took {max(took):.1f} s"
    )
    return len(late) >= 8 and len(late) > len(due) / 2


if __name__ == "__main__":
    main(play, __file__)
