"""Packs learned length distributions, to replicate them on other hosts.

A JSON header lists the keys.  It is followed, for each key, by the counts of the
generations that reached each bin and that ended in it, as half-precision floats
relative to the weight of the newest sample.  The whole is compressed with zlib.
"""

from __future__ import annotations

import json
import struct
import zlib
from array import array

from baobabturn.scheduler.lengths import BINS, Counts, Key, Lengths

KEYS_HANDED_ON = 64
BODY_LIMIT_BYTES = 1_000_000
HALF_LIMIT = 60_000.0
FORMAT = struct.Struct(f"<{2 * BINS}e")
HEADER = struct.Struct("<I")


def pack(lengths: Lengths) -> bytes:
    """Return the most recently updated distributions, packed."""
    keys = list(lengths.counts)[-KEYS_HANDED_ON:]
    header = json.dumps(keys).encode()
    parts = [HEADER.pack(len(header)), header]
    for key in keys:
        counts = lengths.counts[key]
        values = [*counts.reached, *counts.ended]
        parts.append(
            FORMAT.pack(*(min(HALF_LIMIT, each / counts.weight) for each in values))
        )
    return zlib.compress(b"".join(parts))


def unpack(body: bytes) -> dict[Key, Counts]:
    """Return the packed counts, an empty dictionary if the body is damaged."""
    try:
        inflate = zlib.decompressobj()
        data = inflate.decompress(body, BODY_LIMIT_BYTES)
        if not inflate.eof:
            return {}
        (size,) = HEADER.unpack_from(data)
        start = HEADER.size + size
        found = {}
        for workspace, model, kind in json.loads(data[HEADER.size : start]):
            values = FORMAT.unpack_from(data, start)
            start += FORMAT.size
            found[str(workspace), str(model), str(kind)] = Counts(
                reached=array("d", values[:BINS]), ended=array("d", values[BINS:])
            )
    except (zlib.error, struct.error, ValueError, TypeError, RecursionError):
        return {}
    return found


def take_in(lengths: Lengths, body: bytes) -> int:
    """Replace each distribution by a packed one with more samples.

    Return how many were replaced or added.
    """
    taken = 0
    for key, counts in unpack(body).items():
        known = lengths.counts.get(key)
        if known is not None and known.reached[0] / known.weight >= counts.reached[0]:
            continue
        lengths.counts[key] = counts
        lengths.curves.pop(key, None)
        taken += 1
    return taken
