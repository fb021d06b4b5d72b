"""Packs typed messages with Cap'n Proto and unpacks them again."""

from __future__ import annotations

import importlib.resources
import typing
from collections.abc import Callable
from typing import Any

import attrs
import capnp

from baobabturn.core.results import Code, Failure
from baobabturn.store.version import StoreVersion
from baobabturn.wire.bodies import BODIES

VERSION = 1
# Added to the name of a version's revision on the wire, for its era.
ERA_SUFFIX = "Era"
TRAVERSAL_WORDS = 8 * 1024 * 1024
# What the library raises over bytes that aren't a message.
UNREADABLE = (capnp.KjException, ValueError, UnicodeDecodeError, RuntimeError)

capnp.remove_import_hook()
SCHEMA = capnp.load(
    str(importlib.resources.files(__package__).joinpath("schema.capnp"))
)


def camel(name: str) -> str:
    """Return a snake-case name in the schema's camel case."""
    head, *rest = name.split("_")
    return head + "".join(word.title() for word in rest)


def body_name(kind: type) -> str:
    """Return the union member that carries a message class."""
    return kind.__name__[0].lower() + kind.__name__[1:]


@attrs.frozen
class Field:
    """How one field is read and written; ``item`` is set for lists of messages.

    A version of the store is two fields on the wire, its revision and its era.
    """

    name: str
    wire: str
    is_list: bool
    item: type | None
    is_version: bool = False


def fields_of(kind: type) -> list[Field]:
    """Return the fields of a message class with their names on the wire."""
    attrs.resolve_types(kind)
    fields = []
    for field in attrs.fields(kind):
        is_list = typing.get_origin(field.type) is list
        inner = typing.get_args(field.type)[0] if is_list else field.type
        item = inner if is_list and attrs.has(inner) else None
        is_version = inner is StoreVersion
        if is_version:
            item = None
        fields.append(Field(field.name, camel(field.name), is_list, item, is_version))
    return fields


FIELDS: dict[type, list[Field]] = {}
MEMBERS: dict[str, type] = {}
for body in BODIES:
    MEMBERS[body_name(body)] = body


def table(kind: type) -> list[Field]:
    """Return the cached field table of a message class."""
    found = FIELDS.get(kind)
    if found is None:
        found = FIELDS[kind] = fields_of(kind)
    return found


def to_dict(body: Any) -> dict[str, Any]:
    """Return a message as the nested values that the schema takes."""
    values: dict[str, Any] = {}
    for field in table(type(body)):
        value = getattr(body, field.name)
        if field.item is not None:
            value = [to_dict(item) for item in value]
        if field.is_version:
            values[field.wire + ERA_SUFFIX] = value.era
            value = value.revision
        values[field.wire] = value
    return values


def from_reader(kind: type, reader: Any) -> Any:
    """Return a message made from a schema reader."""
    values: dict[str, Any] = {}
    for field in table(kind):
        value = getattr(reader, field.wire)
        if field.item is not None:
            item = field.item
            value = [from_reader(item, entry) for entry in value]
        elif field.is_list:
            value = list(value)
        elif field.is_version:
            value = StoreVersion(getattr(reader, field.wire + ERA_SUFFIX), value)
        values[field.name] = value
    return kind(**values)


@attrs.define(kw_only=True, slots=True)
class Envelope:
    """A message with what the link needs to know of it."""

    body: Any
    hlc: int = 0
    call: int = 0
    reply: bool = False
    version: int = VERSION


def message(envelope: Envelope) -> Any:
    """Return a message as the schema's builder."""
    return SCHEMA.Envelope.new_message(
        version=VERSION,
        hlc=envelope.hlc,
        call=envelope.call,
        reply=envelope.reply,
        body={body_name(type(envelope.body)): to_dict(envelope.body)},
    )


def pack(envelope: Envelope) -> bytes:
    """Return the bytes of a message."""
    return message(envelope).to_bytes()


def pack_small(envelope: Envelope) -> bytes:
    """Return the bytes of a message without its zeros, about half as many."""
    return message(envelope).to_bytes_packed()


def unpack(data: bytes) -> Envelope | Failure:
    """Return the message in some bytes, or why there is none.

    A message of a newer release whose union member is unknown here gives
    ``UNSUPPORTED``; anything that isn't a message gives ``MALFORMED``.
    """
    try:
        with SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        ) as reader:
            return envelope_in(reader)
    except UNREADABLE as error:
        return Failure(Code.MALFORMED, f"not a message: {type(error).__name__}")


def unpack_small(data: bytes) -> Envelope | Failure:
    """Return the message in what ``pack_small`` gave, or why there is none."""
    try:
        reader = SCHEMA.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        )
        return envelope_in(reader)
    except UNREADABLE as error:
        return Failure(Code.MALFORMED, f"not a message: {type(error).__name__}")


def envelope_in(reader: Any) -> Envelope | Failure:
    """Return the message that a schema reader holds; raises ``UNREADABLE``."""
    try:
        member = reader.body.which()
    except (capnp.KjException, ValueError, KeyError):
        return Failure(Code.UNSUPPORTED, "unknown message kind")
    kind = MEMBERS.get(str(member))
    if kind is None:
        return Failure(Code.UNSUPPORTED, f"message kind {member}")
    return Envelope(
        body=from_reader(kind, getattr(reader.body, str(member))),
        hlc=reader.hlc,
        call=reader.call,
        reply=reader.reply,
        version=reader.version,
    )


def pack_item(item: Any) -> bytes:
    """Return the bytes of one message class on its own, without an envelope."""
    schema = getattr(SCHEMA, type(item).__name__)
    return schema.new_message(**to_dict(item)).to_bytes_packed()


def unpack_item(kind: type, data: bytes) -> Any:
    """Return the item in some bytes, or why there is none."""
    try:
        return from_reader(kind, getattr(SCHEMA, kind.__name__).from_bytes_packed(data))
    except UNREADABLE as error:
        return Failure(Code.MALFORMED, f"not a message: {type(error).__name__}")


Handler = Callable[..., Any]
