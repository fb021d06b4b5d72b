"""Limits on a request's headers, enforced before the application sees them.

The HTTP server bounds neither the size of a request's headers nor the time they
take; a connection that exceeds a limit gets a coded error and is closed.

A caller may offer to switch to another protocol.  The offer is ignored, and the request
served as it is.
"""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from baobabturn.core.results import Code, Failure
from baobabturn.entry.responses import error_body, error_headers
from baobabturn.settings.model import Entry

REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
}
# The headers with which a caller offers another protocol, and the option that does.
UPGRADE, CONNECTION = b"upgrade", b"connection"
TUNNEL_METHOD = b"CONNECT"

log = logging.getLogger("baobabturn.entry.protocol")


def raw_response(failure: Failure) -> bytes:
    """Return the bytes of an HTTP error response that closes its connection."""
    body = json.dumps(error_body(failure)).encode()
    lines = [f"HTTP/1.1 {failure.status} {REASON_PHRASES[failure.status]}".encode()]
    lines += [name + b": " + value for name, value in error_headers(failure)]
    lines += [b"content-type: application/json", b"connection: close"]
    lines.append(b"content-length: " + str(len(body)).encode())
    return b"\r\n".join([*lines, b"", body])


def without_offer(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return a request's headers without an offer to switch protocols.

    Names are in lower case.  Source: RFC 9110, section 7.8.
    """
    kept = []
    for name, value in headers:
        if name == CONNECTION:
            options = [option.strip() for option in value.split(b",")]
            value = b", ".join(each for each in options if each.lower() != UPGRADE)
        if name != UPGRADE:
            kept.append((name, value))
    return kept


def head_bytes(
    method: bytes, target: bytes, version: str, headers: list[tuple[bytes, bytes]]
) -> bytes:
    """Return the bytes of a request's head."""
    lines = [b" ".join((method, target, b"HTTP/" + version.encode()))]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", b""])


def limited_protocol(entry: Entry) -> type[HttpToolsProtocol]:
    """Return a protocol class with an entry's limits."""

    class CallerProtocol(HttpToolsProtocol):
        """One caller's connection, with limits while it sends headers."""

        def __init__(self, *args: Any, **options: Any):
            super().__init__(*args, **options)
            self.header_bytes = 0
            self.header_count = 0
            self.header_timer: asyncio.TimerHandle | None = None
            self.refused = False
            self.has_offer = False

        def connection_made(self, transport: Any) -> None:
            """Start the timer for the first request's headers."""
            super().connection_made(transport)
            self.start_header_timer()

        def connection_lost(self, error: Exception | None) -> None:
            """Stop the header timer."""
            self.stop_header_timer()
            super().connection_lost(error)

        def start_header_timer(self) -> None:
            """Reset the counts of headers and bytes, and start the timer."""
            self.header_bytes = 0
            self.header_count = 0
            self.stop_header_timer()
            self.header_timer = self.loop.call_later(
                entry.header_timeout_s, self.headers_too_slow
            )

        def stop_header_timer(self) -> None:
            """Cancel the header timer, if it runs."""
            if self.header_timer is not None:
                self.header_timer.cancel()
                self.header_timer = None

        def data_received(self, data: bytes) -> None:
            """Parse received bytes; count them if the headers are still incomplete."""
            if self.refused:
                return
            in_headers = self.header_timer is not None
            self.parse(data)
            if in_headers and self.header_timer is not None:
                self.header_bytes += len(data)
                self.check_size()

        def parse(self, data: bytes) -> None:
            """Parse received bytes, an offer to switch protocols without it.

            At such an offer the parser stops after the head.
            """
            self._unset_keepalive_if_required()
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as stop:
                self.parse_without_offer(data[stop.args[0] :])
            except httptools.HttpParserError as error:
                log.info("event=not-http error=%r", error)
                self.send_400_response("Invalid HTTP request received.")

        def parse_without_offer(self, rest: bytes) -> None:
            """Parse a head again without its offer, and then the bytes after it."""
            self.has_offer = False
            if self.refused:
                return
            method = self.parser.get_method()
            if method == TUNNEL_METHOD:
                self.refuse(Failure(Code.MALFORMED, "no tunnels here"))
                return
            head = head_bytes(
                method,
                self.url,
                self.parser.get_http_version(),
                without_offer(self.headers),
            )
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self.start_header_timer()
            self.parse(head + rest)

        def on_message_begin(self) -> None:
            """Start the timer for the next request on a kept-alive connection."""
            super().on_message_begin()
            if self.header_timer is None:
                self.start_header_timer()

        def on_header(self, name: bytes, value: bytes) -> None:
            """Count a header; drop it if over the limit or already refused."""
            self.header_count += 1
            if self.header_count <= entry.header_count_limit and not self.refused:
                super().on_header(name, value)

        def on_headers_complete(self) -> None:
            """Start the request if its headers are within the limits.

            One with an offer to switch protocols is parsed again first.
            """
            self.stop_header_timer()
            parsed_bytes = sum(len(name) + len(value) for name, value in self.headers)
            self.header_bytes = max(self.header_bytes, parsed_bytes + len(self.url))
            self.check_size()
            self.has_offer = self.parser.should_upgrade()
            if not self.refused and not self.has_offer:
                super().on_headers_complete()

        def on_body(self, body: bytes) -> None:
            """Pass on a chunk of the body unless the request is refused."""
            if not self.refused:
                super().on_body(body)

        def on_message_complete(self) -> None:
            """Pass on the end of the body unless the request is refused."""
            if not self.refused and not self.has_offer:
                super().on_message_complete()

        def check_size(self) -> None:
            """Refuse headers that exceed the limits."""
            over_count = self.header_count > entry.header_count_limit
            if over_count or self.header_bytes > entry.header_limit_bytes:
                limits = (
                    f"{entry.header_limit_bytes} bytes and {entry.header_count_limit}"
                )
                self.refuse(
                    Failure(Code.HEADERS_TOO_LARGE, f"limits are {limits} headers")
                )

        def headers_too_slow(self) -> None:
            """Refuse headers that take too long."""
            self.header_timer = None
            timeout_s = entry.header_timeout_s
            self.refuse(
                Failure(
                    Code.HEADERS_TOO_SLOW,
                    f"headers not complete within {timeout_s:g} s",
                )
            )

        def refuse(self, failure: Failure) -> None:
            """Send a failure and close the connection."""
            if self.refused:
                return
            self.refused = True
            self.stop_header_timer()
            if not self.transport.is_closing():
                self.transport.write(raw_response(failure))
                self.transport.close()

    return CallerProtocol
