"""All of the platform's translations, ready for a gateway."""

from __future__ import annotations

from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import SiteDocuments
from baobabturn.platform.edge import SiteEdge
from baobabturn.platform.engine import SiteMover
from baobabturn.platform.headers import SiteDialect
from baobabturn.platform.objectstore import SiteStore


class Site:
    """One implementation of each ``Protocol`` that a gateway needs."""

    def __init__(self, *, transport: Transport, address: str):
        self.dialect = SiteDialect()
        self.documents = SiteDocuments()
        self.edge = SiteEdge()
        self.mover = SiteMover(transport=transport)
        self.store = SiteStore(address=address, transport=transport)
