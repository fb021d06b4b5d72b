"""Bounds the request bodies that one gateway has in flight to each endpoint.

An endpoint crashes if the requests that it holds exceed its memory, whose size isn't
known.  Small bodies aren't counted.
"""

from __future__ import annotations

import collections

# Up to this size a body isn't counted.
UNCOUNTED_BODY_BYTES = 65_536
ENDPOINT_BODIES_BYTES = 8 * 1024 * 1024


class BodiesInFlight:
    """The bytes of large bodies by endpoint, from the sending to the response's end.

    Example::

        >>> bodies = BodiesInFlight()
        >>> bodies.take("e1", 5_000_000)
        >>> bodies.fits("e1", 5_000_000), bodies.fits("e2", 50_000_000)
        (False, True)
    """

    def __init__(self) -> None:
        self.held_bytes: collections.Counter[str] = collections.Counter()

    def fits(self, endpoint: str, size_bytes: int) -> bool:
        """Return whether a body may be sent; one over the limit is sent alone."""
        held_bytes = self.held_bytes.get(endpoint, 0)
        return (
            size_bytes <= UNCOUNTED_BODY_BYTES
            or not held_bytes
            or held_bytes + size_bytes <= ENDPOINT_BODIES_BYTES
        )

    def take(self, endpoint: str, size_bytes: int) -> None:
        """Count a body that is about to be sent."""
        if size_bytes > UNCOUNTED_BODY_BYTES:
            self.held_bytes[endpoint] += size_bytes

    def release(self, endpoint: str, size_bytes: int) -> None:
        """Count a body no longer, as its response has ended."""
        if size_bytes <= UNCOUNTED_BODY_BYTES:
            return
        self.held_bytes[endpoint] -= size_bytes
        if not self.held_bytes[endpoint]:
            del self.held_bytes[endpoint]
