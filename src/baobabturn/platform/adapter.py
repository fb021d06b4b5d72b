"""All translations for the platform, ready for a gateway."""

from __future__ import annotations

from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import PlatformDocuments
from baobabturn.platform.edge import PlatformEdge
from baobabturn.platform.engine import PlatformMover
from baobabturn.platform.headers import PlatformDialect
from baobabturn.platform.objectstore import PlatformObjectStore


class PlatformAdapter:
    """One implementation of each ``Protocol`` that a gateway needs."""

    def __init__(self, *, transport: Transport, address: str):
        self.dialect = PlatformDialect()
        self.documents = PlatformDocuments()
        self.edge = PlatformEdge()
        self.mover = PlatformMover(transport=transport)
        self.store = PlatformObjectStore(address=address, transport=transport)
