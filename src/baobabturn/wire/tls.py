"""TLS between the system's own processes, from the settings' files."""

from __future__ import annotations

import ssl
from typing import Any

from baobabturn.settings.model import Inner

HANDSHAKE_TIMEOUT_S = 3.0


def server_tls(inner: Inner) -> ssl.SSLContext | None:
    """Return the TLS context for accepting links, None where TLS is off."""
    if not inner.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(inner.tls_cert, inner.tls_key)
    context.load_verify_locations(inner.tls_ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_tls(inner: Inner) -> ssl.SSLContext | None:
    """Return the TLS context for opening links, None where TLS is off."""
    if not inner.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(inner.tls_ca)
    context.load_cert_chain(inner.tls_cert, inner.tls_key)
    return context


def tls_options(context: ssl.SSLContext | None) -> dict[str, Any]:
    """Return the options that put TLS with a bounded handshake on a connection."""
    if context is None:
        return {}
    return {"ssl": context, "ssl_handshake_timeout": HANDSHAKE_TIMEOUT_S}
