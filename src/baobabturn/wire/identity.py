"""Who a process is, and the proofs by which the ends of a link know each other.

The accepting side opens a link with a ``Welcome`` that carries a fresh nonce as
challenge, the other answers with a ``Hello`` whose proof of the shared secret
covers it, so that a recorded one is of no use.  The answer is a ``Welcome`` with
a proof over the other's nonce, or a ``Refusal``.
"""

from __future__ import annotations

import hashlib
import hmac

import attrs

from baobabturn.wire.messages import Hello, Welcome


@attrs.frozen(kw_only=True)
class Identity:
    """Who a process is, as it says in ``Hello``."""

    node: str
    role: str
    failure_domain: str
    incarnation: int


def proof(secret: str, *texts: str) -> str:
    """Return the keyed hash of some texts as hexadecimal text."""
    joined = "\n".join(texts).encode()
    return hmac.new(secret.encode(), joined, hashlib.sha256).hexdigest()


def hello_proof(secret: str, hello: Hello, challenge: str) -> str:
    """Return the proof that a hello must carry for a challenge."""
    who = (hello.node, hello.role, hello.failure_domain, str(hello.incarnation))
    return proof(secret, "hello", *who, hello.nonce, challenge)


def welcome_proof(secret: str, welcome: Welcome, mark: str, challenge: str) -> str:
    """Return the proof that a welcome must carry for a hello's nonce."""
    who = (welcome.node, welcome.role, str(welcome.incarnation))
    return proof(secret, "welcome", *who, mark, challenge)
