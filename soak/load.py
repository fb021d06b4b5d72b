"""Callers of the soak test, which reuse connections and record every response."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs

from fakes.callers import Reply, read_reply, request_bytes
from fakes.callers import request_headers as default_headers
from soak.process import GatewayProcess
from soak.site import SoakSite

REQUEST_PAUSE_S = 0.06
REQUEST_DEADLINE_S = 4.0
RESPONSE_SLACK_S = 2.0
# Probability that a caller closes the connection during a stream.
ABANDON_PROBABILITY = 0.1
PATHS_AND_METHODS = {
    "read": ("/read/x", "GET"),
    "post": ("/post/x", "POST"),
    "draft": ("/draft/x", "POST"),
    "check": ("/check/x", "POST"),
}
DRAWN_KINDS = ("read", "read", "post", "post", "draft", "check")
PLAIN_KINDS = ("read", "post")


@attrs.define(kw_only=True)
class SentRequest:
    """One request of a caller and its response.

    Times are monotonic seconds, 0 for an event that has not happened.
    """

    attempt_id: str
    kind: str
    api_key: str
    gateway: GatewayProcess
    started_at: float
    ended_at: float = 0.0
    abandoned_at: float = 0.0
    reply: Reply | None = None
    failure: str = ""

    @property
    def status(self) -> int:
        """Return the response's status, or 0 without a response."""
        return self.reply.status if self.reply is not None else 0


class Caller:
    """A caller that reuses its connection for as long as it stays open."""

    def __init__(
        self,
        *,
        site: SoakSite,
        number: int,
        record: Callable[[SentRequest], None],
        kinds: tuple[str, ...] = DRAWN_KINDS,
    ):
        self.site = site
        self.number = number
        self.kinds = kinds
        self.record = record
        self.sent_count = 0
        self.gateway: GatewayProcess | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            await self.send_request(self.site.rng.choice(self.kinds))
            await asyncio.sleep(REQUEST_PAUSE_S * self.site.rng.uniform(0.5, 1.5))

    async def send_request(
        self, kind: str, gateway: GatewayProcess | None = None
    ) -> SentRequest:
        """Send one request and record how it ended.

        Without ``gateway`` the request goes to the gateway of the open connection, or
        to a random one.
        """
        rng = self.site.rng
        self.sent_count += 1
        if gateway is not None and gateway is not self.gateway:
            self.close()
        if self.writer is None:
            self.gateway = gateway or rng.choice(self.site.gateways)
        assert self.gateway is not None
        sent = SentRequest(
            attempt_id=f"{self.number:08x}{self.sent_count:08x}",
            kind=kind,
            api_key=rng.choice(self.site.keys),
            gateway=self.gateway,
            started_at=time.monotonic(),
        )
        self.record(sent)
        abandons = kind in ("draft", "check") and rng.random() < ABANDON_PROBABILITY
        try:
            async with asyncio.timeout(REQUEST_DEADLINE_S + RESPONSE_SLACK_S):
                await self.exchange(sent, abandons)
        except TimeoutError:
            sent.failure = "no response"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            sent.failure = type(error).__name__
            self.close()
        finally:
            sent.ended_at = time.monotonic()
        return sent

    async def exchange(self, sent: SentRequest, abandons: bool) -> None:
        """Send a request and read its response, or disconnect before its end."""
        if self.writer is None:
            host, _, port = sent.gateway.caller_proxy.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        assert self.reader is not None
        path, method = PATHS_AND_METHODS[sent.kind]
        headers = default_headers(path, {"X-Attempt-Id": sent.attempt_id})
        headers["X-Deadline-Ms"] = str(int(REQUEST_DEADLINE_S * 1000))
        headers["Authorization"] = f"Bearer {sent.api_key}"
        body = sent.attempt_id.encode() if method == "POST" else b""
        self.writer.write(request_bytes(method, path, headers, body))
        await self.writer.drain()
        if abandons:
            await asyncio.sleep(self.site.rng.uniform(0.05, 0.6))
            sent.abandoned_at = time.monotonic()
            self.close()
            return
        sent.reply = await read_reply(self.reader)
        connection_closes = sent.reply.headers.get("connection") == "close"
        if connection_closes or not sent.reply.whole:
            self.close()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
