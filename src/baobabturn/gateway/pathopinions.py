"""Asks other gateways whether an endpoint that refuses this one takes connections.

From one gateway a cut path looks like a crashed endpoint.  An endpoint has crashed only
if the others that answer can't connect to it either.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random

from baobabturn.core.probe import can_connect
from baobabturn.core.program import Program
from baobabturn.gateway.endpoints import Endpoint, Endpoints
from baobabturn.gateway.peer import Peer, parse_address
from baobabturn.gateway.peers import Peers
from baobabturn.wire.gatewaymessages import PathAsk, PathOpinion

ASKED_PEER_COUNT = 3
# A connection and the answer take a few network delays.
ANSWER_TIMEOUT_S = 0.08

log = logging.getLogger("baobabturn.gateway.pathopinions")


class PathOpinions:
    """Asks for and gives opinions on paths to endpoints.

    ``pending`` holds, by the number of a question, the future of whether any other
    gateway connects to the endpoint, and ``missing`` how many answers are missing.
    """

    def __init__(self, *, program: Program, peers: Peers, endpoints: Endpoints):
        self.program = program
        self.peers = peers
        self.endpoints = endpoints
        self.counter = itertools.count(1)
        self.pending: dict[int, asyncio.Future[bool]] = {}
        self.missing: dict[int, int] = {}
        peers.handlers[PathAsk] = self.handle_ask
        peers.handlers[PathOpinion] = self.handle_opinion

    async def reached_elsewhere(self, endpoint: Endpoint) -> bool:
        """Return whether another gateway says that it can connect to an endpoint."""
        near = self.peers.table.near_alive()
        asked = random.sample(near, min(len(near), ASKED_PEER_COUNT))
        if not asked:
            return False
        number = next(self.counter)
        future = asyncio.get_running_loop().create_future()
        self.pending[number], self.missing[number] = future, len(asked)
        ask = PathAsk(
            node=self.peers.record.name, number=number, endpoint=endpoint.name
        )
        self.peers.send_message(ask, asked)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await future
        except TimeoutError:
            log.info("event=no-path-opinion endpoint=%s", endpoint.name)
            return False
        finally:
            del self.pending[number], self.missing[number]

    def handle_ask(self, ask: PathAsk, peer: Peer) -> None:
        """Answer a question, unless the endpoint isn't known here."""
        endpoint = self.endpoints.by_name.get(ask.endpoint)
        if endpoint is not None:
            self.program.background.start(
                self.answer(ask, endpoint, peer), f"path-answer-{ask.endpoint}"
            )

    async def answer(self, ask: PathAsk, endpoint: Endpoint, peer: Peer) -> None:
        """Connect to an endpoint and tell the asker whether that succeeded."""
        connects = await can_connect(*parse_address(endpoint.record.address))
        opinion = PathOpinion(
            node=self.peers.record.name, number=ask.number, connects=connects
        )
        self.peers.send_message(opinion, [peer])

    def handle_opinion(self, opinion: PathOpinion, peer: Peer) -> None:
        """Apply an answer; one that connects decides."""
        future = self.pending.get(opinion.number)
        if future is None or future.done():
            return
        self.missing[opinion.number] -= 1
        if opinion.connects or not self.missing[opinion.number]:
            future.set_result(opinion.connects)
