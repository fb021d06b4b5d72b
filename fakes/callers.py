"""Requests and responses of a site's callers, on raw streams."""

from __future__ import annotations

import asyncio

import attrs

from fakes.siteconfig import API_KEY, SITE_HOST_NAME

HALF_RESPONSE_TIMEOUT_S = 8.0


@attrs.define(kw_only=True)
class Reply:
    """A response as a caller received it; ``whole`` if it was received to its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events in the body."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith("id:")]


def request_headers(path: str, more: dict[str, str]) -> dict[str, str]:
    """Return a caller's headers for a path.

    ``more`` replaces defaults; names have _ for -, an empty value drops a header.
    """
    headers = {
        "Host": SITE_HOST_NAME,
        "X-Attempt-Id": "a1b2c3d4e5f60718",
        "X-Deadline-Ms": "15000",
        "Authorization": f"Bearer {API_KEY}",
    }
    if path.startswith(("/draft/", "/check/")):
        headers["X-Model"] = "m"
        headers["X-Token-Count"] = "1000,2000"
        headers["X-Prompt-Prefix"] = "ab:600,cd:400"
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    return {name: value for name, value in headers.items() if value}


async def send_request(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Reply:
    """Send one request on a new connection and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(method, path, headers, body))
        await writer.drain()
        async with asyncio.timeout(HALF_RESPONSE_TIMEOUT_S * 2):
            return await read_reply(reader)
    finally:
        writer.close()


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Return one response, complete or up to the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")
    header_pairs = [line.split(":", 1) for line in lines if line]
    headers = {name.strip().lower(): value.strip() for name, value in header_pairs}
    status = int(start_line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, whole = await read_chunks(reader)
        return Reply(status=status, headers=headers, body=body, whole=whole)
    length = int(headers.get("content-length", "0"))
    try:
        body, whole = await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        body, whole = error.partial, False
    return Reply(status=status, headers=headers, body=body, whole=whole)


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return the received part of a chunked body and whether it is complete."""
    body = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False
        if not size:
            return body, True
        body += data[:-2]
