"""Ports of the servers that tests start, which no two test processes share.

A port that is free when it is chosen may be taken before its server listens, by another
test process or by an outgoing connection.  So each process claims a range of ports
below those of outgoing connections, and gives each of them out once before it begins
again.

Example::

    port = free_port()
"""

from __future__ import annotations

import functools
import itertools
import socket
from collections.abc import Iterable

ADDRESS = "127.0.0.1"
RANGE_SIZE = 1_000
FIRST_PORTS = range(10_000, 32_000, RANGE_SIZE)


class PortRange:
    """A range of ports that belongs to this process while it runs.

    ``claim`` is the socket that holds the first port of the range, which shows other
    processes that the range is taken.
    """

    def __init__(self, *, claim: socket.socket):
        self.claim = claim
        first = claim.getsockname()[1]
        self.ports = itertools.cycle(range(first + 1, first + RANGE_SIZE))

    def next_port(self) -> int:
        """Return the port that was given out longest ago and is free."""
        for port in itertools.islice(self.ports, RANGE_SIZE):
            if is_free(port):
                return port
        raise RuntimeError(f"none of {RANGE_SIZE} ports is free")


def claim_range(first_ports: Iterable[int] = FIRST_PORTS) -> PortRange:
    """Return a range of ports that no other process has claimed."""
    for first in first_ports:
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((ADDRESS, first))
        except OSError:
            claim.close()
            continue
        return PortRange(claim=claim)
    raise RuntimeError(f"all {len(FIRST_PORTS)} ranges of ports are claimed")


@functools.cache
def own_range() -> PortRange:
    """Return this process's range of ports."""
    return claim_range()


def free_port() -> int:
    """Return a port of this process that is free for TCP and for UDP."""
    return own_range().next_port()


def is_free(port: int) -> bool:
    """Return whether a port can be bound for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ADDRESS, port))
            except OSError:
                return False
    return True
