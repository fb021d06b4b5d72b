"""One attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
import yarl
from multidict import CIMultiDict

from baobabturn.core.results import Code, Failure
from baobabturn.entry.outcome import from_error
from baobabturn.gateway.call import Call, Headers
from baobabturn.gateway.dialect import AnswerFacts, Continuation, Dialect
from baobabturn.gateway.endpoints import Endpoint
from baobabturn.gateway.transport import Transport

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
READ_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class Opened:
    """An endpoint's answer whose content is still to be read."""

    response: aiohttp.ClientResponse
    headers: Headers
    facts: AnswerFacts

    @property
    def status(self) -> int:
        """Return the answer's status."""
        return self.response.status

    def close(self) -> None:
        """Close the connection, which ends the request at most endpoints."""
        self.response.close()


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Exchange:
    """Sends requests to endpoints and reads their answers."""

    def __init__(self, *, transport: Transport, dialect: Dialect):
        self.transport = transport
        self.dialect = dialect

    async def open(
        self,
        call: Call,
        endpoint: Endpoint,
        *,
        limit_s: float,
        urgency: int | None = None,
        onward: Continuation | None = None,
    ) -> Opened | Failure:
        """Send a request and return the head of its answer, or what is known.

        The endpoint is told how long it may work; ``limit_s`` seconds later the
        attempt ends here too.
        """
        headers = self.dialect.outgoing(
            call,
            endpoint=endpoint.name,
            left_s=limit_s,
            urgency=urgency,
            onward=onward,
        )
        try:
            async with asyncio.timeout(limit_s):
                response = await self.transport.endpoint_session.request(
                    call.method,
                    yarl.URL(
                        f"http://{endpoint.record.address}{call.target}", encoded=True
                    ),
                    data=call.body or None,
                    headers=texts(headers),
                    skip_auto_headers=("Content-Type",),
                    allow_redirects=False,
                )
        except aiohttp.ConnectionTimeoutError as error:
            return from_error(error)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no answer in {limit_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return from_error(error)
        return self.judged(call, response)

    def judged(self, call: Call, response: aiohttp.ClientResponse) -> Opened | Failure:
        """Return an answer, or the failure that its head means."""
        headers = [(key.lower(), value) for key, value in response.raw_headers]
        facts = self.dialect.facts(response.status, headers)
        failure = wrong_head(call, response.status, facts)
        if failure is not None:
            response.close()
            return failure
        return Opened(response=response, headers=headers, facts=facts)

    async def whole(
        self,
        call: Call,
        endpoint: Endpoint,
        *,
        limit_s: float,
    ) -> Answer | Failure:
        """Send a request and return its whole answer, or what is known."""
        opened: Opened | Failure | None = None
        try:
            async with asyncio.timeout(limit_s):
                opened = await self.open(call, endpoint, limit_s=limit_s)
                if isinstance(opened, Failure):
                    return opened
                body = await read_whole(opened.response)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no answer in {limit_s:.3g} s")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return from_error(error)
        finally:
            if isinstance(opened, Opened):
                opened.close()
        if isinstance(body, Failure):
            return body
        return Answer(status=opened.status, headers=opened.headers, body=body)


def texts(headers: Headers) -> CIMultiDict[str]:
    """Return headers in the form that the client library takes."""
    return CIMultiDict((k.decode("latin-1"), v.decode("latin-1")) for k, v in headers)


def wrong_head(call: Call, status: int, facts: AnswerFacts) -> Failure | None:
    """Return why an answer can't be passed on, None where it can.

    An answer to another request, or one that the endpoint doesn't vouch for,
    says nothing of this request.
    """
    if facts.refused:
        return Failure(Code.ENDPOINT_REFUSED, f"status {status}")
    if facts.ident != call.ident:
        return Failure(Code.OUTCOME_UNKNOWN, "an answer to another request")
    if facts.encoded:
        return Failure(Code.OUTCOME_UNKNOWN, "an encoded answer")
    if not facts.signed:
        return Failure(Code.OUTCOME_UNKNOWN, f"status {status} without a signature")
    return None


async def read_whole(response: aiohttp.ClientResponse) -> bytes | Failure:
    """Return an answer's content; raises what the client library does."""
    body = bytearray()
    async for data in response.content.iter_chunked(READ_BYTES):
        body += data
        if len(body) > ANSWER_LIMIT_BYTES:
            return Failure(Code.OUTCOME_UNKNOWN, f"over {ANSWER_LIMIT_BYTES} bytes")
    return bytes(body)
