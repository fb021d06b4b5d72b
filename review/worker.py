"""A plain worker as a process of its own, which a case can kill.

Usage: ``worker.py NAME``.  It prints a line for its address and for each request that
it runs.  One answer in 20 has neither a length nor chunks and comes in two halves.
"""

from __future__ import annotations

import asyncio
import sys

from fakes.rawhttp import RawHttpServer, Request, response_bytes
from fakes.site import RESPONSE_STAMP

WORK_S = 0.03
UNFRAMED_EVERY = 20
BETWEEN_HALVES_S = 0.3
HALF_BYTES = 400


def whole_body(attempt: str) -> bytes:
    """Return the body of the answer to a request."""
    return attempt.encode().ljust(HALF_BYTES, b"a") + b"z" * HALF_BYTES


class Worker(RawHttpServer):
    """Answers each request with a body that names it."""

    def __init__(self, *, name: str):
        super().__init__()
        self.name = name
        self.count = 0

    async def handle(self, request: Request, reader, writer) -> bool:
        """Answer one request; return whether the connection stays open."""
        if request.headers.get("x-expect-instance") not in (None, self.name):
            writer.write(response_bytes(421, b"", {"X-Instance-Id": self.name}))
            await writer.drain()
            return True
        attempt = request.attempt_id
        self.count += 1
        print(f"runs {attempt}", flush=True)
        await asyncio.sleep(WORK_S)
        headers = {"X-Attempt-Id": attempt, "X-Response-Stamp": RESPONSE_STAMP}
        body = whole_body(attempt)
        is_unframed = self.count % UNFRAMED_EVERY == 0
        if not is_unframed:
            writer.write(response_bytes(200, body, headers))
            await writer.drain()
            return True
        headers["Connection"] = "close"
        writer.write(response_bytes(200, body[:HALF_BYTES], headers, length=False))
        await writer.drain()
        print(f"half {attempt}", flush=True)
        await asyncio.sleep(BETWEEN_HALVES_S)
        writer.write(body[HALF_BYTES:])
        await writer.drain()
        print(f"done {attempt}", flush=True)
        return False


async def serve(name: str, address: str) -> None:
    """Serve until the process is killed; ``address`` is empty for a free port."""
    worker = Worker(name=name)
    worker.address = address
    await worker.start()
    print(f"listens {worker.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
