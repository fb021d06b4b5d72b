"""Helpers for HTTP headers that a gateway forwards or reads."""

from __future__ import annotations

from baobabturn.gateway.request import Headers

# Headers that concern a single connection, so a proxy must not forward them.
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
    """Return a header's first value, empty if the header is absent."""
    return next((value for key, value in headers if key == name), b"")


def media_type(headers: Headers) -> bytes:
    """Return the media type of a body in lower case, empty if none is stated."""
    return first_value(headers, b"content-type").partition(b";")[0].strip().lower()


def connection_header_names(headers: Headers) -> set[bytes]:
    """Return the header names that the ``Connection`` header lists."""
    names: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            names.update(name.strip().lower() for name in value.split(b","))
    return names


def non_utf8_header(headers: Headers) -> bytes:
    """Return the name of a header whose value isn't UTF-8, empty for none.

    The HTTP client sends text as UTF-8 and can't pass such a value on as it is.
    """
    return next((name for name, value in headers if not is_utf8(value)), b"")


def is_utf8(value: bytes) -> bool:
    """Return whether some bytes are text in UTF-8."""
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern a single connection."""
    listed = connection_header_names(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in listed
    ]


def bearer_key(headers: Headers) -> str:
    """Return the bearer key of the ``Authorization`` header.

    Return an empty text unless there is exactly one such header with a bearer key.
    """
    values = [value for key, value in headers if key == b"authorization"]
    if len(values) != 1 or values[0][: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return values[0][len(BEARER_PREFIX) :].strip().decode("latin-1")
