"""Signs UDP datagrams with a keyed hash over all of their bytes, and verifies them."""

from __future__ import annotations

import hashlib
import hmac

TAG_BYTES = 16
KEY_BYTES = 32
KEY_PERSONALIZATION = b"heartbeat"  # keeps this key apart from other uses of the secret


class DatagramSigner:
    """Signs and verifies datagrams with a key derived from the shared secret.

    A datagram is a tag, which is a keyed BLAKE2b hash of its body, then the body.
    """

    def __init__(self, *, secret: str):
        self.key = hashlib.blake2b(
            secret.encode(), digest_size=KEY_BYTES, person=KEY_PERSONALIZATION
        ).digest()

    def tag(self, data: bytes) -> bytes:
        """Return the tag of some bytes."""
        return hashlib.blake2b(data, key=self.key, digest_size=TAG_BYTES).digest()

    def sign(self, data: bytes) -> bytes:
        """Return a datagram that carries some bytes and their tag."""
        return self.tag(data) + data

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the bytes that a datagram carries, None if its tag is wrong."""
        data = datagram[TAG_BYTES:]
        if not hmac.compare_digest(datagram[:TAG_BYTES], self.tag(data)):
            return None
        return data
