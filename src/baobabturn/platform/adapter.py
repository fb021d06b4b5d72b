"""All translations for the platform, ready for a gateway."""

from __future__ import annotations

from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import PlatformDocumentCodec
from baobabturn.platform.edge import PlatformGatewayPaths
from baobabturn.platform.engine import PlatformCacheCopier
from baobabturn.platform.headers import PlatformHeaderTranslator
from baobabturn.platform.objectstore import PlatformObjectStore


class PlatformAdapter:
    """One implementation of each ``Protocol`` that a gateway needs."""

    def __init__(self, *, transport: Transport, address: str):
        self.header_translator = PlatformHeaderTranslator()
        self.documents = PlatformDocumentCodec()
        self.paths = PlatformGatewayPaths()
        self.cache_copier = PlatformCacheCopier(transport=transport)
        self.store = PlatformObjectStore(address=address, transport=transport)
