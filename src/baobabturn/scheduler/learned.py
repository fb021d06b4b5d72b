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

from baobabturn.scheduler.lengths import BIN_COUNT, LengthCounts, LengthKey, LengthModel

MAX_PACKED_KEYS = 64
MAX_UNPACKED_BYTES = 1_000_000
# Half-precision floats overflow above 65504.
MAX_PACKED_COUNT = 60_000.0
COUNTS_FORMAT = struct.Struct(f"<{2 * BIN_COUNT}e")
HEADER_SIZE_FORMAT = struct.Struct("<I")


def pack_lengths(lengths: LengthModel) -> bytes:
    """Return the most recently updated distributions, packed."""
    keys = list(lengths.counts)[-MAX_PACKED_KEYS:]
    header = json.dumps(keys).encode()
    chunks = [HEADER_SIZE_FORMAT.pack(len(header)), header]
    for key in keys:
        counts = lengths.counts[key]
        values = [*counts.reached, *counts.ended]
        chunks.append(
            COUNTS_FORMAT.pack(
                *(min(MAX_PACKED_COUNT, value / counts.weight) for value in values)
            )
        )
    return zlib.compress(b"".join(chunks))


def unpack_lengths(body: bytes) -> dict[LengthKey, LengthCounts]:
    """Return the counts in a packed body, none if it is damaged or too large."""
    try:
        inflate = zlib.decompressobj()
        data = inflate.decompress(body, MAX_UNPACKED_BYTES)
        if not inflate.eof:
            return {}
        (header_size,) = HEADER_SIZE_FORMAT.unpack_from(data)
        offset = HEADER_SIZE_FORMAT.size + header_size
        counts_by_key = {}
        for workspace, model, kind in json.loads(
            data[HEADER_SIZE_FORMAT.size : offset]
        ):
            values = COUNTS_FORMAT.unpack_from(data, offset)
            offset += COUNTS_FORMAT.size
            counts_by_key[str(workspace), str(model), str(kind)] = LengthCounts(
                reached=array("d", values[:BIN_COUNT]),
                ended=array("d", values[BIN_COUNT:]),
            )
    except (zlib.error, struct.error, ValueError, TypeError, RecursionError):
        return {}
    return counts_by_key


def merge_lengths(lengths: LengthModel, body: bytes) -> int:
    """Replace each distribution by a packed one with more samples.

    Return how many were replaced or added.
    """
    merged_count = 0
    for key, counts in unpack_lengths(body).items():
        own_counts = lengths.counts.get(key)
        if (
            own_counts is not None
            and own_counts.reached[0] / own_counts.weight >= counts.reached[0]
        ):
            continue
        lengths.counts[key] = counts
        lengths.distributions.pop(key, None)
        merged_count += 1
    return merged_count
