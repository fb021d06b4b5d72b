"""What HTTP itself says of headers that pass through a gateway."""

from __future__ import annotations

from baobabturn.gateway.call import Headers

# These concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
BEARER_PREFIX = b"bearer "
CONNECTION_CLOSE = (b"connection", b"close")


def first_value(headers: Headers, name: bytes) -> bytes:
    """Return a header's first value, empty where there is none."""
    return next((value for key, value in headers if key == name), b"")


def connection_header_names(headers: Headers) -> set[bytes]:
    """Return the names that the ``Connection`` header declares as its own."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    return named


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection."""
    own = connection_header_names(headers)
    return [(k, v) for k, v in headers if k not in HOP_BY_HOP_HEADERS and k not in own]


def bearer_key(headers: Headers) -> str:
    """Return the key of the one ``Authorization`` header, empty for none."""
    values = [value for key, value in headers if key == b"authorization"]
    if len(values) != 1 or values[0][: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return values[0][len(BEARER_PREFIX) :].strip().decode("latin-1")
