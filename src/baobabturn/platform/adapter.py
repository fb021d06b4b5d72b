"""The platform's implementation of everything that a gateway needs."""

from __future__ import annotations

from baobabturn.core.events import EventLog
from baobabturn.gateway.transport import Transport
from baobabturn.platform.documents import PlatformObjectCodec
from baobabturn.platform.edge import PlatformGatewayPaths
from baobabturn.platform.engine import PlatformCacheCopier
from baobabturn.platform.headers import PlatformHeaderTranslator
from baobabturn.platform.objectstore import PlatformObjectStore


class PlatformAdapter:
    """One implementation of each ``Protocol`` that a gateway needs."""

    def __init__(self, *, transport: Transport, address: str, events: EventLog):
        self.header_translator = PlatformHeaderTranslator()
        self.object_codec = PlatformObjectCodec()
        self.paths = PlatformGatewayPaths()
        self.cache_copier = PlatformCacheCopier(transport=transport)
        self.store = PlatformObjectStore(
            address=address, transport=transport, events=events
        )
