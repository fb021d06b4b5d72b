"""Callers that read streams and tell what they got."""

from __future__ import annotations

import asyncio
import re

import attrs

from fakes.callers import request_bytes, request_headers
from review.record import Record

EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
READ_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class Stream:
    """What one answer brought; ``complete`` if its framing says that it is whole.

    ``events`` holds the number and the text of each event in order.
    """

    attempt: str
    status: int = 0
    events: list[tuple[int, str]] = attrs.Factory(list)
    complete: bool = False

    @property
    def numbers(self) -> list[int]:
        """Return the numbers of the events."""
        return [number for number, _ in self.events]

    @property
    def versions(self) -> set[str]:
        """Return the software versions that wrote the events."""
        return {text.rpartition("/")[2] for _, text in self.events}


async def read_stream(
    address: str, path: str, attempt: str, record: Record, **headers: str
) -> Stream:
    """Send one request for a stream and return what came back."""
    stream = Stream(attempt=attempt)
    more = {
        "X-Attempt-Id": attempt,
        "X-Token-Count": "400,2000",
        "X-Prompt-Prefix": f"{attempt[:8]}:300,{attempt}:100",
        "Connection": "close",
        **headers,
    }
    record.add(f"caller sends {attempt} {path} to {address}")
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        record.add(f"caller can't connect for {attempt}: {error}")
        return stream
    try:
        writer.write(request_bytes("POST", path, request_headers(path, more), b"{}"))
        await read_answer(reader, stream)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        record.add(f"answer to {attempt} broke off: {type(error).__name__}")
    finally:
        writer.close()
    last = stream.numbers[-1] if stream.events else 0
    record.add(
        f"caller got {stream.status} for {attempt}: {len(stream.events)} events up to"
        f" {last} of {sorted(stream.versions)}, complete: {stream.complete}"
    )
    return stream


async def read_answer(reader: asyncio.StreamReader, stream: Stream) -> None:
    """Read a chunked answer to its end."""
    head = await reader.readuntil(b"\r\n\r\n")
    stream.status = int(head.split(b" ", 2)[1])
    if b"transfer-encoding: chunked" not in head.lower():
        await reader.read(READ_BYTES)
        return
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
        stream.events = [
            (int(number), text.decode()) for number, text in EVENT.findall(body)
        ]
    stream.complete = True
