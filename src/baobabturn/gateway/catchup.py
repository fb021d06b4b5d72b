"""Asks other gateways what they know that the store may have lost.

A store that returns from a copy may hold an older configuration than the one in
force, and entries of endpoints that have left.  A gateway that starts, or was cut off
or paused over the return, knows no better by itself.  So it asks others after its
start and each time the store's era rises; meanwhile it takes nothing of the new era
for confirmed, and after its start puts nothing in force.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from baobabturn.core.events import Event, EventLog
from baobabturn.gateway.configinforce import ConfigInForce
from baobabturn.gateway.endpoints import Endpoints
from baobabturn.gateway.mirror import StoreContact, boot_time_s
from baobabturn.gateway.peer import Peer
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.storechanges import decode_change, encode_change
from baobabturn.gateway.watchers import Watchers
from baobabturn.wire.gatewaymessages import CatchUpAsk, CatchUpReply, StoreChange

# Others that are alive answer within milliseconds; the rest isn't waited for.
MAX_WAIT_S = 0.6
ASK_INTERVAL_S = 0.1
# How often a gateway that has started checks whether it has read the others' records.
RECORDS_CHECK_INTERVAL_S = 0.02
# How many near gateways are asked at a time, and how many replies are enough of those
# that served before.
ASKED_PEER_COUNT = 3
WANTED_REPLY_COUNT = 2
# A larger configuration doesn't fit into a datagram.
MAX_CONFIG_BYTES = 48_000
MAX_DEPARTED_PER_REPLY = 64
MS_PER_S = 1000

log = logging.getLogger("baobabturn.gateway.catchup")


class CatchUp:
    """Exchanges what gateways know beyond the store's copy.

    ``is_open`` is false while others are asked, ``has_settled`` is true once this
    gateway has asked after its start; ``replies`` says of each gateway that replied
    whether that one has.  ``on_confirm`` gets the boot times at which the
    configuration was confirmed, those of a time of asking at its end.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        watchers: Watchers,
        contact: StoreContact,
        config: ConfigInForce,
        endpoints: Endpoints,
        events: EventLog,
        on_confirm: Callable[[float], None],
    ):
        self.peers = peers
        self.watchers = watchers
        self.config = config
        self.endpoints = endpoints
        self.events = events
        self.on_confirm = on_confirm
        self.is_open = False
        self.has_settled = False
        self.pending_confirmation = 0.0
        self.replies: dict[str, bool] = {}
        self.needed = asyncio.Event()
        self.needed.set()
        self.replied = asyncio.Event()
        contact.era_listeners.append(self.begin)
        peers.handlers[CatchUpAsk] = self.handle_ask
        peers.handlers[CatchUpReply] = self.handle_reply

    def begin(self) -> None:
        """Ask others again, because the store's era has risen."""
        self.is_open = False
        self.needed.set()

    def confirm(self, at: float) -> None:
        """Pass on a confirmation, or keep it until others have been asked."""
        if self.is_open:
            self.on_confirm(at)
        else:
            self.pending_confirmation = max(self.pending_confirmation, at)

    async def run(self) -> None:
        """Ask others each time that it is needed, for as long as the process runs."""
        while True:
            await self.needed.wait()
            self.needed.clear()
            self.replies.clear()
            await self.wait_for_records()
            await self.ask_others()
            if not self.needed.is_set():
                self.open()

    async def wait_for_records(self) -> None:
        """Wait until the other gateways are known; without the store they aren't."""
        while not self.peers.table.records_read:
            await asyncio.sleep(RECORDS_CHECK_INTERVAL_S)

    async def ask_others(self) -> None:
        """Ask others until enough have replied, for a limited time."""
        end = boot_time_s() + MAX_WAIT_S
        while not self.is_complete() and boot_time_s() < end:
            self.ask()
            self.replied.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ASK_INTERVAL_S):
                    await self.replied.wait()

    def is_complete(self) -> bool:
        """Return whether the replies are enough.

        Where all start at once, everybody replies and nobody knows more.
        """
        table = self.peers.table
        known = {peer.name for peer in table.near()}
        if sum(self.replies.values()) >= min(WANTED_REPLY_COUNT, len(known)):
            return True
        return known <= self.replies.keys()

    def ask(self) -> None:
        """Ask a few near gateways, and the watchers of far failure domains."""
        table = self.peers.table
        waiting = [peer for peer in table.near() if peer.name not in self.replies]
        asked = random.sample(waiting, min(len(waiting), ASKED_PEER_COUNT))
        if table.is_large_fleet():
            for domain in table.far_domains():
                asked += self.watchers.contacts(domain)
        message = CatchUpAsk(node=self.peers.record.name, revision=self.config.revision)
        self.peers.send_message(message, asked)

    def open(self) -> None:
        """Go on with what is known now."""
        self.is_open = True
        self.has_settled = True
        if self.pending_confirmation:
            self.on_confirm(self.pending_confirmation)
        self.events.emit(
            Event.CAUGHT_UP,
            replies=len(self.replies),
            revision=self.config.revision,
        )

    def handle_ask(self, ask: CatchUpAsk, peer: Peer) -> None:
        """Tell another gateway what is known here."""
        departed = self.endpoints.departures.recent(MAX_DEPARTED_PER_REPLY)
        reply = CatchUpReply(
            node=self.peers.record.name,
            settled=self.has_settled,
            revision=self.config.revision,
            config=self.newer_config(ask.revision),
            behind_ms=int(self.config.behind_s() * MS_PER_S),
            departed=departed,
        )
        self.peers.send_message(reply, [peer])

    def newer_config(self, revision: int) -> list[StoreChange]:
        """Return the configuration in force, nothing if the revision is as new."""
        change = self.config.change
        if change is None or self.config.revision <= revision:
            return []
        encoded = encode_change(change)
        if len(encoded.value) > MAX_CONFIG_BYTES:
            self.peers.program.metrics.count("configs_too_large")
            log.warning(
                "event=config-too-large revision=%d bytes=%d limit=%d",
                self.config.revision,
                len(encoded.value),
                MAX_CONFIG_BYTES,
            )
            return []
        return [encoded]

    def handle_reply(self, reply: CatchUpReply, peer: Peer) -> None:
        """Add what another gateway knows."""
        for change in reply.config:
            behind_s = reply.behind_ms / MS_PER_S
            self.config.apply_from_peer(decode_change(change), behind_s)
        self.endpoints.apply_departures(reply.departed)
        self.replies[peer.name] = self.replies.get(peer.name, False) or reply.settled
        self.replied.set()
