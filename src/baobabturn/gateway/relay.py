"""Passes requests on through another gateway that reaches their service.

A gateway that can't reach a service sends the caller's request to one that can, once,
and passes the response back.  Such requests come at a listener of their own and are
signed with the secret that the gateways share, so that callers can't send any.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
import yarl

from baobabturn.core.events import Event
from baobabturn.core.httpclient import is_framed
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.outcome import failure_from_exception
from baobabturn.gateway.endpointclient import to_multidict
from baobabturn.gateway.httpheaders import end_to_end_headers, first_value
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.platforminterface import HeaderTranslator
from baobabturn.gateway.relaysigner import RELAY_HEADER, RelaySigner, request_head
from baobabturn.gateway.request import CallerRequest, Headers
from baobabturn.gateway.transport import Transport
from baobabturn.placement.homes import ANY_REGION, DomainRegions, Homes

CODE_HEADER = b"x-baobabturn-code"
MAX_GATEWAYS_TRIED = 3
MIN_REMAINING_S = 0.02
RETRY_AFTER_S = 0.5
# A gateway that refuses with one of these can't serve the request, but another may.
TRY_ANOTHER_CODES = frozenset(
    str(int(code)).encode()
    for code in (
        Code.STOPPING,
        Code.NO_CONFIGURATION,
        Code.KEYS_UNCONFIRMED,
        Code.CONNECT_FAILED,
        Code.NO_ENDPOINT,
        Code.NOT_ALLOWED,
    )
)

log = logging.getLogger("baobabturn.gateway.relay")

Send = Callable[[Any], Any]


@attrs.frozen(kw_only=True)
class RelayedResponse:
    """The head of another gateway's response, with its body still to be read."""

    response: aiohttp.ClientResponse
    headers: Headers

    @property
    def is_refused_there(self) -> bool:
        """Return whether that gateway, and not an endpoint, can't serve the request."""
        code = first_value(self.headers, CODE_HEADER)
        return self.response.status == 503 and code in TRY_ANOTHER_CODES


class PeerRelay:
    """Sends requests through other gateways, and passes their responses back."""

    def __init__(
        self,
        *,
        program: Program,
        peers: Peers,
        transport: Transport,
        header_translator: HeaderTranslator,
        connection_headers: Callable[[], Headers],
        regions: DomainRegions,
    ):
        self.program = program
        self.peers = peers
        self.transport = transport
        self.header_translator = header_translator
        self.connection_headers = connection_headers
        self.regions = regions
        self.signer = RelaySigner(secret=program.settings.inner.secret)

    def candidates(self, service: str, homes: Homes = ANY_REGION) -> list[Peer]:
        """Return some gateways that reach a service, in random order.

        Those outside of a request's home regions aren't, as its body may not go there.

        Those that weren't serving when they were last heard come later.  In a large
        fleet those of other failure domains come last, as this gateway doesn't hear
        whether they live.
        """
        table = self.peers.table
        near = [
            peer
            for peer in table.near_alive()
            if peer.relay
            and service not in peer.unreachable
            and self.regions.allows(homes, peer.failure_domain)
        ]
        far = [
            peer
            for peer in table.peers.values()
            if peer.relay
            and not table.is_near(peer)
            and self.regions.allows(homes, peer.failure_domain)
        ]
        random.shuffle(near)
        near.sort(key=lambda peer: not peer.serving)
        count = max(0, MAX_GATEWAYS_TRIED - len(near))
        return [*near, *random.sample(far, min(len(far), count))][:MAX_GATEWAYS_TRIED]

    async def relay(self, request: CallerRequest, send: Send) -> Failure | None:
        """Send a request through another gateway and its response to the caller.

        Return why it failed, with ``tokens`` above 0 if the response's head has been
        sent.
        """
        failure = Failure(
            Code.CONNECT_FAILED,
            f"no gateway is known to reach {request.service.name}",
            retry_after_s=RETRY_AFTER_S,
        )
        for peer in self.candidates(request.service.name, request.homes):
            if request.remaining_s() < MIN_REMAINING_S:
                break
            self.program.events.emit(
                Event.REQUEST_RELAYED,
                request=request.request_id,
                gateway=peer.name,
                service=request.service.name,
            )
            answer = await self.open(request, peer)
            if isinstance(answer, Failure):
                if answer.run is not Run.NOT_RUN:
                    return answer
                log.info("event=relay-failed gateway=%s error=%s", peer.name, answer)
                failure = answer
                continue
            if answer.is_refused_there:
                answer.response.close()
                failure = Failure(
                    Code.CONNECT_FAILED,
                    f"{peer.name} can't serve it either",
                    retry_after_s=RETRY_AFTER_S,
                )
                continue
            return await self.pass_back(request, answer, send)
        return failure

    async def open(
        self, request: CallerRequest, peer: Peer
    ) -> RelayedResponse | Failure:
        """Send a request to a gateway and return the head of its response."""
        head = request_head(request.method, request.target, request.headers)
        headers = [
            *self.header_translator.relayed_headers(
                request.headers, remaining_s=request.remaining_s()
            ),
            (RELAY_HEADER, self.signer.sign(head)),
        ]
        request.sent = True
        try:
            async with asyncio.timeout(request.remaining_s()):
                response = await self.transport.endpoint_session.request(
                    request.method,
                    yarl.URL(f"http://{peer.relay}{request.target}", encoded=True),
                    data=request.body or None,
                    headers=to_multidict(headers),
                    skip_auto_headers=("Content-Type",),
                    allow_redirects=False,
                )
        except aiohttp.ConnectionTimeoutError as error:
            return failure_from_exception(error)
        except TimeoutError:
            return Failure(Code.DEADLINE_UNKNOWN, f"no response of {peer.name} in time")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return failure_from_exception(error)
        raw_headers = [(key.lower(), value) for key, value in response.raw_headers]
        return RelayedResponse(response=response, headers=raw_headers)

    async def pass_back(
        self, request: CallerRequest, answer: RelayedResponse, send: Send
    ) -> Failure | None:
        """Send a gateway's response to the caller as it comes."""
        headers = [
            *end_to_end_headers(answer.headers),
            *[pair for pair in answer.headers if pair[0] == b"content-length"],
            *self.connection_headers(),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": answer.response.status,
                "headers": headers,
            }
        )
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())):
                async for data in answer.response.content.iter_any():
                    await send(
                        {"type": "http.response.body", "body": data, "more_body": True}
                    )
        except TimeoutError:
            return Failure(Code.DEADLINE_PARTIAL, "the deadline passed", tokens=1)
        except (aiohttp.ClientError, OSError) as error:
            return attrs.evolve(failure_from_exception(error), tokens=1)
        finally:
            answer.response.close()
        if not is_framed(request.method, answer.response.status, answer.headers):
            # Gateways frame all their responses, so nothing shows that it is whole.
            reason = "the other gateway's response has no length"
            return Failure(Code.OUTCOME_UNKNOWN, reason, tokens=1)
        await send({"type": "http.response.body", "body": b""})
        return None
