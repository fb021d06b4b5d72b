"""Encodes changes of stored objects for messages between gateways.

A message holds the objects of many writers.  One that can't be encoded has no value,
like a deletion.
"""

from __future__ import annotations

import json
import logging
import zlib

from baobabturn.core.boundedjson import load_bounded
from baobabturn.store.interface import Change
from baobabturn.wire.gatewaymessages import StoreChange

# A value is decompressed up to this size.
MAX_VALUE_BYTES = 8_000_000


log = logging.getLogger("baobabturn.gateway.storechanges")


def encode_change(change: Change) -> StoreChange:
    """Return a change as it is sent; the value of a deletion is empty."""
    value = b""
    if change.value is not None:
        try:
            value = zlib.compress(json.dumps(change.value).encode())
        except (ValueError, RecursionError) as error:
            log.warning("event=change-not-sent name=%r error=%r", change.name, error)
    return StoreChange(name=change.name, version=change.version, value=value)


def decode_change(change: StoreChange) -> Change:
    """Return a received change; the value is None for a deletion."""
    value = None
    if change.value:
        data = zlib.decompressobj().decompress(change.value, MAX_VALUE_BYTES)
        value = load_bounded(data)
    return Change(name=change.name, version=change.version, value=value)
